//! A node's replica of the fleet's key table. It holds the claim that this node has granted for each key and
//! what it knows of the key's runs, and responds to claims.
//!
//! A replica votes for a claim by granting it; `vote` is the granted claim. A grant is never moved to another
//! claim. It ends only when the claim is released, when the key's idempotency window and [`LATE_READ_GRACE`]
//! have ended, or when the replica loses its state. After a loss of state, the replica grants claims on a key
//! only once `can_vote_for` holds for it. Therefore two claims on one key can't both get a quorum.

mod entry;
mod outcome;
mod paging;
mod sync_state;
mod voting;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::ids::{Incarnation, NodeId};
use crate::membership::active_configs::ActiveConfigs;
use crate::message::{detach, Completeness};
use crate::replication::key_state::{ClaimId, Key, KeyState};
use crate::{Time, LATE_READ_GRACE};

pub use entry::ENTRY_OVERHEAD_BYTES;
pub use outcome::{MergeOutcome, StoredRecord, TableOutcome, TableSize};
pub use paging::PageRead;

use entry::Entry;
use sync_state::SyncState;

/// A node's replica of the key table.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ReplicaTable {
    this_node: NodeId,
    incarnation: Incarnation,
    entries: BTreeMap<Key, Entry>,
    /// The keys, ordered by the end of their idempotency windows.
    by_window_end: BTreeSet<(Time, Key)>,
    /// Estimated memory use of all entries, including the space reserved for results.
    bytes: usize,
    max_bytes: usize,
    /// The latest known incarnation of each node.
    incarnations: BTreeMap<NodeId, Incarnation>,
    sync_state: SyncState,
}

impl ReplicaTable {
    /// Creates an empty table for an incarnation of the node. With `has_stored_state` the node's earlier
    /// state is expected to be restored into it. Otherwise the replica votes for a key only once it has
    /// caught up.
    pub fn new(
        this_node: NodeId,
        incarnation: Incarnation,
        max_bytes: usize,
        has_stored_state: bool,
        now: Time,
    ) -> ReplicaTable {
        let sync_state = if has_stored_state { SyncState::Complete } else { SyncState::lost(now) };
        ReplicaTable {
            this_node,
            incarnation,
            entries: BTreeMap::new(),
            by_window_end: BTreeSet::new(),
            bytes: 0,
            max_bytes,
            incarnations: BTreeMap::new(),
            sync_state,
        }
    }

    /// Returns the number of keys and their memory use.
    pub fn size(&self) -> TableSize {
        TableSize { keys: self.entries.len(), bytes: self.bytes }
    }

    /// Drops all entries and begins another incarnation. The incarnations of other nodes are kept, as they
    /// stay valid.
    pub fn reset(&mut self, incarnation: Incarnation, now: Time) {
        let incarnations = std::mem::take(&mut self.incarnations);
        let empty = ReplicaTable::new(self.this_node, incarnation, self.max_bytes, false, now);
        *self = ReplicaTable { incarnations, ..empty };
    }

    /// Sets the number of the incarnation. Nothing may have been granted in it yet.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
    }

    /// Records that a node has reached an incarnation. Its grants in earlier incarnations no longer count.
    pub fn record_incarnation(&mut self, node: NodeId, incarnation: Incarnation) {
        let known = self.incarnations.entry(node).or_default();
        *known = incarnation.max(*known);
    }

    /// Returns the latest known incarnation of a node.
    pub fn incarnation_of(&self, node: NodeId) -> Incarnation {
        self.incarnations.get(&node).copied().unwrap_or_default()
    }

    /// Records that a donor has sent its whole table, and the completeness of that table.
    pub fn record_sync(&mut self, donor: NodeId, completeness: Completeness) {
        self.sync_state.record(donor, completeness);
    }

    /// Returns the completeness of this table, as it is reported to other nodes.
    pub fn completeness(&self, configs: &ActiveConfigs) -> Completeness {
        self.sync_state.completeness(self.this_node, configs)
    }

    /// Whether the replica can vote for every key.
    pub fn is_complete(&self) -> bool {
        self.sync_state == SyncState::Complete
    }

    /// Marks the table complete if every other member has sent its whole table and was itself complete.
    /// Returns whether this call has made it complete.
    pub fn finish_sync(&mut self, configs: &ActiveConfigs) -> bool {
        let becomes_complete = !self.is_complete() && self.completeness(configs) == Completeness::Complete;
        if becomes_complete {
            self.sync_state = SyncState::Complete;
        }
        becomes_complete
    }

    /// Whether the replica can vote for a key. This holds if every quorum that a lost vote of this replica
    /// could have been part of contains another replica whose table this one has merged.
    pub fn can_vote_for(&self, key: &[u8], configs: &ActiveConfigs) -> bool {
        self.sync_state.can_vote_for(self.this_node, key, configs)
    }

    /// Returns the longest time until the table is complete; `None` if it is complete.
    pub fn time_until_complete(&self, now: Time, configs: &ActiveConfigs) -> Option<Duration> {
        self.sync_state.time_until_complete(now, configs)
    }

    /// Whether a donor has sent its whole table since this node lost its state. True if no state was lost.
    pub fn has_synced_from(&self, donor: NodeId) -> bool {
        self.sync_state.has_synced_from(donor)
    }

    /// Removes keys whose window and [`LATE_READ_GRACE`] have ended. Returns whether this call has made the
    /// table complete, because all state that it may have lost has expired.
    pub fn tick(&mut self, now: Time, configs: &ActiveConfigs) -> bool {
        while let Some((window_ends_at, key)) = self.by_window_end.first().cloned() {
            if now < window_ends_at + LATE_READ_GRACE {
                break;
            }
            self.by_window_end.remove(&(window_ends_at, key.clone()));
            if let Some(entry) = self.entries.remove(&key) {
                self.bytes -= entry.bytes(&key);
            }
        }
        let all_expired = self.time_until_complete(now, configs).is_some_and(|left| left.is_zero());
        if all_expired {
            self.sync_state = SyncState::Complete;
        }
        all_expired
    }

    /// Updates the entry of a key. Creates it if it is absent, and removes it if it is empty afterwards.
    /// Extends the key's window to `window_ends_at` if it ends earlier.
    fn update<T>(&mut self, key: &Key, window_ends_at: Time, change: impl FnOnce(&mut Entry) -> T) -> T {
        let (key, mut entry) = match self.entries.remove_entry(key) {
            Some((key, entry)) => {
                self.by_window_end.remove(&(entry.window_ends_at, key.clone()));
                self.bytes -= entry.bytes(&key);
                (key, entry)
            }
            None => (detach(key), Entry::new(window_ends_at)),
        };
        entry.window_ends_at = entry.window_ends_at.max(window_ends_at);
        let returned = change(&mut entry);
        if !entry.state.is_empty() || entry.vote.is_some() {
            self.bytes += entry.bytes(&key);
            self.by_window_end.insert((entry.window_ends_at, key.clone()));
            self.entries.insert(key, entry);
        }
        returned
    }

    /// Whether the table has no capacity for a new key with a result of this size.
    fn is_full(&self, key: &Key, result_bytes: usize) -> bool {
        self.bytes + ENTRY_OVERHEAD_BYTES + key.len() + result_bytes > self.max_bytes
    }

    /// Returns the record of a key that is stored on disk; `None` if the table has no entry for the key.
    pub fn stored_record(&self, key: &Key, now: Time) -> Option<StoredRecord> {
        let entry = self.entries.get(key)?;
        Some(StoredRecord { vote: entry.vote, record: entry.record(key, now) })
    }

    /// Returns the claim that this replica has granted for a key, if any.
    pub fn vote(&self, key: &[u8]) -> Option<ClaimId> {
        self.entries.get(key)?.vote
    }

    /// Returns the state of a key; `None` if the table has no entry for it.
    pub fn state_of(&self, key: &[u8]) -> Option<&KeyState> {
        self.entries.get(key).map(|entry| &entry.state)
    }
}

#[cfg(test)]
mod tests;
