//! A seeded generator of random numbers.

/// A xorshift generator.
pub(crate) struct SeededRandom(u64);

impl SeededRandom {
    /// A generator for this seed.
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

    /// A number below `n`.
    pub(crate) fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }

    /// True with a probability of `percent` in a hundred.
    pub(crate) fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}
