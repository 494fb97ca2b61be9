//! Handling of messages from peers and of messages that the node sends to itself.

use std::time::Duration;

use super::{Action, Notification, Participation, ReplicaNode};
use crate::envelope::{ReceivedMessage, Request, Response};
use crate::ids::{Incarnation, LinkId, NodeId};
use crate::message::{ClaimRequest, Hello, Message, RejectReason};
use crate::recovery::donor::PageRequest;
use crate::recovery::staleness::StatePosition;
use crate::replication::key_state::RunConflict;
use crate::replication::replica_table::TableOutcome;
use crate::Time;

impl ReplicaNode {
    pub(super) fn handle_message(&mut self, now: Time, received: ReceivedMessage, out: &mut Vec<Action>) {
        let ReceivedMessage { link, from, incarnation, message } = received;
        // A hello states the sender's incarnation itself; the link may still have an earlier one.
        let incarnation = if let Message::Hello(hello) = &message { hello.incarnation } else { incarnation };
        if from != self.id {
            self.record_peer(from, incarnation, &message);
        }
        match message {
            Message::Hello(hello) => self.handle_hello(now, link, from, &hello, out),
            Message::Superseded { incarnation } => self.handle_superseded(incarnation, out),
            Message::RequestMembershipConfig { version } => {
                if let Some(config) = self.configs.get(version) {
                    let spec = config.spec().clone();
                    self.respond(link, Message::MembershipConfig(spec), out);
                }
            }
            Message::MembershipConfig(spec) => self.handle_config(now, from, spec, out),
            Message::Ping { .. }
            | Message::Ack { .. }
            | Message::IndirectPing { .. }
            | Message::IndirectAck { .. } => {
                self.with_failure_detector(out, |detector, outbound| {
                    detector.handle_message(now, link, from, message, outbound);
                });
                self.check_quorum(out);
            }
            Message::Granted { .. }
            | Message::Blocked { .. }
            | Message::Uncertain { .. }
            | Message::KeyFree { .. }
            | Message::Stored { .. } => {
                self.with_claims(out, |claims, actions| {
                    claims.handle_response(now, from, incarnation, message, actions);
                });
            }
            Message::StaleState { latest } => self.handle_stale_state(now, latest, out),
            message => self.handle_request(now, link, from, message, out),
        }
    }

    /// Handles requests to this node as a replica, as the owner of a claim and as a donor, and the responses
    /// of donors.
    fn handle_request(
        &mut self,
        now: Time,
        link: LinkId,
        from: NodeId,
        message: Message,
        out: &mut Vec<Action>,
    ) {
        match message {
            Message::Claim(request) => self.handle_claim(now, link, from, &request, out),
            Message::QueryKey { claim, key } => {
                let outcome = self.table.query_key(now, link, claim, &key, &self.configs);
                self.apply_table_outcome(now, outcome, out);
            }
            Message::Completed { key, retain_ms, run } => {
                let outcome = self.table.complete_run(now, link, &key, retain_ms, run);
                self.apply_table_outcome(now, outcome, out);
            }
            Message::Release { key, claim } => {
                let outcome = self.table.release(now, &key, claim);
                self.apply_table_outcome(now, outcome, out);
            }
            Message::QueryClaim { key, claim, body } => {
                if let Some(response) = self.claims.resolve(now, &key, claim, body, self.predecessor_alive) {
                    self.send(from, response, out);
                }
            }
            Message::Pull { round, from: position } => {
                let request = PageRequest { link, node: from, round, from: position };
                self.handle_page_request(now, request, out);
            }
            Message::Page(page) => self.handle_page(now, from, page, out),
            Message::Deferred { round, retry_after_ms } => {
                let retry_after = Duration::from_millis(retry_after_ms);
                self.state_transfer.defer(now, from, round, retry_after);
                self.request_pages(now, out);
            }
            // `handle_message` handles all other messages.
            _ => {}
        }
    }

    /// Records a peer's incarnation, liveness and, if the message states it, uptime.
    fn record_peer(&mut self, from: NodeId, incarnation: Incarnation, message: &Message) {
        if let Message::Ping { uptime_seconds, .. } | Message::Ack { uptime_seconds, .. } = message {
            let position = StatePosition { incarnation, uptime_seconds: *uptime_seconds };
            self.staleness.record(from, position);
        }
        self.table.record_incarnation(from, incarnation);
        self.failure_detector.record_message(from, incarnation);
    }

    fn handle_hello(&mut self, now: Time, link: LinkId, from: NodeId, hello: &Hello, out: &mut Vec<Action>) {
        self.check_incarnation(link, from, hello, out);
        let conflict = hello.configs.iter().find(|signature| self.configs.conflicts_with(**signature));
        if let Some(signature) = conflict {
            if self.conflicting_peers.insert(from) {
                let version = signature.version;
                out.push(Action::Notify(Notification::ConfigConflict { node: from, version }));
            }
            return;
        }
        self.conflicting_peers.remove(&from);
        if hello.link_cut {
            // The peer's table contains what the lost messages reported, so it is transferred.
            self.state_transfer.add_donor(from);
        }
        self.compare_configs(now, from, hello, out);
        self.check_quorum(out);
    }

    /// Notifies a peer if a later incarnation of it is known, or if the state that it restored is older than
    /// the latest position that is known of it.
    fn check_incarnation(&mut self, link: LinkId, from: NodeId, hello: &Hello, out: &mut Vec<Action>) {
        let latest = self.table.incarnation_of(from);
        if hello.incarnation < latest {
            self.respond(link, Message::Superseded { incarnation: latest }, out);
        }
        let position = StatePosition { incarnation: hello.incarnation, uptime_seconds: hello.uptime_seconds };
        self.staleness.record(from, position);
        let check = |restored| self.staleness.check(from, hello.incarnation, restored);
        if let Some(latest) = hello.restored.and_then(check) {
            self.respond(link, Message::StaleState { latest }, out);
        }
    }

    fn handle_claim(
        &mut self,
        now: Time,
        link: LinkId,
        from: NodeId,
        request: &ClaimRequest,
        out: &mut Vec<Action>,
    ) {
        if let Some(reason) = self.reason_not_to_vote(from) {
            self.metrics.votes_rejected += 1;
            return self.respond(link, Message::Uncertain { claim: request.claim, reason }, out);
        }
        let outcome = self.table.claim(now, link, request, &self.configs);
        let is_granted =
            outcome.responses.iter().any(|response| matches!(response.message, Message::Granted { .. }));
        let is_config_mismatch = matches!(
            outcome.responses[..],
            [Response { message: Message::Uncertain { reason: RejectReason::ConfigMismatch, .. }, .. }]
        );
        if is_config_mismatch {
            let hello = Message::Hello(self.hello(from));
            self.respond(link, hello, out);
        }
        if is_granted {
            self.metrics.votes_granted += 1;
        } else {
            self.metrics.votes_rejected += 1;
        }
        self.apply_table_outcome(now, outcome, out);
    }

    fn reason_not_to_vote(&self, requester: NodeId) -> Option<RejectReason> {
        if self.participation == Participation::Deactivated {
            return Some(RejectReason::Superseded);
        }
        let has_conflict = self.conflicting_peers.contains(&requester);
        self.reason_not_to_claim().or(has_conflict.then_some(RejectReason::ConfigConflict))
    }

    /// Sends the queries and responses that result from a message to the replica. Responses wait until the
    /// change is stored if the node is durable.
    fn apply_table_outcome(&mut self, now: Time, outcome: TableOutcome, out: &mut Vec<Action>) {
        let TableOutcome { responses, queries, changed_key, conflict } = outcome;
        self.report_conflicts(conflict, out);
        for Request { to, message } in queries {
            self.send(to, message, out);
        }
        if let Some(key) = changed_key.filter(|_| self.is_durable) {
            let sequence = self.store(&key, now, out);
            self.awaiting_store.insert(sequence, responses);
            return;
        }
        for Response { link, message } in responses {
            self.respond(link, message, out);
        }
    }

    pub(super) fn report_conflicts(
        &mut self,
        conflicts: impl IntoIterator<Item = RunConflict>,
        out: &mut Vec<Action>,
    ) {
        for conflict in conflicts {
            self.metrics.conflicts += 1;
            out.push(Action::Notify(Notification::DuplicateRun(conflict)));
        }
    }
}
