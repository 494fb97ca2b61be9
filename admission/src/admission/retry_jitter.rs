//! When a rejected caller should come back: a time that grows with the load and is spread at random, so that rejected
//! callers do not return together.

use std::time::Duration;

use crate::admission::quantities::Fraction;
use crate::admission::time::Span;
use crate::interface::Settings;

/// The least fraction of the longest retry-after before jitter: with it, an idle server advises 5 to 10 % of the
/// longest.
const MIN_RETRY_FRACTION: f64 = 0.1;
/// Half jitter: a retry-after is between half of its time and all of it.
const MIN_JITTER: f64 = 0.5;

/// The multiplier and the increment of the linear congruential generator (Knuth's MMIX).
const MULTIPLIER: u64 = 6_364_136_223_846_793_005;
const INCREMENT: u64 = 1_442_695_040_888_963_407;
/// The highest bits of its state are random enough; so many of them make a number.
const RANDOM_BITS: u32 = 24;

/// Advises rejected callers; its random numbers are a function of the seed.
#[derive(Debug)]
pub(crate) struct RetryJitter {
    state: u64,
}

impl RetryJitter {
    /// Advice with random numbers from this seed.
    pub(crate) fn new(seed: u64) -> Self {
        // The state starts odd: an even seed gives the numbers of the odd one above it.
        RetryJitter { state: seed | 1 }
    }

    /// The retry-after of a rejection, if callers honor one; `shed_fraction` is how much of the arrivals is to be kept
    /// away.
    pub(crate) fn retry_after(&mut self, settings: &Settings, shed_fraction: Fraction) -> Option<Duration> {
        let jitter = MIN_JITTER + (1.0 - MIN_JITTER) * self.random_fraction();
        let longest = Span::from(settings.max_retry_after);
        let wait = longest * jitter * shed_fraction.value().max(MIN_RETRY_FRACTION);
        settings.retry_after.then(|| wait.to_duration())
    }

    /// A number from 0 to less than 1.
    fn random_fraction(&mut self) -> f64 {
        self.state = self.state.wrapping_mul(MULTIPLIER).wrapping_add(INCREMENT);
        (self.state >> (u64::BITS - RANDOM_BITS)) as f64 / (1u64 << RANDOM_BITS) as f64
    }
}

#[cfg(test)]
mod tests;
