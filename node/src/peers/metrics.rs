//! Counters and gauges of the replica node and its links.

use std::cell::{Cell, RefCell};

use oakwind_fleet::ids::ConfigVersion;
use oakwind_fleet::replica_node::{ReplicaMetrics, ReplicaNode};
use oakwind_fleet::Time;

use super::links::LinkTable;
use crate::clock;

/// Counters and gauges that operators read; the driver updates them with each tick.
#[derive(Debug, Default)]
pub(crate) struct PeerMetrics {
    counters: Cell<ReplicaMetrics>,
    /// The version of the newest membership configuration.
    pub(crate) membership_version: Cell<ConfigVersion>,
    gauges: RefCell<Vec<(&'static str, u64)>>,
}

impl PeerMetrics {
    /// All of them by the names that operators know.
    pub(crate) fn values(&self) -> Vec<(&'static str, u64)> {
        let counters = self.counters.get();
        let mut values = vec![
            ("fleet_granted", counters.granted),
            ("fleet_turned", counters.rejected),
            ("fleet_became", counters.remote_outcomes),
            ("fleet_unknown", counters.unknown_outcomes),
            ("fleet_held", counters.replicated),
            ("fleet_unheld", counters.unreplicated),
            ("fleet_votes", counters.votes_granted),
            ("fleet_votes_refused", counters.votes_rejected),
            ("fleet_learnt", counters.records_received),
            ("fleet_given", counters.records_sent),
            ("fleet_conflicts", counters.conflicts),
            ("fleet_slept", counters.suspensions),
            ("fleet_sent_away", counters.transfers_deferred),
            ("fleet_outdated", counters.stale_states),
        ];
        values.extend(self.gauges.borrow().iter());
        values
    }

    /// Takes the values of this moment.
    pub(super) fn update(&self, node: &ReplicaNode, links: &LinkTable, now: Time) {
        self.counters.set(node.metrics());
        let version = node.configs().newest().version();
        self.membership_version.set(version);
        let mut gauges = self.gauges.borrow_mut();
        gauges.clear();
        gauges.extend(node_gauges(node, now));
        gauges.extend(link_gauges(links));
    }
}

fn node_gauges(node: &ReplicaNode, now: Time) -> [(&'static str, u64); 13] {
    let (liveness, table) = (node.liveness_counts(), node.table().size());
    [
        ("fleet_list", node.configs().newest().version().0),
        ("fleet_lists", node.configs().count() as u64),
        ("fleet_stage", node.stage() as u64),
        ("fleet_waits_ms", clock::millis(node.time_until_complete(now))),
        ("fleet_level", u64::from(node.has_quorum())),
        ("fleet_sound", u64::from(node.is_complete())),
        ("fleet_alive", liveness.alive),
        ("fleet_suspect", liveness.suspect),
        ("fleet_lost", liveness.dead),
        ("fleet_behind", node.open_donors() as u64),
        ("fleet_open", node.open_claims() as u64),
        ("fleet_keys", table.keys as u64),
        ("fleet_bytes", table.bytes as u64),
    ]
}

fn link_gauges(links: &LinkTable) -> [(&'static str, u64); 8] {
    let counters = &links.metrics;
    [
        ("fleet_links", links.len() as u64),
        ("fleet_links_cut", counters.overflows.get()),
        ("fleet_nonsense", counters.protocol_errors.get()),
        ("fleet_later_frames", counters.unknown_kinds.get()),
        ("fleet_frames_in", counters.messages_received.get()),
        ("fleet_frames_out", counters.messages_sent.get()),
        ("fleet_bytes_in", counters.bytes_received.get()),
        ("fleet_bytes_out", counters.bytes_sent.get()),
    ]
}
