//! Monitors the arrival of ticks: how late they are, and whether the estimates are stale because the process
//! or its machine was suspended and no tick arrived for a long time.

use crate::admission::constants::{RATE_WINDOW, TICK_PERIOD};
use crate::admission::time::{Instant, Span};

/// Number of rate windows without a tick after which estimates are stale. This is longer than a scheduling
/// delay, so a longer gap means a suspension.
const STALE_AFTER_WINDOWS: f64 = 5.0;

/// Time of the last tick, and the longest delay of any tick.
#[derive(Debug)]
pub(crate) struct TickWatch {
    last_at: Instant,
    /// Longest tick delay since startup. It never decays, so that a drain leaves time for a delay that has
    /// occurred before.
    longest_delay: Span,
}

impl TickWatch {
    /// Creates the monitor; the timer of the first tick is set now.
    pub(crate) fn new(now: Instant) -> Self {
        TickWatch { last_at: now, longest_delay: Span::ZERO }
    }

    /// Records a tick. Returns whether the previous tick was so long ago that estimates are stale.
    pub(crate) fn record_tick(&mut self, now: Instant) -> bool {
        let since_last = now - self.last_at;
        self.longest_delay = self.longest_delay.max(since_last - TICK_PERIOD);
        self.last_at = now;
        since_last > STALE_AFTER_WINDOWS * RATE_WINDOW
    }

    /// Longest delay of a tick since startup.
    pub(crate) fn longest_delay(&self) -> Span {
        self.longest_delay
    }
}

#[cfg(test)]
mod tests;
