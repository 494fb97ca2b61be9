//! The transfer of an idempotency table between processes of a node: the snapshot that a successor gets, and the import of
//! the records of another process, or of a store.

use oakwind_admission::RequestId;

use super::entry::Entry;
use super::IdempotencyTable;
use crate::exchange::HandoverState;
use crate::outcome::{IdempotencyRecord, RunState, StoredOutcome};

/// The outcome of a run of the predecessor process, and the attempts here that waited for it.
#[derive(Debug, PartialEq)]
pub(crate) struct ImportedOutcome {
    pub(crate) waiters: Vec<RequestId>,
    pub(crate) outcome: StoredOutcome,
}

impl IdempotencyTable {
    /// Returns the whole table in the form that is transferred to a successor process.
    pub(crate) fn snapshot(&self) -> HandoverState {
        HandoverState {
            digest_seed: self.digest_seed,
            records: self.entries.iter().map(|(key, entry)| entry.to_record(key)).collect(),
            ..HandoverState::default()
        }
    }

    /// Imports a record of another process. If its key is new here, `id` becomes the key's holder. Returns
    /// the outcome if the record completes the key's run.
    pub(crate) fn import(&mut self, record: IdempotencyRecord, id: RequestId) -> Option<ImportedOutcome> {
        let IdempotencyRecord { key, body_digest, expires_at, state } = record;
        if !self.entries.contains_key(&key) {
            if state == RunState::NeverStarted {
                return None;
            }
            self.insert(key.clone(), Entry::of_earlier_process(id, body_digest, expires_at));
        }
        let entry = self.entries.get(&key)?;
        let outcome = StoredOutcome::from_run_state(state)?;
        // The outcome is ignored if the key has one already, or if the key's run belongs to an attempt of
        // this process.
        if !entry.run_by_earlier_process || entry.outcome.is_some() {
            return None;
        }
        let waiters = self.complete(entry.run_by?, outcome.clone());
        Some(ImportedOutcome { waiters, outcome })
    }

    /// Counts the runs of earlier processes without an outcome as failed, because no outcome of them can follow.
    /// Returns the attempts that waited for them.
    pub(crate) fn fail_unfinished_earlier_runs(&mut self) -> Vec<RequestId> {
        let is_lost = |entry: &&Entry| entry.run_by_earlier_process && entry.outcome.is_none();
        let lost: Vec<RequestId> =
            self.entries.values().filter(is_lost).filter_map(|entry| entry.run_by).collect();
        lost.into_iter().flat_map(|id| self.complete(id, StoredOutcome::Failed)).collect()
    }
}
