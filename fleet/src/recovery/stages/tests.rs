use super::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const NOTHING_READY: Conditions =
    Conditions { backend_running: false, has_quorum: false, caught_up: false, warm_at: None };
const WARM_AFTER: Duration = Duration::from_secs(8);

fn at(millis: u64) -> Time {
    Duration::from_millis(millis)
}

/// Ticks until the stage no longer changes, and returns the transitions.
fn transitions(
    recovery: &mut RecoveryStages,
    now: Time,
    conditions: Conditions,
) -> Vec<(Stage, TransitionReason)> {
    std::iter::from_fn(|| recovery.tick(now, conditions))
        .map(|transition| (transition.to, transition.reason))
        .collect()
}

#[test]
fn recovery_advances_to_the_next_stage_when_the_condition_of_the_current_one_is_met() {
    let mut recovery = RecoveryStages::new(at(0));
    assert!(!recovery.permissions().accept_clients);
    assert_eq!(transitions(&mut recovery, at(10), NOTHING_READY), []);
    let mut conditions = Conditions { has_quorum: true, ..NOTHING_READY };
    assert_eq!(
        transitions(&mut recovery, at(20), conditions),
        [],
        "without a backend the first stage does not end"
    );
    (conditions.backend_running, conditions.warm_at) = (true, Some(at(8000)));
    assert_eq!(
        transitions(&mut recovery, at(30), conditions),
        [(Stage::CatchingUp, TransitionReason::Completed)]
    );
    assert!(recovery.permissions().accept_clients);
    conditions.caught_up = true;
    assert_eq!(
        transitions(&mut recovery, at(40), conditions),
        [(Stage::Warming, TransitionReason::Completed)]
    );
    assert!(recovery.permissions().donor_rate < 1.0);
    assert_eq!(transitions(&mut recovery, at(7_999), conditions), []);
    assert_eq!(
        transitions(&mut recovery, at(8_000), conditions),
        [(Stage::Full, TransitionReason::Completed)]
    );
    assert_eq!(recovery.deadline(), None);
}

#[test]
fn a_stage_whose_condition_is_never_met_times_out_and_the_timeout_is_reported() {
    let mut recovery = RecoveryStages::new(at(0));
    let conditions = Conditions { backend_running: true, warm_at: Some(at(1_000_000)), ..NOTHING_READY };
    assert_eq!(transitions(&mut recovery, at(4_999), conditions), []);
    let mut reported = Vec::new();
    for now in (5_000..90_000).step_by(50) {
        reported.extend(
            recovery.tick(at(now), conditions).map(|transition| (now, transition.to, transition.reason)),
        );
    }
    let timed_out = |now, stage| (now, stage, TransitionReason::TimedOut);
    let expected = [
        timed_out(5_000, Stage::CatchingUp),
        timed_out(10_000, Stage::Warming),
        timed_out(70_000, Stage::Full),
    ];
    assert_eq!(reported, expected);
}

#[test]
fn the_loss_of_a_condition_returns_the_node_to_the_stage_of_that_condition() {
    let recovered = Conditions { backend_running: true, has_quorum: true, caught_up: true, warm_at: None };
    let mut recovery = RecoveryStages::new(at(0));
    assert_eq!(transitions(&mut recovery, at(0), recovered).len(), 3);
    let cold = Conditions { warm_at: Some(at(9_000)), ..recovered };
    assert_eq!(
        transitions(&mut recovery, at(1_000), cold),
        [(Stage::Warming, TransitionReason::ConditionLost)],
        "the backend restarted with cold cores"
    );
    let not_caught_up = Conditions { caught_up: false, ..cold };
    assert_eq!(
        transitions(&mut recovery, at(2_000), not_caught_up),
        [(Stage::CatchingUp, TransitionReason::ConditionLost)]
    );
    let no_quorum = Conditions { has_quorum: false, ..not_caught_up };
    assert_eq!(
        transitions(&mut recovery, at(3_000), no_quorum),
        [(Stage::Starting, TransitionReason::ConditionLost)]
    );
    assert!(recovery.permissions().accept_clients, "clients stay connected");
    assert_eq!(
        transitions(&mut recovery, at(4_000), recovered).len(),
        3,
        "all conditions are met again, so all stages complete at once"
    );
}

#[test]
fn a_node_that_timed_out_without_a_quorum_does_not_return_to_the_first_stage() {
    let mut recovery = RecoveryStages::new(at(0));
    let no_quorum = Conditions { backend_running: true, caught_up: true, ..NOTHING_READY };
    transitions(&mut recovery, at(0), no_quorum);
    transitions(&mut recovery, at(5_000), no_quorum);
    assert_eq!((recovery.stage(), transitions(&mut recovery, at(60_000), no_quorum)), (Stage::Full, vec![]));
}

/// Changes the conditions in a random order: no stage is skipped, and none lasts longer than its timeout
/// while the backend runs.
#[test]
fn no_sequence_of_events_skips_a_stage_or_prevents_its_timeout() {
    for seed in 0..300 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut now, mut conditions) = (at(0), NOTHING_READY);
        let mut recovery = RecoveryStages::new(now);
        let mut entered_at = now;
        for _ in 0..400 {
            now += at(rng.random_range(1..400));
            match rng.random_range(0..12) {
                0 => conditions.has_quorum = !conditions.has_quorum,
                1 => conditions.caught_up = !conditions.caught_up,
                2 => conditions.warm_at = Some(now + WARM_AFTER),
                3 => conditions.warm_at = None,
                _ => conditions.backend_running = true,
            }
            while let Some(transition) = recovery.tick(now, conditions) {
                assert!(
                    transition.to == transition.from.next() || transition.to < transition.from,
                    "seed {seed}: {transition:?}"
                );
                assert_eq!(
                    transition.reason == TransitionReason::ConditionLost,
                    transition.to < transition.from,
                    "seed {seed}: {transition:?}"
                );
                entered_at = now;
            }
            let longest = WARMING_TIMEOUT + at(400);
            assert!(
                !conditions.backend_running || recovery.stage() == Stage::Full || now - entered_at <= longest,
                "seed {seed}"
            );
            assert!(
                recovery.deadline().is_none_or(|deadline| !conditions.backend_running || now < deadline),
                "seed {seed}"
            );
        }
    }
}
