//! Responses of a replica to claims and queries, and its handling of completed runs and released claims.

use std::collections::BTreeSet;
use std::time::Duration;

use super::entry::{Entry, Waiter};
use super::{ReplicaTable, TableOutcome};
use crate::envelope::{Request, Response};
use crate::ids::{Incarnation, LinkId, NodeId};
use crate::membership::active_configs::ActiveConfigs;
use crate::message::{detach, ClaimRequest, ConflictingClaim, Message, RejectReason};
use crate::replication::key_state::{ClaimId, CompletedRun, Key, KeyState, RunResult};
use crate::{millis_ceil, Time, MAX_RESULT_BYTES};

/// Maximum number of attempts that are notified when a key's run completes. Bounds the memory use of an
/// entry. Further attempts get the outcome by polling, which all attempts do in case a message is lost.
const MAX_WAITERS_PER_KEY: usize = 16;
/// Minimum interval between two `QueryClaim` messages for the same key.
const CLAIM_QUERY_INTERVAL: Duration = Duration::from_millis(500);

impl ReplicaTable {
    /// Handles a claim request: grants it, reports a conflicting claim, or responds that the replica can't
    /// vote.
    pub fn claim(
        &mut self,
        now: Time,
        link: LinkId,
        request: &ClaimRequest,
        configs: &ActiveConfigs,
    ) -> TableOutcome {
        let mut outcome = TableOutcome::default();
        let response = self.respond_to_claim(now, link, request, configs, &mut outcome);
        outcome.responses.push(Response { link, message: response });
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
        let ClaimRequest { claim: claim_id, key, .. } = request;
        let claim_id = *claim_id;
        // The claim must be made in every configuration that is active here. Otherwise a quorum in one of
        // them could grant another claim on the key.
        if configs.iter().any(|config| !request.config_versions.contains(&config.version())) {
            return Message::Uncertain { claim: claim_id, reason: RejectReason::ConfigMismatch };
        }
        if let Some(blocked) = self.respond_if_blocked(now, Waiter { link, claim_id }, key, outcome) {
            return blocked;
        }
        if self.vote(key) != Some(claim_id) {
            if let Some(reason) = self.reason_not_to_vote(key, configs) {
                return Message::Uncertain { claim: claim_id, reason };
            }
            let window_ends_at = now + Duration::from_millis(request.retain_ms);
            self.update(key, window_ends_at, |entry| {
                entry.vote = Some(claim_id);
                entry.state.started.insert(claim_id, request.body);
            });
            outcome.changed_key = Some(key.clone());
        }
        Message::Granted { claim: claim_id, incarnations: self.incarnations_of_other_replicas(key, configs) }
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

    /// Returns the response to a claim or a query if another run of the key may have started or has
    /// completed. While that run is not completed, the waiter is added to those that are notified of its
    /// outcome, and the node of the conflicting claim is queried at intervals.
    fn respond_if_blocked(
        &mut self,
        now: Time,
        waiter: Waiter,
        key: &Key,
        outcome: &mut TableOutcome,
    ) -> Option<Message> {
        let entry = self.entries.get_mut(key)?;
        let conflict = find_conflict(entry, now, waiter.claim_id)?;
        if conflict.completed.is_none() {
            add_waiter(entry, waiter);
            outcome.queries.extend(query_claim_owner(entry, now, key, &conflict));
        }
        Some(Message::Blocked { claim: waiter.claim_id, conflict })
    }

    /// Handles a query for the state of a key, which makes no claim.
    pub fn query_key(
        &mut self,
        now: Time,
        link: LinkId,
        claim_id: ClaimId,
        key: &Key,
        configs: &ActiveConfigs,
    ) -> TableOutcome {
        let mut outcome = TableOutcome::default();
        let response = match self.respond_if_blocked(now, Waiter { link, claim_id }, key, &mut outcome) {
            Some(blocked) => blocked,
            None if self.can_vote_for(key, configs) => Message::KeyFree { claim: claim_id },
            None => Message::Uncertain { claim: claim_id, reason: RejectReason::Recovering },
        };
        outcome.responses.push(Response { link, message: response });
        outcome
    }

    /// Handles a completed run: stores it and notifies the attempts that wait for it. If the table has no
    /// entry for the key and no capacity for a new one, the response is `stored: false`.
    pub fn complete_run(
        &mut self,
        now: Time,
        link: LinkId,
        key: &Key,
        retain_ms: u64,
        run: CompletedRun,
    ) -> TableOutcome {
        let mut outcome = TableOutcome::default();
        let claim_id = run.claim;
        let stored = self.entries.contains_key(key) || !self.is_full(key, MAX_RESULT_BYTES);
        if stored {
            self.store_run(now + Duration::from_millis(retain_ms), key, run, &mut outcome);
        }
        outcome.responses.push(Response { link, message: Message::Stored { claim: claim_id, stored } });
        outcome
    }

    fn store_run(&mut self, window_ends_at: Time, key: &Key, run: CompletedRun, outcome: &mut TableOutcome) {
        let (waiters, retained) = self.update(key, window_ends_at, |entry| {
            let state = KeyState { completed: Some(with_storable_result(run)), ..KeyState::default() };
            outcome.conflict = entry.state.merge(state);
            (std::mem::take(&mut entry.waiters), entry.state.completed.clone())
        });
        outcome.changed_key = Some(key.clone());
        let Some(retained) = retained else { return };
        let to_response = |Waiter { link, claim_id }| {
            let conflict = conflict_with_run(&retained, 0);
            Response { link, message: Message::Blocked { claim: claim_id, conflict } }
        };
        outcome.responses.extend(waiters.into_iter().map(to_response));
    }

    /// Removes a claim under which no run has started. Once no other run of the key is known, the waiting
    /// attempts are notified that the key is free.
    pub fn release(&mut self, now: Time, key: &Key, claim_id: ClaimId) -> TableOutcome {
        let mut outcome = TableOutcome::default();
        let knows_claim =
            |entry: &Entry| entry.vote == Some(claim_id) || entry.state.started.contains_key(&claim_id);
        if !self.entries.get(key).is_some_and(knows_claim) {
            return outcome;
        }
        let waiters = self.update(key, now, |entry| {
            entry.vote = entry.vote.filter(|vote| *vote != claim_id);
            entry.state.started.remove(&claim_id);
            if entry.state.is_empty() {
                std::mem::take(&mut entry.waiters)
            } else {
                Vec::new()
            }
        });
        outcome.changed_key = Some(key.clone());
        let to_response =
            |Waiter { link, claim_id }| Response { link, message: Message::KeyFree { claim: claim_id } };
        outcome.responses = waiters.into_iter().map(to_response).collect();
        outcome
    }
}

/// Returns the completed run of a key or, if there is none, another claim whose run may have started. The
/// claim that this replica has granted takes precedence over other started claims.
fn find_conflict(entry: &Entry, now: Time, claim_id: ClaimId) -> Option<ConflictingClaim> {
    let expired_ms = millis_ceil(now.saturating_sub(entry.window_ends_at));
    if let Some(run) = &entry.state.completed {
        return Some(conflict_with_run(run, expired_ms));
    }
    let others = || entry.state.started.iter().filter(|(started, _)| **started != claim_id);
    let granted = others().find(|(started, _)| Some(**started) == entry.vote);
    let (&claim, &body) = granted.or_else(|| others().next())?;
    Some(ConflictingClaim { claim, body, completed: None, expired_ms })
}

fn conflict_with_run(run: &CompletedRun, expired_ms: u64) -> ConflictingClaim {
    ConflictingClaim { claim: run.claim, body: run.body, completed: Some(run.clone()), expired_ms }
}

/// Adds an attempt to those that are notified of the key's run, unless [`MAX_WAITERS_PER_KEY`] are waiting.
fn add_waiter(entry: &mut Entry, waiter: Waiter) {
    if entry.waiters.len() < MAX_WAITERS_PER_KEY && !entry.waiters.contains(&waiter) {
        entry.waiters.push(waiter);
    }
}

/// Returns a query for the outcome of a conflicting claim to the node that made it; `None` if
/// [`CLAIM_QUERY_INTERVAL`] has not passed since the last query.
fn query_claim_owner(
    entry: &mut Entry,
    now: Time,
    key: &Key,
    conflict: &ConflictingClaim,
) -> Option<Request> {
    if entry.claim_queried_at.is_some_and(|queried_at| now < queried_at + CLAIM_QUERY_INTERVAL) {
        return None;
    }
    entry.claim_queried_at = Some(now);
    let ConflictingClaim { claim, body, .. } = *conflict;
    let message = Message::QueryClaim { key: key.clone(), claim, body };
    Some(Request { to: claim.node, message })
}

/// Copies the result out of the receive buffer. A result longer than [`MAX_RESULT_BYTES`] is replaced by
/// [`RunResult::Failed`].
pub(super) fn with_storable_result(run: CompletedRun) -> CompletedRun {
    let result = match run.result {
        RunResult::Succeeded(bytes) if bytes.len() <= MAX_RESULT_BYTES => {
            RunResult::Succeeded(detach(&bytes))
        }
        _ => RunResult::Failed,
    };
    CompletedRun { result, ..run }
}
