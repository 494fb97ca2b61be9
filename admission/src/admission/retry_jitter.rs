//! The retry-after of rejections: a delay that grows with the load and has random jitter, so that rejected
//! callers do not retry at the same time.

use std::time::Duration;

use crate::admission::quantities::Fraction;
use crate::admission::time::Span;
use crate::interface::Settings;

/// Minimum fraction of the longest retry-after before jitter: an idle server advises 5 to 10 % of the
/// longest.
const MIN_RETRY_FRACTION: f64 = 0.1;
/// Minimum jitter factor: a retry-after is between half of its delay and all of it.
const MIN_JITTER: f64 = 0.5;

/// The multiplier and the increment of the linear congruential generator (Knuth's MMIX).
const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
const INCREMENT: u64 = 1_442_695_040_888_963_407;
/// Number of high bits of the generator's state that form a random number; the high bits are sufficiently
/// random.
const RANDOM_BITS: u32 = 24;

/// Computes the retry-after of rejections. Its random numbers are a function of the seed.
#[derive(Debug)]
pub(crate) struct RetryJitter {
    state: u64,
}

impl RetryJitter {
    /// Creates a generator of retry-after values with this random seed.
    pub(crate) fn new(seed: u64) -> Self {
        // The initial state is odd, so an even seed gives the same numbers as the odd seed above it.
        RetryJitter { state: seed | 1 }
    }

    /// The retry-after of a rejection; `None` if callers do not honor one. `shed_fraction` is the fraction of
    /// the arrivals that callers should not send.
    pub(crate) fn retry_after(&mut self, settings: &Settings, shed_fraction: Fraction) -> Option<Duration> {
        let jitter = MIN_JITTER + (1.0 - MIN_JITTER) * self.random_fraction();
        let longest = Span::from(settings.max_retry_after);
        let wait = longest * jitter * shed_fraction.value().max(MIN_RETRY_FRACTION);
        settings.retry_after.then(|| wait.to_duration())
    }

    /// The next random number, from 0 to less than 1.
    fn random_fraction(&mut self) -> f64 {
        self.state = self.state.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        (self.state >> (u64::BITS - RANDOM_BITS)) as f64 / (1u64 << RANDOM_BITS) as f64
    }
}

#[cfg(test)]
mod tests;
