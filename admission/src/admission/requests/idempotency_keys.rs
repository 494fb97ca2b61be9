//! Which idempotency keys are retained, and until when: a retry within the window finds the run that it repeats.
//!
//! Keys count as memory, which bounds their number.

use std::collections::BTreeMap;

use crate::admission::constants::TICK_PERIOD;
use crate::admission::time::{Instant, Span};
use crate::interface::RequestId;

/// A key is kept for two ticks more than it has to be: what arrives at the end of its window may be read late.
const MARGIN_TICKS: f64 = 2.0;

/// The retained keys, by the attempt that they belong to.
#[derive(Debug, Default)]
pub(crate) struct RetainedKeys {
    expiry: BTreeMap<RequestId, Instant>,
}

impl RetainedKeys {
    /// Retains a key from now until its window and the deadline have passed; returns for how long.
    pub(crate) fn retain(&mut self, id: RequestId, window: Span, until_deadline: Span, now: Instant) -> Span {
        let retention = window.max(until_deadline) + MARGIN_TICKS * TICK_PERIOD;
        self.expiry.insert(id, now + retention);
        retention
    }

    /// Releases a key; returns whether it was retained.
    pub(crate) fn release(&mut self, id: RequestId) -> bool {
        self.expiry.remove(&id).is_some()
    }

    /// Drops the keys whose time has passed.
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
