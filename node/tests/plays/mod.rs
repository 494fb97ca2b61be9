//! A scenario of the rig's with the real program.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use oakwind_fault_harness::check::{check, Verdict};
use oakwind_fault_harness::history::History;
use oakwind_fault_harness::node::{Build, Programs};
use oakwind_fault_harness::play::{play, Options};
use oakwind_fault_harness::scenario::Scenario;

/// Plays a scenario with these keys changed. No rule may break.
pub(crate) fn keeps_the_rules(name: &str, changes: &[&[(&str, &str)]]) -> (History, Verdict) {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("../fault-harness/scenarios/{name}.toml"));
    let changes = changes.iter().copied().flatten();
    let changes: Vec<(String, String)> =
        changes.map(|(key, value)| (key.to_string(), value.to_string())).collect();
    let scenario = Scenario::parse(&std::fs::read_to_string(path).unwrap(), &changes).unwrap();
    let default = Build { path: PathBuf::from(env!("CARGO_BIN_EXE_oakwind")), arguments: Vec::new() };
    let programs = Programs { default, others: BTreeMap::default() };
    let history = play(&scenario, &Options { seed: None, programs, out: None, progress: false }).unwrap();
    let verdict = check(&history);
    assert!(verdict.breaches.is_empty(), "seed {}: {:#?}", scenario.seed, verdict.breaches);
    (history, verdict)
}
