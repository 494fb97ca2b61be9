use super::files::{log_files, LogFiles};
use super::*;
use std::fs;

fn config(name: &str, max_file_bytes: u64, max_files: usize) -> DecisionLogConfig {
    let folder = std::env::temp_dir().join(format!("oakwind-records-{}-{name}", std::process::id()));
    fs::create_dir_all(&folder).unwrap();
    DecisionLogConfig { folder, max_file_bytes, max_files }
}

fn versions() -> Versions {
    Versions { settings: "s".into(), config: ConfigVersion(0), program: "1".into() }
}

fn run_decision(txn: String) -> Record {
    Record::Attempt {
        at: 5,
        decision: Decision::Run,
        txn,
        key: None,
        class: "quote".into(),
        versions: versions(),
    }
}

/// Writes the log of one process with `count` attempts; a killed process writes no stop record.
fn write_as_process(config: &DecisionLogConfig, count: usize, killed: bool) {
    let mut files = LogFiles::open(config).unwrap();
    let metrics = DecisionLogMetrics::default();
    files
        .append(&[Record::ProcessStarted { at: 1, node: "n1".into(), versions: versions() }], &metrics)
        .unwrap();
    for i in 0..count {
        files.append(&[run_decision(format!("{i:x}"))], &metrics).unwrap();
    }
    if !killed {
        files.append(&[Record::ProcessStopped { at: 9 }], &metrics).unwrap();
    }
}

#[test]
fn processes_continue_one_chain_in_a_bounded_number_of_files() {
    let config = config("chain", 400, 3);
    write_as_process(&config, 2, false);
    write_as_process(&config, 3, true);
    let journal = read_journal(&config.folder).unwrap();
    assert_eq!((journal.node.as_str(), journal.records.len(), journal.breaks.len()), ("n1", 8, 0));
    write_as_process(&config, 40, false);
    let journal = read_journal(&config.folder).unwrap();
    assert!(journal.breaks.is_empty(), "{:?}", journal.breaks);
    assert!(log_files(&config.folder).unwrap().len() == 3 && journal.records.len() < 20);
    assert!(matches!(journal.records.last(), Some(Record::ProcessStopped { .. })));
    fs::remove_dir_all(&config.folder).unwrap();
}

/// Guards against a hash chain that misses an edit: flips a bit of every byte of every file, truncates every
/// file at every offset, and removes every file. Only the removal of the oldest file is legitimate, as old
/// files are rotated out.
#[test]
fn an_edit_or_a_truncation_at_any_byte_of_any_file_is_found() {
    let config = config("edits", 300, 8);
    write_as_process(&config, 4, true);
    write_as_process(&config, 1, false);
    let all = log_files(&config.folder).unwrap();
    assert!(read_journal(&config.folder).unwrap().breaks.is_empty() && all.len() > 2);
    for path in all.values() {
        let original = fs::read(path).unwrap();
        let first = all.values().next() == Some(path);
        for at in 0..original.len() {
            let mut edited = original.clone();
            edited[at] ^= 1;
            fs::write(path, &edited).unwrap();
            assert!(!read_journal(&config.folder).unwrap().breaks.is_empty(), "{path:?}, byte {at} changed");
            fs::write(path, &original[..at]).unwrap();
            assert!(!read_journal(&config.folder).unwrap().breaks.is_empty(), "{path:?} cut at {at}");
        }
        fs::remove_file(path).unwrap();
        assert_eq!(
            read_journal(&config.folder).unwrap().breaks.is_empty(),
            first,
            "only the oldest file may be missing: {path:?}"
        );
        fs::write(path, &original).unwrap();
    }
    fs::remove_dir_all(&config.folder).unwrap();
}

#[test]
fn an_incomplete_record_of_a_killed_process_is_not_reported_as_a_break() {
    let config = config("killed", 10_000, 8);
    write_as_process(&config, 2, true);
    let path = log_files(&config.folder).unwrap().into_values().next().unwrap();
    let mut text = fs::read(&path).unwrap();
    text.extend_from_slice(b"4 00ab");
    fs::write(&path, text).unwrap();
    write_as_process(&config, 1, false);
    let journal = read_journal(&config.folder).unwrap();
    assert_eq!((journal.records.len(), journal.breaks), (6, vec![]));
    fs::remove_dir_all(&config.folder).unwrap();
}

#[test]
fn the_settings_digest_ignores_whitespace_and_the_order_of_keys() {
    let digest = |text: &str| settings_digest(&serde_json::from_str(text).unwrap());
    assert_eq!(digest("{\"a\": 1, \"b\": 2}"), digest("{\"b\":2,\"a\":1}"));
    assert_ne!(digest("{\"a\": 1}"), digest("{\"a\": 2}"));
}

/// Stored format: logs written by earlier releases must stay readable, so these texts must not change.
#[test]
fn each_kind_of_record_serializes_to_its_golden_text_and_deserializes_from_it() {
    let versions_text = r#"{"settings":"s","list":0,"program":"1"}"#;
    let attempt = |decision, key: Option<&str>| Record::Attempt {
        at: 5,
        decision,
        txn: "a1".into(),
        key: key.map(String::from),
        class: "book".into(),
        versions: versions(),
    };
    let attempt_text = |did: &str, key: &str| {
        format!(r#"{{"e":"try","at":5,"did":"{did}","txn":"a1",{key}"class":"book","by":{versions_text}}}"#)
    };
    for (record, golden) in [
        (
            Record::ProcessStarted { at: 1, node: "n1".into(), versions: versions() },
            format!(r#"{{"e":"began","at":1,"node":"n1","by":{versions_text}}}"#),
        ),
        (attempt(Decision::Run, Some("k")), attempt_text("run", r#""key":"k","#)),
        (attempt(Decision::NeverStarted, None), attempt_text("unrun", "")),
        (attempt(Decision::Served, None), attempt_text("served", "")),
        (attempt(Decision::Rejected, None), attempt_text("refused", "")),
        (attempt(Decision::Failed, None), attempt_text("failed", "")),
        (Record::Dropped { at: 7, count: 3 }, r#"{"e":"dropped","at":7,"count":3}"#.into()),
        (Record::ProcessStopped { at: 9 }, r#"{"e":"ended","at":9}"#.into()),
    ] {
        assert_eq!(serde_json::to_string(&record).unwrap(), golden);
        assert_eq!(serde_json::from_str::<Record>(&golden).unwrap(), record);
    }
}

#[test]
fn a_log_file_and_its_end_file_are_written_as_their_golden_texts() {
    let config = config("golden", 10_000, 8);
    write_as_process(&config, 1, false);
    let text = fs::read_to_string(config.folder.join("000000000001.log")).unwrap();
    assert_eq!(text, GOLDEN_FILE);
    assert_eq!(fs::read_to_string(config.folder.join("end")).unwrap(), GOLDEN_END);
    fs::remove_dir_all(&config.folder).unwrap();
}

const GOLDEN_FILE: &str = r#"1 7fc25cfeabb86fb74c2051e4a73664fd {"e":"began","at":1,"node":"n1","by":{"settings":"s","list":0,"program":"1"}}
2 d8ed9a0af9dc84642d432b3e44a63c7d {"e":"try","at":5,"did":"run","txn":"0","class":"quote","by":{"settings":"s","list":0,"program":"1"}}
3 844adf0caffcd1b5ace847044491c76d {"e":"ended","at":9}
"#;
const GOLDEN_END: &str = "3 844adf0caffcd1b5ace847044491c76d\n";
