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

fn broken_in(run_once_per: RunScope, events: Vec<(Ms, Event)>) -> Vec<Rule> {
    let mut seen: Vec<Observation> =
        events.into_iter().map(|(at, event)| Observation { at, event }).collect();
    // It ends the history after all deadlines.
    seen.push(Observation { at: 20_000.0, event: Event::FaultInjected { text: String::new(), until: 0.0 } });
    let verdict = check(&History { parameters: parameters(run_once_per), observations: seen });
    verdict.violations.into_iter().map(|violation| violation.rule).collect()
}

fn broken(events: Vec<(Ms, Event)>) -> Vec<Rule> {
    broken_in(RunScope::Node, events)
}

/// A booking that is served as it should be.
fn booked() -> Vec<(Ms, Event)> {
    vec![
        (0.0, request_sent(0, 1, None)),
        (0.0, attempt_written(1, 0, 0, 1000.0)),
        (1.0, Event::RunStarted { attempt: 1, node: 0 }),
        (50.0, run_ended(1, 0, "r1")),
        (51.0, served(1, "r1")),
    ]
}

fn then(more: Vec<(Ms, Event)>) -> Vec<(Ms, Event)> {
    booked().into_iter().chain(more).collect()
}

#[test]
fn a_valid_history_has_no_violations() {
    assert_eq!(broken(booked()), []);
    // A repeat gets the first one's result; another after the window runs again.
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
    assert_eq!(broken(then(repeat)), []);
}

/// The rules that are broken when an attempt is written at 0 with a deadline of 1000, and these events follow.
fn broken_by_open_attempt(events: Vec<(Ms, Event)>) -> Vec<Rule> {
    let begin = vec![(0.0, request_sent(0, 0, None)), (0.0, attempt_written(1, 0, 0, 1000.0))];
    broken(begin.into_iter().chain(events).collect())
}

#[test]
fn an_attempt_without_an_answer_in_time_is_unanswered_unless_it_was_cancelled() {
    assert_eq!(broken_by_open_attempt(vec![]), [Rule::Unanswered]);
    assert_eq!(broken_by_open_attempt(vec![(1200.0, rejected(1))]), [Rule::Unanswered], "too late");
    assert_eq!(broken_by_open_attempt(vec![(1100.0, rejected(1))]), []);
    assert_eq!(broken_by_open_attempt(vec![(900.0, Event::AttemptCancelled { attempt: 1 })]), []);
    let noise = Event::UnexpectedLine { node: 0, attempt: None, text: "noise".into() };
    assert_eq!(broken_by_open_attempt(vec![(5.0, rejected(1)), (6.0, noise)]), [Rule::Unanswered]);
}

#[test]
fn an_attempt_may_go_unanswered_when_its_node_was_killed_or_paused() {
    let down = |node, exit| vec![(500.0, Event::NodeDown { node, exit })];
    assert_eq!(broken_by_open_attempt(down(0, ProcessExit::Killed)), []);
    assert_eq!(broken_by_open_attempt(down(0, ProcessExit::ShutDown)), [Rule::Unanswered], "it shut down");
    assert_eq!(
        broken_by_open_attempt(down(1, ProcessExit::Killed)),
        [Rule::Unanswered],
        "another node's end exempts nothing"
    );
    let paused = vec![
        (500.0, Event::Paused { node: 0, paused: true }),
        (600.0, Event::Paused { node: 0, paused: false }),
    ];
    assert_eq!(broken_by_open_attempt(paused), []);
}

#[test]
fn an_attempt_may_go_unanswered_when_its_link_was_disturbed_or_the_harness_delayed() {
    let disturbed = |frontend| {
        vec![
            (10.0, Event::LinkDisturbed { node: 0, frontend, disturbed: true }),
            (20.0, Event::LinkDisturbed { node: 0, frontend, disturbed: false }),
        ]
    };
    assert_eq!(broken_by_open_attempt(disturbed(Some(0))), []);
    assert_eq!(broken_by_open_attempt(disturbed(None)), []);
    assert_eq!(broken_by_open_attempt(disturbed(Some(1))), [Rule::Unanswered]);
    assert_eq!(broken_by_open_attempt(vec![(700.0, Event::HarnessDelayed { delay: 100.0 })]), []);
}

#[test]
fn an_attempt_whose_connection_was_lost_is_unanswered_if_it_ran_or_others_were_answered_there() {
    let lost = |loss| (5.0, Event::ConnectionLost { attempt: 1, loss });
    assert_eq!(broken_by_open_attempt(vec![lost(ConnectionLoss::CrossedClose)]), []);
    assert_eq!(broken_by_open_attempt(vec![lost(ConnectionLoss::NewConnection)]), []);
    assert_eq!(broken_by_open_attempt(vec![lost(ConnectionLoss::UsedConnection)]), [Rule::Unanswered]);
    let ran = vec![(4.0, Event::RunStarted { attempt: 1, node: 0 }), lost(ConnectionLoss::NewConnection)];
    assert_eq!(broken_by_open_attempt(ran), [Rule::Unanswered], "it ran");
}

#[test]
fn a_second_answer_is_reported_wherever_it_comes() {
    assert_eq!(broken(then(vec![(60.0, served(1, "r1"))])), [Rule::DuplicateAnswer]);
    let stray = Event::UnexpectedLine { node: 0, attempt: Some(1), text: String::new() };
    assert_eq!(broken(then(vec![(60.0, stray)])), [Rule::DuplicateAnswer]);
}

#[test]
fn a_key_that_runs_again_at_its_node_is_reported_also_after_a_restart_but_not_after_its_memory_was_lost() {
    let again = |before: Vec<(Ms, Event)>, node: usize| {
        let run = vec![
            (300.0, request_sent(1, 1, Some(0))),
            (300.0, attempt_written(2, 1, node, 1300.0)),
            (301.0, Event::RunStarted { attempt: 2, node }),
            (350.0, run_ended(2, node, "r2")),
            (351.0, served(2, "r2")),
        ];
        before.into_iter().chain(run).collect::<Vec<_>>()
    };
    assert_eq!(broken(then(again(vec![], 0))), [Rule::DuplicateRun]);
    let restart = || {
        vec![
            (100.0, Event::NodeDown { node: 0, exit: ProcessExit::Killed }),
            (200.0, Event::NodeUp { node: 0, cold: true }),
        ]
    };
    assert_eq!(broken(then(again(restart(), 0))), [Rule::DuplicateRun]);
    let lost = restart().into_iter().chain([(150.0, Event::StateLost { node: 0 })]).collect();
    assert_eq!(broken(then(again(lost, 0))), []);
    assert_eq!(broken(then(again(vec![], 1))), []);
    assert_eq!(broken_in(RunScope::Fleet, then(again(vec![], 1))), [Rule::DuplicateRunInFleet]);
}

#[test]
fn a_rejection_of_what_ran_or_runs_later_is_reported() {
    let begin = || vec![(0.0, request_sent(0, 0, None)), (0.0, attempt_written(1, 0, 0, 1000.0))];
    let with = |more: Vec<(Ms, Event)>| broken(begin().into_iter().chain(more).collect());
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
fn what_comes_too_long_after_the_shutdown_notice_must_not_run() {
    let run = |at: Ms| {
        broken(vec![
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
fn a_result_that_no_run_of_the_key_made_is_reported() {
    let mut other = booked();
    other[4].1 = served(1, "r9");
    assert_eq!(broken(other), [Rule::ForeignResult]);
    let elsewhere = vec![
        (100.0, request_sent(1, 1, Some(0))),
        (100.0, attempt_written(2, 1, 1, 1100.0)),
        (101.0, served(2, "r1")),
    ];
    assert_eq!(broken(then(elsewhere.clone())), [Rule::ForeignResult], "another node's");
    assert_eq!(broken_in(RunScope::Fleet, then(elsewhere)), [], "the fleet's is as good");
    let kept = vec![
        (60.0, Event::StateLost { node: 0 }),
        (100.0, request_sent(1, 1, Some(0))),
        (100.0, attempt_written(2, 1, 0, 1100.0)),
        (101.0, served(2, "r1")),
    ];
    assert_eq!(broken(then(kept)), [], "a truncated store may still have it");
}

#[test]
fn two_with_the_role_of_one_router_are_reported_unless_they_could_not_reach_each_other() {
    let role = |node, active| Event::RouterRole { node, active };
    let two = |more: Vec<(Ms, Event)>| {
        let begin = vec![(0.0, role(0, true)), (100.0, role(1, true))];
        broken(begin.into_iter().chain(more).collect())
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
    assert_eq!(two(partitioned()), [Rule::DualActive], "still two long after the links are whole again");
    assert_eq!(two(partitioned().into_iter().chain([(9300.0, role(1, false))]).collect()), []);
    assert_eq!(two(vec![(200.0, Event::Paused { node: 0, paused: true })]), []);
}

#[test]
fn limits_crashes_and_corrupted_commands_are_reported() {
    let sample =
        |rss_kb, files| Event::ResourceSample { node: 0, memory_kb: rss_kb, descriptors: files, cpu_ms: 1 };
    assert_eq!(broken(vec![(1.0, sample(900, 90))]), []);
    assert_eq!(
        broken(vec![(1.0, sample(1100, 90)), (2.0, sample(1200, 90))]),
        [Rule::LimitExceeded],
        "reported once"
    );
    assert_eq!(broken(vec![(1.0, sample(900, 101))]), [Rule::LimitExceeded]);
    assert_eq!(
        broken(vec![(1.0, Event::InterpreterDied { node: 0, cause: "x".into() })]),
        [Rule::LimitExceeded]
    );
    assert_eq!(
        broken(vec![(1.0, Event::NodeDown { node: 0, exit: ProcessExit::ShutdownTimedOut })]),
        [Rule::LimitExceeded]
    );
    assert_eq!(
        broken(vec![(1.0, Event::NodeDown { node: 0, exit: ProcessExit::Crashed("1".into()) })]),
        [Rule::Crashed]
    );
    assert_eq!(broken(vec![(1.0, Event::Corrupted { node: 0, text: "x".into() })]), [Rule::Corrupted]);
    assert_eq!(
        broken(vec![(1.0, Event::RunStarted { attempt: 7, node: 0 })]),
        [Rule::Corrupted],
        "never written"
    );
}
