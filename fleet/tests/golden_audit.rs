//! Golden tests for the JSON that the audit prints and for the text of hash chain errors. Operators' tools
//! read both, so neither may change.

use oakwind_fleet::audit::decision_record::{Decision, FileBreak, Journal, Record, Versions};
use oakwind_fleet::audit::hash_chain::{ChainBreak, ChainError};
use oakwind_fleet::audit::{audit, explain, AuditOptions};
use oakwind_fleet::ids::ConfigVersion;

fn versions(settings: &str, config: u64) -> Versions {
    Versions { settings: settings.into(), config: ConfigVersion(config), program: "1.2.3".into() }
}

fn attempt_record(at: u64, decision: Decision, txn: &str, key: Option<&str>, versions: Versions) -> Record {
    let (txn, key, class) = (txn.into(), key.map(Into::into), "book".into());
    Record::Attempt { at, decision, txn, key, class, versions }
}

/// Returns the journals of two nodes with a duplicate run, a rejection after a run, stragglers, dropped
/// records and a broken chain.
fn journals() -> [Journal; 2] {
    let chain_break = ChainBreak { line: 7, error: ChainError::Missing { expected: 8, found: 9 } };
    let first = Journal {
        node: "n1".into(),
        records: vec![
            Record::ProcessStarted { at: 100, node: "n1".into(), versions: versions("s1", 1) },
            attempt_record(200, Decision::Run, "a", Some("k"), versions("s1", 1)),
            attempt_record(300, Decision::Rejected, "a", Some("k"), versions("s2", 2)),
            Record::Dropped { at: 400, count: 3 },
        ],
        breaks: vec![FileBreak { file: "1.log".into(), chain_break }],
    };
    let second = Journal {
        node: "n2".into(),
        records: vec![
            attempt_record(250, Decision::Run, "b", Some("k"), versions("s1", 1)),
            attempt_record(5000, Decision::Served, "b", Some("k"), versions("s1", 1)),
            attempt_record(5100, Decision::Failed, "c", None, versions("s2", 2)),
            Record::ProcessStopped { at: 6000 },
        ],
        breaks: vec![],
    };
    [first, second]
}

#[test]
fn the_json_of_an_audit_report_is_unchanged() {
    let options = AuditOptions { from: 0, until: u64::MAX, spread_ms: 2000, window_ms: 10_000 };
    let report = serde_json::to_string(&audit(&journals(), &options)).unwrap();
    let golden = concat!(
        r#"{"nodes":[{"node":"n1","records":4,"span":[100,400],"#,
        r#""dropped":3,"unfinished":1,"breaks":["1.log, line 7: record 9 where 8 was due"]},"#,
        r#"{"node":"n2","records":4,"span":[250,6000],"dropped":0,"unfinished":0,"breaks":[]}],"#,
        r#""versions":[{"kind":"settings","id":"s1","first":[100,"n1"],"#,
        r#""last":5000,"nodes":["n1","n2"],"decisions":3,"replaced":[300,"s2"]},"#,
        r#"{"kind":"settings","id":"s2","first":[300,"n1"],"last":5100,"nodes":["n1","n2"],"#,
        r#""decisions":2,"replaced":null},{"kind":"list","id":"1","first":[100,"n1"],"#,
        r#""last":5000,"nodes":["n1","n2"],"decisions":3,"replaced":[300,"2"]},"#,
        r#"{"kind":"list","id":"2","first":[300,"n1"],"last":5100,"nodes":["n1","n2"],"#,
        r#""decisions":2,"replaced":null},{"kind":"program","id":"1.2.3","first":[100,"n1"],"#,
        r#""last":5100,"nodes":["n1","n2"],"decisions":5,"replaced":null}],"#,
        r#""stragglers":[{"node":"n2","kind":"settings","id":"s1","for_ms":4700,"decisions":1,"#,
        r#""is_level":true},"#,
        r#"{"node":"n2","kind":"list","id":"1","for_ms":4700,"decisions":1,"is_level":true}],"#,
        r#""twice":[{"key":"k","runs":[[200,"n1","a"],[250,"n2","b"]]}],"#,
        r#""refused_and_ran":["a at n1"]}"#,
    );
    assert_eq!(report, golden);
}

#[test]
fn the_json_of_an_explanation_is_unchanged() {
    let explanation = serde_json::to_string(&explain(&journals(), "k")).unwrap();
    let golden = concat!(
        r#"[["n1",{"e":"try","at":200,"did":"run","txn":"a","key":"k","class":"book","#,
        r#""by":{"settings":"s1","list":1,"program":"1.2.3"}}],["n2",{"e":"try","at":250,"#,
        r#""did":"run","txn":"b","key":"k","class":"book","by":{"settings":"s1","list":1,"#,
        r#""program":"1.2.3"}}],["n1",{"e":"try","at":300,"did":"refused","txn":"a","key":"k","#,
        r#""class":"book","by":{"settings":"s2","list":2,"program":"1.2.3"}}],["n2",{"e":"try","#,
        r#""at":5000,"did":"served","txn":"b","key":"k","class":"book","by":{"settings":"s1","#,
        r#""list":1,"program":"1.2.3"}}]]"#,
    );
    assert_eq!(explanation, golden);
}

#[test]
fn the_texts_of_hash_chain_errors_are_unchanged() {
    let errors = [
        (ChainError::Unreadable, "no record"),
        (ChainError::Missing { expected: 8, found: 9 }, "record 9 where 8 was due"),
        (ChainError::Modified, "not as it was written"),
        (ChainError::Incomplete, "not whole, as a process that ends in the middle leaves it"),
        (ChainError::Truncated { last: 5 }, "records are gone from the end: 5 was the last"),
    ];
    for (error, text) in errors {
        assert_eq!(ChainBreak { line: 7, error }.to_string(), format!("line 7: {text}"));
    }
}
