//! Model checking of every state that two attempts at one key on two nodes can lead to, up to a depth:
//! three replicas, messages that are lost, duplicated and reordered, one restart without state, one change
//! of the configuration. The decisions are the real ones. For each promise there is a mutant that leaves
//! its rule out, which the checker must find.
//!
//! A message that was sent may be delivered at any time and any number of times, or never: that is loss,
//! duplication and reordering at once. Time stands still, so no idempotency window ends.
//! `OAKWIND_MODEL_DEPTH` sets another depth.

#[path = "../common/mod.rs"]
mod common;
mod delivery;
mod system;
mod transitions;

use stateright::{Checker, Model};

use system::{Act, Mutant, Node, PathStep, System};

fn depth(usual: usize) -> usize {
    std::env::var("OAKWIND_MODEL_DEPTH").ok().and_then(|text| text.parse().ok()).unwrap_or(usual)
}

/// Checks all states up to a depth. Returns the rules that some state breaks.
fn broken(system: System, depth: usize) -> Vec<&'static str> {
    let (mutant, restart, change, path) = (system.mutant, system.restart, system.change, system.path.len());
    let checker = system.checker().threads(4).target_max_depth(depth).spawn_bfs().join();
    let states = checker.unique_state_count();
    let mut broken: Vec<&'static str> = checker.discoveries().into_keys().collect();
    broken.sort_unstable();
    println!(
        "{mutant:?}, restart {restart}, change {change}: {states} states to depth {depth} from step {path}: {broken:?}"
    );
    broken.retain(|name| *name != "a result is served" && *name != "an attempt gets a remote result");
    broken
}

fn system(restart: bool, change: bool) -> System {
    System { mutant: None, path: &[], restart, change }
}

#[test]
fn no_state_of_two_attempts_breaks_a_promise() {
    assert!(broken(system(false, false), depth(12)).is_empty());
}

#[test]
fn no_state_with_a_restart_without_state_breaks_a_promise() {
    assert!(broken(system(true, false), depth(9)).is_empty());
}

#[test]
fn no_state_with_a_config_change_breaks_a_promise() {
    assert!(broken(system(false, true), depth(8)).is_empty());
}

#[test]
fn no_state_with_both_breaks_a_promise() {
    assert!(broken(system(true, true), depth(7)).is_empty());
}

/// The first attempt runs, by the grants of the first two replicas.
const RUNNING: [PathStep; 5] = [
    PathStep::Do(|| Act::StartAttempt(0)),
    PathStep::Claim(0, 0),
    PathStep::Claim(0, 1),
    PathStep::Grant(0, 0),
    PathStep::Grant(1, 0),
];
const RESTARTED: PathStep = PathStep::Do(|| Act::Restart(Node(1)));

/// With the rule left out some state breaks the promise; with it none does, on the same path and to the
/// same depth.
fn assert_mutant_is_found(
    mutant: Mutant,
    path: &'static [PathStep],
    (restart, change): (bool, bool),
    depth: usize,
    rule: &str,
) {
    let broken_with = broken(System { mutant: Some(mutant), path, restart, change }, depth);
    assert!(broken_with.contains(&rule), "{mutant:?}: {broken_with:?}");
    let broken_without = broken(System { mutant: None, path, restart, change }, depth);
    assert!(broken_without.is_empty(), "{mutant:?}: {broken_without:?}");
}

const RUNS_ONCE: &str = "a key runs once";

#[test]
fn promise_1_needs_a_quorum_of_votes_that_never_change() {
    assert_mutant_is_found(Mutant::OneGrant, &[], (false, false), 8, RUNS_ONCE);
    assert_mutant_is_found(Mutant::VotesChange, &RUNNING, (false, false), 7, RUNS_ONCE);
    assert_mutant_is_found(Mutant::ReleasesRunningClaim, &RUNNING, (false, false), 9, RUNS_ONCE);
}

/// The same; then the second node loses its state, and the second attempt starts there.
const RUNNING_AND_RESTARTED: [PathStep; 7] = {
    let [a, b, c, d, e] = RUNNING;
    [a, b, c, d, e, RESTARTED, PathStep::Do(|| Act::StartAttempt(1))]
};

/// The same; then the second node gets the table of the third, which knows nothing.
const CAUGHT_UP_WITH_ONE: [PathStep; 8] = {
    let [a, b, c, d, e, f, g] = RUNNING_AND_RESTARTED;
    [a, b, c, d, e, f, g, PathStep::CatchUp(1, 2)]
};

/// The grant of the second replica is on its way when that replica loses its state.
const GRANT_OF_EARLIER_INCARNATION: [PathStep; 11] = [
    PathStep::Do(|| Act::StartAttempt(0)),
    PathStep::Claim(0, 1),
    RESTARTED,
    PathStep::CatchUp(1, 0),
    PathStep::CatchUp(1, 2),
    PathStep::Do(|| Act::StartAttempt(1)),
    PathStep::Claim(1, 1),
    PathStep::Claim(1, 2),
    PathStep::Grant(1, 1),
    PathStep::Grant(2, 1),
    PathStep::Claim(0, 0),
];

#[test]
fn promise_1_needs_replicas_without_state_to_catch_up_before_they_vote() {
    assert_mutant_is_found(Mutant::VotesWithoutState, &RUNNING_AND_RESTARTED, (true, false), 6, RUNS_ONCE);
    assert_mutant_is_found(Mutant::CatchesUpWithOne, &CAUGHT_UP_WITH_ONE, (true, false), 6, RUNS_ONCE);
    let path = &GRANT_OF_EARLIER_INCARNATION;
    assert_mutant_is_found(Mutant::EarlierIncarnationsCount, path, (true, false), 5, RUNS_ONCE);
}

#[test]
fn promise_1_needs_a_quorum_to_store_a_result_before_it_is_served() {
    assert_mutant_is_found(
        Mutant::OneReplicaStores,
        &RUNNING,
        (false, false),
        5,
        "a quorum stores a served result",
    );
}

#[test]
fn promise_2_needs_an_uncertain_response_not_to_count_as_a_grant() {
    assert_mutant_is_found(Mutant::UncertainIsGranted, &RUNNING_AND_RESTARTED, (true, false), 6, RUNS_ONCE);
}

#[test]
fn promise_4_needs_attempts_to_give_up_at_their_deadline() {
    assert_mutant_is_found(
        Mutant::WaitsPastDeadline,
        &[],
        (false, false),
        5,
        "no attempt waits past its deadline",
    );
}

#[test]
fn promise_5_needs_a_quorum_in_every_active_config() {
    // The new node has caught up with the other members of the second configuration.
    const PATH: [PathStep; 8] = [
        PathStep::CatchUp(3, 0),
        PathStep::CatchUp(3, 1),
        PathStep::Do(|| Act::StartAttempt(1)),
        PathStep::Claim(1, 1),
        PathStep::Claim(1, 2),
        PathStep::Grant(1, 1),
        PathStep::Grant(2, 1),
        PathStep::Do(|| Act::AdoptConfig(Node(0))),
    ];
    assert_mutant_is_found(Mutant::NewestConfigAlone, &PATH, (false, true), 7, RUNS_ONCE);
}
