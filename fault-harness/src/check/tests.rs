use super::*;
use crate::history::{ClassParameters, ConnectionLoss, Observation, ProcessExit, Response};
use crate::scenario::RunScope;

fn parameters(run_once_per: RunScope) -> RuleParameters {
    let class = |name: &str, idempotency_window| ClassParameters {
        name: name.into(),
        latency_objective: 500.0,
        deadline: 1000.0,
        idempotency_window,
        weight: 1.0,
        late_weight: 0.0,
        skip_weight: 0.0,
    };
    RuleParameters {
        scenario: "x".into(),
        seed: 1,
        seconds: 10.0,
        nodes: 2,
        classes: vec![class("quote", 0.0), class("book", 5000.0)],
        run_once_per,
        timing_tolerance: 150.0,
        drain_grace: 2000.0,
        descriptors: 100,
        memory_kb: 1000,
        max_dual_active: 500.0,
    }
}

fn request_sent(request: usize, class: usize, repeats: Option<usize>) -> Event {
    Event::RequestSent { request, class, repeats }
}

fn attempt_written(attempt: u64, request: usize, node: usize, deadline: Ms) -> Event {
    Event::AttemptWritten { attempt, request, node, frontend: 0, deadline }
}

fn run_ended(attempt: u64, node: usize, result: &str) -> Event {
    Event::RunEnded { attempt, node, result: Some(result.into()) }
}

fn served(attempt: u64, result: &str) -> Event {
    Event::AttemptAnswered { attempt, response: Response::Served(result.into()) }
}

fn rejected(attempt: u64) -> Event {
    Event::AttemptAnswered { attempt, response: Response::Rejected { retry_after: None, give_up: false } }
}

fn violated_rules_in_scope(run_once_per: RunScope, events: Vec<(Ms, Event)>) -> Vec<Rule> {
    let mut observations: Vec<Observation> =
        events.into_iter().map(|(at, event)| Observation { at, event }).collect();
    // An event after all deadlines, which ends the history.
    observations
        .push(Observation { at: 20_000.0, event: Event::FaultInjected { text: String::new(), until: 0.0 } });
    let verdict = check(&History { parameters: parameters(run_once_per), observations });
    verdict.violations.into_iter().map(|violation| violation.rule).collect()
}

fn violated_rules(events: Vec<(Ms, Event)>) -> Vec<Rule> {
    violated_rules_in_scope(RunScope::Node, events)
}

/// The events of a booking that is run and served correctly.
fn valid_booking() -> Vec<(Ms, Event)> {
    vec![
        (0.0, request_sent(0, 1, None)),
        (0.0, attempt_written(1, 0, 0, 1000.0)),
        (1.0, Event::RunStarted { attempt: 1, node: 0 }),
        (50.0, run_ended(1, 0, "r1")),
        (51.0, served(1, "r1")),
    ]
}

fn after_valid_booking(more: Vec<(Ms, Event)>) -> Vec<(Ms, Event)> {
    valid_booking().into_iter().chain(more).collect()
}

#[test]
fn a_valid_history_has_no_violations() {
    assert_eq!(violated_rules(valid_booking()), []);
    // A repeat gets the result of the original; another one after the window runs again.
    let repeat = vec![
        (100.0, request_sent(1, 1, Some(0))),
        (100.0, attempt_written(2, 1, 0, 1100.0)),
        (101.0, served(2, "r1")),
        (9000.0, request_sent(2, 1, Some(0))),
        (9000.0, attempt_written(3, 2, 0, 10_000.0)),
        (9001.0, Event::RunStarted { attempt: 3, node: 0 }),
        (9050.0, run_ended(3, 0, "r3")),
        (9051.0, served(3, "r3")),
    ];
    assert_eq!(violated_rules(after_valid_booking(repeat)), []);
}

/// The rules violated by a history in which an attempt is written at 0 with a deadline of 1000, followed by
/// `events`.
fn violated_by_open_attempt(events: Vec<(Ms, Event)>) -> Vec<Rule> {
    let begin = vec![(0.0, request_sent(0, 0, None)), (0.0, attempt_written(1, 0, 0, 1000.0))];
    violated_rules(begin.into_iter().chain(events).collect())
}

#[test]
fn an_attempt_without_an_answer_in_time_is_a_violation_unless_it_was_cancelled() {
    assert_eq!(violated_by_open_attempt(vec![]), [Rule::Unanswered]);
    assert_eq!(
        violated_by_open_attempt(vec![(1200.0, rejected(1))]),
        [Rule::Unanswered],
        "answered after the tolerance"
    );
    assert_eq!(violated_by_open_attempt(vec![(1100.0, rejected(1))]), []);
    assert_eq!(violated_by_open_attempt(vec![(900.0, Event::AttemptCancelled { attempt: 1 })]), []);
    let noise = Event::UnexpectedLine { node: 0, attempt: None, text: "noise".into() };
    assert_eq!(violated_by_open_attempt(vec![(5.0, rejected(1)), (6.0, noise)]), [Rule::Unanswered]);
}

#[test]
fn an_unanswered_attempt_is_exempt_if_its_node_was_killed_or_paused() {
    let down = |node, exit| vec![(500.0, Event::NodeDown { node, exit })];
    assert_eq!(violated_by_open_attempt(down(0, ProcessExit::Killed)), []);
    assert_eq!(
        violated_by_open_attempt(down(0, ProcessExit::ShutDown)),
        [Rule::Unanswered],
        "a graceful shutdown exempts nothing"
    );
    assert_eq!(
        violated_by_open_attempt(down(1, ProcessExit::Killed)),
        [Rule::Unanswered],
        "another node's end exempts nothing"
    );
    let paused = vec![
        (500.0, Event::Paused { node: 0, paused: true }),
        (600.0, Event::Paused { node: 0, paused: false }),
    ];
    assert_eq!(violated_by_open_attempt(paused), []);
}

#[test]
fn an_unanswered_attempt_is_exempt_if_its_link_was_disturbed_or_the_harness_ran_late() {
    let disturbed = |frontend| {
        vec![
            (10.0, Event::LinkDisturbed { node: 0, frontend, disturbed: true }),
            (20.0, Event::LinkDisturbed { node: 0, frontend, disturbed: false }),
        ]
    };
    assert_eq!(violated_by_open_attempt(disturbed(Some(0))), []);
    assert_eq!(violated_by_open_attempt(disturbed(None)), []);
    assert_eq!(violated_by_open_attempt(disturbed(Some(1))), [Rule::Unanswered]);
    assert_eq!(violated_by_open_attempt(vec![(700.0, Event::HarnessDelayed { delay: 100.0 })]), []);
}

#[test]
fn a_lost_connection_is_a_violation_if_the_attempt_ran_or_the_connection_had_answered_others() {
    let lost = |loss| (5.0, Event::ConnectionLost { attempt: 1, loss });
    assert_eq!(violated_by_open_attempt(vec![lost(ConnectionLoss::CrossedClose)]), []);
    assert_eq!(violated_by_open_attempt(vec![lost(ConnectionLoss::NewConnection)]), []);
    assert_eq!(violated_by_open_attempt(vec![lost(ConnectionLoss::UsedConnection)]), [Rule::Unanswered]);
    let ran = vec![(4.0, Event::RunStarted { attempt: 1, node: 0 }), lost(ConnectionLoss::NewConnection)];
    assert_eq!(violated_by_open_attempt(ran), [Rule::Unanswered], "its run may have taken effect");
}

#[test]
fn a_second_answer_to_an_attempt_is_a_violation() {
    assert_eq!(violated_rules(after_valid_booking(vec![(60.0, served(1, "r1"))])), [Rule::DuplicateAnswer]);
    let second_answer = Event::UnexpectedLine { node: 0, attempt: Some(1), text: String::new() };
    assert_eq!(violated_rules(after_valid_booking(vec![(60.0, second_answer)])), [Rule::DuplicateAnswer]);
}

#[test]
fn a_key_that_runs_twice_at_a_node_is_a_violation_unless_the_node_lost_its_stored_state() {
    let repeated_run = |before: Vec<(Ms, Event)>, node: usize| {
        let run = vec![
            (300.0, request_sent(1, 1, Some(0))),
            (300.0, attempt_written(2, 1, node, 1300.0)),
            (301.0, Event::RunStarted { attempt: 2, node }),
            (350.0, run_ended(2, node, "r2")),
            (351.0, served(2, "r2")),
        ];
        before.into_iter().chain(run).collect::<Vec<_>>()
    };
    assert_eq!(violated_rules(after_valid_booking(repeated_run(vec![], 0))), [Rule::DuplicateRun]);
    let restart = || {
        vec![
            (100.0, Event::NodeDown { node: 0, exit: ProcessExit::Killed }),
            (200.0, Event::NodeUp { node: 0, cold: true }),
        ]
    };
    assert_eq!(violated_rules(after_valid_booking(repeated_run(restart(), 0))), [Rule::DuplicateRun]);
    let lost = restart().into_iter().chain([(150.0, Event::StateLost { node: 0 })]).collect();
    assert_eq!(violated_rules(after_valid_booking(repeated_run(lost, 0))), []);
    assert_eq!(violated_rules(after_valid_booking(repeated_run(vec![], 1))), []);
    assert_eq!(
        violated_rules_in_scope(RunScope::Fleet, after_valid_booking(repeated_run(vec![], 1))),
        [Rule::DuplicateRunInFleet]
    );
}

#[test]
fn a_rejected_attempt_that_ran_before_or_after_is_a_violation() {
    let begin = || vec![(0.0, request_sent(0, 0, None)), (0.0, attempt_written(1, 0, 0, 1000.0))];
    let with = |more: Vec<(Ms, Event)>| violated_rules(begin().into_iter().chain(more).collect());
    assert_eq!(
        with(vec![(1.0, Event::RunStarted { attempt: 1, node: 0 }), (9.0, rejected(1))]),
        [Rule::RejectedAndRan]
    );
    assert_eq!(
        with(vec![(1.0, rejected(1)), (9.0, Event::RunStarted { attempt: 1, node: 0 })]),
        [Rule::RejectedAndRan]
    );
}

#[test]
fn a_run_of_an_attempt_written_after_the_drain_grace_period_is_a_violation() {
    let run = |at: Ms| {
        violated_rules(vec![
            (0.0, Event::ShutdownNotice { node: 0 }),
            (at, request_sent(0, 0, None)),
            (at, attempt_written(1, 0, 0, at + 1000.0)),
            (at + 1.0, Event::RunStarted { attempt: 1, node: 0 }),
            (at + 2.0, run_ended(1, 0, "r")),
            (at + 3.0, served(1, "r")),
        ])
    };
    assert_eq!(run(1900.0), []);
    assert_eq!(run(2500.0), [Rule::RunAfterShutdownNotice]);
}

#[test]
fn a_result_that_no_run_of_the_key_made_is_a_violation() {
    let mut foreign = valid_booking();
    foreign[4].1 = served(1, "r9");
    assert_eq!(violated_rules(foreign), [Rule::ForeignResult]);
    let elsewhere = vec![
        (100.0, request_sent(1, 1, Some(0))),
        (100.0, attempt_written(2, 1, 1, 1100.0)),
        (101.0, served(2, "r1")),
    ];
    assert_eq!(
        violated_rules(after_valid_booking(elsewhere.clone())),
        [Rule::ForeignResult],
        "the result of another node"
    );
    assert_eq!(
        violated_rules_in_scope(RunScope::Fleet, after_valid_booking(elsewhere)),
        [],
        "within the fleet any node may have run it"
    );
    let kept = vec![
        (60.0, Event::StateLost { node: 0 }),
        (100.0, request_sent(1, 1, Some(0))),
        (100.0, attempt_written(2, 1, 0, 1100.0)),
        (101.0, served(2, "r1")),
    ];
    assert_eq!(
        violated_rules(after_valid_booking(kept)),
        [],
        "a truncated store may still contain the result"
    );
}

#[test]
fn two_active_nodes_are_a_violation_unless_they_could_not_receive_each_others_advertisements() {
    let role = |node, active| Event::RouterRole { node, active };
    let two = |more: Vec<(Ms, Event)>| {
        let begin = vec![(0.0, role(0, true)), (100.0, role(1, true))];
        violated_rules(begin.into_iter().chain(more).collect())
    };
    assert_eq!(two(vec![]), [Rule::DualActive]);
    assert_eq!(two(vec![(500.0, role(1, false))]), []);
    assert_eq!(two(vec![(500.0, Event::NodeDown { node: 0, exit: ProcessExit::Killed })]), []);
    let partitioned = || {
        vec![
            (200.0, Event::PeerLinksDisturbed { disturbed: true }),
            (9000.0, Event::PeerLinksDisturbed { disturbed: false }),
        ]
    };
    assert_eq!(two(partitioned()), [Rule::DualActive], "both stay active long after the disturbance ended");
    assert_eq!(two(partitioned().into_iter().chain([(9300.0, role(1, false))]).collect()), []);
    assert_eq!(two(vec![(200.0, Event::Paused { node: 0, paused: true })]), []);
}

#[test]
fn exceeded_limits_crashes_and_corrupted_commands_are_violations() {
    let sample =
        |memory_kb, descriptors| Event::ResourceSample { node: 0, memory_kb, descriptors, cpu_ms: 1 };
    assert_eq!(violated_rules(vec![(1.0, sample(900, 90))]), []);
    assert_eq!(
        violated_rules(vec![(1.0, sample(1100, 90)), (2.0, sample(1200, 90))]),
        [Rule::LimitExceeded],
        "a limit that stays exceeded is reported once"
    );
    assert_eq!(violated_rules(vec![(1.0, sample(900, 101))]), [Rule::LimitExceeded]);
    assert_eq!(
        violated_rules(vec![(1.0, Event::InterpreterDied { node: 0, cause: "x".into() })]),
        [Rule::LimitExceeded]
    );
    assert_eq!(
        violated_rules(vec![(1.0, Event::NodeDown { node: 0, exit: ProcessExit::ShutdownTimedOut })]),
        [Rule::LimitExceeded]
    );
    assert_eq!(
        violated_rules(vec![(1.0, Event::NodeDown { node: 0, exit: ProcessExit::Crashed("1".into()) })]),
        [Rule::Crashed]
    );
    assert_eq!(
        violated_rules(vec![(1.0, Event::Corrupted { node: 0, text: "x".into() })]),
        [Rule::Corrupted]
    );
    assert_eq!(
        violated_rules(vec![(1.0, Event::RunStarted { attempt: 7, node: 0 })]),
        [Rule::Corrupted],
        "a run of an attempt that was never written"
    );
}
