//! Attempts that ended without a run in the current batch. A retry in the same batch may still name one of
//! them.

use std::collections::BTreeMap;

use crate::interface::RequestId;

/// The attempts that ended without a run in this batch, each with the retry that replaced it, if any.
#[derive(Debug, Default)]
pub(crate) struct EndedAttempts {
    successors: BTreeMap<RequestId, Option<RequestId>>,
}

impl EndedAttempts {
    /// Drops all attempts at the start of a new batch.
    pub(crate) fn clear(&mut self) {
        self.successors.clear();
    }

    /// Records an attempt that ended without a replacement.
    pub(crate) fn record_ended(&mut self, id: RequestId) {
        self.successors.insert(id, None);
    }

    /// Records an attempt that was replaced by its retry.
    pub(crate) fn record_replaced(&mut self, id: RequestId, retry: RequestId) {
        self.successors.insert(id, Some(retry));
    }

    /// The attempt that is current for `id`: `id` itself, or the last retry in its chain of replacements;
    /// `None` if that attempt ended without a replacement.
    pub(crate) fn successor_of(&self, id: RequestId) -> Option<RequestId> {
        let mut current = id;
        while let Some(successor) = self.successors.get(&current) {
            current = (*successor)?;
        }
        Some(current)
    }
}

#[cfg(test)]
mod tests;
