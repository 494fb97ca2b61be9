//! The permitted rate: the number of requests per second that are admitted under overload. A single rate
//! covers all classes.
//!
//! The rate is updated once per rate window of two seconds, by additive increase and multiplicative decrease
//! (AIMD). The first window with enough requests initializes it. A downstream rejection or latency over
//! target sets it to 90 % of the rate of handled requests; for this, the handled rate counts as at least half
//! of the previous rate and, after a rejection, as at most the previous rate. Otherwise it rises by one step,
//! provided that at least half of it was used: in quiet periods it must not rise to a rate that the server
//! cannot sustain.

use crate::admission::constants::{MIN_SAMPLES, RATE_WINDOW};
use crate::admission::overload::token_bucket::TokenBucket;
use crate::admission::quantities::{Fraction, RequestRate};
use crate::admission::time::Instant;

/// A decrease sets the rate to this fraction of the rate of handled requests, so that the queue shrinks
/// instead of persisting.
const DECREASE_FACTOR: f64 = 0.9;
/// A decrease assumes a handled rate of at least this fraction of the previous rate, because one bad window
/// does not predict the next. With [`DECREASE_FACTOR`], a single decrease leaves at least 45 % of the rate.
const MIN_HANDLED_FRACTION: f64 = 0.5;
/// An increase adds this fraction of the capacity of the cores, so that the rate rises from half of the
/// capacity to all of it in ten windows, i.e. about twenty seconds.
const ADDITIVE_INCREASE: f64 = 0.05;
/// The rate rises only if this multiple of the handled rate is at least the permitted rate, i.e. if at least
/// half of the permitted rate was used.
const HANDLED_FACTOR: f64 = 2.0;

/// Load during a window, from which the rate is updated at the end of the window.
pub(crate) struct WindowLoad {
    /// Whether the dependency, which may be a further tier of servers, rejected a call in this window.
    pub(crate) downstream_rejected: bool,
    /// Whether the mean latency is over target.
    pub(crate) latency_exceeds_target: bool,
    /// Requests per second that the cores can run.
    pub(crate) capacity: RequestRate,
}

/// The permitted rate and its token bucket.
#[derive(Debug)]
pub(crate) struct PermittedRate {
    /// `None` until the first window with enough requests has ended.
    rate: Option<RequestRate>,
    bucket: TokenBucket,
    window_start: Instant,
    /// Number of requests handled in the current window.
    handled: f64,
}

impl PermittedRate {
    /// Creates the state without a rate; the first window starts now.
    pub(crate) fn new(now: Instant) -> Self {
        PermittedRate { rate: None, bucket: TokenBucket::new(now), window_start: now, handled: 0.0 }
    }

    /// The permitted rate; `None` until the first window with enough requests has ended.
    pub(crate) fn get(&self) -> Option<RequestRate> {
        self.rate
    }

    /// Start of the current window.
    pub(crate) fn window_start(&self) -> Instant {
        self.window_start
    }

    /// Counts a request whose run succeeded while its answer was still needed.
    pub(crate) fn count_handled(&mut self) {
        self.handled += 1.0;
    }

    /// Decides whether an arrival whose priority has this quantile is admitted, and takes a token for it if
    /// so. Until the rate is initialized, every arrival is admitted without a token. `overloaded` is called
    /// only if too few tokens are left.
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

    /// Whether the current window has ended. The window that initializes the rate lasts until at least
    /// [`MIN_SAMPLES`] requests have been handled in it.
    pub(crate) fn window_has_ended(&self, now: Instant) -> bool {
        let long_enough = now - self.window_start >= RATE_WINDOW;
        long_enough && (self.rate.is_some() || self.handled >= MIN_SAMPLES)
    }

    /// Initializes, decreases, increases or keeps the rate at the end of a window, and starts the next
    /// window.
    pub(crate) fn end_window(&mut self, load: &WindowLoad, now: Instant) {
        let handled = self.handled_rate(now);
        self.rate = Some(match self.rate {
            None => handled,
            Some(rate) if load.downstream_rejected => {
                DECREASE_FACTOR * handled.min(rate).max(rate * MIN_HANDLED_FRACTION)
            }
            // Unlike after a rejection, the previous rate is not an upper bound: while the server was not
            // overloaded, arrivals were admitted without a token. If more requests were handled than the rate
            // permits, the new rate, 90 % of the handled rate, may be above the previous one.
            Some(rate) if load.latency_exceeds_target => {
                DECREASE_FACTOR * handled.max(rate * MIN_HANDLED_FRACTION)
            }
            Some(rate) if HANDLED_FACTOR * handled >= rate => rate + ADDITIVE_INCREASE * load.capacity,
            Some(rate) => rate,
        });
        self.window_start = now;
        self.handled = 0.0;
    }

    /// Requests handled per second in the window, plus one standard error of the count, so that random
    /// variation of a small count does not decrease the rate of a small server too far.
    fn handled_rate(&self, now: Instant) -> RequestRate {
        let window = now - self.window_start;
        RequestRate::per_second((self.handled + self.handled.sqrt()) / window.seconds())
    }

    /// Discards the rate and starts a new window, as [`Self::new`] does.
    pub(crate) fn reset(&mut self, now: Instant) {
        *self = PermittedRate::new(now);
    }
}

#[cfg(test)]
mod tests;
