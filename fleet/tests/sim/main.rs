//! Simulation of whole fleets in virtual time: up to 300 nodes, thousands of keys, and faults drawn by a
//! seed. The seed of a failure is printed; `OAKWIND_SIM_SEED` replays one, `OAKWIND_SIM_SEEDS` simulates
//! this many from there on.

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

fn seeds(usual: u64) -> std::ops::Range<u64> {
    let set = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let first = set("OAKWIND_SIM_SEED").unwrap_or(1);
    first..first + set("OAKWIND_SIM_SEEDS").unwrap_or(usual)
}

/// How long the fleet runs before the load and the faults begin.
const SETTLING_TIME: Duration = Duration::from_secs(3);
/// How long load and faults last.
const FAULT_TIME: Duration = Duration::from_secs(12);
/// The zones of the fleet.
const ZONES: usize = 3;

/// A random moment while faults happen.
fn random_moment(sim: &mut Sim) -> Time {
    SETTLING_TIME + FAULT_TIME.mul_f64(sim.rng.random())
}

fn schedule_kills(sim: &mut Sim, nodes: usize, durable: bool) {
    for _ in 0..(nodes / 4).min(24) {
        let node = sim.rng.random_range(0..nodes);
        let at = random_moment(sim);
        let disk = [Disk::Intact, Disk::Lost, Disk::OldCopy][sim.rng.random_range(0..3)];
        let down = ms(sim.rng.random_range(50..2000));
        if disk == Disk::OldCopy && durable {
            let made = at.saturating_sub(ms(sim.rng.random_range(3500..9000)));
            sim.at(made, node, SimEvent::Copy);
        }
        sim.at(at, node, SimEvent::Kill { down, disk });
    }
}

fn schedule_suspensions(sim: &mut Sim, nodes: usize) {
    for _ in 0..(nodes / 8).min(12) {
        let node = sim.rng.random_range(0..nodes);
        let at = random_moment(sim);
        let suspended_for = ms(sim.rng.random_range(500..4000));
        sim.at(at, node, SimEvent::Suspend(suspended_for));
    }
}

fn schedule_partitions(sim: &mut Sim) {
    for _ in 0..2 {
        let zone = sim.rng.random_range(0..ZONES);
        let at = random_moment(sim);
        let until = at + ms(sim.rng.random_range(500..3000));
        sim.at(at, 0, SimEvent::Partition { zone, until });
    }
}

/// One node leaves and one joins; every node learns it at another time. Returns the configuration that follows.
fn schedule_config_change(sim: &mut Sim, nodes: usize) -> Arc<MembershipConfig> {
    let next: Vec<usize> = (0..=nodes).filter(|n| *n != 1).collect();
    let next = config(2, &next, ZONES, WINDOW);
    let mut notified: Vec<usize> = (0..nodes).filter(|n| *n != 1).collect();
    notified.shuffle(&mut sim.rng);
    for node in notified {
        let at = SETTLING_TIME + ms(4000) + ms(sim.rng.random_range(0..3000));
        sim.at(at, node, SimEvent::Propose(next.clone()));
    }
    sim.at(SETTLING_TIME + ms(5000), nodes, SimEvent::Start);
    next
}

/// Once the faults are over, requests run again on every node.
fn check_service_after_faults(sim: &mut Sim, nodes: usize, keys: usize) {
    sim.link_quality = RELIABLE;
    sim.play(SETTLING_TIME + FAULT_TIME + ms(16_000));
    let ended_before = std::mem::take(&mut sim.observed.ended);
    let now = sim.now;
    sim.load(keys..keys + 200, now, ms(1000), nodes);
    sim.play(now + ms(5000));
    let ended_after = std::mem::replace(&mut sim.observed.ended, ended_before);
    // Attempts at the node that is no member any more are rejected.
    if ended_after.get("granted").is_none_or(|granted| *granted < 180) {
        let lacks_quorum =
            |n: &usize| sim.machines[*n].replica.as_ref().is_some_and(|replica| !replica.has_quorum());
        let first = (0..nodes).find(lacks_quorum);
        sim.observed
            .violations
            .push(format!("of 200 requests after the faults: {ended_after:?}; without a quorum: {first:?}"));
    }
}

/// Random faults for some seconds, then calm. Returns what was observed.
fn faults(seed: u64, nodes: usize, keys: usize, durable: bool) -> Observed {
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

fn assert_promises(seed: u64, observed: &Observed) {
    println!(
        "seed {seed}: {:?}, {} messages, {} conflicts, {} stale states detected",
        observed.ended, observed.messages, observed.conflicts, observed.stale_states
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
        assert_promises(seed, &faults(seed, 12, 1500, seed % 2 == 0));
    }
}

#[test]
fn three_hundred_nodes_with_random_faults_run_no_key_twice() {
    for seed in seeds(1) {
        assert_promises(seed, &faults(seed, 300, 10_000, false));
    }
}

#[test]
fn the_cost_of_failure_detection_per_node_does_not_grow_with_the_fleet() {
    let mut costs = Vec::new();
    for nodes in [3, 12, 100, 300] {
        let mut sim = Sim::new(1, nodes, 3, false, RELIABLE);
        sim.play(ms(10_000));
        let before = sim.observed.messages;
        sim.play(ms(30_000));
        let each = (sim.observed.messages - before) as f64 / 20.0 / nodes as f64;
        println!("{nodes} nodes: {each:.2} messages a second and node");
        costs.push(each);
    }
    assert!(costs.iter().all(|cost| *cost < 4.5), "a probe and its answer twice a second: {costs:?}");
}

#[test]
fn a_silent_node_is_dead_to_all_within_a_bounded_time_whatever_the_size_of_the_fleet() {
    for nodes in [12, 100, 300] {
        let mut sim = Sim::new(1, nodes, 1, false, RELIABLE);
        sim.play(ms(8000));
        sim.machines[0].replica = None;
        sim.play(ms(20_000));
        let dead: BTreeSet<u64> = sim
            .machines
            .iter()
            .filter_map(|m| m.replica.as_ref())
            .map(|replica| replica.liveness_counts().dead)
            .collect();
        assert_eq!(dead, [1].into(), "{nodes} nodes");
    }
}

/// How a fleet recovered of which seven in ten nodes lost their state at the same time.
#[derive(Debug)]
struct Recovery {
    /// Until the last of them had the tables of all nodes that were up.
    caught_up: Duration,
    /// Until the last of them could vote for every key.
    complete: Duration,
    /// The most pages that a node sent within a tenth of a second, and in total.
    busiest: u64,
    pages_sent: u64,
}

fn recovery(seed: u64, nodes: usize) -> Recovery {
    let mut sim = Sim::new(seed, nodes, 3, true, RELIABLE);
    sim.play(ms(4000));
    let keys = nodes * 30;
    sim.load(0..keys, ms(4000), ms(2500), nodes);
    sim.play(ms(8000));
    let mut struck: Vec<usize> = (0..nodes).collect();
    struck.shuffle(&mut sim.rng);
    struck.truncate(nodes * 7 / 10);
    let (down, at) = (ms(500), sim.now);
    struck.iter().for_each(|node| sim.at(at, *node, SimEvent::Kill { down, disk: Disk::Lost }));
    let up = at + down;
    sim.play(up + ms(1));
    sim.observed.pages.clear();
    let (mut caught_up, mut complete) = (None, None);
    while complete.is_none() && sim.now < up + ms(30_000) {
        let next = sim.now + ms(10);
        sim.play(next);
        let all = |holds: fn(&ReplicaNode) -> bool| {
            struck.iter().all(|node| sim.machines[*node].replica.as_ref().is_some_and(holds))
        };
        caught_up = caught_up.or(all(|replica| replica.open_donors() == 0).then(|| sim.now - up));
        complete = complete.or(all(ReplicaNode::is_complete).then(|| sim.now - up));
    }
    assert!(sim.observed.violations.is_empty(), "{:#?}", sim.observed.violations);
    let pages_sent = |node: usize| {
        let by_node = sim.observed.pages.iter().filter(|(interval, _)| interval.node == node);
        by_node.map(|(_, count)| count).sum()
    };
    Recovery {
        caught_up: caught_up.unwrap_or(ms(30_000)),
        complete: complete.unwrap_or(ms(30_000)),
        busiest: sim.observed.pages.values().copied().max().unwrap_or(0),
        pages_sent: (0..nodes).map(pages_sent).max().unwrap_or(0),
    }
}

#[test]
fn recovery_of_seven_in_ten_takes_a_window_and_overloads_no_donor_whatever_the_size_of_the_fleet() {
    let sizes = [12, 50, 300];
    let recoveries: Vec<Recovery> = sizes.iter().map(|nodes| recovery(1, *nodes)).collect();
    for (nodes, Recovery { caught_up, complete, busiest, pages_sent }) in sizes.iter().zip(&recoveries) {
        println!(
            "nodes,{nodes},caught up ms,{},complete ms,{},most pages in 100 ms,{busiest},pages in all,{pages_sent}",
            caught_up.as_millis(),
            complete.as_millis()
        );
    }
    let (small, large) = (&recoveries[0], &recoveries[sizes.len() - 1]);
    assert!(large.complete < small.complete.mul_f64(1.15), "{recoveries:?}");
    assert!(recoveries.iter().all(|recovery| recovery.caught_up < ms(2000)), "{recoveries:?}");
    assert!(recoveries.iter().all(|recovery| recovery.busiest <= 160), "{recoveries:?}");
}
