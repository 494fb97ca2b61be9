//! The entry of one key in the idempotency table.

use oakwind_admission::RequestId;

use crate::clock::UnixTime;
use crate::outcome::{BodyDigest, IdempotencyKey, IdempotencyRecord, RunState, StoredOutcome};

/// What the idempotency table stores for one key.
#[derive(Debug)]
pub(super) struct Entry {
    /// The latest attempt that the admission module assigned the key to. It differs from `run_by` if an earlier
    /// attempt ran and a later one took over its key.
    pub(super) holder: RequestId,
    /// Digest of the body that all attempts with the key carry.
    pub(super) body_digest: BodyDigest,
    pub(super) expires_at: UnixTime,
    /// The attempt that was started for the key; no other attempt may be started. `None` until one is
    /// started.
    pub(super) run_by: Option<RequestId>,
    /// Whether the run belongs to an earlier process: the predecessor in an upgrade, or one whose stores were
    /// recovered.
    pub(super) run_by_earlier_process: bool,
    /// The outcome of the run; `None` until it is known.
    pub(super) outcome: Option<StoredOutcome>,
    /// Attempts that wait for the outcome.
    pub(super) waiters: Vec<RequestId>,
}

impl Entry {
    /// Creates the entry of a key that an attempt of this process holds and that has not run.
    pub(super) fn new(holder: RequestId, body_digest: BodyDigest, expires_at: UnixTime) -> Self {
        Entry {
            holder,
            body_digest,
            expires_at,
            run_by: None,
            run_by_earlier_process: false,
            outcome: None,
            waiters: Vec::new(),
        }
    }

    /// Creates the entry of a key whose run belongs to an earlier process. `id` is recorded in place of the
    /// attempt of that process.
    pub(super) fn of_earlier_process(id: RequestId, body_digest: BodyDigest, expires_at: UnixTime) -> Self {
        Entry { run_by: Some(id), run_by_earlier_process: true, ..Entry::new(id, body_digest, expires_at) }
    }

    /// Whether an attempt received at `received_at` is a new request: the key had expired by then and its run
    /// is not in progress. While a run outlasts its key, no second run with the key may start.
    pub(super) fn has_expired(&self, received_at: UnixTime) -> bool {
        received_at > self.expires_at && !self.is_running()
    }

    /// Whether a run was started and its outcome is not known.
    pub(super) fn is_running(&self) -> bool {
        self.run_by.is_some() && self.outcome.is_none()
    }

    fn run_state(&self) -> RunState {
        self.outcome.as_ref().map_or(RunState::Pending, RunState::from)
    }

    /// Length of the stored result; 0 if there is none.
    pub(super) fn result_bytes(&self) -> usize {
        if let Some(StoredOutcome::Succeeded(result)) = &self.outcome {
            result.len()
        } else {
            0
        }
    }

    /// Converts the entry to the record that is transferred to another process.
    pub(super) fn to_record(&self, key: &IdempotencyKey) -> IdempotencyRecord {
        IdempotencyRecord {
            key: key.clone(),
            body_digest: self.body_digest,
            expires_at: self.expires_at,
            state: self.run_state(),
        }
    }
}
