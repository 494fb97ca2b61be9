use super::*;

fn claim(number: u64) -> ClaimId {
    ClaimId { node: NodeId(number % 3), incarnation: Incarnation(1), number }
}

fn run(received_at: u64, number: u64, result: RunResult) -> CompletedRun {
    CompletedRun { received_at, node_index: number as u32 % 3, claim: claim(number), result, body: 1 }
}

fn all_states() -> Vec<KeyState> {
    let started = |numbers: &[u64]| KeyState {
        started: numbers.iter().map(|n| (claim(*n), 1)).collect(),
        completed: None,
    };
    let completed = |run| KeyState { completed: Some(run), ..KeyState::default() };
    vec![
        KeyState::default(),
        started(&[1]),
        started(&[2]),
        started(&[1, 2]),
        completed(run(5, 1, RunResult::Succeeded("a".into()))),
        completed(run(5, 1, RunResult::Failed)),
        completed(run(5, 2, RunResult::Succeeded("b".into()))),
        completed(run(4, 3, RunResult::Succeeded("c".into()))),
    ]
}

fn merged(a: &KeyState, b: &KeyState) -> KeyState {
    let mut state = a.clone();
    state.merge(b.clone());
    state
}

#[test]
fn merge_is_idempotent_commutative_and_associative() {
    for a in &all_states() {
        assert_eq!(merged(a, a), *a);
        for b in &all_states() {
            assert_eq!(merged(a, b), merged(b, a));
            for c in &all_states() {
                assert_eq!(merged(&merged(a, b), c), merged(a, &merged(b, c)));
            }
        }
    }
}

#[test]
fn unknown_is_below_started_and_started_below_completed() {
    let [unknown, started, .., completed] = &all_states()[..] else { unreachable!() };
    assert_eq!(merged(unknown, started), *started);
    assert_eq!(merged(started, completed), *completed);
}

#[test]
fn the_earlier_of_two_completed_runs_prevails_and_the_conflict_is_reported() {
    let states = all_states();
    let mut state = states[6].clone();
    let RunConflict { retained, dropped } = state.merge(states[7].clone()).unwrap();
    assert_eq!((retained.received_at, dropped.received_at), (4, 5));
    assert_eq!(state.completed, Some(retained));
    let mut failed = states[5].clone();
    assert_eq!(failed.merge(states[4].clone()), None, "for the same claim a success prevails over a failure");
    assert_eq!(failed, states[4]);
    let abandoned = CompletedRun::abandoned(claim(9), 1);
    let mut abandoned = KeyState { completed: Some(abandoned), ..KeyState::default() };
    assert_eq!(abandoned.merge(states[6].clone()), None, "an abandoned run may never have taken place");
    assert_eq!(abandoned, states[6]);
}
