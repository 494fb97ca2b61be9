//! Fleets of real processes that replicate, with faults injected between them: no idempotency key runs twice in the
//! fleet, no request that ran is reported as rejected, and no response is lost. The verdict depends on the checker's rules
//! alone, with a slack wide enough for a slow machine.

mod plays;

use std::collections::HashMap;

use oakwind_fault_harness::history::{Event, Response};

/// The index of the class `book`, whose requests carry an idempotency key.
const KEYED_CLASS: usize = 1;

/// Plays the scenario with five nodes in three zones and the given faults, and asserts that no key ran twice.
///
/// Nodes start without state, so keyed requests run only after one idempotency window; a test injects several faults in one
/// play to share that time.
fn assert_no_key_runs_twice(faults: &[&str], overrides: &[(&str, &str)]) {
    let faults = format!("[{}]", faults.join(", "));
    let shortened = [
        ("fleet.nodes", "5"),
        ("seconds", "9"),
        ("load.load", "0.4"),
        ("rules.slack_ms", "3000"),
        ("class.1.idempotency_window_ms", "3000"),
        ("load.repeat_after_ms", "[20.0, 2500.0]"),
        ("fault", &faults),
    ];
    let (history, verdict) = plays::play_without_violations("replicated", &[&shortened, overrides]);
    assert_eq!(verdict.duplicate_runs_in_fleet, 0);
    // A fleet that serves no keyed request trivially runs none twice.
    let (mut keyed_requests, mut keyed_attempts, mut served) = (HashMap::new(), HashMap::new(), 0);
    for seen in &history.observations {
        match &seen.event {
            Event::RequestSent { request, class, .. } => {
                keyed_requests.insert(*request, *class == KEYED_CLASS);
            }
            Event::AttemptWritten { attempt, request, .. } => {
                let keyed = keyed_requests.get(request) == Some(&true);
                keyed_attempts.insert(*attempt, keyed);
            }
            Event::AttemptAnswered { attempt, response: Response::Served(_) } => {
                served += u32::from(keyed_attempts.get(attempt) == Some(&true));
            }
            _ => {}
        }
    }
    assert!(served > 50, "only {served} keyed requests were served");
}

#[test]
fn no_key_runs_twice_when_nodes_are_killed_before_during_and_after_the_run() {
    // Slow links let a node be killed while the replicas' grants are in transit.
    let slow_links = "{at_s = 1, what = 'link', duration_s = 2.5, nodes = ['n2'], between = ['peers'], traffic = {delay_ms = 30}}";
    let kill_after_grant = "{when = {node = 'n2', event = 'attempt_written', count = 25, after_ms = 45}, what = 'kill', nodes = ['n2'], down_s = 0.5}";
    let kill_during_run = "{when = {node = 'n3', event = 'run_started', count = 30, after_ms = 8}, what = 'kill', nodes = ['n3'], down_s = 0.5}";
    let kill_at_completion =
        "{when = {node = 'n4', event = 'run_ended', count = 50}, what = 'kill', nodes = ['n4'], down_s = 0.5}";
    let kill_before_response = "{when = {node = 'n1', event = 'run_ended', count = 90, after_ms = 1}, what = 'kill', nodes = ['n1'], down_s = 0.5}";
    assert_no_key_runs_twice(
        &[slow_links, kill_after_grant, kill_during_run, kill_at_completion, kill_before_response],
        &[],
    );
}

#[test]
fn no_key_runs_twice_when_each_link_fails_one_way_and_both_ways() {
    let link_fault = |at: f64, node: &str, with: &str, way: &str, how: &str| {
        format!(
            "{{at_s = {at}, what = 'link', duration_s = 1.2, nodes = ['{node}'], with = ['{with}'], between = ['peers'], direction = '{way}', traffic = {{{how} = true}}}}"
        )
    };
    let mut faults = Vec::new();
    for (index, (node, with)) in
        [("n1", "n2"), ("n2", "n3"), ("n3", "n4"), ("n4", "n5"), ("n5", "n1")].into_iter().enumerate()
    {
        let at = 0.5 + index as f64 * 1.5;
        faults.push(link_fault(at, node, with, "to", "blackhole"));
        faults.push(link_fault(at + 0.4, node, with, "from", "blackhole"));
        faults.push(link_fault(at + 0.8, node, with, "both", "disconnect"));
    }
    assert_no_key_runs_twice(&faults.iter().map(String::as_str).collect::<Vec<_>>(), &[]);
}

#[test]
fn no_key_runs_twice_when_retries_arrive_on_both_sides_of_a_partition() {
    let silenced = "{at_s = 1.5, what = 'link', duration_s = 3.0, nodes = ['n1', 'n2'], with = ['n3', 'n4', 'n5'], between = ['peers'], traffic = {blackhole = true}}";
    let cut = "{at_s = 6, what = 'link', duration_s = 1.5, nodes = ['n1', 'n2'], with = ['n3', 'n4', 'n5'], between = ['peers'], traffic = {disconnect = true}}";
    assert_no_key_runs_twice(&[silenced, cut], &[]);
}

#[test]
fn no_key_runs_twice_when_suspended_processes_resume() {
    let suspend_one = "{at_s = 1, what = 'pause', duration_s = 2.0, nodes = ['n1'], program_only = true}";
    let suspend_two =
        "{at_s = 4, what = 'pause', duration_s = 2.0, nodes = ['n2', 'n3'], program_only = true}";
    assert_no_key_runs_twice(&[suspend_one, suspend_two], &[]);
}

#[test]
fn no_key_runs_twice_when_one_replica_after_another_loses_its_store() {
    let lost = |at: u32, node: &str| {
        format!("{{at_s = {at}, what = 'kill', nodes = ['{node}'], down_s = 0.3, folder = 'erased'}}")
    };
    let kept = "{at_s = 5, what = 'kill', nodes = ['n4', 'n5'], down_s = 0.3}";
    let faults = [lost(1, "n1"), lost(3, "n2"), kept.to_string(), lost(7, "n3")];
    let faults: Vec<&str> = faults.iter().map(String::as_str).collect();
    assert_no_key_runs_twice(&faults, &[("fleet.peers.folder", "true"), ("fleet.folder", "true")]);
}

#[test]
fn no_key_runs_twice_with_a_truncated_store_and_a_rolling_restart() {
    let cut = "{at_s = 1, what = 'kill', nodes = ['n2'], down_s = 0.3, folder = 'truncated'}";
    let waves =
        "{at_s = 3, what = 'shutdown', fraction = 1.0, waves = 5, wave_interval_s = 1.0, down_s = 0.3}";
    assert_no_key_runs_twice(&[cut, waves], &[("fleet.peers.folder", "true"), ("fleet.stop_ms", "3000")]);
}

#[test]
fn no_key_runs_twice_when_peer_messages_arrive_after_request_deadlines() {
    let late_messages = "{at_s = 1, what = 'link', duration_s = 2.0, nodes = ['n1', 'n3'], between = ['peers'], traffic = {delay_ms = 2500, jitter_ms = 500}}";
    let slow_links = "{at_s = 5, what = 'link', duration_s = 3.0, nodes = ['n2'], between = ['peers'], traffic = {delay_ms = 40, jitter_ms = 200, kb_per_s = 20}}";
    assert_no_key_runs_twice(&[late_messages, slow_links], &[]);
}

#[test]
fn no_key_runs_twice_when_the_membership_configuration_changes_under_load() {
    let node_added = "{at_s = 1, what = 'add_members', nodes = ['n5']}";
    let node_removed = "{at_s = 4, what = 'remove_members', nodes = ['n2']}";
    let node_leaves = "{at_s = 6, what = 'shutdown', nodes = ['n2']}";
    assert_no_key_runs_twice(
        &[node_added, node_removed, node_leaves],
        &[("fleet.peers.joining_nodes", "1"), ("fleet.stop_ms", "3000")],
    );
}

#[test]
fn no_key_runs_twice_when_most_of_the_fleet_is_killed_at_once() {
    let kill = "{at_s = 2, what = 'kill', nodes = ['n1', 'n2', 'n3', 'n4'], down_s = 0.5}";
    assert_no_key_runs_twice(&[kill], &[("seconds", "16")]);
}
