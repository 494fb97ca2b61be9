//! What requests, runs and idempotency keys come to: the types that the dispatcher, the frontends, the backends and the
//! stores share. This module depends on none of them.

use std::hash::Hasher;
use std::time::Duration;

use bytes::Bytes;
/// How long an expired key is kept for attempts that are read late, and the longest result that is stored, in bytes: the
/// same for every store.
pub(crate) use oakwind_fleet::{LATE_READ_GRACE, MAX_RESULT_BYTES};
use siphasher::sip::SipHasher13;

use crate::clock::UnixTime;

/// Names one request across all its attempts and all classes. The class is no part of it, as a class may be renamed
/// between two attempts and the request must not run a second time.
pub(crate) type IdempotencyKey = Bytes;

/// Digest of a request's body, by the seed of the process that first saw its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BodyDigest(pub(crate) u64);

/// The one final answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum RequestOutcome {
    /// Served, with the result of a run.
    Served(Bytes),
    /// Rejected: this attempt never ran.
    Rejected {
        /// How long the caller should wait before it tries again.
        retry_after: Option<Duration>,
        /// The caller is asked not to try another node.
        give_up: bool,
    },
    /// Failed; it may have had its effect.
    Failed {
        /// The request ran out of time.
        timed_out: bool,
    },
    /// Its key came with another body before; nothing ran for it.
    BodyMismatch,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Completion {
    /// With a result.
    Succeeded(Bytes),
    /// With an error; it may have had its effect.
    Failed,
    /// It was stopped, or ended at a call, because its request was over.
    Cancelled,
    /// The backend started nothing, because the request was over.
    Skipped,
    /// It provably never started: no server accepted it.
    NeverStarted,
}

/// The state of a key's run, as one process reports it to the next.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum RunState {
    /// It runs, or may still start.
    Pending,
    /// It ended with this result.
    Succeeded(Bytes),
    /// It failed and may have had its effect.
    Failed,
    /// It provably never started, so the key is free.
    NeverStarted,
}

impl From<&StoredOutcome> for RunState {
    fn from(outcome: &StoredOutcome) -> Self {
        match outcome {
            StoredOutcome::Succeeded(result) => RunState::Succeeded(result.clone()),
            StoredOutcome::Failed => RunState::Failed,
            StoredOutcome::NeverStarted => RunState::NeverStarted,
        }
    }
}

/// All that one process tells another, or a store, of a key.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct IdempotencyRecord {
    /// The key.
    pub(crate) key: IdempotencyKey,
    /// Digest of the body that its attempts carry.
    pub(crate) body_digest: BodyDigest,
    /// When the key expires.
    pub(crate) expires_at: UnixTime,
    /// The state of its run.
    pub(crate) state: RunState,
}

/// What is stored of a run that is over.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum StoredOutcome {
    /// Its result.
    Succeeded(Bytes),
    /// It failed and may have had its effect.
    Failed,
    /// It provably never started.
    NeverStarted,
}

impl StoredOutcome {
    /// The outcome in a reported state, or `None` while the run is pending.
    pub(crate) fn from_run_state(state: RunState) -> Option<Self> {
        match state {
            RunState::Pending => None,
            RunState::Succeeded(result) => Some(StoredOutcome::Succeeded(result)),
            RunState::Failed => Some(StoredOutcome::Failed),
            RunState::NeverStarted => Some(StoredOutcome::NeverStarted),
        }
    }
}

/// The digest of a key or a body. Processes exchange digests, so it is the same in every release.
pub(crate) fn digest(seed: u64, bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(seed, 0);
    hasher.write(bytes);
    hasher.finish()
}
