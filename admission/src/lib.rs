//! Admission control and scheduling for one server behind load balancers that can't be changed.
//!
//! [`Admission`] is a deterministic state machine without clock, I/O or threads. The embedding server passes it
//! events together with the current time and carries out the actions that it returns.
//!
//! ```
//! use std::time::Duration;
//! use oakwind_admission::{Action, Admission, Arrival, ClassId, Event, RequestId, Settings};
//!
//! let settings = Settings { cores: 4, ..Settings::default() };
//! let start = Duration::from_secs(100);
//! let mut admission = Admission::new(settings, 7, start);
//! let mut actions = Vec::new();
//! admission.handle(start, &[], &mut actions); // initial actions: health, idle timeout, first timer
//!
//! actions.clear();
//! let arrival = Arrival::new(RequestId(1), ClassId(0));
//! admission.handle(start, &[Event::Arrived(arrival)], &mut actions);
//! assert!(actions.contains(&Action::Run(RequestId(1))));
//! ```

mod admission;
mod interface;

pub use admission::Admission;
pub use interface::*;
