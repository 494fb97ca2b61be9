//! The interface between an embedding server and the admission module: settings, events and actions.
//!
//! It holds only types and their defaults; every decision is in `admission.rs` and the modules below it.

mod action;
mod arrival;
mod class;
mod environment;
mod event;
mod identifiers;
mod settings;

pub use action::Action;
pub use arrival::Arrival;
pub use class::{Class, Effect};
pub use environment::{Dependency, Preemption, Signal};
pub use event::{Event, Gauges, Outcome};
pub use identifiers::{CallerId, ClassId, RequestId, TenantId, TimerId};
pub use settings::Settings;
