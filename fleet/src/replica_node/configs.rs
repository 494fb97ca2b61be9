//! Adoption of membership configurations from operators and from peers.

use std::sync::Arc;

use super::{Action, Notification, ReplicaNode};
use crate::ids::NodeId;
use crate::membership::active_configs::Proposal;
use crate::membership::config::{MembershipConfig, MembershipSpec};
use crate::message::{Hello, Message};
use crate::Time;

impl ReplicaNode {
    pub(super) fn propose_config(&mut self, now: Time, config: Arc<MembershipConfig>, out: &mut Vec<Action>) {
        let version = config.version();
        match self.configs.propose(config) {
            Ok(Proposal::Adopted) => {
                out.push(Action::Notify(Notification::ConfigAdopted(version)));
                self.apply_configs(now, out);
            }
            Ok(Proposal::Unchanged) => {}
            Err(error) => out.push(Action::Notify(Notification::ConfigRejected(error))),
        }
    }

    /// Applies a change of the active configurations to the failure detector, state transfers and open
    /// claims, and announces it to the peers.
    pub(super) fn apply_configs(&mut self, now: Time, out: &mut Vec<Action>) {
        let others = self.other_members();
        self.failure_detector.set_members(&self.configs.all_members());
        self.staleness.retain(|node| others.contains(&node));
        self.state_transfer.retain_donors(&others);
        for node in others {
            if !self.table.has_synced_from(node) && !self.state_transfer.has_donor(node) {
                self.state_transfer.add_donor(node);
            }
        }
        let mut actions = Vec::new();
        self.claims.reconfigure(now, &self.configs, &mut actions);
        self.apply_claim_actions(actions, out);
        out.push(Action::SendHello);
    }

    /// Compares the peer's active configurations with this node's. Retires those that the peer has retired,
    /// and requests those that are missing here.
    pub(super) fn compare_configs(&mut self, now: Time, from: NodeId, hello: &Hello, out: &mut Vec<Action>) {
        if let Some(newest) = hello.configs.last() {
            self.configs.record_adopted(from, newest.version);
        }
        if self.configs.retire_through(hello.retired_through) {
            out.push(Action::Notify(Notification::ConfigRetired(hello.retired_through)));
            self.apply_configs(now, out);
        }
        let retired_through = self.configs.retired_through();
        let has_retired = hello.configs.iter().any(|signature| signature.version <= retired_through);
        if hello.configs.len() > 1 && has_retired {
            // As long as a configuration that is retired here is active at the peer, the peer does not grant
            // this node's claims. The hello makes the peer retire it too.
            let hello = Message::Hello(self.hello(from));
            self.send(from, hello, out);
        }
        for signature in &hello.configs {
            let version = signature.version;
            if self.configs.is_missing(version) {
                self.send(from, Message::RequestMembershipConfig { version }, out);
            }
        }
    }

    pub(super) fn handle_config(
        &mut self,
        now: Time,
        from: NodeId,
        spec: MembershipSpec,
        out: &mut Vec<Action>,
    ) {
        if self.conflicting_peers.contains(&from) {
            return;
        }
        // The active configurations of a peer are valid. An invalid one is ignored.
        let Ok(config) = MembershipConfig::new(spec) else { return };
        let version = config.version();
        if self.configs.add_from_peer(Arc::new(config)) {
            out.push(Action::Notify(Notification::ConfigReceived(version)));
            self.apply_configs(now, out);
        }
    }
}
