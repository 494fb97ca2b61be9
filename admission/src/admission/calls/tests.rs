use super::{DependencyCalls, EndedCall};
use crate::admission::requests::request::Request;
use crate::admission::tests::fixtures::{at, awaiting_call, priority, queued, seconds, ServerState};
use crate::interface::{Class, Dependency, Outcome, Settings};

fn settings(dependency: Dependency) -> Settings {
    let class = Class { may_call: true, ..Class::default() };
    Settings { classes: vec![class], dependency, cores: 2, ..Settings::default() }
}

fn calls_to(dependency: Dependency) -> DependencyCalls {
    DependencyCalls::new(&dependency, at(0.0))
}

fn end_slow_calls(calls: &mut DependencyCalls, count: usize) {
    let call = EndedCall {
        outcome: Outcome::Ok,
        duration: seconds(0.5),
        time_blocked: seconds(0.5),
        objective: seconds(1.0),
    };
    (0..count).for_each(|_| calls.call_returned(at(0.0), &call));
}

#[test]
fn blocked_calls_are_limited_to_twice_the_cores_while_quick_and_to_the_completable_number_otherwise() {
    let state = ServerState::new(settings(Dependency::Off));
    let mut calls = calls_to(Dependency::Off);
    assert_eq!(calls.max_blocked_on_calls(&state.context(0.0), 6.0), 4);
    end_slow_calls(&mut calls, 4);
    assert_eq!(calls.max_blocked_on_calls(&state.context(0.0), 6.0), 1);
}

#[test]
fn calls_to_a_tier_are_bounded_by_the_max_safe_concurrency() {
    let state = ServerState::new(settings(Dependency::Tier));
    let calls = calls_to(Dependency::Tier);
    assert_eq!(calls.max_blocked_on_calls(&state.context(0.0), 12.0), 10);
    assert_eq!(calls.max_blocked_on_calls(&state.context(0.0), 3.0), 2);
}

#[test]
fn at_the_call_limit_only_high_priority_arrivals_that_may_call_are_admitted() {
    let caller = |weight| Request { may_call: true, priority: priority(weight), ..queued() };
    let requests = vec![awaiting_call(), awaiting_call(), caller(1.0)];
    let state = ServerState::with_requests(settings(Dependency::Off), requests);
    let mut calls = calls_to(Dependency::Off);
    let mut admits = |request, limit| {
        calls.update_throttle(&state.context(0.0), limit);
        calls.admits(&request, &state.context(0.0))
    };
    assert!(admits(caller(1.0), 4), "fewer requests than the limit are blocked on calls");
    assert!(!admits(caller(1.0), 2), "two requests of the same priority are already blocked on calls");
    assert!(!admits(caller(1.0), 4), "arrivals that may call stay throttled for a rate window");
    assert!(admits(caller(2.0), 2) && admits(queued(), 2));
    calls.reset();
    assert!(!calls.are_throttled(at(0.0)));
}
