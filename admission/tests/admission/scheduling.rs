//! Which requests run, in which order, and the estimates on which this depends.

use oakwind_admission::*;

use crate::common::{
    arrival_event, call_needed_event, finished_event, handle_at, is_run_of, ms, runs_of, started_admission,
    timer_event,
};

#[test]
fn a_cold_server_runs_fewer_requests_than_its_warm_concurrency_limit() {
    let cold = Settings {
        cores: 4,
        max_concurrency_per_core: 1.2,
        cold: true,
        cold_speed: 0.2,
        warm_up_time: ms(10_000),
        ..Settings::default()
    };
    let mut admission = started_admission(cold);
    let events: Vec<_> = (1..=20).map(arrival_event).collect();
    let runs = runs_of(&handle_at(&mut admission, 0, &events)).len();
    assert!((1..=4).contains(&runs), "{runs} runs were started on 4 cold cores");
}

#[test]
fn one_quick_first_run_does_not_determine_the_estimated_run_time() {
    let class = Class { latency_objective: ms(2000), deadline: ms(20_000), ..Class::default() };
    let mut admission = started_admission(Settings { classes: vec![class], ..Settings::default() });
    handle_at(&mut admission, 0, &[arrival_event(1)]);
    handle_at(&mut admission, 1, &[finished_event(1, 1)]);
    handle_at(&mut admission, 1000, &[arrival_event(2)]);
    handle_at(&mut admission, 2500, &[finished_event(2, 1500)]);
    handle_at(&mut admission, 3000, &[arrival_event(3)]);
    // Four requests are queued behind a running one: by the mean of the two run times, the last cannot start
    // in time.
    let actions = handle_at(
        &mut admission,
        3001,
        &[arrival_event(4), arrival_event(5), arrival_event(6), arrival_event(7)],
    );
    assert!(
        actions.iter().any(|action| matches!(action, Action::Reject { .. })),
        "no request was shed: {actions:?}"
    );
}

#[test]
fn queued_requests_are_run_even_if_they_fill_the_memory() {
    let class = Class { latency_objective: ms(60_000), deadline: ms(60_000), ..Class::default() };
    let settings =
        Settings { classes: vec![class], memory_kb: 20.0, running_memory_factor: 4.0, ..Settings::default() };
    let mut admission = started_admission(settings);
    let all: Vec<_> = (1..=40).map(arrival_event).collect();
    let mut actions = handle_at(&mut admission, 0, &all);
    let mut ran = 0;
    while let Some(id) = runs_of(&actions).first().copied() {
        ran += 1;
        let done = Event::Finished { id, outcome: Outcome::Ok, took: ms(1) };
        actions = handle_at(&mut admission, ran, &[done]);
    }
    assert!(ran >= 10, "only {ran} requests were run");
}

#[test]
fn runs_that_wait_for_io_free_their_cores_for_queued_requests() {
    let runs_with = |runnable| {
        let mut admission = started_admission(Settings { cores: 2, ..Settings::default() });
        handle_at(
            &mut admission,
            0,
            &[arrival_event(1), arrival_event(2), arrival_event(3), arrival_event(4)],
        );
        let gauges = Gauges { runnable: Some(runnable), utilization: Some(1.0) };
        let actions = handle_at(&mut admission, 50, &[Event::Timer(TimerId(0), gauges)]);
        runs_of(&actions).len()
    };
    assert_eq!((runs_with(2.0), runs_with(1.0), runs_with(0.0)), (0, 1, 2));
}

#[test]
fn requests_past_their_latency_objective_are_answered_early_and_with_a_retry_after() {
    let class =
        Class { may_call: true, latency_objective: ms(1000), deadline: ms(60_000), ..Class::default() };
    let mut admission = started_admission(Settings {
        classes: vec![class],
        dependency: Dependency::Tier,
        ..Settings::default()
    });
    handle_at(&mut admission, 0, &[arrival_event(1)]);
    handle_at(&mut admission, 10, &[call_needed_event(1), arrival_event(2), arrival_event(3)]);
    let answers: Vec<_> = (1..40).flat_map(|n| handle_at(&mut admission, 50 * n, &[timer_event()])).collect();
    assert!(
        answers.contains(&Action::Fail(RequestId(1))),
        "request 1, blocked on a call past its latency objective, is failed"
    );
    let rejected = |a: &&Action| matches!(a, Action::Reject { id: RequestId(3), retry_after: Some(_), .. });
    assert_eq!(
        answers.iter().filter(rejected).count(),
        1,
        "request 3, queued past its latency objective, is rejected even without an estimate"
    );
}

#[test]
fn a_request_of_much_greater_weight_runs_first_despite_a_later_latency_objective() {
    let heavy_class = Class { weight: 10.0, latency_objective: ms(2000), ..Class::default() };
    let mut admission =
        started_admission(Settings { classes: vec![Class::default(), heavy_class], ..Settings::default() });
    handle_at(&mut admission, 0, &[arrival_event(1)]);
    let late = Event::Arrived(Arrival::new(RequestId(4), ClassId(1)));
    handle_at(&mut admission, 10, &[arrival_event(2), arrival_event(3), late]);
    let done = finished_event(1, 20);
    let actions = handle_at(&mut admission, 20, &[done]);
    assert!(actions.iter().any(|action| is_run_of(action, 4)), "request 4 was not run first: {actions:?}");
}

#[test]
fn a_long_estimate_from_slow_runs_does_not_shed_every_later_request() {
    let class =
        Class { latency_objective: ms(300), deadline: ms(1200), late_weight: 0.2, ..Class::default() };
    let mut admission = started_admission(Settings { classes: vec![class], cores: 2, ..Settings::default() });
    let mut at = 0;
    let mut run_alone = |id: u32, took: u64| {
        let ran = handle_at(&mut admission, at, &[arrival_event(id), timer_event()])
            .iter()
            .any(|action| is_run_of(action, id));
        at += took;
        let done = finished_event(id, took);
        handle_at(&mut admission, at, &[done, timer_event()]);
        // No run finishes for about two seconds, so there are no recent answers.
        at += 2_050;
        handle_at(&mut admission, at, &[timer_event()]);
        ran
    };
    assert!(
        (1..=20).all(|id| run_alone(id, 900)),
        "a request without others ahead of it was not run on slow cores"
    );
    assert!((21..=60).all(|id| run_alone(id, 50)), "a request was not run after the cores became fast again");
    let queue: Vec<Event> = (100..106).map(arrival_event).collect();
    assert!(!handle_at(&mut admission, 180_000, &queue)
        .iter()
        .any(|action| matches!(action, Action::Reject { .. })));
}

#[test]
fn a_long_suspension_resets_the_permitted_rate_and_a_short_one_does_not() {
    let class = Class { latency_objective: ms(200), deadline: ms(1000), ..Class::default() };
    let mut admission = started_admission(Settings { classes: vec![class], ..Settings::default() });
    for n in 1..=200 {
        let done = finished_event(n - 1, 40);
        handle_at(&mut admission, 50 * u64::from(n), &[done, timer_event(), arrival_event(n)]);
    }
    let before = admission.permitted_rate();
    handle_at(&mut admission, 10_000 + 9_900, &[timer_event()]);
    assert!(admission.permitted_rate().is_some(), "the permitted rate was reset after a short suspension");
    handle_at(&mut admission, 10_000 + 30_000, &[timer_event()]);
    assert!(before.is_some() && admission.permitted_rate().is_none());
    let first = handle_at(
        &mut admission,
        10_000 + 30_050,
        &[arrival_event(1000), arrival_event(1001), timer_event()],
    );
    assert!(
        !first.iter().any(|action| matches!(action, Action::Reject { .. })),
        "arrivals after the reset are rejected, unlike at startup: {first:?}"
    );
}
