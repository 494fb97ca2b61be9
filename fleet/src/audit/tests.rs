use super::*;
use crate::audit::decision_record::{Decision, Versions};
use crate::audit::hash_chain::{ChainBreak, ChainError};
use crate::ids::ConfigVersion;

const OPTIONS: AuditOptions = AuditOptions { from: 0, until: u64::MAX, spread_ms: 2000, window_ms: 10_000 };

fn versions(settings: &str, config: u64) -> Versions {
    Versions { settings: settings.into(), config: ConfigVersion(config), program: "1".into() }
}

fn attempt_record(at: u64, decision: Decision, txn: &str, key: Option<&str>, versions: Versions) -> Record {
    let (txn, key, class) = (txn.into(), key.map(Into::into), "book".into());
    Record::Attempt { at, decision, txn, key, class, versions }
}

/// A decision about an attempt at the request with the key "k".
fn record_with_key(at: u64, decision: Decision, txn: &str) -> Record {
    attempt_record(at, decision, txn, Some("k"), versions("s", 1))
}

fn run_record(at: u64, txn: &str, versions: Versions) -> Record {
    attempt_record(at, Decision::Run, txn, None, versions)
}

fn journal(node: &str, records: Vec<Record>) -> Journal {
    Journal { node: node.into(), records, breaks: Vec::new() }
}

#[test]
fn the_report_names_the_first_and_last_use_and_the_replacement_of_each_version() {
    let one =
        journal("n1", vec![run_record(100, "a", versions("s1", 1)), run_record(900, "b", versions("s2", 1))]);
    let two =
        journal("n2", vec![run_record(50, "c", versions("s1", 1)), run_record(1500, "d", versions("s2", 2))]);
    let report = audit(&[one, two], &OPTIONS);
    let is_settings = |version: &&VersionUse| version.kind == VersionKind::Settings;
    let settings: Vec<&VersionUse> = report.versions.iter().filter(is_settings).collect();
    assert_eq!(settings[0].first, FirstUse { at: 50, node: "n2".into() });
    assert_eq!(settings[0].replaced, Some(Replacement { at: 900, id: "s2".into() }));
    assert_eq!((settings[1].nodes.len(), settings[1].decisions, settings[1].last), (2, 2, 1500));
    assert!(report.is_clean());
}

#[test]
fn a_node_that_used_an_old_version_is_reported_with_the_duration_and_whether_it_has_updated() {
    let quick =
        journal("n1", vec![run_record(0, "a", versions("s1", 1)), run_record(1000, "b", versions("s2", 1))]);
    let slow = journal(
        "n2",
        vec![
            run_record(0, "c", versions("s1", 1)),
            run_record(2000, "d", versions("s1", 1)),
            run_record(5000, "e", versions("s1", 1)),
            run_record(6000, "f", versions("s2", 1)),
        ],
    );
    let never =
        journal("n3", vec![run_record(0, "g", versions("s1", 1)), run_record(9000, "h", versions("s1", 1))]);
    let report = audit(&[quick, slow, never], &OPTIONS);
    let straggler = |node: &str, for_ms, decisions, has_updated| Straggler {
        node: node.into(),
        kind: VersionKind::Settings,
        id: "s1".into(),
        for_ms,
        decisions,
        has_updated,
    };
    assert_eq!(report.stragglers, [straggler("n2", 4000, 2, true), straggler("n3", 8000, 1, false)]);
    assert!(!report.is_clean());
    let empty = audit(&[journal("n1", vec![])], &AuditOptions { spread_ms: 10_000, ..OPTIONS });
    assert!(empty.is_clean() && empty.nodes[0].span.is_none());
}

#[test]
fn two_runs_of_a_key_in_its_window_and_a_rejection_after_a_run_are_reported() {
    let started = |at, txn| record_with_key(at, Decision::Run, txn);
    let one = journal("n1", vec![started(100, "a"), record_with_key(200, Decision::Rejected, "a")]);
    let rejected = attempt_record(6000, Decision::Rejected, "z", None, versions("s", 1));
    let two = journal("n2", vec![started(5000, "b"), rejected]);
    let report = audit(&[one.clone(), two], &OPTIONS);
    let expected_run = |at, node: &str, txn: &str| RunRecord { at, node: node.into(), txn: txn.into() };
    assert_eq!(report.duplicate_runs[0].runs, [expected_run(100, "n1", "a"), expected_run(5000, "n2", "b")]);
    assert_eq!(report.rejected_after_run, ["a at n1"]);
    let later = audit(&[one.clone(), journal("n2", vec![started(10_100, "b")])], &OPTIONS);
    assert!(later.duplicate_runs.is_empty(), "after the window the run belongs to another request");
    let never_started = journal(
        "n2",
        vec![
            started(5000, "b"),
            record_with_key(5001, Decision::NeverStarted, "b"),
            record_with_key(5002, Decision::Rejected, "b"),
        ],
    );
    let report = audit(&[one, never_started], &OPTIONS);
    assert!(
        report.duplicate_runs.is_empty() && report.rejected_after_run.len() == 1,
        "a run that never started is not a duplicate"
    );
}

#[test]
fn missing_records_are_reported_and_a_killed_process_is_not_a_fault() {
    let started = Record::ProcessStarted { at: 1, node: "n1".into(), versions: versions("s", 1) };
    let stopped = Record::ProcessStopped { at: 5 };
    let intact = journal("n1", vec![started.clone(), stopped, started.clone()]);
    let report = audit(&[intact], &OPTIONS);
    assert!(report.nodes[0].unfinished == 1 && report.is_clean());
    let dropped = journal("n1", vec![started.clone(), Record::Dropped { at: 2, count: 7 }]);
    assert_eq!(audit(&[dropped], &OPTIONS).nodes[0].dropped, 7);
    let chain_break = ChainBreak { line: 3, error: ChainError::Modified };
    let file_break = FileBreak { file: "1.log".into(), chain_break };
    let modified = Journal { breaks: vec![file_break], ..journal("n1", vec![started]) };
    let report = audit(&[modified], &OPTIONS);
    assert_eq!(report.nodes[0].breaks, ["1.log, line 3: not as it was written"]);
    assert!(!report.is_clean());
}

#[test]
fn explain_returns_the_records_of_a_transaction_or_key_from_all_nodes_in_order() {
    let one = journal(
        "n1",
        vec![record_with_key(100, Decision::Run, "a"), record_with_key(300, Decision::Served, "a")],
    );
    let two = journal(
        "n2",
        vec![record_with_key(200, Decision::Rejected, "b"), run_record(250, "c", versions("s", 1))],
    );
    let journals = [one, two];
    let explained = |txn_or_key| {
        let records = explain(&journals, txn_or_key);
        records.iter().map(|found| (found.node, found.record.at())).collect::<Vec<_>>()
    };
    assert_eq!(explained("k"), [("n1", 100), ("n2", 200), ("n1", 300)]);
    assert_eq!(explained("b"), [("n2", 200)]);
    assert!(explained("nobody").is_empty());
}

#[test]
fn records_round_trip_through_json() {
    let records = [
        Record::ProcessStarted { at: 1, node: "n1".into(), versions: versions("s", 3) },
        attempt_record(2, Decision::Rejected, "a", None, versions("s", 3)),
        Record::Dropped { at: 3, count: 9 },
        Record::ProcessStopped { at: 4 },
    ];
    for record in records {
        let text = serde_json::to_string(&record).unwrap();
        assert_eq!(serde_json::from_str::<Record>(&text).unwrap(), record, "{text}");
    }
}
