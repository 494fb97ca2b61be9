//! Simulation of whole fleets in virtual time: up to 300 nodes, thousands of keys, and faults drawn by a
//! seed. The seed of a failure is printed; `OAKWIND_SIM_SEED` replays one, `OAKWIND_SIM_SEEDS` simulates
//! this many from there on.

#[path = "../common/mod.rs"]
mod common;
mod machine;
mod simulator;

use std::collections::BTreeSet;
use std::time::Duration;

use common::config;
use oakwind_fleet::replica_node::ReplicaNode;
use rand::seq::SliceRandom;
use rand::Rng;

use machine::{Disk, SimEvent};
use simulator::{ms, Observed, Sim, RELIABLE, UNRELIABLE, WINDOW};

fn seeds(usual: u64) -> std::ops::Range<u64> {
    let set = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let first = set("OAKWIND_SIM_SEED").unwrap_or(1);
    first..first + set("OAKWIND_SIM_SEEDS").unwrap_or(usual)
}

/// Random faults for some seconds, then calm. Returns what was observed.
fn faults(seed: u64, nodes: usize, keys: usize, durable: bool) -> Observed {
    let zones = 3;
    let mut sim = Sim::new(seed, nodes, zones, durable, UNRELIABLE);
    sim.play(ms(3000));
    let (from, over) = (ms(3000), ms(12_000));
    sim.load(0..keys, from, over, nodes);
    for _ in 0..(nodes / 4).min(24) {
        let node = sim.rng.random_range(0..nodes);
        let at = from + over.mul_f64(sim.rng.random());
        let disk = [Disk::Intact, Disk::Lost, Disk::OldCopy][sim.rng.random_range(0..3)];
        let down = ms(sim.rng.random_range(50..2000));
        if disk == Disk::OldCopy && durable {
            let made = at.saturating_sub(ms(sim.rng.random_range(3500..9000)));
            sim.at(made, node, SimEvent::Copy);
        }
        sim.at(at, node, SimEvent::Kill { down, disk });
    }
    for _ in 0..(nodes / 8).min(12) {
        let node = sim.rng.random_range(0..nodes);
        let at = from + over.mul_f64(sim.rng.random());
        let slept = ms(sim.rng.random_range(500..4000));
        sim.at(at, node, SimEvent::Suspend(slept));
    }
    for _ in 0..2 {
        let zone = sim.rng.random_range(0..zones);
        let at = from + over.mul_f64(sim.rng.random());
        let until = at + ms(sim.rng.random_range(500..3000));
        sim.at(at, 0, SimEvent::Partition { zone, until });
    }
    // One node leaves and one joins; every node learns it at another time.
    let next: Vec<usize> = (0..=nodes).filter(|n| *n != 1).collect();
    let next = config(2, &next, zones, WINDOW);
    let mut told: Vec<usize> = (0..nodes).filter(|n| *n != 1).collect();
    told.shuffle(&mut sim.rng);
    for node in told {
        let at = from + ms(4000) + ms(sim.rng.random_range(0..3000));
        sim.at(at, node, SimEvent::Propose(next.clone()));
    }
    sim.at(from + ms(5000), nodes, SimEvent::Start);
    sim.play(from + ms(4500));
    sim.config = next;
    sim.play(from + over + ms(6000));
    // Once the faults are over, requests run again on every node.
    sim.link_quality = RELIABLE;
    sim.play(from + over + ms(16_000));
    let in_trouble = std::mem::take(&mut sim.observed.ended);
    let now = sim.now;
    sim.load(keys..keys + 200, now, ms(1000), nodes);
    sim.play(now + ms(5000));
    let calm = std::mem::replace(&mut sim.observed.ended, in_trouble);
    // Attempts at the node that is no member any more are rejected.
    if calm.get("granted").is_none_or(|granted| *granted < 180) {
        let first = (0..nodes)
            .find(|n| sim.machines[*n].replica.as_ref().is_some_and(|replica| !replica.has_quorum()));
        sim.observed
            .violations
            .push(format!("of 200 requests after the faults: {calm:?}; without a quorum: {first:?}"));
    }
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
    let pages_sent =
        |node: usize| sim.observed.pages.iter().filter(|((from, _), _)| *from == node).map(|(_, n)| n).sum();
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
