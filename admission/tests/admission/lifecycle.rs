//! Drain, stalls, suspensions, reconfiguration and invalid input. In each case every request is answered.

use std::time::Duration;

use oakwind_admission::*;

use crate::common::{
    arrival_event, call_needed_event, finished_event, handle_at, idempotency_key_settings, is_run_of, ms,
    retry_event, started_admission, timer_event,
};

#[test]
fn all_overdue_requests_are_answered_after_a_suspension() {
    let mut admission = started_admission(Settings::default());
    let events: Vec<_> = (1..=5).map(arrival_event).collect();
    handle_at(&mut admission, 0, &events);
    let answers = handle_at(&mut admission, 60_000, &[timer_event()]);
    assert!(answers.contains(&Action::Fail(RequestId(1))), "the running request is failed, not rejected");
    for id in 2..=5 {
        let rejected = |a: &Action| matches!(a, Action::Reject { id: r, .. } if *r == RequestId(id));
        assert_eq!(answers.iter().filter(|a| rejected(a)).count(), 1);
    }
}

#[test]
fn a_drain_rejects_arrivals_after_the_grace_period_and_answers_all_before_the_stop() {
    let mut admission = started_admission(Settings { cores: 1, ..Settings::default() });
    handle_at(&mut admission, 0, &[arrival_event(1)]);
    let notice = handle_at(&mut admission, 10, &[Event::Drain(ms(3000))]);
    assert!(notice.contains(&Action::SetHealth { healthy: false, static_answer: true }));
    let actions = handle_at(&mut admission, 1100, &[arrival_event(2)]);
    assert!(matches!(actions[0], Action::Reject { id: RequestId(2), give_up: false, .. }));
    let all: Vec<_> =
        (23..60).flat_map(|step| handle_at(&mut admission, 50 * step, &[timer_event()])).collect();
    assert!(all.contains(&Action::Fail(RequestId(1))));
}

#[test]
fn events_for_unknown_requests_are_ignored() {
    let mut admission = started_admission(Settings::default());
    let id = RequestId(77);
    let unknown_events = [
        Event::CallNeeded(id),
        Event::CallReturned { id, outcome: Outcome::Ok, took: ms(1) },
        Event::Cancelled(id),
        Event::Finished { id, outcome: Outcome::Ok, took: ms(1) },
    ];
    assert_eq!(handle_at(&mut admission, 5, &unknown_events), Vec::new());
}

#[test]
fn zero_settings_cause_no_panic_and_leave_no_request_unanswered() {
    let class =
        Class { latency_objective: ms(0), deadline: ms(0), idempotency_window: ms(0), ..Class::default() };
    let zero_settings = Settings {
        classes: vec![class],
        tenant_quotas: vec![0.0],
        servers: 0,
        callers: 0,
        cores: 0,
        memory_kb: 0.5,
        running_memory_factor: 0.0,
        signal: Signal::Credit,
        dependency: Dependency::Shared { share: 0.0, averaging_time: ms(0), linger: ms(0) },
        cold: true,
        max_concurrency_per_core: 0.0,
        ..Settings::default()
    };
    let mut admission = started_admission(zero_settings);
    let unknown = Event::Arrived(Arrival::new(RequestId(2), ClassId(9)));
    let actions = handle_at(&mut admission, 1, &[arrival_event(1), unknown, timer_event()]);
    assert_eq!(actions.iter().filter(|action| matches!(action, Action::Reject { .. })).count(), 2);
}

#[test]
fn a_drain_reserves_the_longest_tick_delay_before_the_stop() {
    let class = Class { latency_objective: ms(9000), deadline: ms(60_000), ..Class::default() };
    let mut admission = started_admission(Settings { classes: vec![class], ..Settings::default() });
    handle_at(&mut admission, 50, &[timer_event(), arrival_event(1)]);
    handle_at(&mut admission, 700, &[timer_event(), Event::Drain(ms(4000))]);
    // The process is suspended again for the last 650 ms of the drain.
    let all: Vec<_> = (15..=80).flat_map(|n| handle_at(&mut admission, 50 * n, &[timer_event()])).collect();
    assert!(all.contains(&Action::Fail(RequestId(1))), "request 1 is unanswered when the server is stopped");
}

#[test]
fn a_stalled_server_reports_bad_health_rejects_arrivals_and_recovers() {
    let class = Class { latency_objective: ms(9000), deadline: ms(60_000), ..Class::default() };
    let mut admission = started_admission(Settings { classes: vec![class], ..Settings::default() });
    let mut id = 0;
    for n in 1..=60 {
        id += 1;
        let done = finished_event(id - 1, 50);
        handle_at(&mut admission, 50 * n, &[done, timer_event(), arrival_event(id)]);
    }
    let stalled: Vec<_> =
        (61..90).flat_map(|n| handle_at(&mut admission, 50 * n, &[timer_event()])).collect();
    assert!(
        stalled.contains(&Action::SetHealth { healthy: false, static_answer: true }),
        "bad health was not reported: {stalled:?}"
    );
    let rejected = handle_at(&mut admission, 4500, &[arrival_event(1000)]);
    assert!(
        rejected.iter().any(|action| matches!(action, Action::Reject { give_up: false, .. })),
        "a stalled server rejects arrivals, which another server may accept"
    );
    let done = finished_event(id, 1500);
    let after = handle_at(&mut admission, 4550, &[done, timer_event(), arrival_event(1001)]);
    assert!(after.contains(&Action::SetHealth { healthy: true, static_answer: true }));
    assert!(
        !after.iter().any(|action| matches!(action, Action::Reject { .. })),
        "arrivals are queued again as soon as a run has ended"
    );
}

#[test]
fn invalid_settings_and_clock_jumps_leave_no_request_unanswered() {
    let zero = Duration::ZERO;
    let class = Class {
        latency_objective: zero,
        deadline: ms(500),
        weight: 0.0,
        may_call: true,
        idempotency_window: zero,
        ..idempotency_key_settings().classes[0].clone()
    };
    let shared = Dependency::Shared { share: 0.0, averaging_time: zero, linger: zero };
    for (memory_kb, dependency) in
        [(0.0, Dependency::Tier), (f64::NAN, shared), (1e9, shared), (1e9, Dependency::Tier)]
    {
        let mut admission = started_admission(Settings {
            classes: vec![class.clone()],
            tenant_quotas: vec![0.0, f64::NAN],
            servers: 0,
            callers: 0,
            cores: 0,
            max_concurrency_per_core: 0.0,
            memory_kb,
            dependency,
            idle_timeout: zero,
            max_retry_after: zero,
            cold: true,
            cold_speed: 0.0,
            signal: Signal::Credit,
            ..Settings::default()
        });
        let (mut answered, mut now) = (std::collections::BTreeSet::new(), 0);
        for id in 1..=200 {
            now += if id % 50 == 0 { 10_000 } else { 50 };
            let mut events = vec![timer_event(), arrival_event(id), call_needed_event(id - 1)];
            events.push(Event::Finished { id: RequestId(9999), outcome: Outcome::Ok, took: zero });
            for action in handle_at(&mut admission, now, &events) {
                if let Action::Reject { id, .. } | Action::Fail(id) = action {
                    assert!(answered.insert(id), "{id:?} answered twice");
                }
            }
        }
        handle_at(&mut admission, now, &[Event::Drain(zero)]).iter().for_each(|action| {
            if let Action::Reject { id, .. } | Action::Fail(id) = action {
                assert!(answered.insert(*id), "{id:?} answered twice");
            }
        });
        assert_eq!(answered.len(), 200);
    }
}

#[test]
fn a_reconfiguration_keeps_open_requests_and_adds_classes() {
    let mut admission = started_admission(Settings { cores: 1, ..idempotency_key_settings() });
    handle_at(&mut admission, 0, &[arrival_event(1), arrival_event(2)]);
    let second = |id| Event::Arrived(Arrival::new(RequestId(id), ClassId(1)));
    let unknown = handle_at(&mut admission, 1, &[second(3)]);
    assert!(unknown.iter().any(|action| matches!(action, Action::Reject { id: RequestId(3), .. })));
    let classes = vec![idempotency_key_settings().classes[0].clone(), Class::default()];
    admission.reconfigure(Settings { classes, cores: 2, ..idempotency_key_settings() });
    // After a reconfiguration with fewer classes, the class positions of open requests remain valid.
    admission.reconfigure(Settings {
        classes: idempotency_key_settings().classes,
        cores: 2,
        ..idempotency_key_settings()
    });
    let actions = handle_at(&mut admission, 5, &[retry_event(4, 1), second(5)]);
    assert!(actions.contains(&Action::Coalesce(RequestId(4))), "the key of request 1 is still retained");
    let done = |id| finished_event(id, 15);
    let mut runs = actions;
    runs.extend((1..=2).flat_map(|id| handle_at(&mut admission, 20 * u64::from(id), &[done(id)])));
    assert_eq!([2, 5].map(|id| runs.iter().filter(|action| is_run_of(action, id)).count()), [1, 1]);
}
