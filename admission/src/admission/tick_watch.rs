//! Watches when ticks come: how late they may be, and whether the estimates are stale because none came for long (the
//! process was suspended, or its machine).

use crate::admission::constants::{RATE_WINDOW, TICK_PERIOD};
use crate::admission::time::{Instant, Span};

/// Rate windows without a tick after which estimates are stale: longer than a scheduling pause; a longer gap is a
/// suspension.
const STALE_AFTER_WINDOWS: f64 = 5.0;

/// When the last tick came and how late one was.
#[derive(Debug)]
pub(crate) struct TickWatch {
    last_at: Instant,
    /// Since the start: it never decays, so that a drain leaves time for a delay that has happened once.
    longest_delay: Span,
}

impl TickWatch {
    /// The first tick is set now.
    pub(crate) fn new(now: Instant) -> Self {
        TickWatch { last_at: now, longest_delay: Span::ZERO }
    }

    /// A tick has come; returns whether the one before was so long ago that estimates are stale.
    pub(crate) fn record_tick(&mut self, now: Instant) -> bool {
        let since_last = now - self.last_at;
        self.longest_delay = self.longest_delay.max(since_last - TICK_PERIOD);
        self.last_at = now;
        since_last > STALE_AFTER_WINDOWS * RATE_WINDOW
    }

    /// The longest time by which a tick was late since the start.
    pub(crate) fn longest_delay(&self) -> Span {
        self.longest_delay
    }
}

#[cfg(test)]
mod tests;
