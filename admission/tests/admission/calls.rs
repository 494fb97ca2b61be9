//! Calls to the dependency: limits, retries, timeouts and skipped calls.

use oakwind_admission::*;

use crate::common::{
    arrival_event, handle_at, idempotency_key_settings, is_run_of, ms, started_admission, timer_event,
};

#[test]
fn a_request_whose_call_never_returns_fails_once_by_its_deadline() {
    let class = Class { deadline: ms(3000), calls: true, ..Class::default() };
    let mut admission = started_admission(Settings {
        classes: vec![class],
        dependency: Dependency::Tier,
        ..Settings::default()
    });
    handle_at(&mut admission, 0, &[arrival_event(9)]);
    let called = handle_at(&mut admission, 100, &[Event::CallNeeded(RequestId(9))]);
    assert!(called.iter().any(|a| matches!(a, Action::Call(RequestId(9), _))));
    let all: Vec<_> =
        (3..60).flat_map(|step| handle_at(&mut admission, 50 * step, &[timer_event()])).collect();
    assert_eq!(all.iter().filter(|a| **a == Action::Fail(RequestId(9))).count(), 1);
}

#[test]
fn a_call_that_may_have_run_is_not_retried_for_a_request_that_is_not_idempotent() {
    let mut settings = idempotency_key_settings();
    settings.classes[0].calls = true;
    settings.dependency = Dependency::Tier;
    let mut admission = started_admission(settings);
    handle_at(&mut admission, 0, &[arrival_event(1)]);
    handle_at(&mut admission, 10, &[Event::CallNeeded(RequestId(1))]);
    let cut_off = Event::CallReturned { id: RequestId(1), outcome: Outcome::CutOff, took: ms(5) };
    assert_eq!(handle_at(&mut admission, 15, &[cut_off]), vec![Action::Fail(RequestId(1))]);
}

#[test]
fn a_dependency_share_below_one_call_leaves_gaps_between_calls() {
    let class =
        Class { calls: true, latency_objective: ms(20_000), deadline: ms(60_000), ..Class::default() };
    let dependency = Dependency::Shared { share: 0.4, span: ms(5000), linger: ms(200) };
    let mut admission =
        started_admission(Settings { classes: vec![class], dependency, cores: 8, ..Settings::default() });
    let ids: Vec<u32> = (1..=8).collect();
    handle_at(&mut admission, 0, &ids.iter().map(|id| arrival_event(*id)).collect::<Vec<_>>());
    let calls_needed: Vec<_> = ids.iter().map(|id| Event::CallNeeded(RequestId(*id))).collect();
    let mut actions = handle_at(&mut admission, 10, &calls_needed);
    let (mut call_in_progress, mut steps_with_call) = (None, 0);
    for at in (60..20_000).step_by(50) {
        if let Some(Action::Call(id, _)) = actions.iter().find(|a| matches!(a, Action::Call(..))) {
            call_in_progress = Some((*id, at));
        }
        steps_with_call += u32::from(call_in_progress.is_some());
        let mut events = vec![timer_event()];
        if let Some((id, since)) = call_in_progress.filter(|(_, since)| at >= since + 500) {
            events.push(Event::CallReturned { id, outcome: Outcome::Ok, took: ms(at - since) });
            call_in_progress = None;
        }
        actions = handle_at(&mut admission, at, &events);
    }
    assert!(
        steps_with_call > 0 && f64::from(steps_with_call) / 400.0 <= 0.4,
        "{steps_with_call} of 400 steps with a call in progress"
    );
}

#[test]
fn a_failed_call_is_skipped_if_the_class_has_a_skip_weight() {
    let class = Class { calls: true, skip_weight: 0.5, ..Class::default() };
    let mut admission = started_admission(Settings {
        classes: vec![class],
        dependency: Dependency::Tier,
        ..Settings::default()
    });
    handle_at(&mut admission, 0, &[arrival_event(1)]);
    handle_at(&mut admission, 10, &[Event::CallNeeded(RequestId(1))]);
    let unreachable = Event::CallReturned { id: RequestId(1), outcome: Outcome::Unreachable, took: ms(5) };
    assert!(handle_at(&mut admission, 20, &[unreachable]).contains(&Action::SkipCall(RequestId(1))));
}

#[test]
fn quick_calls_to_a_tier_are_not_limited() {
    let class = Class { calls: true, ..Class::default() };
    let settings =
        Settings { classes: vec![class], dependency: Dependency::Tier, cores: 8, ..Settings::default() };
    let mut admission = started_admission(settings);
    let returned = |id| Event::CallReturned { id, outcome: Outcome::Ok, took: ms(10) };
    handle_at(&mut admission, 0, &[arrival_event(1)]);
    handle_at(&mut admission, 10, &[Event::CallNeeded(RequestId(1))]);
    handle_at(&mut admission, 20, &[returned(RequestId(1))]);
    handle_at(&mut admission, 30, &[arrival_event(2), arrival_event(3), arrival_event(4)]);
    let calls_needed = [2, 3, 4].map(|id| Event::CallNeeded(RequestId(id)));
    let actions = handle_at(&mut admission, 40, &calls_needed);
    assert_eq!(actions.iter().filter(|a| matches!(a, Action::Call(..))).count(), 3);
}

#[test]
fn a_dependency_share_below_one_call_is_kept_for_quick_calls_and_timeouts() {
    let class = Class { calls: true, latency_objective: ms(3000), deadline: ms(20_000), ..Class::default() };
    let (share, span) = (0.3, 5.0);
    let dependency = Dependency::Shared { share, span: ms(5000), linger: ms(200) };
    let settings = Settings { classes: vec![class], dependency, cores: 2, ..Settings::default() };
    let mut admission = started_admission(settings);
    let (mut next, mut calls_in_progress, mut concurrent_calls) =
        (1, Vec::<(RequestId, u64, u64)>::new(), Vec::new());
    for at in (10..40_000u64).step_by(10) {
        let mut events = vec![timer_event()];
        for (id, _, _) in calls_in_progress.iter().filter(|(_, since, timeout)| at >= since + timeout) {
            events.push(Event::CallReturned { id: *id, outcome: Outcome::TimedOut, took: ms(0) });
        }
        // Quick calls for ten seconds, then calls that never return and time out.
        for (id, since, _) in
            calls_in_progress.iter().filter(|(_, since, _)| *since < 10_000 && at == since + 20)
        {
            events.push(Event::CallReturned { id: *id, outcome: Outcome::Ok, took: ms(at - since) });
            events.push(Event::Finished { id: *id, outcome: Outcome::Ok, took: ms(at - since) });
        }
        calls_in_progress
            .retain(|(_, since, timeout)| at < since + timeout && !(*since < 10_000 && at >= since + 20));
        if at % 200 == 0 {
            events.push(arrival_event(next));
            next += 1;
        }
        let mut actions = handle_at(&mut admission, at, &events);
        let calls_needed: Vec<_> = actions
            .iter()
            .filter_map(|a| if let Action::Run(id) = a { Some(Event::CallNeeded(*id)) } else { None })
            .collect();
        actions.extend(handle_at(&mut admission, at, &calls_needed));
        for action in actions {
            if let Action::Call(id, timeout) = action {
                calls_in_progress.push((id, at, timeout.as_millis() as u64));
            }
        }
        concurrent_calls.push(calls_in_progress.len() as f64);
    }
    let means = concurrent_calls
        .windows((span * 100.0) as usize)
        .map(|window| window.iter().sum::<f64>() / window.len() as f64);
    let peak = means.fold(0.0, f64::max);
    assert!(peak > 0.0 && peak <= share, "{peak} calls in the mean of {span} s");
}

/// The highest number of concurrent calls if each takes `call_millis`, after a few seconds of them.
fn max_concurrent_calls(call_millis: u64) -> usize {
    let class = Class { calls: true, latency_objective: ms(2000), deadline: ms(60_000), ..Class::default() };
    let dependency = Dependency::Shared { share: 6.0, span: ms(5000), linger: ms(200) };
    let mut admission =
        started_admission(Settings { classes: vec![class], dependency, cores: 8, ..Settings::default() });
    let (mut next, mut calls_in_progress, mut peak) = (1, Vec::new(), 0);
    for at in (10..12_000).step_by(10) {
        let mut events: Vec<_> = vec![timer_event()];
        for (id, _) in calls_in_progress.iter().filter(|(_, since)| at >= since + call_millis) {
            events.push(Event::CallReturned { id: *id, outcome: Outcome::Ok, took: ms(call_millis) });
            events.push(Event::Finished { id: *id, outcome: Outcome::Ok, took: ms(call_millis) });
        }
        calls_in_progress.retain(|(_, since)| at < since + call_millis);
        events.extend([arrival_event(next)]);
        next += 1;
        let mut actions = handle_at(&mut admission, at, &events);
        let ran: Vec<_> =
            actions.iter().filter_map(|a| if let Action::Run(id) = a { Some(*id) } else { None }).collect();
        let calls_needed: Vec<_> = ran.into_iter().map(Event::CallNeeded).collect();
        actions.extend(handle_at(&mut admission, at, &calls_needed));
        for action in actions {
            if let Action::Call(id, _) = action {
                calls_in_progress.push((id, at));
            }
        }
        if at > 8000 {
            peak = peak.max(calls_in_progress.len());
        }
    }
    peak
}

#[test]
fn concurrent_long_calls_are_limited_so_that_an_overloaded_dependency_recovers() {
    let (long, quick) = (max_concurrent_calls(600), max_concurrent_calls(40));
    assert!(long <= 1, "{long} long calls at once");
    assert!(quick >= 3, "only {quick} quick calls at once");
}

#[test]
fn calls_to_a_tier_are_not_limited_like_those_to_a_shared_dependency() {
    let class = Class { calls: true, skip_weight: 0.3, deadline: ms(9000), ..Class::default() };
    let mut admission = started_admission(Settings {
        classes: vec![Class { latency_objective: ms(4000), ..class }],
        dependency: Dependency::Tier,
        cores: 2,
        max_concurrency_per_core: 8.0,
        ..Settings::default()
    });
    for id in 1..=6 {
        let at = 50 * u64::from(id);
        let started = handle_at(&mut admission, at, &[arrival_event(id)]);
        assert!(started.iter().any(|a| is_run_of(a, id)), "{id} of 6 below the limit of twelve");
        let called = handle_at(&mut admission, at + 40, &[Event::CallNeeded(RequestId(id))]);
        assert!(called.iter().any(|a| matches!(a, Action::Call(..))), "{id} called");
    }
}

#[test]
fn a_call_that_may_be_skipped_times_out_within_the_latency_objective() {
    let class = Class {
        calls: true,
        skip_weight: 0.3,
        latency_objective: ms(2000),
        deadline: ms(20_000),
        ..Class::default()
    };
    let mut admission = started_admission(Settings {
        classes: vec![class],
        dependency: Dependency::Tier,
        ..Settings::default()
    });
    handle_at(&mut admission, 0, &[arrival_event(1)]);
    let called = handle_at(&mut admission, 100, &[Event::CallNeeded(RequestId(1))]);
    assert!(
        called.iter().any(|a| matches!(a, Action::Call(_, timeout) if *timeout <= ms(1900))),
        "{called:?}"
    );
    let timed_out = Event::CallReturned { id: RequestId(1), outcome: Outcome::TimedOut, took: ms(1850) };
    assert!(handle_at(&mut admission, 1950, &[timed_out]).contains(&Action::SkipCall(RequestId(1))));
}

#[test]
fn rejected_calls_reduce_the_number_of_concurrent_calls() {
    let class = Class { calls: true, latency_objective: ms(4000), deadline: ms(60_000), ..Class::default() };
    let dependency = Dependency::Shared { share: 12.0, span: ms(5000), linger: ms(200) };
    let mut admission =
        started_admission(Settings { classes: vec![class], dependency, cores: 8, ..Settings::default() });
    let ids: Vec<u32> = (1..=8).collect();
    handle_at(&mut admission, 0, &ids.iter().map(|&id| arrival_event(id)).collect::<Vec<_>>());
    let mut calls = 0;
    for round in 1..=2 {
        let at = 100 * round;
        let needed = |&id: &u32| Event::CallNeeded(RequestId(id));
        let rejected =
            |&id: &u32| Event::CallReturned { id: RequestId(id), outcome: Outcome::Rejected, took: ms(1) };
        let calls_needed: Vec<_> =
            if round == 1 { ids.iter().map(needed).collect() } else { ids.iter().map(rejected).collect() };
        let actions = handle_at(&mut admission, at, &calls_needed);
        calls = actions.iter().filter(|a| matches!(a, Action::Call(..))).count();
    }
    assert!(calls < 8, "{calls} calls retried at once at a dependency that rejected all of them");
}
