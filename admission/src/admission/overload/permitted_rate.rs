//! The permitted rate: the requests a second that are admitted under overload. One rate covers every class.
//!
//! It is looked at once in a rate window of two seconds. The first window with enough requests initializes it; a
//! downstream rejection or latency over target sets it to what was handled, less a little; otherwise it rises by a
//! step, provided that the requests handled reached half of it: in quiet periods it must not rise to what the server
//! can't sustain. Additive increase, multiplicative decrease (AIMD).

use crate::admission::constants::{MIN_SAMPLES, RATE_WINDOW};
use crate::admission::overload::token_bucket::TokenBucket;
use crate::admission::quantities::{Fraction, RequestRate};
use crate::admission::time::Instant;

/// A decrease leaves this fraction of the measured rate: the queue shrinks instead of standing.
const DECREASE_FACTOR: f64 = 0.9;
/// The measured rate is taken as at least this fraction of the old one, so that one decrease leaves at least 45 % of
/// it: a single bad window says little of the next.
const MIN_MEASURED_FRACTION: f64 = 0.5;
/// An increase adds this fraction of the capacity of the cores: from half of it to all in about twenty seconds.
const ADDITIVE_INCREASE: f64 = 0.05;
/// The rate rises only if this many times the handled requests reach it: half of it was used.
const HANDLED_FACTOR: f64 = 2.0;

/// What the decision at the end of a window depends on.
pub(crate) struct WindowLoad {
    /// The dependency or the tier below has rejected a call in this window.
    pub(crate) downstream_rejected: bool,
    /// Mean latency is over target.
    pub(crate) latency_exceeds_target: bool,
    /// Requests a second that the cores can run.
    pub(crate) capacity: RequestRate,
}

/// The permitted rate and its token bucket.
#[derive(Debug)]
pub(crate) struct PermittedRate {
    /// None before the first window with enough requests.
    rate: Option<RequestRate>,
    bucket: TokenBucket,
    window_start: Instant,
    /// Requests handled in the current window.
    handled: f64,
}

impl PermittedRate {
    /// No rate yet; the first window starts now.
    pub(crate) fn new(now: Instant) -> Self {
        PermittedRate { rate: None, bucket: TokenBucket::new(now), window_start: now, handled: 0.0 }
    }

    /// The permitted rate; none before the first window has initialized it.
    pub(crate) fn get(&self) -> Option<RequestRate> {
        self.rate
    }

    /// When the current window started.
    pub(crate) fn window_start(&self) -> Instant {
        self.window_start
    }

    /// Counts a request that was answered in time with success.
    pub(crate) fn count_handled(&mut self) {
        self.handled += 1.0;
    }

    /// Takes a token for an arrival of this priority quantile; returns whether it is admitted.
    pub(crate) fn admit(
        &mut self,
        priority_quantile: Fraction,
        now: Instant,
        overloaded: impl FnOnce() -> bool,
    ) -> bool {
        match self.rate {
            None => true,
            Some(rate) => self.bucket.take(rate, priority_quantile, now, overloaded),
        }
    }

    /// Whether the current window has ended, with enough requests if it is to initialize the rate.
    pub(crate) fn window_has_ended(&self, now: Instant) -> bool {
        let long_enough = now - self.window_start >= RATE_WINDOW;
        long_enough && (self.rate.is_some() || self.handled >= MIN_SAMPLES)
    }

    /// Initializes, decreases, increases or keeps the rate at the end of a window, and starts the next.
    pub(crate) fn end_window(&mut self, load: &WindowLoad, now: Instant) {
        let handled = self.handled_rate(now);
        self.rate = Some(match self.rate {
            None => handled,
            Some(rate) if load.downstream_rejected => {
                DECREASE_FACTOR * handled.min(rate).max(rate * MIN_MEASURED_FRACTION)
            }
            // Not held to the old rate: as long as the server was not overloaded, arrivals were admitted without a
            // token. Where more was handled than the rate, the rate may follow it up.
            Some(rate) if load.latency_exceeds_target => {
                DECREASE_FACTOR * handled.max(rate * MIN_MEASURED_FRACTION)
            }
            Some(rate) if HANDLED_FACTOR * handled >= rate => rate + ADDITIVE_INCREASE * load.capacity,
            Some(rate) => rate,
        });
        self.window_start = now;
        self.handled = 0.0;
    }

    /// Requests a second handled in the window, and a standard error more: it spares small servers deep cuts.
    fn handled_rate(&self, now: Instant) -> RequestRate {
        let window = now - self.window_start;
        RequestRate::per_second((self.handled + self.handled.sqrt()) / window.seconds())
    }

    /// Forgets the rate, as at a start.
    pub(crate) fn reset(&mut self, now: Instant) {
        *self = PermittedRate::new(now);
    }
}

#[cfg(test)]
mod tests;
