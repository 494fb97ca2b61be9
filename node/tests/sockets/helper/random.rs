//! A seeded pseudo-random number generator for tests that draw an order of events.

// The constants of Knuth's linear congruential generator MMIX.
const FACTOR: u64 = 6_364_136_223_846_793_005;
const INCREMENT: u64 = 1_442_695_040_888_963_407;
/// The lower bits of the state have short periods and are not used.
const UNUSED_BITS: u32 = 33;

/// A generator whose sequence is determined by the seed.
pub(crate) struct Random(pub u64);

impl Random {
    /// A number from 0 to under `limit`.
    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_mul(FACTOR).wrapping_add(INCREMENT);
        (self.0 >> UNUSED_BITS) % limit
    }

    /// One of these items.
    pub(crate) fn pick<T: Copy>(&mut self, items: &[T]) -> T {
        items[self.below(items.len() as u64) as usize]
    }
}
