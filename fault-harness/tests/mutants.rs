//! The checker finds rule violations in plays over sockets, with mutants in place of the program. Each mutant
//! breaks one rule on purpose.

use std::collections::BTreeMap;
use std::path::PathBuf;

use oakwind_fault_harness::check::{check, Rule, Verdict};
use oakwind_fault_harness::node::{Build, Programs};
use oakwind_fault_harness::play::{play, Options};
use oakwind_fault_harness::scenario::Scenario;

/// The deadlines are long and the load is small, so that no verdict depends on the speed of the machine.
const SCENARIO: &str = "name = 'mutants'\nseconds = 2\n[fleet]\nnodes = 3\n[rules]\nslack_ms = 4000\n\
    [[class]]\nname = 'quote'\nshare = 1\nwork_ms = 10\nlatency_objective_ms = 900\ndeadline_ms = 1500\n\
    [[class]]\nname = 'book'\nshare = 1\nwork_ms = 10\nidempotency_key = true\nidempotency_window_ms = 60000\nlatency_objective_ms = 900\ndeadline_ms = 1500\n\
    [load]\nrate = 60\nrepeat_fraction = 1.0\nrepeat_after_ms = [50, 400]\n\
    [frontends]\ncount = 2\nretries = 0\nclient_retries = 0\nregistry_delay_ms = [0, 0]\n";

fn build(mutant: &str) -> Build {
    let path = PathBuf::from(env!("CARGO_BIN_EXE_oakwind-fault-harness"));
    Build { path, arguments: vec!["--mutant".into(), mutant.into()] }
}

fn play_and_check(scenario: &str, programs: Programs) -> Verdict {
    let scenario = Scenario::parse(scenario, &[]).unwrap();
    let options = Options { seed: None, programs, out: None, progress: false };
    let verdict = check(&play(&scenario, &options).unwrap());
    assert!(verdict.written > 100, "only {} attempts were written", verdict.written);
    verdict
}

fn rules_broken_by(mutant: &str) -> Vec<Rule> {
    let programs = Programs { default: build(mutant), others: BTreeMap::default() };
    play_and_check(SCENARIO, programs).by_rule().into_keys().collect()
}

#[test]
fn node_without_a_fault_breaks_no_rule() {
    assert_eq!(rules_broken_by(""), []);
}

#[test]
fn node_that_ignores_idempotency_keys_is_reported_for_duplicate_runs() {
    assert_eq!(rules_broken_by("runs-twice"), [Rule::DuplicateRun]);
}

#[test]
fn node_that_drops_answers_is_reported_for_unanswered_attempts() {
    assert_eq!(rules_broken_by("loses-answers"), [Rule::Unanswered]);
}

#[test]
fn node_that_answers_twice_is_reported_for_duplicate_answers() {
    assert_eq!(rules_broken_by("answers-twice"), [Rule::DuplicateAnswer]);
}

#[test]
fn node_that_rejects_requests_that_ran_is_reported() {
    assert_eq!(rules_broken_by("refuses-what-ran"), [Rule::RejectedAndRan]);
}

#[test]
fn node_that_swaps_results_is_reported_for_foreign_results() {
    assert_eq!(rules_broken_by("mixes-results"), [Rule::ForeignResult]);
}

#[test]
fn node_that_changes_request_bodies_is_reported_for_corruption() {
    assert!(rules_broken_by("changes-bodies").contains(&Rule::Corrupted));
}

#[test]
fn violations_in_a_mixed_fleet_name_only_the_faulty_node() {
    let scenario = SCENARIO.replace("nodes = 3\n", "nodes = 3\nprograms = {bad = ['n2']}\n");
    let others = [("bad".to_string(), build("answers-twice"))].into();
    let violations = play_and_check(&scenario, Programs { default: build(""), others }).violations;
    assert!(
        !violations.is_empty() && violations.iter().all(|violation| violation.text.contains(" n2 ")),
        "{violations:?}"
    );
}
