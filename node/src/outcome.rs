//! What becomes of requests, runs and keys: the types that the core, the fronts, the backends and all that keeps keys
//! share. It knows none of them.

use std::hash::Hasher;
use std::time::Duration;

use bytes::Bytes;
/// How much longer a key that has run out is kept, and the longest result that is: the same for all that keeps them.
pub use oakwind_fleet::{LATE_READ_GRACE, MAX_RESULT_BYTES};
use siphasher::sip::SipHasher13;

use crate::clock::Unix;

/// A key names one request, whichever class its tries come in: guards a request against a second run where its
/// class gets another name between two of them.
pub type IdempotencyKey = Bytes;

/// The one final answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestOutcome {
    /// Served, with the result that a run made.
    Served(Bytes),
    /// Turned away: this try never ran.
    Rejected {
        /// How long the caller should stay away.
        retry_after: Option<Duration>,
        /// The wish that it be tried nowhere else.
        give_up: bool,
    },
    /// Failed; nothing is promised.
    Failed {
        /// Because its time ran out.
        timed_out: bool,
    },
    /// Its key is that of a request with another body; nothing ran for it.
    BodyMismatch,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Completion {
    /// With a result.
    Succeeded(Bytes),
    /// It failed.
    Failed,
    /// It was stopped, or ended at a call because its request was over.
    Cancelled,
    /// Nothing was started, because the request was over.
    Skipped,
    /// It provably never began: no server took it.
    NeverStarted,
}

/// What became of the run of a key, as far as one process tells the next.
#[derive(Debug, Clone, PartialEq)]
pub enum RunState {
    /// It runs, or may yet.
    Pending,
    /// It ended with this result.
    Succeeded(Bytes),
    /// It failed and may have had its effect.
    Failed,
    /// It provably never began, so the key is free.
    NeverStarted,
}

/// A remembered key, as one process hands it to the next.
#[derive(Debug, Clone, PartialEq)]
pub struct IdempotencyRecord {
    /// The key.
    pub key: IdempotencyKey,
    /// The digest of the body that its tries carry.
    pub body_digest: u64,
    /// How long it is remembered.
    pub expires_at: Unix,
    /// What became of its run.
    pub state: RunState,
}

/// What is kept of a run that is over.
#[derive(Debug, Clone, PartialEq)]
pub enum StoredOutcome {
    /// Its result.
    Succeeded(Bytes),
    /// It failed and may have had its effect.
    Failed,
    /// It provably never began.
    NeverStarted,
}

impl StoredOutcome {
    /// The same as one process tells it to the next.
    pub fn fate(&self) -> RunState {
        match self {
            StoredOutcome::Succeeded(result) => RunState::Succeeded(result.clone()),
            StoredOutcome::Failed => RunState::Failed,
            StoredOutcome::NeverStarted => RunState::NeverStarted,
        }
    }
}

/// The digest of a key or a body, the same in every build.
pub fn digest(seed: u64, bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(seed, 0);
    hasher.write(bytes);
    hasher.finish()
}
