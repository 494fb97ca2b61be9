//! Retained idempotency keys and their expiry. While a key is retained, a retry finds the run that it
//! repeats.
//!
//! Keys count as memory, which bounds their number.

use std::collections::BTreeMap;

use crate::admission::constants::TICK_PERIOD;
use crate::admission::time::{Instant, Span};
use crate::interface::RequestId;

/// Additional retention of a key, in ticks: a retry that arrives at the end of the window may be read late.
const MARGIN_TICKS: f64 = 2.0;

/// Expiry times of the retained keys, by the attempt that each belongs to.
#[derive(Debug, Default)]
pub(crate) struct RetainedKeys {
    expiry: BTreeMap<RequestId, Instant>,
}

impl RetainedKeys {
    /// Retains a key until both its window and the deadline have passed; returns the retention time.
    pub(crate) fn retain(&mut self, id: RequestId, window: Span, until_deadline: Span, now: Instant) -> Span {
        let retention = window.max(until_deadline) + MARGIN_TICKS * TICK_PERIOD;
        self.expiry.insert(id, now + retention);
        retention
    }

    /// Releases a key; returns whether it was retained.
    pub(crate) fn release(&mut self, id: RequestId) -> bool {
        self.expiry.remove(&id).is_some()
    }

    /// Drops the keys whose retention has expired.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.expiry.retain(|_, until| *until > now);
    }

    /// The number of retained keys.
    pub(crate) fn len(&self) -> usize {
        self.expiry.len()
    }
}

#[cfg(test)]
mod tests;
