//! Runs a scenario of the fault harness against the built `oakwind` program.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use oakwind_fault_harness::check::{check, Verdict};
use oakwind_fault_harness::history::History;
use oakwind_fault_harness::node::{Build, Programs};
use oakwind_fault_harness::play::{play, Options};
use oakwind_fault_harness::scenario::Scenario;

/// Plays the named scenario with the given keys overridden, and asserts that the checker found no violation.
///
/// Returns the recorded history and the checker's verdict, for further assertions.
pub(crate) fn play_without_violations(name: &str, overrides: &[&[(&str, &str)]]) -> (History, Verdict) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../fault-harness/scenarios/{name}.toml"));
    let overrides = overrides.iter().copied().flatten();
    let overrides: Vec<(String, String)> =
        overrides.map(|(key, value)| (key.to_string(), value.to_string())).collect();
    let scenario = Scenario::parse(&std::fs::read_to_string(path).unwrap(), &overrides).unwrap();
    let default = Build { path: PathBuf::from(env!("CARGO_BIN_EXE_oakwind")), arguments: Vec::new() };
    let programs = Programs { default, others: BTreeMap::default() };
    let history = play(&scenario, &Options { seed: None, programs, out: None, progress: false }).unwrap();
    let verdict = check(&history);
    assert!(verdict.violations.is_empty(), "seed {}: {:#?}", scenario.seed, verdict.violations);
    (history, verdict)
}
