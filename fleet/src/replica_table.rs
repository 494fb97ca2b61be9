//! A node's replica of the fleet's key table: which claim it has granted for each key, what it knows of other runs, and
//! how it responds to claims.
//!
//! A vote never changes. It is removed only when its claim is released or the key's idempotency window has ended, so that
//! two claims on one key can't both get a quorum.

mod paging;
mod sync_state;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::active_configs::ActiveConfigs;
use crate::ids::{Incarnation, LinkId, NodeId};
use crate::key_state::{ClaimId, CompletedRun, Key, KeyState, RunConflict, RunResult};
use crate::message::{
    detach, ClaimRequest, Completeness, ConflictingClaim, Message, RejectReason, ReplicaRecord,
};
use crate::{millis_ceil, Time, LATE_READ_GRACE, MAX_RESULT_BYTES};

pub use paging::PageRead;
use sync_state::SyncState;

/// A generous estimate of the memory that an entry takes in addition to its key and its result, in bytes.
pub const ENTRY_OVERHEAD_BYTES: usize = 512;
/// The most claims of one key that are kept apart; a record with more of them is not stored completely.
const MAX_STARTED_PER_KEY: usize = 16;
/// The most attempts that are notified when a key's run completes; others poll.
const MAX_WAITERS_PER_KEY: usize = 16;
/// A claim's node is asked at most this often what became of it.
const CLAIM_QUERY_INTERVAL: Duration = Duration::from_millis(500);

/// A key's entry in the table.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Entry {
    expires_at: Time,
    /// The claim that this replica has granted.
    vote: Option<ClaimId>,
    state: KeyState,
    /// Attempts that wait for the key's run, and the links that they asked on.
    waiters: Vec<(LinkId, ClaimId)>,
    /// When the node of the claim that started was last asked what became of it.
    claim_queried_at: Option<Time>,
}

impl Entry {
    fn new(expires_at: Time) -> Entry {
        Entry {
            expires_at,
            vote: None,
            state: KeyState::default(),
            waiters: Vec::new(),
            claim_queried_at: None,
        }
    }

    /// The memory that the entry takes. Until the run completes, capacity for the largest result is reserved.
    fn bytes(&self, key: &Key) -> usize {
        let result = if self.state.completed.is_some() { self.state.result_size() } else { MAX_RESULT_BYTES };
        ENTRY_OVERHEAD_BYTES + key.len() + result
    }

    fn record(&self, key: &Key, now: Time) -> ReplicaRecord {
        ReplicaRecord {
            key: key.clone(),
            retain_ms: millis_ceil(self.expires_at.saturating_sub(now)),
            started: self.state.started.iter().map(|(claim, body)| (*claim, *body)).collect(),
            completed: self.state.completed.clone(),
        }
    }
}

/// What a node stores on disk of one key. The fields are encoded by position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// The claim that this replica has granted.
    pub vote: Option<ClaimId>,
    /// What it knows of the key.
    pub record: ReplicaRecord,
}

/// What follows from a message to the replica.
#[derive(Debug, Default)]
pub struct TableOutcome {
    /// Responses, by the link that they go back on.
    pub responses: Vec<(LinkId, Message)>,
    /// Queries to other nodes.
    pub queries: Vec<(NodeId, Message)>,
    /// The key whose entry changed and must be stored before the responses are sent.
    pub changed_key: Option<Key>,
    /// Two runs of one key that have both completed.
    pub conflict: Option<RunConflict>,
}

/// What became of records that a donor sent.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Whether some of them were dropped for lack of capacity.
    pub dropped: bool,
    /// Keys that ran twice.
    pub conflicts: Vec<RunConflict>,
}

/// The size of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableSize {
    /// The number of keys.
    pub keys: usize,
    /// The memory that they take, reservations included.
    pub bytes: usize,
}

/// A node's replica of the key table.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ReplicaTable {
    this_node: NodeId,
    incarnation: Incarnation,
    entries: BTreeMap<Key, Entry>,
    by_expiry: BTreeSet<(Time, Key)>,
    bytes: usize,
    max_bytes: usize,
    /// The latest incarnation of each node that is known.
    incarnations: BTreeMap<NodeId, Incarnation>,
    sync_state: SyncState,
}

impl ReplicaTable {
    /// Creates an empty table for this incarnation of the node. `is_restored` says that the node has its earlier state
    /// and will restore it; otherwise the table votes for no key until it has caught up.
    #[must_use]
    pub fn new(
        this_node: NodeId,
        incarnation: Incarnation,
        max_bytes: usize,
        is_restored: bool,
        now: Time,
    ) -> ReplicaTable {
        let sync_state = if is_restored { SyncState::Complete } else { SyncState::lost(now) };
        ReplicaTable {
            this_node,
            incarnation,
            entries: BTreeMap::new(),
            by_expiry: BTreeSet::new(),
            bytes: 0,
            max_bytes,
            incarnations: BTreeMap::new(),
            sync_state,
        }
    }

    /// Returns the number of keys and the memory they take.
    #[must_use]
    pub fn size(&self) -> TableSize {
        TableSize { keys: self.entries.len(), bytes: self.bytes }
    }

    /// Drops all state and begins another incarnation. What is known of other nodes' incarnations stays true.
    pub fn reset(&mut self, incarnation: Incarnation, now: Time) {
        let incarnations = std::mem::take(&mut self.incarnations);
        let empty = ReplicaTable::new(self.this_node, incarnation, self.max_bytes, false, now);
        *self = ReplicaTable { incarnations, ..empty };
    }

    /// Renumbers the incarnation, in which nothing was granted yet.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
    }

    /// Records that a node has reached this incarnation. Its grants of earlier ones no longer count.
    pub fn record_incarnation(&mut self, node: NodeId, incarnation: Incarnation) {
        let known = self.incarnations.entry(node).or_default();
        *known = incarnation.max(*known);
    }

    /// Returns the latest incarnation of a node that is known.
    #[must_use]
    pub fn incarnation_of(&self, node: NodeId) -> Incarnation {
        self.incarnations.get(&node).copied().unwrap_or_default()
    }

    /// Records that a donor has sent its whole table, and how complete that table is.
    pub fn record_sync(&mut self, donor: NodeId, completeness: Completeness) {
        self.sync_state.record(donor, completeness);
    }

    /// Returns how complete this table is, as other nodes are told.
    #[must_use]
    pub fn completeness(&self, configs: &ActiveConfigs) -> Completeness {
        self.sync_state.completeness(self.this_node, configs)
    }

    /// Whether the replica can vote for every key.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.sync_state == SyncState::Complete
    }

    /// Marks the table complete if every other node has sent its whole table. Returns whether it has become complete.
    pub fn finish_sync(&mut self, configs: &ActiveConfigs) -> bool {
        let becomes_complete = !self.is_complete() && self.completeness(configs) == Completeness::Complete;
        if becomes_complete {
            self.sync_state = SyncState::Complete;
        }
        becomes_complete
    }

    /// Whether the replica can vote for a key: no claim that it may have granted before it lost its state can still get a
    /// quorum without a replica that it has caught up with.
    #[must_use]
    pub fn can_vote_for(&self, key: &[u8], configs: &ActiveConfigs) -> bool {
        self.sync_state.can_vote_for(self.this_node, key, configs)
    }

    /// Returns how long it takes at most until the table is complete; none if it is.
    #[must_use]
    pub fn time_until_complete(&self, now: Time, configs: &ActiveConfigs) -> Option<Duration> {
        self.sync_state.time_until_complete(now, configs)
    }

    /// Whether a donor has sent its whole table since this node lost its state, or nothing was lost.
    #[must_use]
    pub fn has_synced_from(&self, donor: NodeId) -> bool {
        self.sync_state.has_synced_from(donor)
    }

    /// Advances the time: removes keys whose window has ended. Returns whether the table has become complete, as
    /// everything that it may have lost has expired.
    pub fn tick(&mut self, now: Time, configs: &ActiveConfigs) -> bool {
        while let Some((expires_at, key)) = self.by_expiry.first().cloned() {
            if now < expires_at + LATE_READ_GRACE {
                break;
            }
            self.by_expiry.remove(&(expires_at, key.clone()));
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

    /// Updates a key's entry, which is created if it is absent and removed if nothing is known of it any more. The key is
    /// retained at least until `expires_at`.
    fn update<T>(&mut self, key: &Key, expires_at: Time, change: impl FnOnce(&mut Entry) -> T) -> T {
        let (key, mut entry) = match self.entries.remove_entry(key) {
            Some((key, entry)) => {
                self.by_expiry.remove(&(entry.expires_at, key.clone()));
                self.bytes -= entry.bytes(&key);
                (key, entry)
            }
            None => (detach(key), Entry::new(expires_at)),
        };
        entry.expires_at = entry.expires_at.max(expires_at);
        let returned = change(&mut entry);
        if !entry.state.is_empty() || entry.vote.is_some() {
            self.bytes += entry.bytes(&key);
            self.by_expiry.insert((entry.expires_at, key.clone()));
            self.entries.insert(key, entry);
        }
        returned
    }

    /// Whether there is no capacity for a new key with a result of this size.
    fn is_full(&self, key: &Key, result_bytes: usize) -> bool {
        self.bytes + ENTRY_OVERHEAD_BYTES + key.len() + result_bytes > self.max_bytes
    }

    /// Returns what is to be stored on disk of a key; none if nothing is known of it.
    #[must_use]
    pub fn stored_record(&self, key: &Key, now: Time) -> Option<StoredRecord> {
        let entry = self.entries.get(key)?;
        Some(StoredRecord { vote: entry.vote, record: entry.record(key, now) })
    }

    /// Handles a claim.
    pub fn claim(
        &mut self,
        now: Time,
        link: LinkId,
        request: &ClaimRequest,
        configs: &ActiveConfigs,
    ) -> TableOutcome {
        let mut outcome = TableOutcome::default();
        let response = self.respond_to_claim(now, link, request, configs, &mut outcome);
        outcome.responses.push((link, response));
        outcome
    }

    fn respond_to_claim(
        &mut self,
        now: Time,
        link: LinkId,
        request: &ClaimRequest,
        configs: &ActiveConfigs,
        outcome: &mut TableOutcome,
    ) -> Message {
        let (claim, key) = (request.claim, &request.key);
        // A quorum in another active configuration might not learn of a claim that was not made in it.
        if configs.iter().any(|config| !request.config_versions.contains(&config.version())) {
            return Message::Uncertain { claim, reason: RejectReason::ConfigMismatch };
        }
        if let Some(blocked) = self.find_conflict(now, link, claim, key, outcome) {
            return blocked;
        }
        if self.vote(key) != Some(claim) {
            if let Some(reason) = self.reason_not_to_vote(key, configs) {
                return Message::Uncertain { claim, reason };
            }
            let expires_at = now + Duration::from_millis(request.retain_ms);
            self.update(key, expires_at, |entry| {
                entry.vote = Some(claim);
                entry.state.started.insert(claim, request.body);
            });
            outcome.changed_key = Some(key.clone());
        }
        Message::Granted { claim, incarnations: self.incarnations_of_other_replicas(key, configs) }
    }

    fn reason_not_to_vote(&self, key: &Key, configs: &ActiveConfigs) -> Option<RejectReason> {
        if !self.can_vote_for(key, configs) {
            Some(RejectReason::Recovering)
        } else if !self.entries.contains_key(key) && self.is_full(key, MAX_RESULT_BYTES) {
            Some(RejectReason::CapacityExceeded)
        } else {
            None
        }
    }

    fn incarnations_of_other_replicas(
        &self,
        key: &Key,
        configs: &ActiveConfigs,
    ) -> Vec<(NodeId, Incarnation)> {
        let replicas = configs.iter().flat_map(|config| config.replicas_of(key));
        let others: BTreeSet<NodeId> = replicas.filter(|node| *node != self.this_node).collect();
        others.into_iter().filter_map(|node| Some((node, *self.incarnations.get(&node)?))).collect()
    }

    /// Returns the response to a claim, or to an attempt that only asks, if another run of the key has started or
    /// completed. The attempt is notified when that run completes, and the run's node is asked for it at intervals.
    fn find_conflict(
        &mut self,
        now: Time,
        link: LinkId,
        claim: ClaimId,
        key: &Key,
        outcome: &mut TableOutcome,
    ) -> Option<Message> {
        let entry = self.entries.get_mut(key)?;
        let expired_ms = millis_ceil(now.saturating_sub(entry.expires_at));
        if let Some(run) = &entry.state.completed {
            return Some(blocked_by_run(claim, run, expired_ms));
        }
        let others = || entry.state.started.iter().filter(|(started, _)| **started != claim);
        let granted = others().find(|(started, _)| Some(**started) == entry.vote);
        let (started, body) = granted.or_else(|| others().next())?;
        let (started, body) = (*started, *body);
        let waiter = (link, claim);
        if entry.waiters.len() < MAX_WAITERS_PER_KEY && !entry.waiters.contains(&waiter) {
            entry.waiters.push(waiter);
        }
        if entry.claim_queried_at.is_none_or(|queried_at| now >= queried_at + CLAIM_QUERY_INTERVAL) {
            entry.claim_queried_at = Some(now);
            let query = Message::QueryClaim { key: key.clone(), claim: started, body };
            outcome.queries.push((started.node, query));
        }
        let conflict = ConflictingClaim { claim: started, body, completed: None, expired_ms };
        Some(Message::Blocked { claim, conflict })
    }

    /// Responds to an attempt that asks for a key without claiming it.
    pub fn query_key(
        &mut self,
        now: Time,
        link: LinkId,
        claim: ClaimId,
        key: &Key,
        configs: &ActiveConfigs,
    ) -> TableOutcome {
        let mut outcome = TableOutcome::default();
        let response = match self.find_conflict(now, link, claim, key, &mut outcome) {
            Some(blocked) => blocked,
            None if self.can_vote_for(key, configs) => Message::KeyFree { claim },
            None => Message::Uncertain { claim, reason: RejectReason::Recovering },
        };
        outcome.responses.push((link, response));
        outcome
    }

    /// Stores a completed run, and notifies the attempts that wait for it. There may be no capacity for a run that this
    /// replica did not grant.
    pub fn complete_run(
        &mut self,
        now: Time,
        link: LinkId,
        key: &Key,
        retain_ms: u64,
        run: CompletedRun,
    ) -> TableOutcome {
        let mut outcome = TableOutcome::default();
        let claim = run.claim;
        let stored = self.entries.contains_key(key) || !self.is_full(key, MAX_RESULT_BYTES);
        if stored {
            self.store_run(now + Duration::from_millis(retain_ms), key, run, &mut outcome);
        }
        outcome.responses.push((link, Message::Stored { claim, stored }));
        outcome
    }

    fn store_run(&mut self, expires_at: Time, key: &Key, run: CompletedRun, outcome: &mut TableOutcome) {
        let (waiters, kept) = self.update(key, expires_at, |entry| {
            let state = KeyState { completed: Some(with_storable_result(run)), ..KeyState::default() };
            outcome.conflict = entry.state.merge(state);
            (std::mem::take(&mut entry.waiters), entry.state.completed.clone())
        });
        outcome.changed_key = Some(key.clone());
        let Some(kept) = kept else { return };
        let notify = |(link, claim)| (link, blocked_by_run(claim, &kept, 0));
        outcome.responses.extend(waiters.into_iter().map(notify));
    }

    /// Removes a claim under which nothing ran. Attempts that wait for it are told once no run of the key is left.
    pub fn release(&mut self, now: Time, key: &Key, claim: ClaimId) -> TableOutcome {
        let mut outcome = TableOutcome::default();
        let knows_claim =
            |entry: &Entry| entry.vote == Some(claim) || entry.state.started.contains_key(&claim);
        if !self.entries.get(key).is_some_and(knows_claim) {
            return outcome;
        }
        let waiters = self.update(key, now, |entry| {
            entry.vote = entry.vote.filter(|vote| *vote != claim);
            entry.state.started.remove(&claim);
            if entry.state.is_empty() {
                std::mem::take(&mut entry.waiters)
            } else {
                Vec::new()
            }
        });
        outcome.changed_key = Some(key.clone());
        let notify = |(link, claim)| (link, Message::KeyFree { claim });
        outcome.responses = waiters.into_iter().map(notify).collect();
        outcome
    }

    /// Returns the claim that this replica has granted for a key.
    #[must_use]
    pub fn vote(&self, key: &[u8]) -> Option<ClaimId> {
        self.entries.get(key)?.vote
    }

    /// Returns what this replica knows of a key.
    #[must_use]
    pub fn state_of(&self, key: &[u8]) -> Option<&KeyState> {
        self.entries.get(key).map(|entry| &entry.state)
    }
}

/// The response to an attempt whose key has a completed run.
fn blocked_by_run(claim: ClaimId, run: &CompletedRun, expired_ms: u64) -> Message {
    let conflict =
        ConflictingClaim { claim: run.claim, body: run.body, completed: Some(run.clone()), expired_ms };
    Message::Blocked { claim, conflict }
}

/// A result that is too long to be stored counts as failed for later attempts.
fn with_storable_result(run: CompletedRun) -> CompletedRun {
    let result = match run.result {
        RunResult::Succeeded(bytes) if bytes.len() <= MAX_RESULT_BYTES => {
            RunResult::Succeeded(detach(&bytes))
        }
        _ => RunResult::Failed,
    };
    CompletedRun { result, ..run }
}

#[cfg(test)]
mod tests;
