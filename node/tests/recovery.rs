//! The way back of fleets whose nodes talk, as processes: most restart at once, lose what they knew, find an old copy of it,
//! or see another time, and a second thing goes wrong meanwhile. No booking runs twice, nothing is refused that ran, nothing
//! is lost, and every return has an end. The verdict rests on the rules and on what follows what, never on speed.

mod plays;

use std::collections::{BTreeSet, HashMap};

use oakwind_fault_harness::check::Verdict;
use oakwind_fault_harness::history::{Event, History};

const WINDOW_MS: f64 = 3000.0;

/// Plays the way back with five nodes in three zones and these faults.
fn comes_back(faults: &[&str], changes: &[(&str, &str)]) -> (History, Verdict) {
    let faults = format!("[{}]", faults.join(", "));
    let short = [
        ("fleet.nodes", "5"),
        ("seconds", "9"),
        ("load.load", "0.4"),
        ("load.repeats", "0.7"),
        ("load.repeat_after_ms", "[20.0, 2500.0]"),
        ("rules.slack_ms", "3000"),
        ("class.1.window_ms", "3000"),
        ("fault", &faults),
    ];
    let (history, verdict) = plays::keeps_the_rules("return", &[&short, changes]);
    assert_eq!(verdict.twice_in_fleet, 0);
    (history, verdict)
}

/// What nodes said that holds this, after a time: which node.
fn said(history: &History, after: f64, what: &str) -> BTreeSet<usize> {
    let said = history.seen.iter().filter(|seen| seen.t > after).filter_map(|seen| match &seen.what {
        Event::Said { node, text } if text.contains(what) => Some(*node),
        _ => None,
    });
    said.collect()
}

/// When bookings began to run, and where.
fn bookings(history: &History) -> Vec<(f64, usize)> {
    let (mut books, mut tries, mut began) = (BTreeSet::new(), HashMap::new(), Vec::new());
    for seen in &history.seen {
        match &seen.what {
            Event::Asked { n, class: 1, .. } => drop(books.insert(*n)),
            Event::Wrote { txn, n, .. } => drop(tries.insert(*txn, *n)),
            Event::Began { txn, node } if tries.get(txn).is_some_and(|n| books.contains(n)) => {
                began.push((seen.t, *node));
            }
            _ => {}
        }
    }
    began
}

/// When the first node was up again after a time.
fn up_again(history: &History, after: f64) -> f64 {
    let up = history.seen.iter().find(|seen| seen.t > after && matches!(seen.what, Event::Up { .. }));
    up.map(|seen| seen.t).expect("a node that is up again")
}

const ALL: BTreeSet<usize> = BTreeSet::new();

fn nodes(numbers: &[usize]) -> BTreeSet<usize> {
    let mut nodes = ALL;
    nodes.extend(numbers.iter().map(|n| n - 1));
    nodes
}

const FULL: &str = "recovery: stage=full";

#[test]
fn most_restart_at_once_with_their_folders_and_go_through_every_stage() {
    let kill = "{at_s = 2, what = 'kill', nodes = ['n1', 'n2', 'n3', 'n4'], down_s = 0.5}";
    let (history, _) = comes_back(&[kill], &[("seconds", "12"), ("fleet.warm_s", "2")]);
    for stage in ["recovery: stage=catching_up", "recovery: stage=warming", FULL] {
        assert!(said(&history, 2000.0, stage).is_superset(&nodes(&[1, 2, 3, 4])), "{stage}");
    }
    assert!(said(&history, 2000.0, "replica state lost").is_empty(), "each had its folder");
    let after: BTreeSet<usize> =
        bookings(&history).iter().filter(|(at, _)| *at > 2500.0).map(|(_, node)| *node).collect();
    assert!(after.len() > 2, "bookings run again at {after:?}");
}

#[test]
fn all_folders_are_gone_and_bookings_begin_again_after_a_window_and_no_sooner() {
    let kill = "{at_s = 2, what = 'kill', part = 1.0, down_s = 0.3, folder = 'lost'}";
    let (history, _) = comes_back(&[kill], &[("seconds", "20")]);
    let up = up_again(&history, 2000.0);
    let again = bookings(&history).into_iter().find(|(at, _)| *at > up).expect("bookings run again").0;
    // What was granted just before may come again for a window, and be read late.
    assert!(again - 2000.0 > WINDOW_MS, "{again}");
    assert_eq!(said(&history, up, "replica state lost").len(), 5);
    assert_eq!(said(&history, up, "replica table complete").len(), 5);
}

#[test]
fn a_second_failure_strikes_in_the_middle_of_the_return() {
    let kill = "{at_s = 2, what = 'kill', nodes = ['n1', 'n2', 'n3', 'n4'], down_s = 0.5}";
    let again = "{at_s = 2.8, what = 'kill', nodes = ['n2', 'n4', 'n5'], down_s = 0.5}";
    let cut = "{at_s = 3.6, what = 'link', for_s = 1.0, nodes = ['n1'], between = ['peers'], traffic = {cut = true}}";
    let (history, _) = comes_back(&[kill, again, cut], &[("seconds", "12"), ("fleet.warm_s", "2")]);
    assert!(said(&history, 2800.0, FULL).is_superset(&nodes(&[1, 2, 3, 4, 5])));
}

#[test]
fn a_donor_dies_while_it_gives() {
    let lost = "{at_s = 3, what = 'kill', nodes = ['n1'], down_s = 0.3, folder = 'lost'}";
    let slow = "{at_s = 3, what = 'link', for_s = 1.5, nodes = ['n1'], between = ['peers'], traffic = {delay_ms = 60}}";
    let donor = "{at_s = 3.5, what = 'kill', nodes = ['n2', 'n3'], down_s = 0.4}";
    let (history, _) = comes_back(&[lost, slow, donor], &[("seconds", "12"), ("fleet.warm_s", "2")]);
    assert!(said(&history, 3300.0, FULL).contains(&0));
}

#[test]
fn a_node_never_gets_warm_and_its_return_ends_all_the_same() {
    let kill = "{at_s = 2, what = 'kill', nodes = ['n1', 'n2'], down_s = 0.5}";
    let slow = "{at_s = 2.6, what = 'slow', nodes = ['n1'], factor = 0.1, for_s = 9}";
    let (history, _) = comes_back(&[kill, slow], &[("seconds", "12"), ("fleet.warm_s", "2")]);
    assert!(said(&history, 2500.0, FULL).is_superset(&nodes(&[1, 2])));
}

#[test]
fn half_of_the_fleet_comes_back_with_the_list_before_the_last() {
    let next = "{at_s = 1, what = 'unlist', nodes = ['n5']}";
    let kill = "{at_s = 2.5, what = 'kill', nodes = ['n1', 'n2', 'n3'], down_s = 0.5, old_list = true}";
    let (history, _) = comes_back(&[next, kill], &[("seconds", "12"), ("fleet.warm_s", "2")]);
    let learnt = said(&history, 2500.0, "membership configuration received from a peer: version=2");
    assert!(learnt.is_superset(&nodes(&[1, 2, 3])), "{learnt:?}");
    assert!(bookings(&history).iter().any(|(at, node)| *at > 3500.0 && *node < 3), "and they run bookings");
}

#[test]
fn an_old_copy_of_a_folder_is_put_back_and_noticed() {
    let old = "{at_s = 6, what = 'kill', nodes = ['n2'], down_s = 0.3, folder = 'old'}";
    let (history, _) = comes_back(&[old], &[("seconds", "12"), ("fleet.warm_s", "2")]);
    assert_eq!(said(&history, 6000.0, "restored state is stale and counts as lost"), nodes(&[2]));
    assert!(said(&history, 6000.0, "replica table complete").contains(&1), "it catches up");
}

#[test]
fn clocks_go_back_and_ahead_at_a_restart_and_under_way() {
    let hour = 3_600_000;
    let back = format!("{{at_s = 2, what = 'kill', nodes = ['n1'], down_s = 0.3, clock = '0:-{hour}'}}");
    let ahead = format!("{{at_s = 3, what = 'kill', nodes = ['n2'], down_s = 0.3, clock = '0:{hour}'}}");
    // Nodes begin some seconds before the load.
    let clocks = format!("{{n3 = '16000:-{hour}', n4 = '18000:{hour}'}}");
    let (history, _) = comes_back(&[&back, &ahead], &[("fleet.clocks", &clocks), ("fleet.folder", "true")]);
    assert!(bookings(&history).iter().any(|(at, node)| *at > 3000.0 && *node == 4));
}
