//! The entry of one key in a replica table.

use crate::ids::LinkId;
use crate::message::ReplicaRecord;
use crate::replication::key_state::{ClaimId, Key, KeyState};
use crate::{millis_ceil, Time, MAX_RESULT_BYTES};

/// Conservative estimate of an entry's memory use in bytes, apart from its key and its result. It is a
/// constant that covers the entry's waiters and started claims, which are not counted individually.
pub const ENTRY_OVERHEAD_BYTES: usize = 512;

/// An attempt that waits for the run of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Waiter {
    /// The link on which the attempt's node asked.
    pub(super) link: LinkId,
    /// The claim of the attempt.
    pub(super) claim_id: ClaimId,
}

/// Entry of a key in the table.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Entry {
    /// When the key's idempotency window ends. The entry is retained for
    /// [`LATE_READ_GRACE`](crate::LATE_READ_GRACE) longer.
    pub(super) window_ends_at: Time,
    /// The claim that this replica has granted.
    pub(super) vote: Option<ClaimId>,
    pub(super) state: KeyState,
    /// Attempts to notify of the outcome of the key's run.
    pub(super) waiters: Vec<Waiter>,
    /// When a `QueryClaim` for this key was last sent. The interval between two of them applies to the key,
    /// even if several claims on it have started.
    pub(super) claim_queried_at: Option<Time>,
}

impl Entry {
    pub(super) fn new(window_ends_at: Time) -> Entry {
        Entry {
            window_ends_at,
            vote: None,
            state: KeyState::default(),
            waiters: Vec::new(),
            claim_queried_at: None,
        }
    }

    /// Returns the estimated memory use of the entry. Until a run has completed, this reserves space for a
    /// result of maximum size.
    pub(super) fn bytes(&self, key: &Key) -> usize {
        let result = if self.state.completed.is_some() { self.state.result_size() } else { MAX_RESULT_BYTES };
        ENTRY_OVERHEAD_BYTES + key.len() + result
    }

    pub(super) fn record(&self, key: &Key, now: Time) -> ReplicaRecord {
        ReplicaRecord {
            key: key.clone(),
            retain_ms: millis_ceil(self.window_ends_at.saturating_sub(now)),
            started: self.state.started.iter().map(|(claim, body)| (*claim, *body)).collect(),
            completed: self.state.completed.clone(),
        }
    }
}
