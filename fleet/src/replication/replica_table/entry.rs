//! The entry of one key in a replica table.

use crate::ids::LinkId;
use crate::message::ReplicaRecord;
use crate::replication::key_state::{ClaimId, Key, KeyState};
use crate::{millis_ceil, Time, MAX_RESULT_BYTES};

/// An estimate, on the high side, of the memory that an entry takes in addition to its key and its result, in
/// bytes. It is fixed: the waiters and started claims of an entry are not counted one by one.
pub const ENTRY_OVERHEAD_BYTES: usize = 512;

/// An attempt that waits for a key's run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct Waiter {
    /// The link that it asked on.
    pub(super) link: LinkId,
    /// The claim that it asked for.
    pub(super) claim_id: ClaimId,
}

/// A key's entry in the table.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Entry {
    /// When the key's idempotency window ends. The entry is retained for
    /// [`LATE_READ_GRACE`](crate::LATE_READ_GRACE) longer.
    pub(super) window_ends_at: Time,
    /// The claim that this replica has granted.
    pub(super) vote: Option<ClaimId>,
    pub(super) state: KeyState,
    /// Attempts that wait for the key's run.
    pub(super) waiters: Vec<Waiter>,
    /// When the node of a started claim was last asked what became of it. For one key, at most one
    /// `QueryClaim` is sent per interval, also if several claims have started.
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

    /// The memory that the entry takes. Until the run completes, capacity for the largest result is reserved.
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
