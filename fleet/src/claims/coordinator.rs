//! Coordinates the claims that this node makes for its own attempts: decides whether a run may start and
//! replicates its result.
//!
//! A run may start once a quorum of the key's replicas in each active configuration has granted its claim.
//! Its result may be sent to the client once a quorum has stored it. A claim that can't get a quorum is
//! released. Its attempt then waits for the run of a conflicting claim (one that replicas have granted for
//! the same key), is told that the key was used with another body, or is rejected. No attempt waits past its
//! deadline.

mod attempt;
mod claim;

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{Incarnation, NodeId};
use crate::membership::active_configs::ActiveConfigs;
use crate::message::{Message, RejectReason};
use crate::replication::key_state::{BodyDigest, ClaimId, CompletedRun, Key, RunResult};
use crate::{Time, LATE_READ_GRACE};

pub use attempt::{AttemptId, ClaimAction, ClaimOutcome, RunRequest};

use claim::{Claim, ClaimState, Decision, ReplicaResponse};

/// Maximum number of open claims, including those whose result is not stored by all replicas yet. Bounds the
/// memory use: an open claim holds its key and the result of its run.
pub const MAX_CLAIMS: usize = 8192;
/// How long the remaining replicas are still sent a result after a quorum has stored it.
const FULL_REPLICATION_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval after which a request without a response is first retried. The interval doubles with each retry,
/// up to [`MAX_RETRY_INTERVAL`]. A claim is retried after 50, 50, 100, ... ms, because its first transmission
/// does not double the interval; a result after 50, 100, 200, ... ms, because its first transmission does.
const INITIAL_RETRY_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum interval between two retries of a request.
const MAX_RETRY_INTERVAL: Duration = Duration::from_millis(800);
/// Interval at which an attempt that waits for another attempt's run polls the replicas. The replicas also
/// notify the attempt as soon as the run completes, so polling is needed only if that message is lost.
const POLL_INTERVAL: Duration = Duration::from_millis(200);
/// How long before the client's deadline a claim is given up, so that the answer can reach the client in
/// time. For short deadlines the margin is smaller, see [`MAX_ANSWER_MARGIN_DIVISOR`].
const ANSWER_MARGIN: Duration = Duration::from_millis(250);
/// The answer margin is at most the time from the claim to the deadline, divided by this.
const MAX_ANSWER_MARGIN_DIVISOR: u32 = 4;

/// Tracks all open claims of this node.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ClaimCoordinator {
    this_node: NodeId,
    incarnation: Incarnation,
    /// Number of the next claim of this node.
    next_number: u64,
    claims: BTreeMap<ClaimId, Claim>,
    /// The open claim of each attempt.
    by_attempt: BTreeMap<AttemptId, ClaimId>,
}

impl ClaimCoordinator {
    /// Creates a coordinator without claims for this incarnation of the node.
    pub fn new(this_node: NodeId, incarnation: Incarnation) -> ClaimCoordinator {
        ClaimCoordinator {
            this_node,
            incarnation,
            next_number: 1,
            claims: BTreeMap::new(),
            by_attempt: BTreeMap::new(),
        }
    }

    /// Returns the number of open claims.
    pub fn open_claims(&self) -> usize {
        self.claims.len()
    }

    /// Sets the incarnation of this node under which new claims are made. Open claims keep theirs.
    pub fn set_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = incarnation;
    }

    fn next_claim_id(&mut self) -> ClaimId {
        let id = ClaimId { node: self.this_node, incarnation: self.incarnation, number: self.next_number };
        self.next_number += 1;
        id
    }

    /// Claims the key of an attempt, or rejects the attempt if [`MAX_CLAIMS`] claims are open and none of
    /// them can be evicted.
    pub fn request_run(
        &mut self,
        now: Time,
        request: RunRequest,
        configs: &ActiveConfigs,
        out: &mut Vec<ClaimAction>,
    ) {
        if self.claims.len() >= MAX_CLAIMS {
            // Evicts the oldest claim whose result a quorum has stored. The remaining replicas are not sent
            // that result any more.
            let stored = self.claims.values().find(|claim| claim.quorum_stored_at.is_some());
            let Some(stored) = stored.map(|claim| claim.id) else {
                let outcome = ClaimOutcome::Rejected(RejectReason::CapacityExceeded);
                return out.push(ClaimAction::Notify(request.attempt, outcome));
            };
            self.remove(stored);
        }
        let id = self.next_claim_id();
        let claim = Claim::new(now, id, request, configs);
        claim.send_requests(now, |_| true, out);
        self.by_attempt.insert(claim.attempt, id);
        self.claims.insert(id, claim);
    }

    /// Releases the claims that are still collecting grants, and makes each again under a new id in the
    /// configurations that are active now. Claims that wait for a remote run keep polling their old replicas:
    /// they hold no grants, and are closed at `give_up_at` at the latest. Claims that are granted or
    /// replicate a result keep the replicas with which they were made.
    pub fn reconfigure(&mut self, now: Time, configs: &ActiveConfigs, out: &mut Vec<ClaimAction>) {
        for id in self.claims_in_state(&ClaimState::Collecting) {
            let renewed = self.next_claim_id();
            let Some(mut claim) = self.claims.remove(&id) else { continue };
            claim.release(out);
            claim.id = renewed;
            claim.set_configs(configs);
            claim.send_requests(now, |_| true, out);
            self.by_attempt.insert(claim.attempt, renewed);
            self.claims.insert(renewed, claim);
        }
    }

    fn claims_in_state(&self, state: &ClaimState) -> Vec<ClaimId> {
        self.claims.values().filter(|claim| claim.state == *state).map(|claim| claim.id).collect()
    }

    /// Replicates the result of an attempt's run. If the attempt has no granted claim, it is notified at
    /// once that the result is not stored.
    pub fn complete_run(
        &mut self,
        now: Time,
        attempt: AttemptId,
        result: RunResult,
        out: &mut Vec<ClaimAction>,
    ) {
        let claim = self.by_attempt.get(&attempt).and_then(|id| self.claims.get_mut(id));
        let Some(claim) = claim.filter(|claim| claim.state == ClaimState::Granted) else {
            return out.push(ClaimAction::Notify(attempt, ClaimOutcome::StoredByQuorum(false)));
        };
        claim.state = ClaimState::Replicating { result, reported: false };
        claim.reset_responses();
        claim.retry_interval = INITIAL_RETRY_INTERVAL;
        claim.send_and_schedule_retry(now, |_| true, out);
    }

    /// Closes the claim of an attempt. The caller must ensure that its run is not in progress. If the run
    /// never started, the replicas are notified of this; if it has completed, its result is no longer sent.
    pub fn release(&mut self, attempt: AttemptId, out: &mut Vec<ClaimAction>) {
        let claim = self.by_attempt.remove(&attempt).and_then(|id| self.claims.remove(&id));
        // A release message says that no run started, which is false for a claim with a result.
        if let Some(claim) = claim.filter(|claim| !claim.is_replicating()) {
            claim.release(out);
        }
    }

    /// Handles a response that replica `from` sent in `incarnation`.
    pub fn handle_response(
        &mut self,
        now: Time,
        from: NodeId,
        incarnation: Incarnation,
        message: Message,
        out: &mut Vec<ClaimAction>,
    ) {
        let (claim_id, response, incarnations) = match message {
            Message::Granted { claim: claim_id, incarnations } => {
                (claim_id, ReplicaResponse::Granted(incarnation), incarnations)
            }
            Message::Blocked { claim: claim_id, conflict } => {
                (claim_id, ReplicaResponse::Blocked { conflict, responded_at: now }, Vec::new())
            }
            // In another message, the replica sends the configuration that this node lacks. `reconfigure`
            // makes the claim again once that configuration is active here.
            Message::Uncertain { reason: RejectReason::ConfigMismatch, .. } => return,
            Message::Uncertain { claim: claim_id, reason } => {
                (claim_id, ReplicaResponse::Uncertain(reason), Vec::new())
            }
            Message::KeyFree { claim: claim_id } => (claim_id, ReplicaResponse::KeyFree, Vec::new()),
            // A replica that has no capacity or could not write to its disk responds `stored: false`. Its
            // response stays pending, so the result is sent again.
            Message::Stored { claim: claim_id, stored: true } => {
                (claim_id, ReplicaResponse::Stored, Vec::new())
            }
            _ => return,
        };
        let Some(claim) = self.claims.get_mut(&claim_id) else { return };
        if !claim.accepts(from, &response) {
            return;
        }
        for (node, incarnation) in incarnations.into_iter().chain([(from, incarnation)]) {
            claim.record_incarnation(node, incarnation);
        }
        claim.responses.insert(from, response);
        self.act_on_responses(now, claim_id, out);
    }

    /// Called when a replica can't be reached: claims that are collecting grants no longer wait for its
    /// response. In other states the response stays pending, since a result must still be stored and polls
    /// are repeated anyway.
    pub fn handle_unreachable(&mut self, now: Time, node: NodeId, out: &mut Vec<ClaimAction>) {
        for id in self.claims_in_state(&ClaimState::Collecting) {
            let Some(claim) = self.claims.get_mut(&id) else { continue };
            if claim.responses.get(&node) != Some(&ReplicaResponse::Pending) {
                continue;
            }
            claim.responses.insert(node, ReplicaResponse::Uncertain(RejectReason::Unreachable));
            self.act_on_responses(now, id, out);
        }
    }

    /// Called when the link to a replica has broken. Messages in transit are lost, so pending requests are
    /// sent again.
    pub fn handle_broken_link(&mut self, now: Time, node: NodeId, out: &mut Vec<ClaimAction>) {
        for claim in self.claims.values() {
            if claim.responses.get(&node) == Some(&ReplicaResponse::Pending) {
                out.extend(claim.outgoing_message(now).map(|message| ClaimAction::Send(node, message)));
            }
        }
    }

    /// Retries, gives up or closes the claims that are due. `is_alive` returns whether a node answers probes.
    pub fn tick(&mut self, now: Time, is_alive: impl Fn(NodeId) -> bool, out: &mut Vec<ClaimAction>) {
        let due: Vec<ClaimId> =
            self.claims.values().filter(|claim| claim.is_due(now)).map(|claim| claim.id).collect();
        for id in due {
            self.handle_due_claim(now, id, &is_alive, out);
        }
    }

    /// Gives up and closes a claim whose key has expired, gives up one past `give_up_at`, and sends a retry that is due.
    fn handle_due_claim(
        &mut self,
        now: Time,
        id: ClaimId,
        is_alive: &impl Fn(NodeId) -> bool,
        out: &mut Vec<ClaimAction>,
    ) {
        let Some(claim) = self.claims.get(&id) else { return };
        if claim.has_expired(now) {
            // An attempt still waits if this process stood still past its deadline.
            self.give_up(id, out);
            return self.remove(id);
        }
        if now >= claim.give_up_at {
            self.give_up(id, out);
        }
        let Some(claim) = self.claims.get_mut(&id) else { return };
        if now < claim.retry_at || claim.state == ClaimState::Granted {
            return;
        }
        let quorum_stored_at = claim.quorum_stored_at;
        if quorum_stored_at.is_some_and(|at| now >= at + FULL_REPLICATION_TIMEOUT) {
            return self.remove(id);
        }
        match claim.state {
            ClaimState::Collecting => claim.reconsider_responses(is_alive),
            ClaimState::AwaitingRemoteRun => claim.reset_responses(),
            ClaimState::Granted | ClaimState::Replicating { .. } => {}
        }
        // Once a quorum has stored the result, only replicas that answer probes are sent it again.
        claim.send_and_schedule_retry(now, |node| quorum_stored_at.is_none() || is_alive(node), out);
        self.act_on_responses(now, id, out);
    }

    /// Notifies the attempt of a claim that has reached `give_up_at`, and closes the claim. A granted claim
    /// stays unchanged. If a result is being replicated, the attempt is notified that no quorum has stored
    /// it, and the replication continues.
    fn give_up(&mut self, id: ClaimId, out: &mut Vec<ClaimAction>) {
        let Some(claim) = self.claims.get_mut(&id) else { return };
        let outcome = match claim.state {
            ClaimState::Granted => return,
            ClaimState::Replicating { .. } => return claim.report_stored_by_quorum(false, out),
            ClaimState::Collecting => {
                claim.release(out);
                // A conflicting run may have started, and its outcome is unknown. Each retry resets the
                // `Blocked` responses to pending, so only `Blocked` responses received since the last retry
                // count.
                if claim.is_blocked() {
                    ClaimOutcome::Unknown
                } else {
                    ClaimOutcome::Rejected(RejectReason::DeadlineExceeded)
                }
            }
            ClaimState::AwaitingRemoteRun => ClaimOutcome::Unknown,
        };
        out.push(ClaimAction::Notify(claim.attempt, outcome));
        self.remove(id);
    }

    fn remove(&mut self, id: ClaimId) {
        if let Some(claim) = self.claims.remove(&id) {
            if self.by_attempt.get(&claim.attempt) == Some(&id) {
                self.by_attempt.remove(&claim.attempt);
            }
        }
    }

    /// Rejects the attempts whose claims are still collecting grants. Called after the node was suspended or
    /// lost its state, because its knowledge of its peers may then be outdated. Claims that wait for a remote
    /// run stay open, because they hold no grants.
    pub fn reject_collecting(&mut self, out: &mut Vec<ClaimAction>) {
        for id in self.claims_in_state(&ClaimState::Collecting) {
            if let Some(claim) = self.claims.get(&id) {
                claim.release(out);
                let outcome = ClaimOutcome::Rejected(RejectReason::NoQuorum);
                out.push(ClaimAction::Notify(claim.attempt, outcome));
            }
            self.remove(id);
        }
    }

    /// Returns the message that tells a replica the outcome of a claim of this node: the result, or that no
    /// run started. Returns `None` while the outcome is not known. `predecessor_alive` is true while the
    /// process of an earlier incarnation may still complete its runs.
    pub fn resolve(
        &self,
        now: Time,
        key: &Key,
        claim_id: ClaimId,
        body_digest: BodyDigest,
        predecessor_alive: bool,
    ) -> Option<Message> {
        if let Some(open) = self.claims.get(&claim_id) {
            return match open.state {
                ClaimState::Replicating { .. } => open.outgoing_message(now),
                ClaimState::AwaitingRemoteRun => Some(Message::Release { key: key.clone(), claim: claim_id }),
                ClaimState::Collecting | ClaimState::Granted => None,
            };
        }
        if claim_id.incarnation == self.incarnation {
            // A closed claim is answered with a release, whether it was closed without a run, after its
            // result was stored, when its key expired, or by `release` during replication.
            return Some(Message::Release { key: key.clone(), claim: claim_id });
        }
        // The claim was made in an earlier incarnation whose state is lost, so its run counts as abandoned.
        // If a replica receives the actual result later, that result replaces the abandoned one. `retain_ms:
        // 0` leaves the replica's expiry unchanged.
        let run = CompletedRun::abandoned(claim_id, body_digest);
        let is_lost = claim_id.incarnation < self.incarnation && !predecessor_alive;
        is_lost.then(|| Message::Completed { key: key.clone(), retain_ms: 0, run })
    }

    /// Checks whether the responses received so far decide a claim, and acts on the decision.
    fn act_on_responses(&mut self, now: Time, id: ClaimId, out: &mut Vec<ClaimAction>) {
        let Some(claim) = self.claims.get_mut(&id) else { return };
        match claim.state {
            ClaimState::Granted => {}
            ClaimState::Replicating { .. } => {
                if claim.is_stored_by_quorum() {
                    claim.quorum_stored_at.get_or_insert(now);
                    claim.report_stored_by_quorum(true, out);
                }
                if claim.is_stored_by_all() {
                    self.remove(id);
                }
            }
            ClaimState::Collecting | ClaimState::AwaitingRemoteRun => {
                if let Some(decision) = claim.evaluate_responses() {
                    self.apply_decision(now, id, decision, out);
                }
            }
        }
    }

    fn apply_decision(&mut self, now: Time, id: ClaimId, decision: Decision, out: &mut Vec<ClaimAction>) {
        let Some(claim) = self.claims.get_mut(&id) else { return };
        let is_awaiting_remote_run = claim.state == ClaimState::AwaitingRemoteRun;
        match decision {
            Decision::Granted => {
                claim.state = ClaimState::Granted;
                out.push(ClaimAction::Notify(claim.attempt, ClaimOutcome::Granted));
            }
            Decision::AwaitingRemoteRun if is_awaiting_remote_run => {}
            Decision::AwaitingRemoteRun => {
                claim.release(out);
                claim.state = ClaimState::AwaitingRemoteRun;
                claim.retry_interval = POLL_INTERVAL;
                claim.retry_at = now + POLL_INTERVAL;
                out.push(ClaimAction::Notify(claim.attempt, ClaimOutcome::AwaitingRemoteRun));
            }
            Decision::Final(outcome) => {
                if !is_awaiting_remote_run {
                    claim.release(out);
                }
                out.push(ClaimAction::Notify(claim.attempt, outcome));
                self.remove(id);
            }
        }
    }
}

#[cfg(test)]
mod tests;
