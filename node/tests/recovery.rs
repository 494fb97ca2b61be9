//! Recovery of fleets of real processes that replicate: most nodes restart at once, lose their state, restore
//! a stale store or see the clock set, and a second fault occurs meanwhile. No idempotency key runs twice, no
//! request that ran is reported as rejected, no response is lost, and every recovery completes. The verdict
//! depends on the checker's rules and on the order of events, never on speed.

mod plays;

use std::collections::{BTreeSet, HashMap};

use oakwind_fault_harness::check::Verdict;
use oakwind_fault_harness::history::{Event, History};

/// The idempotency window of keyed requests in these plays.
const WINDOW_MS: f64 = 3000.0;
/// The index of the class `book`, whose requests carry an idempotency key.
const KEYED_CLASS: usize = 1;

/// Plays the recovery scenario with five nodes in three zones and the given faults, and asserts that no key ran twice.
fn assert_recovery(faults: &[&str], overrides: &[(&str, &str)]) -> (History, Verdict) {
    let faults = format!("[{}]", faults.join(", "));
    let shortened = [
        ("fleet.nodes", "5"),
        ("seconds", "9"),
        ("load.load", "0.4"),
        ("load.repeat_fraction", "0.7"),
        ("load.repeat_after_ms", "[20.0, 2500.0]"),
        ("rules.slack_ms", "3000"),
        ("class.1.idempotency_window_ms", "3000"),
        ("fault", &faults),
    ];
    let (history, verdict) = plays::play_without_violations("return", &[&shortened, overrides]);
    assert_eq!(verdict.duplicate_runs_in_fleet, 0);
    (history, verdict)
}

/// The nodes that logged a line containing `text` later than `after`, in milliseconds of the play.
fn nodes_that_logged(history: &History, after: f64, text: &str) -> BTreeSet<usize> {
    let nodes =
        history.observations.iter().filter(|seen| seen.at > after).filter_map(|seen| match &seen.event {
            Event::FleetLogged { node, text: line } if line.contains(text) => Some(*node),
            _ => None,
        });
    nodes.collect()
}

/// The start of each run of a keyed request: its time in milliseconds of the play, and its node.
fn keyed_runs(history: &History) -> Vec<(f64, usize)> {
    let (mut keyed_requests, mut attempts, mut runs) = (BTreeSet::new(), HashMap::new(), Vec::new());
    for seen in &history.observations {
        match &seen.event {
            Event::RequestSent { request, class: KEYED_CLASS, .. } => {
                keyed_requests.insert(*request);
            }
            Event::AttemptWritten { attempt, request, .. } => {
                attempts.insert(*attempt, *request);
            }
            Event::RunStarted { attempt, node }
                if attempts.get(attempt).is_some_and(|request| keyed_requests.contains(request)) =>
            {
                runs.push((seen.at, *node));
            }
            _ => {}
        }
    }
    runs
}

/// The time of the first node start later than `after`, in milliseconds of the play.
fn first_start(history: &History, after: f64) -> f64 {
    let start = history
        .observations
        .iter()
        .find(|seen| seen.at > after && matches!(seen.event, Event::NodeUp { .. }));
    start.map(|seen| seen.at).expect("a node starts after this time")
}

/// The indices of the nodes with these numbers, which count from one.
fn node_indices(numbers: &[usize]) -> BTreeSet<usize> {
    numbers.iter().map(|number| number - 1).collect()
}

/// The log line of a node that has completed its recovery.
const RECOVERED: &str = "recovery: stage=full";

#[test]
fn nodes_that_restart_with_their_stores_go_through_every_recovery_stage() {
    let kill = "{at_s = 2, what = 'kill', nodes = ['n1', 'n2', 'n3', 'n4'], down_s = 0.5}";
    let (history, _) = assert_recovery(&[kill], &[("seconds", "12"), ("fleet.warm_s", "2")]);
    for stage in ["recovery: stage=catching_up", "recovery: stage=warming", RECOVERED] {
        assert!(
            nodes_that_logged(&history, 2000.0, stage).is_superset(&node_indices(&[1, 2, 3, 4])),
            "{stage}"
        );
    }
    assert!(nodes_that_logged(&history, 2000.0, "replica state lost").is_empty(), "a node lost its store");
    let nodes_with_runs: BTreeSet<usize> =
        keyed_runs(&history).iter().filter(|(at, _)| *at > 2500.0).map(|(_, node)| *node).collect();
    assert!(nodes_with_runs.len() > 2, "keyed requests run again only at {nodes_with_runs:?}");
}

#[test]
fn keyed_requests_wait_one_window_when_all_stores_are_lost() {
    let kill = "{at_s = 2, what = 'kill', fraction = 1.0, down_s = 0.3, folder = 'erased'}";
    let (history, _) = assert_recovery(&[kill], &[("seconds", "20")]);
    let restarted_at = first_start(&history, 2000.0);
    let first_run = keyed_runs(&history)
        .into_iter()
        .find(|(at, _)| *at > restarted_at)
        .expect("a keyed request runs after the restart")
        .0;
    // A claim granted just before the kill may be retried for one window, and its retry may be read late.
    assert!(first_run - 2000.0 > WINDOW_MS, "{first_run}");
    assert_eq!(nodes_that_logged(&history, restarted_at, "replica state lost").len(), 5);
    assert_eq!(nodes_that_logged(&history, restarted_at, "replica table complete").len(), 5);
}

#[test]
fn recovery_completes_when_a_second_failure_strikes_during_it() {
    let kill = "{at_s = 2, what = 'kill', nodes = ['n1', 'n2', 'n3', 'n4'], down_s = 0.5}";
    let second_kill = "{at_s = 2.8, what = 'kill', nodes = ['n2', 'n4', 'n5'], down_s = 0.5}";
    let cut_links = "{at_s = 3.6, what = 'link', duration_s = 1.0, nodes = ['n1'], between = ['peers'], traffic = {disconnect = true}}";
    let (history, _) =
        assert_recovery(&[kill, second_kill, cut_links], &[("seconds", "12"), ("fleet.warm_s", "2")]);
    assert!(nodes_that_logged(&history, 2800.0, RECOVERED).is_superset(&node_indices(&[1, 2, 3, 4, 5])));
}

#[test]
fn recovery_completes_when_donors_are_killed_during_state_transfer() {
    let lose_store = "{at_s = 3, what = 'kill', nodes = ['n1'], down_s = 0.3, folder = 'erased'}";
    let slow_links = "{at_s = 3, what = 'link', duration_s = 1.5, nodes = ['n1'], between = ['peers'], traffic = {delay_ms = 60}}";
    let kill_donors = "{at_s = 3.5, what = 'kill', nodes = ['n2', 'n3'], down_s = 0.4}";
    let (history, _) =
        assert_recovery(&[lose_store, slow_links, kill_donors], &[("seconds", "12"), ("fleet.warm_s", "2")]);
    assert!(nodes_that_logged(&history, 3300.0, RECOVERED).contains(&0));
}

#[test]
fn recovery_completes_when_a_node_never_warms_up() {
    let kill = "{at_s = 2, what = 'kill', nodes = ['n1', 'n2'], down_s = 0.5}";
    let slow_node = "{at_s = 2.6, what = 'slow', nodes = ['n1'], factor = 0.1, duration_s = 9}";
    let (history, _) = assert_recovery(&[kill, slow_node], &[("seconds", "12"), ("fleet.warm_s", "2")]);
    assert!(nodes_that_logged(&history, 2500.0, RECOVERED).is_superset(&node_indices(&[1, 2])));
}

#[test]
fn nodes_that_restart_with_the_previous_configuration_adopt_the_current_one() {
    let next_version = "{at_s = 1, what = 'remove_members', nodes = ['n5']}";
    let kill =
        "{at_s = 2.5, what = 'kill', nodes = ['n1', 'n2', 'n3'], down_s = 0.5, previous_membership = true}";
    let (history, _) = assert_recovery(&[next_version, kill], &[("seconds", "12"), ("fleet.warm_s", "2")]);
    let updated =
        nodes_that_logged(&history, 2500.0, "membership configuration received from a peer: version=2");
    assert!(updated.is_superset(&node_indices(&[1, 2, 3])), "{updated:?}");
    assert!(
        keyed_runs(&history).iter().any(|(at, node)| *at > 3500.0 && *node < 3),
        "no restarted node ran a keyed request"
    );
}

#[test]
fn a_restored_stale_store_is_detected_and_counts_as_lost() {
    let restore_stale = "{at_s = 6, what = 'kill', nodes = ['n2'], down_s = 0.3, folder = 'stale'}";
    let (history, _) = assert_recovery(&[restore_stale], &[("seconds", "12"), ("fleet.warm_s", "2")]);
    assert_eq!(
        nodes_that_logged(&history, 6000.0, "restored state is stale and counts as lost"),
        node_indices(&[2])
    );
    assert!(
        nodes_that_logged(&history, 6000.0, "replica table complete").contains(&1),
        "the node did not catch up"
    );
}

#[test]
fn no_key_runs_twice_when_clocks_are_set_back_and_ahead() {
    let hour_ms = 3_600_000;
    let clock_back =
        format!("{{at_s = 2, what = 'kill', nodes = ['n1'], down_s = 0.3, clock = '0:-{hour_ms}'}}");
    let clock_ahead =
        format!("{{at_s = 3, what = 'kill', nodes = ['n2'], down_s = 0.3, clock = '0:{hour_ms}'}}");
    // Nodes start some seconds before the load does.
    let clocks = format!("{{n3 = '16000:-{hour_ms}', n4 = '18000:{hour_ms}'}}");
    let (history, _) =
        assert_recovery(&[&clock_back, &clock_ahead], &[("fleet.clocks", &clocks), ("fleet.folder", "true")]);
    assert!(keyed_runs(&history).iter().any(|(at, node)| *at > 3000.0 && *node == 4));
}
