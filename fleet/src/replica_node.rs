//! The state machine of one node. It combines membership, failure detection, the replica table, the claims
//! of the node's own attempts and state transfer.
//!
//! [`ReplicaNode::handle`] takes an [`Event`] and the current time, and emits the resulting [`Action`]s.
//! Messages that a node sends to itself are delivered within the call.

mod configs;
mod event;
mod incarnation;
mod messages;
mod metrics;
mod notification;
mod runs;
mod state_sync;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::claims::coordinator::ClaimCoordinator;
use crate::envelope::{ReceivedMessage, Response};
use crate::ids::{Incarnation, LinkId, NodeId};
use crate::membership::active_configs::ActiveConfigs;
use crate::membership::config::MembershipConfig;
use crate::membership::failure_detector::{FailureDetector, LivenessCounts, Outbound};
use crate::message::{Hello, Liveness, Message};
use crate::recovery::donor::Donor;
use crate::recovery::stages::{Conditions, RecoveryStages, Stage};
use crate::recovery::staleness::{StalenessTracker, StatePosition};
use crate::recovery::state_transfer::StateTransfer;
use crate::replication::replica_table::ReplicaTable;
use crate::Time;

pub use event::{Action, Event, RestoredState, Settings, StoreSequence};
pub use metrics::ReplicaMetrics;
pub use notification::Notification;

/// Maximum interval between two [`Event::Tick`]s.
pub const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// A gap between two events that is longer than this means that the process was suspended.
const SUSPENSION_THRESHOLD: Duration = Duration::from_secs(1);

/// Whether this process participates in the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Participation {
    Active,
    /// A successor process of this node has taken over.
    Deactivated,
    /// Another process runs under this node's name.
    Superseded,
}

/// The node's backend, which has started.
#[derive(Debug, Clone, Copy)]
struct Backend {
    /// When the cores are warm; `None` if they did not start cold.
    warm_at: Option<Time>,
}

/// One node of the fleet.
#[derive(Debug, Clone)]
pub struct ReplicaNode {
    id: NodeId,
    name: String,
    incarnation: Incarnation,
    is_durable: bool,
    configs: ActiveConfigs,
    failure_detector: FailureDetector,
    table: ReplicaTable,
    claims: ClaimCoordinator,
    state_transfer: StateTransfer,
    donor: Donor,
    staleness: StalenessTracker,
    /// When this incarnation began, on this process's clock.
    incarnation_began_at: Time,
    recovery: RecoveryStages,
    /// The backend; `None` until it has started.
    backend: Option<Backend>,
    /// Position of the restored state; `None` if this incarnation does not rely on restored state.
    restored: Option<StatePosition>,
    participation: Participation,
    /// Whether the loss of state was reported in this incarnation.
    reported_state_loss: bool,
    has_quorum: bool,
    /// Whether a majority was heard in this incarnation. Before that, no peer relies on the incarnation's
    /// number.
    had_quorum: bool,
    predecessor_alive: bool,
    last_event_at: Time,
    /// Messages from this node to itself that are not delivered yet.
    loopback: VecDeque<Message>,
    last_sequence: StoreSequence,
    /// Responses that must not be sent before a change is stored, by the change's number.
    awaiting_store: BTreeMap<StoreSequence, Vec<Response>>,
    /// Peers that have a configuration which conflicts with an active one of this node.
    conflicting_peers: BTreeSet<NodeId>,
    metrics: ReplicaMetrics,
}

impl ReplicaNode {
    /// Creates a node that starts at `now` with this configuration.
    pub fn new(settings: Settings, config: Arc<MembershipConfig>, now: Time) -> ReplicaNode {
        let id = NodeId::of(&settings.name);
        let Settings { name, incarnation, seed, transfer_bytes_per_s, restored, is_durable, .. } = settings;
        let position = restored.as_ref().map(|restored| restored.position);
        let mut table = ReplicaTable::new(id, incarnation, settings.max_table_bytes, restored.is_some(), now);
        table.restore(now, restored.map(|restored| restored.records).unwrap_or_default());
        let configs = ActiveConfigs::new(id, config);
        let mut failure_detector = FailureDetector::new(id, incarnation, seed, settings.probe_period);
        failure_detector.set_members(&configs.all_members());
        let mut node = ReplicaNode {
            id,
            name,
            incarnation,
            is_durable,
            configs,
            failure_detector,
            table,
            claims: ClaimCoordinator::new(id, incarnation),
            state_transfer: StateTransfer::new(transfer_bytes_per_s, seed ^ id.0, now),
            donor: Donor::new(transfer_bytes_per_s, now),
            staleness: StalenessTracker::default(),
            incarnation_began_at: now,
            recovery: RecoveryStages::new(now),
            backend: None,
            restored: position,
            participation: Participation::Active,
            reported_state_loss: false,
            has_quorum: false,
            had_quorum: false,
            predecessor_alive: false,
            last_event_at: now,
            loopback: VecDeque::new(),
            last_sequence: 0,
            awaiting_store: BTreeMap::new(),
            conflicting_peers: BTreeSet::new(),
            metrics: ReplicaMetrics::default(),
        };
        node.state_transfer.start(&node.other_members());
        node
    }

    fn other_members(&self) -> BTreeSet<NodeId> {
        self.configs.all_members().into_iter().filter(|node| *node != self.id).collect()
    }

    /// Returns the message with which the node introduces itself to node `to`.
    pub fn hello(&self, to: NodeId) -> Hello {
        Hello {
            name: self.name.clone(),
            to,
            incarnation: self.incarnation,
            configs: self.configs.signatures(),
            retired_through: self.configs.retired_through(),
            link_cut: false,
            uptime_seconds: self.position().uptime_seconds,
            restored: self.restored,
        }
    }

    /// Returns the current position of the node's state, which is stored along with the state.
    pub fn position(&self) -> StatePosition {
        let uptime = self.last_event_at.saturating_sub(self.incarnation_began_at);
        StatePosition { incarnation: self.incarnation, uptime_seconds: uptime.as_secs() }
    }

    /// Returns the node's id.
    pub fn id(&self) -> NodeId {
        self.id
    }

    /// Returns the node's incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the membership configurations that are active at this node.
    pub fn configs(&self) -> &ActiveConfigs {
        &self.configs
    }

    /// Returns the node's replica of the key table.
    pub fn table(&self) -> &ReplicaTable {
        &self.table
    }

    /// Whether the node makes and grants claims: its process is active and has heard a majority of the
    /// members.
    pub fn has_quorum(&self) -> bool {
        self.has_quorum && self.participation == Participation::Active
    }

    /// Whether the node can vote for every key.
    pub fn is_complete(&self) -> bool {
        self.table.is_complete()
    }

    /// Returns the number of donors whose tables are not transferred in full yet.
    pub fn open_donors(&self) -> usize {
        self.state_transfer.open_donors()
    }

    /// Returns the number of members by liveness.
    pub fn liveness_counts(&self) -> LivenessCounts {
        self.failure_detector.counts()
    }

    /// Returns the node's counters.
    pub fn metrics(&self) -> ReplicaMetrics {
        self.metrics
    }

    /// Returns the number of open claims of the node's own attempts.
    pub fn open_claims(&self) -> usize {
        self.claims.open_claims()
    }

    /// Returns the longest time until the node can vote for every key; zero if it can.
    pub fn time_until_complete(&self, now: Time) -> Duration {
        self.table.time_until_complete(now, &self.configs).unwrap_or_default()
    }

    /// Returns the stage of the node's recovery.
    pub fn stage(&self) -> Stage {
        self.recovery.stage()
    }

    /// Handles an event and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let since_last_event = now.saturating_sub(self.last_event_at);
        self.last_event_at = self.last_event_at.max(now);
        if since_last_event > SUSPENSION_THRESHOLD {
            self.resume(since_last_event, out);
        }
        if self.participation == Participation::Active {
            // Once a successor process owns the store, peers must not receive a later position than the
            // stored one.
            self.failure_detector.set_uptime(self.position().uptime_seconds);
        }
        self.handle_event(now, event, out);
        while let Some(message) = self.loopback.pop_front() {
            let received = ReceivedMessage {
                link: LinkId::LOOPBACK,
                from: self.id,
                incarnation: self.incarnation,
                message,
            };
            self.handle_message(now, received, out);
        }
    }

    fn handle_event(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::RunRequested(request) => self.request_run(now, request, out),
            Event::RunCompleted(attempt, result) => {
                self.with_claims(out, |claims, actions| claims.complete_run(now, attempt, result, actions));
            }
            Event::RunCancelled(attempt) => {
                self.with_claims(out, |claims, actions| claims.release(attempt, actions));
            }
            Event::MessageReceived(received) => self.handle_message(now, received, out),
            Event::PeerUnreachable(node) => {
                self.with_claims(out, |claims, actions| claims.handle_unreachable(now, node, actions));
                self.with_failure_detector(out, |detector, outbound| {
                    detector.handle_unreachable(node, outbound);
                });
            }
            Event::LinkBroken(node) => {
                self.with_claims(out, |claims, actions| claims.handle_broken_link(now, node, actions));
            }
            Event::ConfigProposed(config) => self.propose_config(now, config, out),
            Event::StoreFinished { sequence, stored } => self.finish_store(sequence, stored, out),
            Event::Deactivated => {
                if self.participation == Participation::Active {
                    self.participation = Participation::Deactivated;
                }
            }
            Event::Activated(incarnation) => self.activate(now, incarnation, out),
            Event::PredecessorAlive(is_alive) => self.predecessor_alive = is_alive,
            Event::BackendStarted { warm_at } => self.backend = Some(Backend { warm_at }),
            Event::Tick => self.tick(now, out),
        }
    }

    fn tick(&mut self, now: Time, out: &mut Vec<Action>) {
        self.report_state_loss(now, out);
        if self.table.tick(now, &self.configs) {
            self.report_table_complete(out);
        }
        if let Some(retired) = self.configs.tick(now) {
            out.push(Action::Notify(Notification::ConfigRetired(retired)));
            self.apply_configs(now, out);
        }
        let has_quorum = self.has_quorum;
        self.with_failure_detector(out, |detector, outbound| detector.tick(now, has_quorum, outbound));
        let mut actions = Vec::new();
        let detector = &self.failure_detector;
        self.claims.tick(now, |node| detector.liveness(node) == Liveness::Alive, &mut actions);
        self.apply_claim_actions(actions, out);
        if self.has_quorum {
            self.request_pages(now, out);
        }
        self.serve_pages(now, out);
        self.check_quorum(out);
        self.advance_recovery(now, out);
    }

    fn is_alive(&self, node: NodeId) -> bool {
        self.failure_detector.liveness(node) == Liveness::Alive
    }

    /// Sets `has_quorum` once a majority of the newest configuration's members has been heard. This node
    /// counts as heard.
    fn check_quorum(&mut self, out: &mut Vec<Action>) {
        if self.has_quorum {
            return;
        }
        let config = self.configs.newest();
        let confirmed = self.failure_detector.confirmed();
        let is_heard = |node: &&NodeId| **node == self.id || confirmed.contains(node);
        let heard = config.ids().iter().filter(is_heard).count();
        if heard > config.ids().len() / 2 {
            self.has_quorum = true;
            self.had_quorum = true;
            out.push(Action::Notify(Notification::QuorumReached));
        }
    }

    fn advance_recovery(&mut self, now: Time, out: &mut Vec<Action>) {
        let conditions = Conditions {
            backend_running: self.backend.is_some(),
            has_quorum: self.has_quorum(),
            caught_up: self.table.is_complete() || !self.state_transfer.is_open(|node| self.is_alive(node)),
            warm_at: self.backend.and_then(|backend| backend.warm_at),
        };
        let before = self.recovery.permissions();
        while let Some(transition) = self.recovery.tick(now, conditions) {
            out.push(Action::Notify(Notification::StageChanged(transition)));
        }
        let permissions = self.recovery.permissions();
        if permissions != before {
            self.donor.set_rate_fraction(now, permissions.donor_rate);
            out.push(Action::SetPermissions(permissions));
        }
    }

    fn with_failure_detector(
        &mut self,
        out: &mut Vec<Action>,
        act: impl FnOnce(&mut FailureDetector, &mut Vec<Outbound>),
    ) {
        let mut outbound = Vec::new();
        act(&mut self.failure_detector, &mut outbound);
        for message in outbound {
            match message {
                Outbound::Send(node, message) => self.send(node, message, out),
                Outbound::Respond(link, message) => out.push(Action::Respond(link, message)),
            }
        }
    }

    fn send(&mut self, node: NodeId, message: Message, out: &mut Vec<Action>) {
        if node == self.id {
            self.loopback.push_back(message);
        } else {
            out.push(Action::Send(node, message));
        }
    }

    fn respond(&mut self, link: LinkId, message: Message, out: &mut Vec<Action>) {
        if link == LinkId::LOOPBACK {
            self.loopback.push_back(message);
        } else {
            out.push(Action::Respond(link, message));
        }
    }
}

#[cfg(test)]
mod tests;
