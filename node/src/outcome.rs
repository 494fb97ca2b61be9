//! Outcomes of requests, runs and idempotency keys: the types that the dispatcher, the frontends, the backends
//! and the stores share. This module depends on none of them.

use std::hash::Hasher;
use std::time::Duration;

use bytes::Bytes;
/// Shortest time for which an expired key is kept for attempts that are read late, and length of the longest result that
/// is stored, in bytes. Both are the same for every store.
pub(crate) use oakwind_fleet::{LATE_READ_GRACE, MAX_RESULT_BYTES};
use siphasher::sip::SipHasher13;

use crate::clock::UnixTime;

/// Identifies one request across all its attempts. The class is not part of the key, because a class may be renamed
/// between two attempts and the request must not run a second time.
pub(crate) type IdempotencyKey = Bytes;

/// First byte of the keys that the node makes itself. Frontends refuse keys of clients that begin with it.
pub(crate) const RESERVED_KEY_START: u8 = 0;

/// Digest of a request's body, computed with the seed of the process that first received its key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct BodyDigest(pub(crate) u64);

/// The final answer to a request; each request gets one.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum RequestOutcome {
    /// The request was served with this result of a run.
    Served(Bytes),
    /// The request was rejected: this attempt never ran.
    Rejected {
        /// Time that the caller should wait before it tries again; `None` if no wait is advised.
        retry_after: Option<Duration>,
        /// Whether the caller is asked not to try another node.
        give_up: bool,
    },
    /// The request failed and may have taken effect.
    Failed {
        /// Whether the request ran out of time.
        timed_out: bool,
    },
    /// The request's key has been used with another body; no run was started for this request.
    BodyMismatch,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum Completion {
    /// The run ended with this result.
    Succeeded(Bytes),
    /// The run ended with an error and may have taken effect.
    Failed,
    /// The run was stopped, or ended at a call, because its request had already ended.
    Cancelled,
    /// The backend did not start the run, because its request had already ended.
    Skipped,
    /// The run provably never started: no server accepted it.
    NeverStarted,
}

/// The state of a key's run, as a process reports it to its successor.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum RunState {
    /// The run is in progress or may still start.
    Pending,
    /// The run ended with this result.
    Succeeded(Bytes),
    /// The run failed and may have taken effect.
    Failed,
    /// The run provably never started, so the key is free.
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

/// The record of a key, as it is transferred to another process or recovered from a store.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct IdempotencyRecord {
    pub(crate) key: IdempotencyKey,
    /// Digest of the body that its attempts carry.
    pub(crate) body_digest: BodyDigest,
    pub(crate) expires_at: UnixTime,
    /// State of the key's run.
    pub(crate) state: RunState,
}

/// The outcome of an ended run that is stored for its key.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum StoredOutcome {
    /// The run ended with this result.
    Succeeded(Bytes),
    /// The run failed and may have taken effect.
    Failed,
    /// The run provably never started.
    NeverStarted,
}

impl StoredOutcome {
    /// Converts a reported state; returns `None` while the run is pending.
    pub(crate) fn from_run_state(state: RunState) -> Option<Self> {
        match state {
            RunState::Pending => None,
            RunState::Succeeded(result) => Some(StoredOutcome::Succeeded(result)),
            RunState::Failed => Some(StoredOutcome::Failed),
            RunState::NeverStarted => Some(StoredOutcome::NeverStarted),
        }
    }
}

/// Returns the digest of a key or a body. Processes exchange digests, so the algorithm must not change
/// between releases.
pub(crate) fn digest(seed: u64, bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(seed, 0);
    hasher.write(bytes);
    hasher.finish()
}
