//! Attempts that ended without a run in the current batch: a retry in the same batch may still name them.

use std::collections::BTreeMap;

use crate::interface::RequestId;

/// The attempts that ended without a run in this batch, each with the retry that replaced it.
#[derive(Debug, Default)]
pub(crate) struct EndedAttempts {
    successors: BTreeMap<RequestId, Option<RequestId>>,
}

impl EndedAttempts {
    /// Starts a new batch.
    pub(crate) fn clear(&mut self) {
        self.successors.clear();
    }

    /// An attempt has ended, and none has replaced it.
    pub(crate) fn ended(&mut self, id: RequestId) {
        self.successors.insert(id, None);
    }

    /// An attempt was replaced by its retry.
    pub(crate) fn replaced(&mut self, id: RequestId, retry: RequestId) {
        self.successors.insert(id, Some(retry));
    }

    /// The attempt that now stands for `id`: itself, or the last that replaced it; none if it ended without another.
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
