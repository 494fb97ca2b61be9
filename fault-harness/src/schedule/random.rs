//! Seeded random numbers: a generator for each purpose, and the distributions.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

use crate::model::Ms;

/// The purposes of random numbers. Each has its own stream, so that more draws for one purpose do not change
/// the others.
#[derive(Debug, Clone, Copy)]
pub enum RandomStream {
    /// Speeds of the nodes and profiles of the frontends.
    Fleet = 1,
    /// Requests and their repeats.
    Load,
    /// Targets and details of faults.
    Faults,
    /// Choices that frontends make during a play.
    Frontends,
    /// Delays, losses and reordering on links.
    Links,
    /// Durations of calls to the dependency.
    Calls,
}

/// Number of low bits of a stream number that distinguish several generators for one purpose.
const NUMBER_BITS: u32 = 32;

/// Creates a generator for one purpose (`ChaCha` with 8 rounds). `number` distinguishes several for the same
/// purpose and must be below 2^32.
pub fn generator(seed: u64, stream: RandomStream, number: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream((stream as u64) << NUMBER_BITS | number);
    rng
}

/// Draws a number uniformly between two bounds.
pub(super) fn between(rng: &mut ChaCha8Rng, low: f64, high: f64) -> f64 {
    low + (high - low) * rng.random::<f64>()
}

/// Draws a position with a probability in proportion to its share.
pub(super) fn position_by_share(rng: &mut ChaCha8Rng, shares: &[f64]) -> usize {
    let mut left = rng.random::<f64>() * shares.iter().sum::<f64>();
    let is_reached = |share: &f64| {
        left -= share;
        left < 0.0
    };
    shares.iter().position(is_reached).unwrap_or(shares.len().saturating_sub(1))
}

/// Draws a log-normal number with this mean and coefficient of variation.
pub(super) fn log_normal(rng: &mut ChaCha8Rng, mean: f64, variation: f64) -> f64 {
    let variance = (1.0 + variation * variation).ln();
    // The scenario's validation guarantees parameters that `LogNormal` accepts; the mean is only a fallback.
    LogNormal::new(mean.ln() - variance / 2.0, variance.sqrt())
        .map_or(mean, |distribution| distribution.sample(rng))
}

/// Draws the duration of a call to the dependency.
pub fn call_time(rng: &mut ChaCha8Rng, mean: Ms, variation: f64) -> Ms {
    log_normal(rng, mean, variation)
}
