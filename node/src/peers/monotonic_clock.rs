//! The clock of the replica node, which never goes back when the system's clock does, nor stops while the process does;
//! and incarnations, which are numbered by the Unix clock.

use std::time::{Duration, Instant};

use oakwind_fleet::ids::Incarnation;
use oakwind_fleet::Time;

use crate::clock::{self, UnixTime};

/// The time at which a process begins, so that what was before it has a time too.
const TIME_AT_START: Duration = Duration::from_secs(3600);

/// Counts from the start of the process.
#[derive(Debug, Clone, Copy)]
pub(super) struct MonotonicClock {
    started: Instant,
}

impl MonotonicClock {
    /// A clock that starts now.
    pub(super) fn start() -> MonotonicClock {
        MonotonicClock { started: Instant::now() }
    }

    /// Now.
    pub(super) fn now(&self) -> Time {
        TIME_AT_START + self.started.elapsed()
    }

    /// The time of a point on the Unix clock.
    pub(super) fn time_of(&self, at: UnixTime) -> Time {
        let now = self.now();
        let unix_now = clock::now();
        if at >= unix_now {
            now + (at - unix_now)
        } else {
            now.saturating_sub(unix_now - at)
        }
    }
}

/// The incarnation that begins now. It is above those of earlier processes, as the clock is.
pub(super) fn incarnation_now() -> Incarnation {
    Incarnation(u64::try_from(clock::now().as_micros()).unwrap_or(u64::MAX))
}
