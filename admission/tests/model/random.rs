//! A seeded random number generator.

/// Xorshift generator with 64 bits of state.
pub(crate) struct SeededRandom(u64);

impl SeededRandom {
    /// Creates a generator for this seed and skips its first eight numbers.
    pub(crate) fn new(seed: u64) -> Self {
        let mut random = SeededRandom(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        for _ in 0..8 {
            random.next();
        }
        random
    }

    /// The next 64 random bits.
    pub(crate) fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    /// The next random number below `n`.
    pub(crate) fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }

    /// Returns true with a probability of `percent` in a hundred.
    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}
