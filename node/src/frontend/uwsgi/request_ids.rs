//! Generates ids for the requests of uwsgi clients, which carry none.

use std::cell::Cell;

use crate::exchange::TransactionId;

// The constants of splitmix64 (Steele, Lea and Flood, "Fast splittable pseudorandom number generators", 2014).
const INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
const FIRST_SHIFT: u32 = 30;
const FIRST_FACTOR: u64 = 0xbf58_476d_1ce4_e5b9;
const SECOND_SHIFT: u32 = 27;
const SECOND_FACTOR: u64 = 0x94d0_49bb_1331_11eb;
const LAST_SHIFT: u32 = 31;

/// A generator of request ids. The probability that two ids, of this frontend or of JSON-RPC clients, are
/// equal is one in 2^64.
pub(crate) struct RequestIds(Cell<u64>);

impl RequestIds {
    /// Creates a generator whose sequence is determined by the seed.
    pub(crate) fn new(seed: u64) -> Self {
        RequestIds(Cell::new(seed))
    }

    /// The next id: 16 hexadecimal digits of the splitmix64 sequence.
    pub(super) fn next(&self) -> TransactionId {
        let state = self.0.get().wrapping_add(INCREMENT);
        self.0.set(state);
        let mixed = (state ^ (state >> FIRST_SHIFT)).wrapping_mul(FIRST_FACTOR);
        let mixed = (mixed ^ (mixed >> SECOND_SHIFT)).wrapping_mul(SECOND_FACTOR);
        let id = mixed ^ (mixed >> LAST_SHIFT);
        format!("{id:016x}").into()
    }
}

#[cfg(test)]
mod tests;
