use super::*;
use std::fs;
use std::path::{Path, PathBuf};

#[test]
fn a_place_writes_a_few_lines_a_second_and_counts_the_suppressed_ones() {
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

#[test]
fn every_log_line_names_its_component_and_what_happened() {
    let sources = source_files(&Path::new(env!("CARGO_MANIFEST_DIR")).join("src"));
    let mut lines = 0;
    for path in sources {
        let source = fs::read_to_string(&path).unwrap();
        for format in log_formats(&source) {
            lines += 1;
            let mut parts = format.split(": ");
            let component = parts.next().unwrap();
            assert!(COMPONENTS.contains(&component), "{}: no component: {format:?}", path.display());
            let event = parts.next();
            assert!(
                event.is_some_and(|event| !event.contains('=')),
                "{}: no event: {format:?}",
                path.display()
            );
            let fields = parts.next();
            let has_fields = fields.is_none_or(|fields| fields.contains('=') || fields == "{transition}");
            assert!(has_fields, "{}: fields without a key: {format:?}", path.display());
        }
    }
    assert!(lines > 50, "{lines} log lines were found");
}
