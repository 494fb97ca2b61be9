//! Fleets whose nodes talk, as processes with faults between them: no booking runs twice among all nodes, nothing is
//! refused that ran, nothing is lost. The verdict rests on the rules alone, with a slack that no machine's speed uses up.

mod plays;

use std::collections::HashMap;

use oakwind_fault_harness::history::{Event, Kind};

/// Plays the scenario with five nodes in three zones and these faults, one after the other. Nodes are fresh when it
/// begins, so that it takes a window before bookings run; several faults share that time.
fn runs_once(faults: &[&str], changes: &[(&str, &str)]) {
    let faults = format!("[{}]", faults.join(", "));
    let short = [
        ("fleet.nodes", "5"),
        ("seconds", "9"),
        ("load.load", "0.4"),
        ("rules.slack_ms", "3000"),
        ("class.1.window_ms", "3000"),
        ("load.repeat_after_ms", "[20.0, 2500.0]"),
        ("fault", &faults),
    ];
    let (history, verdict) = plays::keeps_the_rules("replicated", &[&short, changes]);
    assert_eq!(verdict.twice_in_fleet, 0);
    // That nothing runs twice is easy where nothing runs.
    let (mut books, mut served) = (HashMap::new(), 0);
    for seen in &history.seen {
        match &seen.what {
            Event::Asked { n, class, .. } => drop(books.insert(("n", *n as u64), *class == 1)),
            Event::Wrote { txn, n, .. } => {
                let book = books.get(&("n", *n as u64)) == Some(&true);
                books.insert(("txn", *txn), book);
            }
            Event::Answered { txn, kind: Kind::Served(_) } => {
                served += u32::from(books.get(&("txn", *txn)) == Some(&true));
            }
            _ => {}
        }
    }
    assert!(served > 50, "{served} bookings are served");
}

#[test]
fn nodes_are_killed_between_grant_and_run_in_the_run_and_between_run_and_answer() {
    // Links that are slow let a kill fall while the copies' grants are on their way.
    let slow = "{at_s = 1, what = 'link', for_s = 2.5, nodes = ['n2'], between = ['peers'], traffic = {delay_ms = 30}}";
    let granted = "{when = {node = 'n2', event = 'written', count = 25, after_ms = 45}, what = 'kill', nodes = ['n2'], down_s = 0.5}";
    let running = "{when = {node = 'n3', event = 'began', count = 30, after_ms = 8}, what = 'kill', nodes = ['n3'], down_s = 0.5}";
    let ended =
        "{when = {node = 'n4', event = 'ended', count = 50}, what = 'kill', nodes = ['n4'], down_s = 0.5}";
    let answering = "{when = {node = 'n1', event = 'ended', count = 90, after_ms = 1}, what = 'kill', nodes = ['n1'], down_s = 0.5}";
    runs_once(&[slow, granted, running, ended, answering], &[]);
}

#[test]
fn each_link_is_cut_one_way_and_both() {
    let cut = |at: f64, node: &str, with: &str, way: &str, how: &str| {
        format!(
            "{{at_s = {at}, what = 'link', for_s = 1.2, nodes = ['{node}'], with = ['{with}'], between = ['peers'], way = '{way}', traffic = {{{how} = true}}}}"
        )
    };
    let mut faults = Vec::new();
    for (n, (node, with)) in
        [("n1", "n2"), ("n2", "n3"), ("n3", "n4"), ("n4", "n5"), ("n5", "n1")].into_iter().enumerate()
    {
        let at = 0.5 + n as f64 * 1.5;
        faults.push(cut(at, node, with, "to", "silent"));
        faults.push(cut(at + 0.4, node, with, "from", "silent"));
        faults.push(cut(at + 0.8, node, with, "both", "cut"));
    }
    runs_once(&faults.iter().map(String::as_str).collect::<Vec<_>>(), &[]);
}

#[test]
fn three_nodes_are_parted_from_two_and_repeats_come_on_both_sides() {
    let parted = "{at_s = 1.5, what = 'link', for_s = 3.0, nodes = ['n1', 'n2'], with = ['n3', 'n4', 'n5'], between = ['peers'], traffic = {silent = true}}";
    let cut = "{at_s = 6, what = 'link', for_s = 1.5, nodes = ['n1', 'n2'], with = ['n3', 'n4', 'n5'], between = ['peers'], traffic = {cut = true}}";
    runs_once(&[parted, cut], &[]);
}

#[test]
fn stopped_processes_wake_up() {
    let one = "{at_s = 1, what = 'stop', for_s = 2.0, nodes = ['n1'], program_only = true}";
    let two = "{at_s = 4, what = 'stop', for_s = 2.0, nodes = ['n2', 'n3'], program_only = true}";
    runs_once(&[one, two], &[]);
}

#[test]
fn folders_are_lost_on_one_copy_after_another_and_kept_on_others() {
    let lost = |at: u32, node: &str| {
        format!("{{at_s = {at}, what = 'kill', nodes = ['{node}'], down_s = 0.3, folder = 'lost'}}")
    };
    let kept = "{at_s = 5, what = 'kill', nodes = ['n4', 'n5'], down_s = 0.3}";
    let faults = [lost(1, "n1"), lost(3, "n2"), kept.to_string(), lost(7, "n3")];
    let faults: Vec<&str> = faults.iter().map(String::as_str).collect();
    runs_once(&faults, &[("fleet.peers.folder", "true"), ("fleet.folder", "true")]);
}

#[test]
fn a_folder_is_cut_at_a_byte_and_nodes_leave_in_waves() {
    let cut = "{at_s = 1, what = 'kill', nodes = ['n2'], down_s = 0.3, folder = 'cut'}";
    let waves = "{at_s = 3, what = 'leave', part = 1.0, waves = 5, every_s = 1.0, down_s = 0.3}";
    runs_once(&[cut, waves], &[("fleet.peers.folder", "true"), ("fleet.stop_ms", "3000")]);
}

#[test]
fn frames_come_later_than_requests_are_due() {
    let late = "{at_s = 1, what = 'link', for_s = 2.0, nodes = ['n1', 'n3'], between = ['peers'], traffic = {delay_ms = 2500, spread_ms = 500}}";
    let slow = "{at_s = 5, what = 'link', for_s = 3.0, nodes = ['n2'], between = ['peers'], traffic = {delay_ms = 40, spread_ms = 200, kb_per_s = 20}}";
    runs_once(&[late, slow], &[]);
}

#[test]
fn the_list_changes_under_load() {
    let comes = "{at_s = 1, what = 'enlist', nodes = ['n5']}";
    let goes = "{at_s = 4, what = 'unlist', nodes = ['n2']}";
    let gone = "{at_s = 6, what = 'leave', nodes = ['n2']}";
    runs_once(&[comes, goes, gone], &[("fleet.peers.later", "1"), ("fleet.stop_ms", "3000")]);
}

#[test]
fn most_of_the_fleet_is_killed_at_once() {
    let kill = "{at_s = 2, what = 'kill', nodes = ['n1', 'n2', 'n3', 'n4'], down_s = 0.5}";
    runs_once(&[kill], &[("seconds", "16")]);
}
