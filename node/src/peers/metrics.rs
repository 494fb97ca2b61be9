//! Counters and gauges of the replica node and its links.

use std::cell::{Cell, RefCell};

use oakwind_fleet::ids::ConfigVersion;
use oakwind_fleet::replica_node::{ReplicaMetrics, ReplicaNode};
use oakwind_fleet::Time;

use super::links::LinkTable;
use crate::clock;
use crate::metrics::Metric;

/// Counters and gauges of the replica node and its links; the driver updates them with each tick.
#[derive(Debug, Default)]
pub(crate) struct PeerMetrics {
    counters: Cell<ReplicaMetrics>,
    /// The version of the newest membership configuration.
    pub(crate) membership_version: Cell<ConfigVersion>,
    gauges: RefCell<Vec<Metric>>,
}

impl PeerMetrics {
    /// All metrics under the names shown to operators, without the prefix.
    pub(crate) fn values(&self) -> Vec<Metric> {
        let counters = self.counters.get();
        let mut values = vec![
            Metric::new("fleet_granted", counters.granted),
            Metric::new("fleet_turned", counters.rejected),
            Metric::new("fleet_became", counters.remote_outcomes),
            Metric::new("fleet_unknown", counters.unknown_outcomes),
            Metric::new("fleet_held", counters.replicated),
            Metric::new("fleet_unheld", counters.unreplicated),
            Metric::new("fleet_votes", counters.votes_granted),
            Metric::new("fleet_votes_refused", counters.votes_rejected),
            Metric::new("fleet_learnt", counters.records_received),
            Metric::new("fleet_given", counters.records_sent),
            Metric::new("fleet_conflicts", counters.conflicts),
            Metric::new("fleet_slept", counters.suspensions),
            Metric::new("fleet_sent_away", counters.transfers_deferred),
            Metric::new("fleet_outdated", counters.stale_states),
        ];
        values.extend_from_slice(&self.gauges.borrow());
        values
    }

    /// Copies the current values of the node and its links.
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

fn node_gauges(node: &ReplicaNode, now: Time) -> Vec<Metric> {
    let liveness = node.liveness_counts();
    let table = node.table().size();
    vec![
        Metric::new("fleet_list", node.configs().newest().version().0),
        Metric::new("fleet_lists", node.configs().count() as u64),
        Metric::new("fleet_stage", node.stage() as u64),
        Metric::new("fleet_waits_ms", clock::millis(node.time_until_complete(now))),
        Metric::new("fleet_level", u64::from(node.has_quorum())),
        Metric::new("fleet_sound", u64::from(node.is_complete())),
        Metric::new("fleet_alive", liveness.alive),
        Metric::new("fleet_suspect", liveness.suspect),
        Metric::new("fleet_lost", liveness.dead),
        Metric::new("fleet_behind", node.open_donors() as u64),
        Metric::new("fleet_open", node.open_claims() as u64),
        Metric::new("fleet_keys", table.keys as u64),
        Metric::new("fleet_bytes", table.bytes as u64),
    ]
}

fn link_gauges(links: &LinkTable) -> Vec<Metric> {
    let counters = &links.metrics;
    vec![
        Metric::new("fleet_links", links.len() as u64),
        Metric::new("fleet_links_cut", counters.overflows.get()),
        Metric::new("fleet_nonsense", counters.protocol_errors.get()),
        Metric::new("fleet_later_frames", counters.unknown_kinds.get()),
        Metric::new("fleet_frames_in", counters.messages_received.get()),
        Metric::new("fleet_frames_out", counters.messages_sent.get()),
        Metric::new("fleet_bytes_in", counters.bytes_received.get()),
        Metric::new("fleet_bytes_out", counters.bytes_sent.get()),
    ]
}
