//! Calls to the dependency: limits, retries, timeouts and skipped calls.

use oakwind_admission::*;

use crate::common::{
    arrival_event, call_needed_event, call_returned_event, count_calls, finished_event, handle_at,
    idempotency_key_settings, is_run_of, ms, runs_of, started_admission, timer_event,
};

#[test]
fn a_request_whose_call_never_returns_is_failed_exactly_once_by_its_deadline() {
    let class = Class { deadline: ms(3000), may_call: true, ..Class::default() };
    let mut admission = started_admission(Settings {
        classes: vec![class],
        dependency: Dependency::Tier,
        ..Settings::default()
    });
    handle_at(&mut admission, 0, &[arrival_event(9)]);
    let called = handle_at(&mut admission, 100, &[call_needed_event(9)]);
    assert!(called.iter().any(|action| matches!(action, Action::Call(RequestId(9), _))));
    let all: Vec<_> =
        (3..60).flat_map(|step| handle_at(&mut admission, 50 * step, &[timer_event()])).collect();
    assert_eq!(all.iter().filter(|a| **a == Action::Fail(RequestId(9))).count(), 1);
}

#[test]
fn a_call_that_may_have_taken_effect_is_not_repeated_for_a_request_that_is_not_idempotent() {
    let mut settings = idempotency_key_settings();
    settings.classes[0].may_call = true;
    settings.dependency = Dependency::Tier;
    let mut admission = started_admission(settings);
    handle_at(&mut admission, 0, &[arrival_event(1)]);
    handle_at(&mut admission, 10, &[call_needed_event(1)]);
    let cut_off = call_returned_event(1, Outcome::CutOff, 5);
    assert_eq!(handle_at(&mut admission, 15, &[cut_off]), vec![Action::Fail(RequestId(1))]);
}

#[test]
fn a_dependency_share_below_one_call_spaces_calls_in_time() {
    let class =
        Class { may_call: true, latency_objective: ms(20_000), deadline: ms(60_000), ..Class::default() };
    let dependency = Dependency::Shared { share: 0.4, averaging_time: ms(5000), linger: ms(200) };
    let mut admission =
        started_admission(Settings { classes: vec![class], dependency, cores: 8, ..Settings::default() });
    let ids: Vec<u32> = (1..=8).collect();
    handle_at(&mut admission, 0, &ids.iter().map(|id| arrival_event(*id)).collect::<Vec<_>>());
    let calls_needed: Vec<_> = ids.iter().map(|id| call_needed_event(*id)).collect();
    let mut actions = handle_at(&mut admission, 10, &calls_needed);
    let (mut call_in_progress, mut steps_with_call) = (None, 0);
    for at in (60..20_000).step_by(50) {
        if let Some(Action::Call(id, _)) = actions.iter().find(|action| matches!(action, Action::Call(..))) {
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
        "a call was in progress in {steps_with_call} of 400 steps, at a share of 0.4"
    );
}

#[test]
fn a_failed_call_is_skipped_if_the_class_has_a_skip_weight() {
    let class = Class { may_call: true, skip_weight: 0.5, ..Class::default() };
    let mut admission = started_admission(Settings {
        classes: vec![class],
        dependency: Dependency::Tier,
        ..Settings::default()
    });
    handle_at(&mut admission, 0, &[arrival_event(1)]);
    handle_at(&mut admission, 10, &[call_needed_event(1)]);
    let unreachable = call_returned_event(1, Outcome::Unreachable, 5);
    assert!(handle_at(&mut admission, 20, &[unreachable]).contains(&Action::SkipCall(RequestId(1))));
}

#[test]
fn concurrent_quick_calls_to_a_tier_are_not_limited() {
    let class = Class { may_call: true, ..Class::default() };
    let settings =
        Settings { classes: vec![class], dependency: Dependency::Tier, cores: 8, ..Settings::default() };
    let mut admission = started_admission(settings);
    let returned = |id| Event::CallReturned { id, outcome: Outcome::Ok, took: ms(10) };
    handle_at(&mut admission, 0, &[arrival_event(1)]);
    handle_at(&mut admission, 10, &[call_needed_event(1)]);
    handle_at(&mut admission, 20, &[returned(RequestId(1))]);
    handle_at(&mut admission, 30, &[arrival_event(2), arrival_event(3), arrival_event(4)]);
    let calls_needed = [2, 3, 4].map(call_needed_event);
    let actions = handle_at(&mut admission, 40, &calls_needed);
    assert_eq!(count_calls(&actions), 3);
}

/// A call in progress; times are in milliseconds.
struct CallInProgress {
    id: u32,
    since: u64,
    timeout: u64,
}

/// A server whose requests call at the start of their run and end with the call.
struct CallingServer {
    admission: Admission,
    next_id: u32,
    calls: Vec<CallInProgress>,
}

impl CallingServer {
    fn new(settings: Settings) -> Self {
        CallingServer { admission: started_admission(settings), next_id: 1, calls: Vec::new() }
    }

    /// Advances the server to `at` milliseconds, when a request may arrive. `outcome_of` returns the outcome
    /// of a call that ends now.
    fn step(&mut self, at: u64, arrives: bool, outcome_of: impl Fn(&CallInProgress) -> Option<Outcome>) {
        let mut events = vec![timer_event()];
        for call in &self.calls {
            match outcome_of(call) {
                Some(Outcome::Ok) => {
                    events.push(call_returned_event(call.id, Outcome::Ok, at - call.since));
                    events.push(finished_event(call.id, at - call.since));
                }
                Some(outcome) => events.push(call_returned_event(call.id, outcome, 0)),
                None => {}
            }
        }
        self.calls.retain(|call| outcome_of(call).is_none());
        if arrives {
            events.push(arrival_event(self.next_id));
            self.next_id += 1;
        }
        let mut actions = handle_at(&mut self.admission, at, &events);
        let calls_needed: Vec<_> = runs_of(&actions).into_iter().map(Event::CallNeeded).collect();
        actions.extend(handle_at(&mut self.admission, at, &calls_needed));
        for action in actions {
            if let Action::Call(id, timeout) = action {
                let timeout = timeout.as_millis() as u64;
                self.calls.push(CallInProgress { id: id.0, since: at, timeout });
            }
        }
    }
}

#[test]
fn a_dependency_share_below_one_call_is_not_exceeded_by_quick_calls_or_timeouts() {
    let class =
        Class { may_call: true, latency_objective: ms(3000), deadline: ms(20_000), ..Class::default() };
    let (share, span) = (0.3, 5.0);
    let dependency = Dependency::Shared { share, averaging_time: ms(5000), linger: ms(200) };
    let mut server =
        CallingServer::new(Settings { classes: vec![class], dependency, cores: 2, ..Settings::default() });
    let mut concurrent_calls = Vec::new();
    for at in (10..40_000u64).step_by(10) {
        // Calls are quick for ten seconds; after that they never return and time out.
        server.step(at, at % 200 == 0, |call| {
            let is_quick = call.since < 10_000 && at == call.since + 20;
            let is_timed_out = at >= call.since + call.timeout;
            is_quick.then_some(Outcome::Ok).or(is_timed_out.then_some(Outcome::TimedOut))
        });
        concurrent_calls.push(server.calls.len() as f64);
    }
    let means = concurrent_calls
        .windows((span * 100.0) as usize)
        .map(|window| window.iter().sum::<f64>() / window.len() as f64);
    let peak = means.fold(0.0, f64::max);
    assert!(
        peak > 0.0 && peak <= share,
        "a mean of {peak} concurrent calls over {span} s, at a share of {share}"
    );
}

/// The highest number of concurrent calls, after eight seconds of calls that each take `call_millis`.
fn max_concurrent_calls(call_millis: u64) -> usize {
    let class =
        Class { may_call: true, latency_objective: ms(2000), deadline: ms(60_000), ..Class::default() };
    let dependency = Dependency::Shared { share: 6.0, averaging_time: ms(5000), linger: ms(200) };
    let mut server =
        CallingServer::new(Settings { classes: vec![class], dependency, cores: 8, ..Settings::default() });
    let mut peak = 0;
    for at in (10..12_000).step_by(10) {
        server.step(at, true, |call| (at >= call.since + call_millis).then_some(Outcome::Ok));
        if at > 8000 {
            peak = peak.max(server.calls.len());
        }
    }
    peak
}

#[test]
fn long_calls_reduce_the_concurrency_so_that_an_overloaded_dependency_recovers() {
    let (long, quick) = (max_concurrent_calls(600), max_concurrent_calls(40));
    assert!(long <= 1, "{long} long calls were in progress at once");
    assert!(quick >= 3, "only {quick} quick calls were in progress at once");
}

#[test]
fn calls_to_a_tier_are_not_limited_like_those_to_a_shared_dependency() {
    let class = Class { may_call: true, skip_weight: 0.3, deadline: ms(9000), ..Class::default() };
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
        assert!(
            started.iter().any(|action| is_run_of(action, id)),
            "request {id} of 6 was not started below the safe concurrency of twelve"
        );
        let called = handle_at(&mut admission, at + 40, &[call_needed_event(id)]);
        assert!(
            called.iter().any(|action| matches!(action, Action::Call(..))),
            "request {id} made no call: {called:?}"
        );
    }
}

#[test]
fn a_skippable_call_times_out_within_the_latency_objective() {
    let class = Class {
        may_call: true,
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
    let called = handle_at(&mut admission, 100, &[call_needed_event(1)]);
    assert!(
        called.iter().any(|action| matches!(action, Action::Call(_, timeout) if *timeout <= ms(1900))),
        "{called:?}"
    );
    let timed_out = call_returned_event(1, Outcome::TimedOut, 1850);
    assert!(handle_at(&mut admission, 1950, &[timed_out]).contains(&Action::SkipCall(RequestId(1))));
}

#[test]
fn rejected_calls_reduce_the_number_of_concurrent_calls() {
    let class =
        Class { may_call: true, latency_objective: ms(4000), deadline: ms(60_000), ..Class::default() };
    let dependency = Dependency::Shared { share: 12.0, averaging_time: ms(5000), linger: ms(200) };
    let mut admission =
        started_admission(Settings { classes: vec![class], dependency, cores: 8, ..Settings::default() });
    let ids: Vec<u32> = (1..=8).collect();
    handle_at(&mut admission, 0, &ids.iter().map(|&id| arrival_event(id)).collect::<Vec<_>>());
    let mut calls = 0;
    for round in 1..=2 {
        let at = 100 * round;
        let needed = |&id: &u32| call_needed_event(id);
        let rejected = |&id: &u32| call_returned_event(id, Outcome::Rejected, 1);
        let calls_needed: Vec<_> =
            if round == 1 { ids.iter().map(needed).collect() } else { ids.iter().map(rejected).collect() };
        let actions = handle_at(&mut admission, at, &calls_needed);
        calls = count_calls(&actions);
    }
    assert!(calls < 8, "{calls} calls were retried at once at a dependency that rejected all eight");
}
