use super::*;
use std::fs;
use std::path::{Path, PathBuf};

#[test]
fn a_call_site_writes_a_few_lines_a_second_and_counts_the_suppressed_ones() {
    let limiter = RateLimiter::new();
    let written = (0..50).filter(|_| limiter.admit(7).is_some()).count();
    assert_eq!(written as u64, MAX_LINES_PER_SECOND);
    assert_eq!(limiter.admit(8), Some(50 - MAX_LINES_PER_SECOND));
    assert_eq!(limiter.admit(8), Some(0));
}

/// The components that docs/on-call.md and docs/fleet-operators.md describe.
const COMPONENTS: [&str; 16] = [
    "admin",
    "decision log",
    "dispatcher",
    "fleet",
    "frontend",
    "handover",
    "heartbeat",
    "index",
    "interpreter",
    "jsonrpc",
    "reload",
    "result store",
    "server",
    "uwsgi",
    "uwsgi server",
    "vrrp",
];

/// The source files below a folder, without tests.
fn source_files(folder: &Path) -> Vec<PathBuf> {
    let mut files = Vec::new();
    for entry in fs::read_dir(folder).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            files.extend(source_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") && !path.ends_with("tests.rs") {
            files.push(path);
        }
    }
    files
}

/// The format texts of all log lines in a source file.
fn log_formats(source: &str) -> Vec<&str> {
    let calls = source.split("log!(").skip(1).filter_map(|call| call.trim_start().strip_prefix('"'));
    calls.map(|format| format.split('"').next().unwrap()).collect()
}

/// The text of the pages that describe the log lines to operators.
fn operators_pages() -> String {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../docs");
    let pages = ["on-call.md", "fleet-operators.md"];
    pages.map(|page| fs::read_to_string(docs.join(page)).unwrap()).concat()
}

/// The violated rule on the form of a log line, if any.
fn violation_of(format: &str, pages: &str) -> Option<&'static str> {
    let mut parts = format.split(": ");
    let component = parts.next().unwrap_or_default();
    let event = parts.next().unwrap_or_default();
    let values = parts.next();
    if !COMPONENTS.contains(&component) {
        Some("no component")
    } else if event.is_empty() || event.contains('=') {
        Some("no event")
    } else if values.is_some_and(|values| !values.contains('=') && values != "{transition}") {
        Some("values without a key")
    } else if event != "{notification}" && !pages.contains(&format!("{component}: {event}")) {
        Some("not on a page for operators")
    } else {
        None
    }
}

#[test]
fn every_log_line_names_its_component_and_event_and_is_on_a_page_for_operators() {
    let pages = operators_pages();
    let mut lines = 0;
    for path in source_files(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src")) {
        let source = fs::read_to_string(&path).unwrap();
        for format in log_formats(&source) {
            lines += 1;
            assert_eq!(violation_of(format, &pages), None, "{}: {format:?}", path.display());
        }
    }
    assert!(lines > 50, "{lines} log lines were found");
}

#[test]
fn log_lines_of_another_form_are_detected() {
    let pages = "`fleet: listening: address=...`";
    assert_eq!(violation_of("fleet: listening: address={address}", pages), None);
    assert_eq!(violation_of("health is good", pages), Some("no component"));
    assert_eq!(violation_of("fleet: address={address}", pages), Some("no event"));
    assert_eq!(violation_of("fleet: listening: {address}", pages), Some("values without a key"));
    assert_eq!(violation_of("fleet: closed", pages), Some("not on a page for operators"));
}
