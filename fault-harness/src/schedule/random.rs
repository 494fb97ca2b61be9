//! Seeded random numbers: a generator for each purpose, and what is drawn from them.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, LogNormal};

use crate::model::Ms;

/// What is drawn, each from a stream of its own, so that a change of one leaves the others as they were.
#[derive(Debug, Clone, Copy)]
pub enum RandomStream {
    /// Speeds of nodes and profiles of frontends.
    Fleet = 1,
    /// Requests.
    Load,
    /// Targets of faults.
    Faults,
    /// What frontends pick while it runs.
    Frontends,
    /// Delays and losses on links.
    Links,
    /// Durations of calls of the dependency.
    Calls,
}

/// The bits of a stream's number that tell several generators of one purpose apart.
const NUMBER_BITS: u32 = 32;

/// A generator for one purpose (`ChaCha` with 8 rounds); `number` tells several for the same purpose apart.
pub fn generator(seed: u64, stream: RandomStream, number: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream((stream as u64) << NUMBER_BITS | number);
    rng
}

/// A number between two bounds.
pub(super) fn between(rng: &mut ChaCha8Rng, low: f64, high: f64) -> f64 {
    low + (high - low) * rng.random::<f64>()
}

/// A position, drawn by shares.
pub(super) fn position_by_share(rng: &mut ChaCha8Rng, shares: &[f64]) -> usize {
    let mut left = rng.random::<f64>() * shares.iter().sum::<f64>();
    let is_reached = |share: &f64| {
        left -= share;
        left < 0.0
    };
    shares.iter().position(is_reached).unwrap_or(shares.len().saturating_sub(1))
}

/// A log-normal number with this mean and coefficient of variation.
pub(super) fn log_normal(rng: &mut ChaCha8Rng, mean: f64, variation: f64) -> f64 {
    let variance = (1.0 + variation * variation).ln();
    // A mean and a deviation that the scenario's check lets through make a distribution.
    LogNormal::new(mean.ln() - variance / 2.0, variance.sqrt())
        .map_or(mean, |distribution| distribution.sample(rng))
}

/// How long a call of the dependency takes.
pub fn call_time(rng: &mut ChaCha8Rng, mean: Ms, variation: f64) -> Ms {
    log_normal(rng, mean, variation)
}
