//! Simulation of whole fleets in virtual time, with up to 300 nodes, thousands of keys and random faults that
//! a seed determines. A failed test prints its seed. The environment variable `OAKWIND_SIM_SEED` sets the
//! first seed, which replays a failure, and `OAKWIND_SIM_SEEDS` sets the number of consecutive seeds.

#[path = "../common/mod.rs"]
mod common;
mod machine;
mod observed;
mod simulator;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use common::config;
use oakwind_fleet::membership::config::MembershipConfig;
use oakwind_fleet::replica_node::ReplicaNode;
use oakwind_fleet::Time;
use rand::seq::SliceRandom;
use rand::Rng;

use machine::{Disk, SimEvent};
use observed::Observed;
use simulator::{ms, Sim, RELIABLE, UNRELIABLE, WINDOW};

fn seeds(default_count: u64) -> std::ops::Range<u64> {
    let variable = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let first = variable("OAKWIND_SIM_SEED").unwrap_or(1);
    first..first + variable("OAKWIND_SIM_SEEDS").unwrap_or(default_count)
}

/// Time for which the fleet runs before the load and the faults begin.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// Duration of the load and of the faults.
const FAULT_TIME: Duration = Duration::from_secs(12);
/// Number of zones of the fleet.
const ZONES: usize = 3;

/// Returns a random time within the fault period.
fn random_fault_time(sim: &mut Sim) -> Time {
    SETTLING_TIME + FAULT_TIME.mul_f64(sim.rng.random())
}

fn schedule_kills(sim: &mut Sim, nodes: usize, durable: bool) {
    for _ in 0..(nodes / 4).min(24) {
        let node = sim.rng.random_range(0..nodes);
        let at = random_fault_time(sim);
        let disk = [Disk::Intact, Disk::Lost, Disk::OldBackup][sim.rng.random_range(0..3)];
        let down = ms(sim.rng.random_range(50..2000));
        if disk == Disk::OldBackup && durable {
            let backed_up_at = at.saturating_sub(ms(sim.rng.random_range(3500..9000)));
            sim.schedule(backed_up_at, node, SimEvent::BackUpDisk);
        }
        sim.schedule(at, node, SimEvent::Kill { down, disk });
    }
}

fn schedule_suspensions(sim: &mut Sim, nodes: usize) {
    for _ in 0..(nodes / 8).min(12) {
        let node = sim.rng.random_range(0..nodes);
        let at = random_fault_time(sim);
        let suspended_for = ms(sim.rng.random_range(500..4000));
        sim.schedule(at, node, SimEvent::Suspend(suspended_for));
    }
}

fn schedule_partitions(sim: &mut Sim) {
    for _ in 0..2 {
        let zone = sim.rng.random_range(0..ZONES);
        let at = random_fault_time(sim);
        let until = at + ms(sim.rng.random_range(500..3000));
        sim.schedule(at, 0, SimEvent::Partition { zone, until });
    }
}

/// Schedules a configuration change in which one node leaves and one joins, and of which the nodes are
/// notified at different times. Returns the new configuration.
fn schedule_config_change(sim: &mut Sim, nodes: usize) -> Arc<MembershipConfig> {
    let next: Vec<usize> = (0..=nodes).filter(|n| *n != 1).collect();
    let next = config(2, &next, ZONES, WINDOW);
    let mut notified: Vec<usize> = (0..nodes).filter(|n| *n != 1).collect();
    notified.shuffle(&mut sim.rng);
    for node in notified {
        let at = SETTLING_TIME + ms(4000) + ms(sim.rng.random_range(0..3000));
        sim.schedule(at, node, SimEvent::Propose(next.clone()));
    }
    sim.schedule(SETTLING_TIME + ms(5000), nodes, SimEvent::Start);
    next
}

/// Checks that after the faults requests are granted again on every member.
fn check_service_after_faults(sim: &mut Sim, nodes: usize, keys: usize) {
    sim.link_quality = RELIABLE;
    sim.play(SETTLING_TIME + FAULT_TIME + ms(16_000));
    let outcomes_before = std::mem::take(&mut sim.observed.outcomes);
    let now = sim.now;
    sim.load(keys..keys + 200, now, ms(1000), nodes);
    sim.play(now + ms(5000));
    let outcomes_after = std::mem::replace(&mut sim.observed.outcomes, outcomes_before);
    // Attempts at the node that left the fleet are rejected.
    if outcomes_after.get("granted").is_none_or(|granted| *granted < 180) {
        let lacks_quorum =
            |n: &usize| sim.machines[*n].replica.as_ref().is_some_and(|replica| !replica.has_quorum());
        let first_without_quorum = (0..nodes).find(lacks_quorum);
        sim.observed.violations.push(format!(
            "fewer than 180 of 200 requests were granted after the faults: {outcomes_after:?}; \
                 first node without a quorum: {first_without_quorum:?}"
        ));
    }
}

/// Simulates a period of random faults and then a period without faults. Returns the observations.
fn simulate_faults(seed: u64, nodes: usize, keys: usize, durable: bool) -> Observed {
    let mut sim = Sim::new(seed, nodes, ZONES, durable, UNRELIABLE);
    sim.play(SETTLING_TIME);
    sim.load(0..keys, SETTLING_TIME, FAULT_TIME, nodes);
    schedule_kills(&mut sim, nodes, durable);
    schedule_suspensions(&mut sim, nodes);
    schedule_partitions(&mut sim);
    let next = schedule_config_change(&mut sim, nodes);
    sim.play(SETTLING_TIME + ms(4500));
    sim.config = next;
    sim.play(SETTLING_TIME + FAULT_TIME + ms(6000));
    check_service_after_faults(&mut sim, nodes, keys);
    sim.observed
}

fn assert_no_violations(seed: u64, observed: &Observed) {
    println!(
        "seed {seed}: outcomes {:?}, {} messages, {} duplicate runs reported, {} stale states detected",
        observed.outcomes, observed.messages, observed.duplicate_runs, observed.stale_states
    );
    assert!(
        observed.violations.is_empty(),
        "OAKWIND_SIM_SEED={seed}: {:#?}",
        &observed.violations[..observed.violations.len().min(10)]
    );
}

#[test]
fn twelve_nodes_with_random_faults_run_no_key_twice() {
    for seed in seeds(12) {
        assert_no_violations(seed, &simulate_faults(seed, 12, 1500, seed % 2 == 0));
    }
}

#[test]
fn three_hundred_nodes_with_random_faults_run_no_key_twice() {
    for seed in seeds(1) {
        assert_no_violations(seed, &simulate_faults(seed, 300, 10_000, false));
    }
}

#[test]
fn the_message_rate_of_failure_detection_per_node_does_not_grow_with_the_fleet() {
    let mut rates = Vec::new();
    for nodes in [3, 12, 100, 300] {
        let mut sim = Sim::new(1, nodes, 3, false, RELIABLE);
        sim.play(ms(10_000));
        let before = sim.observed.messages;
        sim.play(ms(30_000));
        let rate = (sim.observed.messages - before) as f64 / 20.0 / nodes as f64;
        println!("{nodes} nodes: {rate:.2} messages per second and node");
        rates.push(rate);
    }
    // With a probe period of 500 ms a node sends and acknowledges about two probes per second.
    assert!(rates.iter().all(|rate| *rate < 4.5), "messages per second and node: {rates:?}");
}

#[test]
fn every_node_declares_a_silent_node_dead_within_12_s_in_a_fleet_of_any_size() {
    for nodes in [12, 100, 300] {
        let mut sim = Sim::new(1, nodes, 1, false, RELIABLE);
        sim.play(ms(8000));
        sim.machines[0].replica = None;
        sim.play(ms(20_000));
        let dead_counts: BTreeSet<u64> = sim
            .machines
            .iter()
            .filter_map(|machine| machine.replica.as_ref())
            .map(|replica| replica.liveness_counts().dead)
            .collect();
        assert_eq!(dead_counts, [1].into(), "{nodes} nodes");
    }
}

/// The recovery of a fleet in which 70 % of the nodes lost their state at the same time. Times count
/// from the restart of these nodes.
#[derive(Debug)]
struct Recovery {
    /// Time until the last of these nodes had the tables of all live donors.
    caught_up: Duration,
    /// Time until the last of these nodes could vote on every key.
    complete: Duration,
    /// Maximum number of pages that a node sent within 100 ms.
    max_pages_per_interval: u64,
    /// Maximum number of pages that a node sent in total.
    max_pages_sent: u64,
}

fn simulate_recovery(seed: u64, nodes: usize) -> Recovery {
    let mut sim = Sim::new(seed, nodes, 3, true, RELIABLE);
    sim.play(ms(4000));
    let keys = nodes * 30;
    sim.load(0..keys, ms(4000), ms(2500), nodes);
    sim.play(ms(8000));
    let mut killed: Vec<usize> = (0..nodes).collect();
    killed.shuffle(&mut sim.rng);
    killed.truncate(nodes * 7 / 10);
    let (down, at) = (ms(500), sim.now);
    killed.iter().for_each(|node| sim.schedule(at, *node, SimEvent::Kill { down, disk: Disk::Lost }));
    let restarted_at = at + down;
    sim.play(restarted_at + ms(1));
    sim.observed.pages.clear();
    let (mut caught_up, mut complete) = (None, None);
    while complete.is_none() && sim.now < restarted_at + ms(30_000) {
        let next = sim.now + ms(10);
        sim.play(next);
        let all = |holds: fn(&ReplicaNode) -> bool| {
            killed.iter().all(|node| sim.machines[*node].replica.as_ref().is_some_and(holds))
        };
        caught_up = caught_up.or(all(|replica| replica.open_donors() == 0).then(|| sim.now - restarted_at));
        complete = complete.or(all(ReplicaNode::is_complete).then(|| sim.now - restarted_at));
    }
    assert!(sim.observed.violations.is_empty(), "{:#?}", sim.observed.violations);
    let pages_sent = |node: usize| {
        let by_node = sim.observed.pages.iter().filter(|(interval, _)| interval.node == node);
        by_node.map(|(_, count)| count).sum()
    };
    Recovery {
        caught_up: caught_up.unwrap_or(ms(30_000)),
        complete: complete.unwrap_or(ms(30_000)),
        max_pages_per_interval: sim.observed.pages.values().copied().max().unwrap_or(0),
        max_pages_sent: (0..nodes).map(pages_sent).max().unwrap_or(0),
    }
}

#[test]
fn recovery_time_and_donor_load_do_not_grow_with_the_size_of_the_fleet() {
    let sizes = [12, 50, 300];
    let recoveries: Vec<Recovery> = sizes.iter().map(|nodes| simulate_recovery(1, *nodes)).collect();
    for (nodes, recovery) in sizes.iter().zip(&recoveries) {
        let Recovery { caught_up, complete, max_pages_per_interval, max_pages_sent } = recovery;
        println!(
            "{nodes} nodes: caught up after {} ms, complete after {} ms, at most {max_pages_per_interval} \
             pages in 100 ms and {max_pages_sent} in total per node",
            caught_up.as_millis(),
            complete.as_millis()
        );
    }
    let (small, large) = (&recoveries[0], &recoveries[sizes.len() - 1]);
    assert!(large.complete < small.complete.mul_f64(1.15), "{recoveries:?}");
    assert!(recoveries.iter().all(|recovery| recovery.caught_up < ms(2000)), "{recoveries:?}");
    assert!(recoveries.iter().all(|recovery| recovery.max_pages_per_interval <= 160), "{recoveries:?}");
}
