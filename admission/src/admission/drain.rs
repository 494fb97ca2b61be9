//! Draining after a shutdown notice: when every request must be answered, and which arrivals may still run.
//!
//! Every request is answered before the server is stopped, with a reserve of time for sending the answers.
//! Requests that arrive after the grace period do not run.

use crate::admission::constants::TICK_PERIOD;
use crate::admission::time::{Instant, Span};

/// Fraction of the drain time that is reserved at its end for answers, in addition to the longest tick delay
/// observed.
const ANSWER_RESERVE: f64 = 0.1;
/// Minimum reserve for answers, in ticks: one to decide and one that may be late.
const MIN_RESERVED_TICKS: f64 = 2.0;
/// Maximum reserve as a fraction of the drain time, so that requests still run in a short drain.
const MAX_RESERVE: f64 = 0.5;

/// State of the drain; empty until a shutdown notice arrives.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    notice: Option<Notice>,
}

/// Time limits set by a shutdown notice.
#[derive(Debug, Clone, Copy)]
struct Notice {
    /// When every request must have been answered.
    stop_at: Instant,
    /// Arrival time after which a request must not run.
    last_runnable_arrival: Instant,
}

impl Drain {
    /// Starts a drain that ends `left` from now. Requests that arrive within `grace` from now may still run.
    pub(crate) fn start(&mut self, now: Instant, left: Span, grace: Span, longest_tick_delay: Span) {
        let reserve = (MIN_RESERVED_TICKS * TICK_PERIOD).max(ANSWER_RESERVE * left) + longest_tick_delay;
        let stop_at = now + left - reserve.min(left * MAX_RESERVE);
        self.notice = Some(Notice { stop_at, last_runnable_arrival: now + grace });
    }

    /// Whether the server is draining.
    pub(crate) fn is_draining(&self) -> bool {
        self.notice.is_some()
    }

    /// When every request must have been answered; in the distant future if the server is not draining.
    pub(crate) fn stop_at(&self) -> Instant {
        self.notice.map_or(Instant::DISTANT_FUTURE, |notice| notice.stop_at)
    }

    /// Whether a request that reached the machine at `arrived_at` may run.
    pub(crate) fn may_run(&self, arrived_at: Instant) -> bool {
        self.notice.is_none_or(|notice| arrived_at <= notice.last_runnable_arrival)
    }
}

#[cfg(test)]
mod tests;
