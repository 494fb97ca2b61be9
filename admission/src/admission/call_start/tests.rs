use super::{awaiting_calls, decide_call, CallDecision};
use crate::admission::calls::{DependencyCalls, EndedCall};
use crate::admission::requests::request::{Phase, Request};
use crate::admission::tests::fixtures::{at, awaiting_call, priority, seconds, ServerState};
use crate::interface::{Class, Dependency, Effect, Outcome, RequestId, Settings};

const SKIPPABLE: f64 = 0.5;

/// The decision on a request blocked on a call to a tier, `now` seconds after the request arrived.
fn decision(class: &Class, request: Request, now: f64, calls_at_limit: bool) -> CallDecision {
    let settings = Settings { classes: vec![class.clone()], ..Settings::default() };
    let state = ServerState::new(settings);
    let mut calls = DependencyCalls::new(&Dependency::Tier, at(0.0));
    let outcome = Outcome::Ok;
    let objective = seconds(1.0);
    calls.call_returned(
        at(0.0),
        &EndedCall { outcome, duration: seconds(0.25), time_blocked: seconds(0.25), objective },
    );
    decide_call(&request, &state.context(now), &calls, calls_at_limit)
}

fn awaiting_call_after_failures(repeatable: &[bool]) -> Request {
    let mut request = awaiting_call();
    for repeatable in repeatable {
        request.send_call(at(0.0));
        request.fail_call(*repeatable);
    }
    request
}

#[test]
fn a_call_times_out_at_the_deadline_or_at_the_objective_if_it_is_skippable() {
    let timeout =
        |skip_weight| decision(&Class { skip_weight, ..Class::default() }, awaiting_call(), 0.5, false);
    assert!(matches!(timeout(0.0), CallDecision::Call { timeout } if timeout > seconds(4.4)));
    assert_eq!(timeout(SKIPPABLE), CallDecision::Call { timeout: seconds(0.5) });
}

#[test]
fn a_skippable_call_is_skipped_at_the_call_limit_after_a_failure_or_if_it_would_miss_the_objective() {
    let class = Class { skip_weight: SKIPPABLE, ..Class::default() };
    assert_eq!(decision(&class, awaiting_call(), 0.5, true), CallDecision::Skip);
    assert_eq!(decision(&class, awaiting_call_after_failures(&[true]), 0.5, false), CallDecision::Skip);
    assert_eq!(decision(&class, awaiting_call(), 0.875, false), CallDecision::Skip);
}

#[test]
fn a_request_fails_after_three_failed_calls_or_one_unrepeatable_failure() {
    let class = Class::default();
    let fails = |failures: &[bool]| {
        decision(&class, awaiting_call_after_failures(failures), 0.5, false) == CallDecision::Fail
    };
    assert!(!fails(&[true, true]) && fails(&[true, true, true]) && fails(&[false]));
}

#[test]
fn at_the_call_limit_an_idempotent_request_past_its_objective_fails() {
    let late = |effect| decision(&Class { effect, ..Class::default() }, awaiting_call(), 1.5, true);
    assert_eq!(late(Effect::Idempotent), CallDecision::Fail);
    assert!(matches!(late(Effect::AtMostOnce), CallDecision::Call { .. }));
}

#[test]
fn calls_start_in_descending_order_of_priority() {
    let heavy = Request { priority: priority(3.0), ..awaiting_call() };
    let answered = Request { answer_settled: true, ..awaiting_call() };
    let running = Request { phase: Phase::Queued, ..awaiting_call() };
    let requests = vec![awaiting_call(), heavy, answered, running];
    let state = ServerState::with_requests(Settings::default(), requests);
    assert_eq!(awaiting_calls(&state.requests), [RequestId(2), RequestId(1)]);
}
