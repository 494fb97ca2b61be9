//! The clock of the replica node and the numbering of incarnations. The clock is monotonic: it is unaffected
//! by changes of the system clock and continues while the process is suspended. Incarnations are numbered by
//! the Unix clock.

use std::time::{Duration, Instant};

use oakwind_fleet::ids::Incarnation;
use oakwind_fleet::Time;

use crate::clock::{self, UnixTime};

/// The clock's value at the start of the process. Times up to this long before the start can be represented.
const TIME_AT_START: Duration = Duration::from_secs(3600);

/// A monotonic clock whose value at its start is [`TIME_AT_START`].
#[derive(Debug, Clone, Copy)]
pub(super) struct MonotonicClock {
    started: Instant,
}

impl MonotonicClock {
    /// Starts a clock.
    pub(super) fn start() -> MonotonicClock {
        MonotonicClock { started: Instant::now() }
    }

    /// The current time of this clock.
    pub(super) fn now(&self) -> Time {
        TIME_AT_START + self.started.elapsed()
    }

    /// Converts a time of the Unix clock to a time of this clock.
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

/// The incarnation of a process that starts now, in microseconds of the Unix clock. It is higher than those
/// of earlier processes unless the clock was set back.
pub(super) fn incarnation_now() -> Incarnation {
    Incarnation(u64::try_from(clock::now().as_micros()).unwrap_or(u64::MAX))
}
