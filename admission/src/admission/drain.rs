//! Draining after a shutdown notice: when everything has to be answered, and which arrivals may still run.
//!
//! Everything is answered before the server is stopped, with a margin for the answers themselves, and nothing runs that
//! arrived after the grace period.

use crate::admission::constants::TICK_PERIOD;
use crate::admission::time::{Instant, Span};

/// The last tenth of a drain is reserved for answers, beside the longest tick delay seen.
const ANSWER_RESERVE: f64 = 0.1;
/// At the least two ticks are left for answers: one to decide and one that may be late.
const MIN_RESERVED_TICKS: f64 = 2.0;
/// The reserve is at most half of the drain, so that a short one still runs something.
const MAX_RESERVE: f64 = 0.5;

/// The drain, if there was a notice.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    notice: Option<Notice>,
}

/// What a shutdown notice demands.
#[derive(Debug, Clone, Copy)]
struct Notice {
    /// When all has to be answered.
    stop_at: Instant,
    /// What arrives later must not run.
    last_runnable_arrival: Instant,
}

impl Drain {
    /// Starts a drain that ends `left` from now; `grace` is how long arrivals may still run.
    pub(crate) fn start(&mut self, now: Instant, left: Span, grace: Span, longest_tick_delay: Span) {
        let reserve = (MIN_RESERVED_TICKS * TICK_PERIOD).max(ANSWER_RESERVE * left) + longest_tick_delay;
        let stop_at = now + left - reserve.min(left * MAX_RESERVE);
        self.notice = Some(Notice { stop_at, last_runnable_arrival: now + grace });
    }

    /// Whether the server drains.
    pub(crate) fn is_draining(&self) -> bool {
        self.notice.is_some()
    }

    /// When all has to be answered; in the distant future if the server does not drain.
    pub(crate) fn stop_at(&self) -> Instant {
        self.notice.map_or(Instant::DISTANT_FUTURE, |notice| notice.stop_at)
    }

    /// Whether a request that reached the machine at this time may run.
    pub(crate) fn may_run(&self, arrived_at: Instant) -> bool {
        self.notice.is_none_or(|notice| arrived_at <= notice.last_runnable_arrival)
    }
}

#[cfg(test)]
mod tests;
