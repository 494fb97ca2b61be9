//! What the idempotency table knows of one key.

use oakwind_admission::RequestId;

use crate::clock::UnixTime;
use crate::outcome::{BodyDigest, IdempotencyKey, IdempotencyRecord, RunState, StoredOutcome};

/// What is known of one key.
#[derive(Debug)]
pub(super) struct Entry {
    /// The latest attempt that the admission module gave the key to. It differs from `run_by` where an earlier attempt
    /// ran and a later one took over its key.
    pub(super) holder: RequestId,
    /// Digest of the body that all attempts of the key carry.
    pub(super) body_digest: BodyDigest,
    /// When the key expires.
    pub(super) expires_at: UnixTime,
    /// The attempt whose run counts, if one was started.
    pub(super) run_by: Option<RequestId>,
    /// The run belongs to an earlier process: the predecessor in an upgrade, or one whose stores were recovered.
    pub(super) run_by_earlier_process: bool,
    /// The outcome of its run, once that is known.
    pub(super) outcome: Option<StoredOutcome>,
    /// Attempts that wait for the outcome.
    pub(super) waiters: Vec<RequestId>,
}

impl Entry {
    /// A key that an attempt of this process holds and that has not run.
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

    /// A key whose run belongs to an earlier process; here it goes by `id`.
    pub(super) fn of_earlier_process(id: RequestId, body_digest: BodyDigest, expires_at: UnixTime) -> Self {
        Entry { run_by: Some(id), run_by_earlier_process: true, ..Entry::new(id, body_digest, expires_at) }
    }

    /// Whether an attempt received at that time is a new request: the key has expired and no run of it is under way.
    /// A run that takes longer than its key lasts must not get a second one beside it.
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

    /// Memory that its result takes.
    pub(super) fn result_bytes(&self) -> usize {
        if let Some(StoredOutcome::Succeeded(result)) = &self.outcome {
            result.len()
        } else {
            0
        }
    }

    /// The entry as it is transferred to another process.
    pub(super) fn to_record(&self, key: &IdempotencyKey) -> IdempotencyRecord {
        IdempotencyRecord {
            key: key.clone(),
            body_digest: self.body_digest,
            expires_at: self.expires_at,
            state: self.run_state(),
        }
    }
}
