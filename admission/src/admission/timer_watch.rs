//! Watches when timers come: how late they may be, and whether the estimates are stale because none came for long (the
//! process was suspended, or its machine).

use crate::admission::constants::{RATE_WINDOW, TIMER_PERIOD};
use crate::admission::time::{Instant, Span};

/// Rate windows without a timer after which estimates are stale: longer than any pause of a machine.
const STALE_AFTER_WINDOWS: f64 = 5.0;

/// When the last timer came and how late one was.
#[derive(Debug)]
pub(crate) struct TimerWatch {
    last_at: Instant,
    longest_delay: Span,
}

impl TimerWatch {
    /// The first timer is set now.
    pub(crate) fn new(now: Instant) -> Self {
        TimerWatch { last_at: now, longest_delay: Span::ZERO }
    }

    /// A timer has come; returns whether the one before was so long ago that estimates are stale.
    pub(crate) fn record_timer(&mut self, now: Instant) -> bool {
        let since_last = now - self.last_at;
        self.longest_delay = self.longest_delay.max(since_last - TIMER_PERIOD);
        self.last_at = now;
        since_last > STALE_AFTER_WINDOWS * RATE_WINDOW
    }

    /// The longest time by which a timer was late.
    pub(crate) fn longest_delay(&self) -> Span {
        self.longest_delay
    }
}

#[cfg(test)]
mod tests;
