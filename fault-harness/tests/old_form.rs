//! Backward compatibility: scenarios and histories in the old form, with the former names of keys, are still
//! read with the same meaning. The files in `fixtures/old-form` were written for or by a build that knew only
//! that form; the expected figures are those of that build.

use std::path::{Path, PathBuf};

use oakwind_fault_harness::check::{check, Rule, Verdict};
use oakwind_fault_harness::history::History;
use oakwind_fault_harness::predict::predict;
use oakwind_fault_harness::scenario::Scenario;
use oakwind_fault_harness::statistics::{statistics, Statistics};

fn old_form(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/old-form").join(name)
}

fn present_form(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/present-form").join(name)
}

fn old_history(name: &str) -> History {
    History::read(&old_form(name)).unwrap()
}

/// The number of violations of each rule that is broken.
fn counts(verdict: &Verdict) -> Vec<(Rule, usize)> {
    verdict.by_rule().into_iter().collect()
}

/// The fractions of requests that were served in time, served after the objective, rejected, and failed.
fn fractions(figures: &Statistics) -> [f64; 4] {
    let outcomes = figures.outcomes;
    [outcomes.in_time, outcomes.after_objective, outcomes.rejected, outcomes.failed]
}

/// New connections per second: the mean, the busiest second, and the busiest second of a single node.
fn connection_rates(figures: &Statistics) -> [f64; 3] {
    let connections = figures.connections;
    [connections.mean, connections.busiest_second, connections.busiest_node]
}

/// The peak memory in KB and the peak number of descriptors.
fn peak_use(figures: &Statistics) -> [u64; 2] {
    [figures.peak_use.memory_kb, figures.peak_use.descriptors]
}

#[test]
fn old_scenario_is_read_with_every_key() {
    let scenario = Scenario::read(&old_form("scenario.toml"), &[]).unwrap();
    assert_eq!(scenario.faults.len(), 17);
    let figures = statistics(&predict(&scenario, None));
    assert_eq!((figures.requests, figures.served, figures.p99_ms), (9235, 0.984_345_823_122_170_9, 451.839));
    assert_eq!(figures.attempts_per_request, 1.412_344_342_176_502_5);
}

#[test]
fn scenario_is_equal_in_both_forms() {
    let old = Scenario::read(&old_form("scenario.toml"), &[]).unwrap();
    let present = Scenario::read(&present_form("scenario.toml"), &[]).unwrap();
    assert_eq!(old, present);
}

/// Keys with their old and their present names, and a value that differs from the one in the fixtures.
const OVERRIDES: [(&str, &str, &str); 14] = [
    ("about", "description", "'other'"),
    ("fleet.peers.copies", "fleet.peers.replicas", "3"),
    ("class.0.aim_ms", "class.0.latency_objective_ms", "300"),
    ("class.1.worth", "class.1.weight", "3.5"),
    ("class.1.window_ms", "class.1.idempotency_window_ms", "7000"),
    ("load.repeats", "load.repeat_fraction", "0.1"),
    ("load.step.0.times", "load.step.0.rate_factor", "1.1"),
    ("fronts.heed", "frontends.retry_after_honoured", "0.9"),
    ("fronts.count", "frontends.count", "6"),
    ("below.slots", "dependency.slots", "7"),
    ("members.lapse_s", "registry.heartbeat_timeout_s", "4.0"),
    ("rules.once", "rules.run_once_per", "node"),
    ("fault.0.part", "fault.0.fraction", "0.6"),
    ("fault.8.traffic.cut", "fault.8.traffic.disconnect", "false"),
];

#[test]
fn override_in_either_form_replaces_the_value_in_a_file_of_either_form() {
    for (old_key, present_key, value) in OVERRIDES {
        let read = |path: &Path, key: &str| Scenario::read(path, &[(key.into(), value.into())]).unwrap();
        let expected = read(&present_form("scenario.toml"), present_key);
        assert_ne!(expected, Scenario::read(&present_form("scenario.toml"), &[]).unwrap(), "{present_key}");
        assert_eq!(read(&present_form("scenario.toml"), old_key), expected, "{old_key}");
        assert_eq!(read(&old_form("scenario.toml"), old_key), expected, "{old_key} in an old file");
        assert_eq!(read(&old_form("scenario.toml"), present_key), expected, "{present_key} in an old file");
    }
}

/// Collects every key whose value is not a table or a list of tables, as a dotted path with its value.
fn leaves(prefix: &str, value: &toml::Value, found: &mut Vec<(String, String)>) {
    let path = |key: &str| if prefix.is_empty() { key.to_string() } else { format!("{prefix}.{key}") };
    match value {
        toml::Value::Table(table) => table.iter().for_each(|(key, value)| leaves(&path(key), value, found)),
        toml::Value::Array(list) if list.iter().all(toml::Value::is_table) => {
            let items = list.iter().enumerate();
            items.for_each(|(position, item)| leaves(&path(&position.to_string()), item, found));
        }
        leaf => found.push((prefix.to_string(), leaf.to_string())),
    }
}

#[test]
fn every_key_of_a_file_in_one_form_overrides_a_file_in_the_other() {
    let files = [old_form("scenario.toml"), present_form("scenario.toml")];
    let expected = Scenario::read(&files[0], &[]).unwrap();
    for (keys_of, file) in [(&files[0], &files[1]), (&files[1], &files[0])] {
        let table: toml::Table = std::fs::read_to_string(keys_of).unwrap().parse().unwrap();
        let mut found = Vec::new();
        leaves("", &toml::Value::Table(table), &mut found);
        assert!(found.len() > 150, "only {} keys", found.len());
        for (key, value) in found {
            let scenario = Scenario::read(file, &[(key.clone(), value.clone())]);
            assert_eq!(scenario.unwrap(), expected, "{key} = {value}");
        }
    }
}

#[test]
fn last_of_two_overrides_in_different_forms_applies() {
    let changes = [("fronts.count".into(), "6".into()), ("frontends.count".into(), "7".into())];
    for path in [old_form("scenario.toml"), present_form("scenario.toml")] {
        assert_eq!(Scenario::read(&path, &changes).unwrap().frontends.count, 7);
    }
}

#[test]
fn override_does_not_rename_a_tenant_that_has_the_former_name_of_a_key() {
    let changes = [("load.tenants.below".into(), "0.3".into())];
    let scenario = Scenario::read(&present_form("scenario.toml"), &changes).unwrap();
    assert_eq!(scenario.load.tenants["below"], 0.3);
}

#[test]
fn file_with_a_key_in_both_forms_is_rejected_with_the_name_of_the_key() {
    let text = std::fs::read_to_string(present_form("scenario.toml")).unwrap();
    let both = text.replace("probe_ms = 300", "probe_ms = 300\ncopies = 2");
    let message = Scenario::parse(&both, &[]).unwrap_err().to_string();
    assert!(
        message.starts_with("fleet.peers") && message.contains("duplicate field `replicas`"),
        "{message}"
    );
}

#[test]
fn old_history_of_a_play_has_the_same_verdict_and_statistics() {
    let history = old_history("history.jsonl");
    assert_eq!(history.observations.len(), 1622);
    let verdict = check(&history);
    assert_eq!(counts(&verdict), []);
    assert_eq!((verdict.written, verdict.excused, verdict.duplicate_runs_in_fleet), (361, 4, 0));
    let figures = statistics(&history);
    assert_eq!(
        (figures.requests, figures.served, figures.lowest_served),
        (195, 0.505_166_666_666_666_7, 0.505_166_666_666_666_7)
    );
    assert_eq!(
        fractions(&figures),
        [
            0.492_307_692_307_692_34,
            0.112_820_512_820_512_82,
            0.348_717_948_717_948_7,
            0.046_153_846_153_846_156
        ]
    );
    assert_eq!((figures.throughput, figures.median_ms, figures.p99_ms), (23.6, 64.255, 426.751));
    assert_eq!(
        (figures.attempts_per_request, connection_rates(&figures)),
        (1.851_282_051_282_051_4, [3.8, 10.0, 4.0])
    );
    assert_eq!((peak_use(&figures), figures.cpu_us_per_attempt), ([7420, 27], 969.529_085_872_576_2));
    let recovery = figures.recovery.unwrap();
    assert_eq!(
        (recovery.before, recovery.from_start, recovery.least),
        (0.989_393_939_393_939_4, None, 0.311_485_451_761_102_6)
    );
    let faults: Vec<&str> = figures.bands.iter().map(|band| band.text.as_str()).collect();
    assert_eq!(faults, ["kill n1", "link n2", "link n3", "fronts 1", "stop n2", "below", "leave n3"]);
}

#[test]
fn old_history_with_every_kind_of_event_has_the_same_verdict_and_statistics() {
    let history = old_history("every-event.jsonl");
    assert_eq!(history.observations.len(), 87);
    let verdict = check(&history);
    let expected = [
        (Rule::Unanswered, 2),
        (Rule::DuplicateAnswer, 1),
        (Rule::DuplicateRun, 4),
        (Rule::RejectedAndRan, 2),
        (Rule::ForeignResult, 1),
        (Rule::Corrupted, 1),
        (Rule::LimitExceeded, 4),
        (Rule::Crashed, 1),
        (Rule::DualActive, 1),
    ];
    assert_eq!(counts(&verdict), expected);
    let times: Vec<f64> = verdict.violations.iter().map(|violation| violation.at).collect();
    assert_eq!(
        times,
        [
            325.0, 400.0, 412.5, 550.0, 562.5, 587.5, 637.5, 650.0, 800.0, 800.0, 812.5, 887.5, 925.0, 987.5,
            1050.0, 1150.0, 29_000.0
        ]
    );
    assert_eq!((verdict.written, verdict.excused, verdict.duplicate_runs_in_fleet), (10, 0, 5));
    let figures = statistics(&history);
    assert_eq!((figures.requests, figures.served, fractions(&figures)), (5, 0.3, [0.4, 0.0, 0.2, 0.4]));
    assert_eq!((figures.median_ms, figures.p99_ms, figures.attempts_per_request), (312.575, 425.215, 2.0));
    assert_eq!((peak_use(&figures), figures.cpu_us_per_attempt), ([4000, 120], 700.0));
}

#[test]
fn old_history_is_written_in_the_present_form_without_loss() {
    for name in ["history.jsonl", "every-event.jsonl"] {
        let old = old_history(name);
        let copy = std::env::temp_dir().join(format!("oakwind-present-{}-{name}", std::process::id()));
        old.write(&copy).unwrap();
        let text = std::fs::read_to_string(&copy).unwrap();
        let present = History::read(&copy).unwrap();
        std::fs::remove_file(&copy).unwrap();
        assert!(present == old, "{name}");
        for former in
            ["\"e\":", "\"t\":", "\"txn\":", "\"n\":", "\"wrote\"", "\"due\":", "\"refused\"", "\"aim\":"]
        {
            assert!(!text.contains(former), "{name} still has {former}");
        }
    }
}
