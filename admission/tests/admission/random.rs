//! A seeded random number generator for the simulated clients.

/// Linear congruential generator with the multiplier and increment of Knuth's MMIX.
pub(crate) struct LinearCongruential(u64);

impl LinearCongruential {
    /// Creates a generator with this initial state.
    pub(crate) fn new(state: u64) -> Self {
        LinearCongruential(state)
    }

    /// The next random number below `n`.
    pub(crate) fn below(&mut self, n: u64) -> u64 {
        (self.next_state() >> 33) % n
    }

    /// The next random number from 0 to less than 1.
    pub(crate) fn fraction(&mut self) -> f64 {
        (self.next_state() >> 40) as f64 / (1u64 << 24) as f64
    }

    fn next_state(&mut self) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.0
    }
}
