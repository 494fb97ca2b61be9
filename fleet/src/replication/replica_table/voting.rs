//! How a replica responds to claims and queries, and what it stores of completed and released runs.

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

/// The most attempts that are notified when a key's run completes; others poll.
const MAX_WAITERS_PER_KEY: usize = 16;
/// A claim's node is asked at most this often what became of it.
const CLAIM_QUERY_INTERVAL: Duration = Duration::from_millis(500);

impl ReplicaTable {
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
        let ClaimRequest { claim, key, .. } = request;
        let claim = *claim;
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

    /// Returns the response to a claim, or to an attempt that only asks, if another run of the key has
    /// started or completed. The attempt is notified when that run completes, and the run's node is asked
    /// for it at intervals.
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
        let (&started, &body) = granted.or_else(|| others().next())?;
        let waiter = Waiter { link, claim };
        if entry.waiters.len() < MAX_WAITERS_PER_KEY && !entry.waiters.contains(&waiter) {
            entry.waiters.push(waiter);
        }
        if entry.claim_queried_at.is_none_or(|queried_at| now >= queried_at + CLAIM_QUERY_INTERVAL) {
            entry.claim_queried_at = Some(now);
            let query = Message::QueryClaim { key: key.clone(), claim: started, body };
            outcome.queries.push(Request { to: started.node, message: query });
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
        outcome.responses.push(Response { link, message: response });
        outcome
    }

    /// Stores a completed run, and notifies the attempts that wait for it. There may be no capacity for a
    /// run that this replica did not grant.
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
        outcome.responses.push(Response { link, message: Message::Stored { claim, stored } });
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
        let notify = |Waiter { link, claim }| Response { link, message: blocked_by_run(claim, &kept, 0) };
        outcome.responses.extend(waiters.into_iter().map(notify));
    }

    /// Removes a claim under which nothing ran. Attempts that wait for it are told once no run of the key
    /// is left.
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
        let notify = |Waiter { link, claim }| Response { link, message: Message::KeyFree { claim } };
        outcome.responses = waiters.into_iter().map(notify).collect();
        outcome
    }
}

/// The response to an attempt whose key has a completed run.
fn blocked_by_run(claim: ClaimId, run: &CompletedRun, expired_ms: u64) -> Message {
    let conflict =
        ConflictingClaim { claim: run.claim, body: run.body, completed: Some(run.clone()), expired_ms };
    Message::Blocked { claim, conflict }
}

/// A result that is too long to be stored counts as failed for later attempts.
pub(super) fn with_storable_result(run: CompletedRun) -> CompletedRun {
    let result = match run.result {
        RunResult::Succeeded(bytes) if bytes.len() <= MAX_RESULT_BYTES => {
            RunResult::Succeeded(detach(&bytes))
        }
        _ => RunResult::Failed,
    };
    CompletedRun { result, ..run }
}
