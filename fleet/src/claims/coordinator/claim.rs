//! A single claim: the responses of its replicas, and the decision that follows from them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{
    AttemptId, ClaimAction, ClaimOutcome, RunRequest, ANSWER_MARGIN, INITIAL_RETRY_INTERVAL, LATE_READ_GRACE,
    MAX_ANSWER_MARGIN_DIVISOR, MAX_RETRY_INTERVAL,
};
use crate::ids::{ConfigVersion, Incarnation, NodeId};
use crate::membership::active_configs::ActiveConfigs;
use crate::message::{detach, ClaimRequest, ConflictingClaim, Message, RejectReason};
use crate::replication::key_state::{BodyDigest, ClaimId, CompletedRun, Key, RunResult};
use crate::{millis_ceil, Time};

/// Latest response of a replica to the message that the claim sends in its current state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum ReplicaResponse {
    /// No response yet.
    Pending,
    /// The replica granted the claim while in this incarnation.
    Granted(Incarnation),
    /// The replica knows a conflicting claim on the key whose run may have started or has completed.
    Blocked {
        conflict: ConflictingClaim,
        /// When this node received the response.
        responded_at: Time,
    },
    /// The replica knows of no run of the key.
    KeyFree,
    /// The replica could neither grant nor deny the claim, or this node could not reach it.
    Uncertain(RejectReason),
    /// The replica has stored the result.
    Stored,
}

/// Stage of a claim, from the first message to the replicas until it is closed.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum ClaimState {
    /// The replicas are asked to grant the claim.
    Collecting,
    /// A quorum has granted the claim, and its run may be in progress.
    Granted,
    /// The claim is released, and its attempt waits for the run of another claim.
    AwaitingRemoteRun,
    /// The run has completed, and its result is sent to the replicas.
    Replicating {
        result: RunResult,
        /// Whether the attempt was notified of [`ClaimOutcome::StoredByQuorum`].
        reported: bool,
    },
}

/// Decision on a claim, made from the responses to it.
pub(super) enum Decision {
    /// A quorum has granted the claim.
    Granted,
    /// A conflicting claim has precedence, and its run has not completed yet.
    AwaitingRemoteRun,
    /// The claim is closed with this outcome.
    Final(ClaimOutcome),
}

/// Replicas of a key in one configuration, and their quorum.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct ReplicaGroup {
    version: ConfigVersion,
    replicas: Vec<NodeId>,
    quorum: usize,
}

impl ReplicaGroup {
    fn has_quorum(&self, satisfies: impl Fn(NodeId) -> bool) -> bool {
        self.replicas.iter().filter(|node| satisfies(**node)).count() >= self.quorum
    }
}

/// An open claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Claim {
    pub(super) attempt: AttemptId,
    pub(super) id: ClaimId,
    key: Key,
    body_digest: BodyDigest,
    /// When the key's idempotency window ends.
    window_ends_at: Time,
    received_at: Time,
    received_unix_ms: u64,
    /// This node's index in the configuration that was newest when the claim was first made. It only breaks
    /// ties between completed runs, and does not change when the claim is made again.
    node_index: u32,
    /// Latest time at which the attempt must be notified of the outcome.
    pub(super) give_up_at: Time,
    /// The key's replicas in each active configuration.
    groups: Vec<ReplicaGroup>,
    pub(super) responses: BTreeMap<NodeId, ReplicaResponse>,
    /// Highest incarnation of each replica that any replica has reported.
    incarnations: BTreeMap<NodeId, Incarnation>,
    pub(super) state: ClaimState,
    /// When this node learned that a quorum has stored the result; `None` until then.
    pub(super) quorum_stored_at: Option<Time>,
    pub(super) retry_interval: Duration,
    pub(super) retry_at: Time,
}

impl Claim {
    pub(super) fn new(now: Time, id: ClaimId, request: RunRequest, configs: &ActiveConfigs) -> Claim {
        let RunRequest { attempt, key, body_digest, window_ends_at, received_at, received_unix_ms, deadline } =
            request;
        let max_margin = deadline.saturating_sub(now) / MAX_ANSWER_MARGIN_DIVISOR;
        let node_index = configs.newest().index_of(id.node);
        let mut claim = Claim {
            attempt,
            id,
            key: detach(&key),
            body_digest,
            window_ends_at,
            received_at,
            received_unix_ms,
            // A node that is not a member gets `u32::MAX`, which sorts last.
            node_index: node_index.and_then(|index| u32::try_from(index).ok()).unwrap_or(u32::MAX),
            give_up_at: deadline.saturating_sub(ANSWER_MARGIN.min(max_margin)),
            groups: Vec::new(),
            responses: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            state: ClaimState::Collecting,
            quorum_stored_at: None,
            retry_interval: INITIAL_RETRY_INTERVAL,
            retry_at: now + INITIAL_RETRY_INTERVAL,
        };
        claim.set_configs(configs);
        claim
    }

    /// Sets the key's replicas in the active configurations, and marks all responses as pending.
    pub(super) fn set_configs(&mut self, configs: &ActiveConfigs) {
        let groups = configs.iter().map(|config| ReplicaGroup {
            version: config.version(),
            replicas: config.replicas_of(&self.key),
            quorum: config.quorum(),
        });
        self.groups = groups.collect();
        let replicas: BTreeSet<NodeId> =
            self.groups.iter().flat_map(|group| &group.replicas).copied().collect();
        self.responses = replicas.into_iter().map(|node| (node, ReplicaResponse::Pending)).collect();
    }

    /// Resets all responses to pending, so that the next message goes to every replica.
    pub(super) fn reset_responses(&mut self) {
        for response in self.responses.values_mut() {
            *response = ReplicaResponse::Pending;
        }
    }

    /// Updates the responses before a retry. A replica whose response is pending and that does not answer
    /// probes counts as unreachable. A replica that responded `Blocked` is asked again, since the conflicting
    /// claim may have been released.
    pub(super) fn reconsider_responses(&mut self, is_alive: impl Fn(NodeId) -> bool) {
        for (node, response) in &mut self.responses {
            match response {
                ReplicaResponse::Pending if !is_alive(*node) => {
                    *response = ReplicaResponse::Uncertain(RejectReason::Unreachable);
                }
                ReplicaResponse::Blocked { .. } => *response = ReplicaResponse::Pending,
                _ => {}
            }
        }
    }

    /// Returns the message that the claim sends in its current state; `None` while its run is in progress.
    pub(super) fn outgoing_message(&self, now: Time) -> Option<Message> {
        // Replicas keep the key until its idempotency window ends.
        let retain_ms = millis_ceil(self.window_ends_at.saturating_sub(now));
        let Claim { id: claim_id, body_digest, .. } = *self;
        let key = self.key.clone();
        match &self.state {
            ClaimState::Collecting => {
                let config_versions = self.groups.iter().map(|group| group.version).collect();
                Some(Message::Claim(ClaimRequest {
                    claim: claim_id,
                    key,
                    body: body_digest,
                    retain_ms,
                    config_versions,
                }))
            }
            ClaimState::AwaitingRemoteRun => Some(Message::QueryKey { claim: claim_id, key }),
            ClaimState::Replicating { result, .. } => {
                let run = CompletedRun {
                    received_at: self.received_unix_ms,
                    node_index: self.node_index,
                    claim: claim_id,
                    result: result.clone(),
                    body: body_digest,
                };
                Some(Message::Completed { key, retain_ms, run })
            }
            ClaimState::Granted => None,
        }
    }

    /// Sends the request to the replicas whose response is pending and for which `should_send` holds.
    pub(super) fn send_requests(
        &self,
        now: Time,
        should_send: impl Fn(NodeId) -> bool,
        out: &mut Vec<ClaimAction>,
    ) {
        let Some(request) = self.outgoing_message(now) else { return };
        for (node, response) in &self.responses {
            if *response == ReplicaResponse::Pending && should_send(*node) {
                out.push(ClaimAction::Send(*node, request.clone()));
            }
        }
    }

    /// Sends the request like [`Claim::send_requests`], and schedules the next retry. Polls are sent at a
    /// fixed interval; all other requests back off exponentially.
    pub(super) fn send_and_schedule_retry(
        &mut self,
        now: Time,
        should_send: impl Fn(NodeId) -> bool,
        out: &mut Vec<ClaimAction>,
    ) {
        self.send_requests(now, should_send, out);
        self.retry_at = now + self.retry_interval;
        if self.state != ClaimState::AwaitingRemoteRun {
            self.retry_interval = (self.retry_interval * 2).min(MAX_RETRY_INTERVAL);
        }
    }

    /// Tells all replicas that no run has started under the claim and none will start.
    pub(super) fn release(&self, out: &mut Vec<ClaimAction>) {
        let message = Message::Release { key: self.key.clone(), claim: self.id };
        out.extend(self.responses.keys().map(|node| ClaimAction::Send(*node, message.clone())));
    }

    /// Notifies the attempt whether a quorum has stored its result. Repeated calls have no effect.
    pub(super) fn report_stored_by_quorum(&mut self, is_stored: bool, out: &mut Vec<ClaimAction>) {
        if let ClaimState::Replicating { reported: reported @ false, .. } = &mut self.state {
            *reported = true;
            out.push(ClaimAction::Notify(self.attempt, ClaimOutcome::StoredByQuorum(is_stored)));
        }
    }

    pub(super) fn is_replicating(&self) -> bool {
        matches!(self.state, ClaimState::Replicating { .. })
    }

    /// Whether the key's idempotency window and the grace for late reads have ended.
    pub(super) fn has_expired(&self, now: Time) -> bool {
        now >= self.window_ends_at + LATE_READ_GRACE
    }

    /// Whether the claim must be retried, given up or closed because its key has expired.
    pub(super) fn is_due(&self, now: Time) -> bool {
        let is_running = self.state == ClaimState::Granted;
        let is_reported = matches!(self.state, ClaimState::Replicating { reported: true, .. });
        let must_retry = !is_running && now >= self.retry_at;
        let must_give_up = !is_running && !is_reported && now >= self.give_up_at;
        must_retry || must_give_up || self.has_expired(now)
    }

    /// Whether `from` is a replica of the claim and the claim's state expects such a response.
    pub(super) fn accepts(&self, from: NodeId, response: &ReplicaResponse) -> bool {
        let fits_state = match response {
            ReplicaResponse::Granted(_) => self.state == ClaimState::Collecting,
            ReplicaResponse::Stored => self.is_replicating(),
            ReplicaResponse::KeyFree => self.state == ClaimState::AwaitingRemoteRun,
            ReplicaResponse::Blocked { .. } | ReplicaResponse::Uncertain(_) => {
                matches!(self.state, ClaimState::Collecting | ClaimState::AwaitingRemoteRun)
            }
            ReplicaResponse::Pending => false,
        };
        fits_state && self.responses.contains_key(&from)
    }

    pub(super) fn record_incarnation(&mut self, node: NodeId, incarnation: Incarnation) {
        let known = self.incarnations.entry(node).or_default();
        *known = incarnation.max(*known);
    }

    pub(super) fn is_blocked(&self) -> bool {
        self.conflicts().next().is_some()
    }

    pub(super) fn is_stored_by_quorum(&self) -> bool {
        self.has_quorums(|node| self.has_responded(node, &ReplicaResponse::Stored))
    }

    pub(super) fn is_stored_by_all(&self) -> bool {
        self.responses.values().all(|response| *response == ReplicaResponse::Stored)
    }

    fn has_responded(&self, node: NodeId, response: &ReplicaResponse) -> bool {
        self.responses.get(&node) == Some(response)
    }

    /// Whether in each configuration a quorum of the replicas satisfies the predicate.
    fn has_quorums(&self, satisfies: impl Fn(NodeId) -> bool) -> bool {
        self.groups.iter().all(|group| group.has_quorum(&satisfies))
    }

    /// Whether the replica granted the claim in its latest known incarnation; earlier grants do not count.
    fn is_granted_by(&self, node: NodeId) -> bool {
        let Some(ReplicaResponse::Granted(incarnation)) = self.responses.get(&node) else { return false };
        self.incarnations.get(&node) == Some(incarnation)
    }

    /// Returns the conflicting claims that replicas have reported, with the time of each response.
    fn conflicts(&self) -> impl Iterator<Item = (&ConflictingClaim, Time)> {
        self.responses.values().filter_map(|response| match response {
            ReplicaResponse::Blocked { conflict, responded_at } => Some((conflict, *responded_at)),
            _ => None,
        })
    }

    /// Makes the decision about the claim from the responses received so far; `None` if more are needed. The
    /// first rule that applies decides:
    ///
    /// 1. A conflict belongs to an earlier request whose window had ended: the attempt is rejected.
    /// 2. Any replica reports a completed run of the key: its result or a body mismatch is the outcome.
    /// 3. The claim waits for a remote run: the attempt is rejected once a quorum reports the key as free.
    /// 4. A quorum has granted the claim: the run may start.
    /// 5. Replicas that have not responded could still complete a quorum: no decision yet.
    /// 6. Otherwise [`Claim::evaluate_without_quorum`] decides.
    pub(super) fn evaluate_responses(&self) -> Option<Decision> {
        if self
            .conflicts()
            .any(|(conflict, responded_at)| self.belongs_to_earlier_request(conflict, responded_at))
        {
            return Some(Decision::Final(ClaimOutcome::Rejected(RejectReason::WindowExpired)));
        }
        let completed =
            self.conflicts().find_map(|(conflict, _)| conflict.completed.as_ref().map(|run| (conflict, run)));
        if let Some((conflict, run)) = completed {
            let outcome = if conflict.body == self.body_digest {
                ClaimOutcome::RemoteResult(run.result.clone())
            } else {
                ClaimOutcome::BodyMismatch
            };
            return Some(Decision::Final(outcome));
        }
        if self.state == ClaimState::AwaitingRemoteRun {
            let is_free = self.has_quorums(|node| self.has_responded(node, &ReplicaResponse::KeyFree));
            // The conflicting claim was released without a run. The key is not claimed again for this
            // attempt; the client may retry.
            let rejected = ClaimOutcome::Rejected(RejectReason::ClaimReleased);
            return is_free.then_some(Decision::Final(rejected));
        }
        if self.has_quorums(|node| self.is_granted_by(node)) {
            return Some(Decision::Granted);
        }
        let may_grant =
            |node: NodeId| self.is_granted_by(node) || self.has_responded(node, &ReplicaResponse::Pending);
        if self.has_quorums(may_grant) {
            return None;
        }
        self.evaluate_without_quorum()
    }

    /// Whether a conflict belongs to an earlier request with the same key whose window had ended when this
    /// request was received. `responded_at` is when the replica's response arrived here. The window ended
    /// `expired_ms` before the replica responded, so the time computed here is at or after its actual end.
    fn belongs_to_earlier_request(&self, conflict: &ConflictingClaim, responded_at: Time) -> bool {
        let window_ended_at = responded_at.saturating_sub(Duration::from_millis(conflict.expired_ms));
        conflict.expired_ms > 0 && self.received_at > window_ended_at
    }

    /// Makes the decision about a claim that can't get a quorum any more from the responses received so far.
    fn evaluate_without_quorum(&self) -> Option<Decision> {
        let Some((lowest_conflict, _)) = self.conflicts().min_by_key(|(conflict, _)| conflict.claim) else {
            let reason = self.responses.values().find_map(|response| match response {
                ReplicaResponse::Uncertain(reason) => Some(*reason),
                _ => None,
            });
            // If no replica gave a reason, the quorum is missing because grants of earlier incarnations do
            // not count.
            let reason = reason.unwrap_or(RejectReason::Recovering);
            return Some(Decision::Final(ClaimOutcome::Rejected(reason)));
        };
        // If several claims each hold the grants of some replicas, the claim with the lowest id keeps
        // retrying and the others yield. This claim also yields if a quorum of any configuration reported the
        // lowest conflicting claim: it can't get a quorum there.
        let blocked_by_lowest_conflict = |node: NodeId| match self.responses.get(&node) {
            Some(ReplicaResponse::Blocked { conflict, .. }) => conflict.claim == lowest_conflict.claim,
            _ => false,
        };
        let lowest_conflict_has_quorum =
            self.groups.iter().any(|group| group.has_quorum(blocked_by_lowest_conflict));
        if self.id < lowest_conflict.claim && !lowest_conflict_has_quorum {
            return None;
        }
        Some(if lowest_conflict.body == self.body_digest {
            Decision::AwaitingRemoteRun
        } else {
            Decision::Final(ClaimOutcome::BodyMismatch)
        })
    }
}
