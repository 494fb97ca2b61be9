//! The guards of the four rules, one small case for each failure found or foreseen.

use std::time::Duration;

use oakwind_admission::*;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn opened(settings: Settings) -> Admission {
    let mut admission = Admission::new(settings, 1, ms(0));
    admission.handle(ms(0), &[], &mut Vec::new());
    admission
}

fn tell(admission: &mut Admission, at: u64, events: &[Event]) -> Vec<Action> {
    let mut actions = Vec::new();
    admission.handle(ms(at), events, &mut actions);
    actions
}

fn arrived(id: u32) -> Event {
    Event::Arrived(Arrival::new(RequestId(id), ClassId(0)))
}

fn repeat(id: u32, of: u32) -> Event {
    Event::Arrived(Arrival { repeats: Some(RequestId(of)), ..Arrival::new(RequestId(id), ClassId(0)) })
}

fn timer() -> Event {
    Event::Timer(TimerId(0), Gauges::default())
}

fn keyed() -> Settings {
    let class = Class { effect: Effect::IdempotencyKey, deadline: ms(3000), ..Class::default() };
    Settings { classes: vec![class], key_memory_kb: 1.0, ..Settings::default() }
}

fn is_run(action: &Action, id: u32) -> bool {
    *action == Action::Run(RequestId(id))
}

#[test]
fn a_request_whose_call_never_returns_is_failed_by_its_due_time() {
    let class = Class { deadline: ms(3000), calls: true, ..Class::default() };
    let mut admission =
        opened(Settings { classes: vec![class], dependency: Dependency::Tier, ..Settings::default() });
    tell(&mut admission, 0, &[arrived(9)]);
    let called = tell(&mut admission, 100, &[Event::CallNeeded(RequestId(9))]);
    assert!(called.iter().any(|a| matches!(a, Action::Call(RequestId(9), _))));
    let all: Vec<_> = (3..60).flat_map(|step| tell(&mut admission, 50 * step, &[timer()])).collect();
    assert_eq!(all.iter().filter(|a| **a == Action::Fail(RequestId(9))).count(), 1);
}

#[test]
fn waking_with_everything_overdue_answers_all_of_it() {
    let mut admission = opened(Settings::default());
    let events: Vec<_> = (1..=5).map(arrived).collect();
    tell(&mut admission, 0, &events);
    let answers = tell(&mut admission, 60_000, &[timer()]);
    assert!(answers.contains(&Action::Fail(RequestId(1))), "it ran, so it is failed");
    for id in 2..=5 {
        let refused = |a: &Action| matches!(a, Action::Reject { id: r, .. } if *r == RequestId(id));
        assert_eq!(answers.iter().filter(|a| refused(a)).count(), 1);
    }
}

#[test]
fn a_key_is_remembered_before_its_run_and_for_its_whole_window() {
    let mut admission = opened(keyed());
    let actions = tell(&mut admission, 0, &[arrived(1)]);
    let kept = actions.iter().position(|a| matches!(a, Action::RetainKey(RequestId(1), k) if *k >= ms(5000)));
    let run = actions.iter().position(|a| is_run(a, 1));
    assert!(kept.is_some() && kept < run);
}

#[test]
fn a_repeat_joins_what_ran_and_never_runs() {
    let mut admission = opened(keyed());
    tell(&mut admission, 0, &[arrived(1)]);
    let actions = tell(&mut admission, 10, &[repeat(2, 1)]);
    assert_eq!(actions, vec![Action::Coalesce(RequestId(2))]);
}

#[test]
fn of_two_tries_in_one_batch_one_runs() {
    let mut admission = opened(Settings { cores: 4, ..keyed() });
    let actions = tell(&mut admission, 0, &[arrived(1), repeat(2, 1)]);
    let runs: Vec<_> = actions.iter().filter(|a| matches!(a, Action::Run(_))).collect();
    assert_eq!(runs, [&Action::Run(RequestId(2))]);
    assert!(actions.iter().any(|a| matches!(a, Action::Reject { id: RequestId(1), .. })));
}

#[test]
fn a_repeat_takes_the_place_of_a_try_still_held() {
    let mut admission = opened(keyed());
    tell(&mut admission, 0, &[arrived(1), arrived(2)]);
    let actions = tell(&mut admission, 5, &[repeat(3, 2)]);
    assert!(actions.iter().any(|a| matches!(a, Action::Reject { id: RequestId(2), .. })));
    assert!(actions.iter().any(|a| matches!(a, Action::RetainKey(RequestId(3), _))));
    tell(&mut admission, 10, &[Event::Cancelled(RequestId(2))]);
    let done = Event::Finished { id: RequestId(1), outcome: Outcome::Ok, took: ms(15) };
    let actions = tell(&mut admission, 15, &[done]);
    assert!(actions.iter().any(|a| is_run(a, 3)));
}

#[test]
fn a_call_that_may_have_run_is_not_sent_again_for_an_effect() {
    let mut settings = keyed();
    settings.classes[0].calls = true;
    settings.dependency = Dependency::Tier;
    let mut admission = opened(settings);
    tell(&mut admission, 0, &[arrived(1)]);
    tell(&mut admission, 10, &[Event::CallNeeded(RequestId(1))]);
    let cut = Event::CallReturned { id: RequestId(1), outcome: Outcome::CutOff, took: ms(5) };
    assert_eq!(tell(&mut admission, 15, &[cut]), vec![Action::Fail(RequestId(1))]);
}

#[test]
fn several_keys_in_one_batch_fit_the_memory_together() {
    let mut admission = opened(Settings { key_memory_kb: 50.0, memory_kb: 160.0, ..keyed() });
    let actions = tell(&mut admission, 0, &[arrived(1), arrived(2), arrived(3), arrived(4)]);
    let kept = actions.iter().filter(|a| matches!(a, Action::RetainKey(..))).count();
    assert!((1..=2).contains(&kept), "{kept} entries of 50 kB in 160 kB");
}

#[test]
fn nothing_that_came_after_the_grace_runs_and_all_is_answered_before_the_stop() {
    let mut admission = opened(Settings { cores: 1, ..Settings::default() });
    tell(&mut admission, 0, &[arrived(1)]);
    let notice = tell(&mut admission, 10, &[Event::Drain(ms(3000))]);
    assert!(notice.contains(&Action::SetHealth { good: false, cheap: true }));
    let actions = tell(&mut admission, 1100, &[arrived(2)]);
    assert!(matches!(actions[0], Action::Reject { id: RequestId(2), give_up: false, .. }));
    let all: Vec<_> = (23..60).flat_map(|step| tell(&mut admission, 50 * step, &[timer()])).collect();
    assert!(all.contains(&Action::Fail(RequestId(1))));
}

#[test]
fn a_cold_server_starts_fewer_than_its_warm_crowd() {
    let cold = Settings {
        cores: 4,
        max_concurrency_per_core: 1.2,
        cold: true,
        cold_speed: 0.2,
        warm_up_time: ms(10_000),
        ..Settings::default()
    };
    let mut admission = opened(cold);
    let events: Vec<_> = (1..=20).map(arrived).collect();
    let runs = tell(&mut admission, 0, &events).iter().filter(|a| matches!(a, Action::Run(_))).count();
    assert!((1..=4).contains(&runs), "{runs} on 4 cores");
}

#[test]
fn a_share_below_one_call_leaves_gaps_between_calls() {
    let class =
        Class { calls: true, latency_objective: ms(20_000), deadline: ms(60_000), ..Class::default() };
    let dependency = Dependency::Shared { share: 0.4, span: ms(5000), linger: ms(200) };
    let mut admission =
        opened(Settings { classes: vec![class], dependency, cores: 8, ..Settings::default() });
    let ids: Vec<u32> = (1..=8).collect();
    tell(&mut admission, 0, &ids.iter().map(|id| arrived(*id)).collect::<Vec<_>>());
    let needs: Vec<_> = ids.iter().map(|id| Event::CallNeeded(RequestId(*id))).collect();
    let mut actions = tell(&mut admission, 10, &needs);
    let (mut out, mut busy) = (None, 0);
    for at in (60..20_000).step_by(50) {
        if let Some(Action::Call(id, _)) = actions.iter().find(|a| matches!(a, Action::Call(..))) {
            out = Some((*id, at));
        }
        busy += u32::from(out.is_some());
        let mut events = vec![timer()];
        if let Some((id, since)) = out.filter(|o| at >= o.1 + 500) {
            events.push(Event::CallReturned { id, outcome: Outcome::Ok, took: ms(at - since) });
            out = None;
        }
        actions = tell(&mut admission, at, &events);
    }
    assert!(busy > 0 && f64::from(busy) / 400.0 <= 0.4, "{busy} of 400 steps with a call out");
}

#[test]
fn events_about_the_unknown_and_the_finished_are_ignored() {
    let mut admission = opened(Settings::default());
    let id = RequestId(77);
    let strange = [
        Event::CallNeeded(id),
        Event::CallReturned { id, outcome: Outcome::Ok, took: ms(1) },
        Event::Cancelled(id),
        Event::Finished { id, outcome: Outcome::Ok, took: ms(1) },
    ];
    assert_eq!(tell(&mut admission, 5, &strange), Vec::new());
}

#[test]
fn zero_settings_neither_panic_nor_leave_a_request_unanswered() {
    let class = Class { latency_objective: ms(0), deadline: ms(0), window: ms(0), ..Class::default() };
    let empty = Settings {
        classes: vec![class],
        tenant_quotas: vec![0.0],
        servers: 0,
        callers: 0,
        cores: 0,
        memory_kb: 0.5,
        running_memory_factor: 0.0,
        signal: Signal::Credit,
        dependency: Dependency::Shared { share: 0.0, span: ms(0), linger: ms(0) },
        cold: true,
        max_concurrency_per_core: 0.0,
        ..Settings::default()
    };
    let mut admission = opened(empty);
    let unknown = Event::Arrived(Arrival::new(RequestId(2), ClassId(9)));
    let actions = tell(&mut admission, 1, &[arrived(1), unknown, timer()]);
    assert_eq!(actions.iter().filter(|a| matches!(a, Action::Reject { .. })).count(), 2);
}

#[test]
fn a_call_may_be_left_out_where_that_still_earns_something() {
    let class = Class { calls: true, skip_weight: 0.5, ..Class::default() };
    let mut admission =
        opened(Settings { classes: vec![class], dependency: Dependency::Tier, ..Settings::default() });
    tell(&mut admission, 0, &[arrived(1)]);
    tell(&mut admission, 10, &[Event::CallNeeded(RequestId(1))]);
    let lost = Event::CallReturned { id: RequestId(1), outcome: Outcome::Unreachable, took: ms(5) };
    assert!(tell(&mut admission, 20, &[lost]).contains(&Action::SkipCall(RequestId(1))));
}

#[test]
fn a_third_try_in_the_batch_that_lost_the_first_follows_the_second() {
    let mut admission = opened(Settings { cores: 2, ..keyed() });
    tell(&mut admission, 0, &[arrived(1), arrived(2), arrived(3)]);
    tell(&mut admission, 10, &[repeat(4, 3), Event::Cancelled(RequestId(3)), repeat(5, 3)]);
    let done = [1, 2].map(|id| Event::Finished { id: RequestId(id), outcome: Outcome::Ok, took: ms(10) });
    let actions = tell(&mut admission, 15, &done);
    let runs: Vec<_> = actions.iter().filter(|a| matches!(a, Action::Run(_))).collect();
    assert_eq!(runs, [&Action::Run(RequestId(5))]);
}

#[test]
fn quick_calls_without_a_shared_dependency_stay_unlimited() {
    let class = Class { calls: true, ..Class::default() };
    let settings =
        Settings { classes: vec![class], dependency: Dependency::Tier, cores: 8, ..Settings::default() };
    let mut admission = opened(settings);
    let returned = |id| Event::CallReturned { id, outcome: Outcome::Ok, took: ms(10) };
    tell(&mut admission, 0, &[arrived(1)]);
    tell(&mut admission, 10, &[Event::CallNeeded(RequestId(1))]);
    tell(&mut admission, 20, &[returned(RequestId(1))]);
    tell(&mut admission, 30, &[arrived(2), arrived(3), arrived(4)]);
    let needs = [2, 3, 4].map(|id| Event::CallNeeded(RequestId(id)));
    let actions = tell(&mut admission, 40, &needs);
    assert_eq!(actions.iter().filter(|a| matches!(a, Action::Call(..))).count(), 3);
}

/// The idle limits said over ten seconds of arrivals every 50 ms from so many callers in turn.
fn idle_limits(callers: u32) -> Vec<Duration> {
    let mut admission = opened(Settings { idle: ms(30_000), ..Settings::default() });
    let mut said = Vec::new();
    for n in 0..200 {
        let mut arrival = Arrival::new(RequestId(n + 1), ClassId(0));
        arrival.caller = CallerId(n % callers);
        let done = Event::Finished { id: RequestId(n), outcome: Outcome::Ok, took: ms(5) };
        let actions = tell(&mut admission, u64::from(n) * 50, &[done, Event::Arrived(arrival), timer()]);
        said.extend(actions.iter().filter_map(|a| match a {
            Action::IdleLimit(limit) => Some(*limit),
            _ => None,
        }));
    }
    said
}

#[test]
fn connections_are_closed_sooner_where_callers_hardly_return() {
    assert!(idle_limits(1000).last().is_some_and(|limit| *limit < ms(3000)));
    assert!(idle_limits(4).last().is_none_or(|limit| *limit > ms(20_000)));
}

#[test]
fn one_quick_first_run_is_not_taken_for_the_usual_one() {
    let class = Class { latency_objective: ms(2000), deadline: ms(20_000), ..Class::default() };
    let mut admission = opened(Settings { classes: vec![class], ..Settings::default() });
    tell(&mut admission, 0, &[arrived(1)]);
    tell(&mut admission, 1, &[Event::Finished { id: RequestId(1), outcome: Outcome::Ok, took: ms(1) }]);
    tell(&mut admission, 1000, &[arrived(2)]);
    tell(&mut admission, 2500, &[Event::Finished { id: RequestId(2), outcome: Outcome::Ok, took: ms(1500) }]);
    tell(&mut admission, 3000, &[arrived(3)]);
    // Two behind one that runs: by the mean of both runs the last cannot begin in time.
    let actions = tell(&mut admission, 3001, &[arrived(4), arrived(5), arrived(6), arrived(7)]);
    assert!(actions.iter().any(|a| matches!(a, Action::Reject { .. })), "{actions:?}");
}

#[test]
fn a_share_below_one_call_is_kept_whatever_calls_take() {
    let class = Class { calls: true, latency_objective: ms(3000), deadline: ms(20_000), ..Class::default() };
    let (share, span) = (0.3, 5.0);
    let dependency = Dependency::Shared { share, span: ms(5000), linger: ms(200) };
    let settings = Settings { classes: vec![class], dependency, cores: 2, ..Settings::default() };
    let mut admission = opened(settings);
    let (mut next, mut out, mut held) = (1, Vec::<(RequestId, u64, u64)>::new(), Vec::new());
    for at in (10..40_000u64).step_by(10) {
        let mut events = vec![timer()];
        for (id, _, _) in out.iter().filter(|(_, since, within)| at >= since + within) {
            events.push(Event::CallReturned { id: *id, outcome: Outcome::TimedOut, took: ms(0) });
        }
        // Quick calls for ten seconds, then ones that never come back and are given up.
        for (id, since, _) in out.iter().filter(|(_, since, _)| *since < 10_000 && at == since + 20) {
            events.push(Event::CallReturned { id: *id, outcome: Outcome::Ok, took: ms(at - since) });
            events.push(Event::Finished { id: *id, outcome: Outcome::Ok, took: ms(at - since) });
        }
        out.retain(|(_, since, within)| at < since + within && !(*since < 10_000 && at >= since + 20));
        if at % 200 == 0 {
            events.push(arrived(next));
            next += 1;
        }
        let mut actions = tell(&mut admission, at, &events);
        let needs: Vec<_> = actions
            .iter()
            .filter_map(|a| if let Action::Run(id) = a { Some(Event::CallNeeded(*id)) } else { None })
            .collect();
        actions.extend(tell(&mut admission, at, &needs));
        for action in actions {
            if let Action::Call(id, within) = action {
                out.push((id, at, within.as_millis() as u64));
            }
        }
        held.push(out.len() as f64);
    }
    let most = held.windows((span * 100.0) as usize).map(|w| w.iter().sum::<f64>() / w.len() as f64);
    let most = most.fold(0.0, f64::max);
    assert!(most > 0.0 && most <= share, "{most} calls in the mean of {span} s");
}

/// The most calls out at once while each takes `takes` ms, after a few seconds of them.
fn calls_out_when_each_takes(takes: u64) -> usize {
    let class = Class { calls: true, latency_objective: ms(2000), deadline: ms(60_000), ..Class::default() };
    let dependency = Dependency::Shared { share: 6.0, span: ms(5000), linger: ms(200) };
    let mut admission =
        opened(Settings { classes: vec![class], dependency, cores: 8, ..Settings::default() });
    let (mut next, mut out, mut most) = (1, Vec::new(), 0);
    for at in (10..12_000).step_by(10) {
        let mut events: Vec<_> = vec![timer()];
        for (id, _) in out.iter().filter(|(_, since)| at >= since + takes) {
            events.push(Event::CallReturned { id: *id, outcome: Outcome::Ok, took: ms(takes) });
            events.push(Event::Finished { id: *id, outcome: Outcome::Ok, took: ms(takes) });
        }
        out.retain(|(_, since)| at < since + takes);
        events.extend([arrived(next)]);
        next += 1;
        let mut actions = tell(&mut admission, at, &events);
        let ran: Vec<_> =
            actions.iter().filter_map(|a| if let Action::Run(id) = a { Some(*id) } else { None }).collect();
        let needs: Vec<_> = ran.into_iter().map(Event::CallNeeded).collect();
        actions.extend(tell(&mut admission, at, &needs));
        for action in actions {
            if let Action::Call(id, _) = action {
                out.push((id, at));
            }
        }
        if at > 8000 {
            most = most.max(out.len());
        }
    }
    most
}

#[test]
fn long_calls_are_kept_few_so_that_a_crowded_dependency_clears() {
    let (long, quick) = (calls_out_when_each_takes(600), calls_out_when_each_takes(40));
    assert!(long <= 1, "{long} long calls out at once");
    assert!(quick >= 3, "only {quick} quick calls out at once");
}

#[test]
fn a_memory_full_of_held_requests_still_lets_them_run() {
    let class = Class { latency_objective: ms(60_000), deadline: ms(60_000), ..Class::default() };
    let settings =
        Settings { classes: vec![class], memory_kb: 20.0, running_memory_factor: 4.0, ..Settings::default() };
    let mut admission = opened(settings);
    let all: Vec<_> = (1..=40).map(arrived).collect();
    let mut actions = tell(&mut admission, 0, &all);
    let mut ran = 0;
    while let Some(id) = actions.iter().find_map(|a| if let Action::Run(id) = a { Some(*id) } else { None }) {
        ran += 1;
        let done = Event::Finished { id, outcome: Outcome::Ok, took: ms(1) };
        actions = tell(&mut admission, ran, &[done]);
    }
    assert!(ran >= 10, "{ran} ran");
}

#[test]
fn runs_that_wait_for_disk_leave_their_cores_to_others() {
    let runs_with = |runnable| {
        let mut admission = opened(Settings { cores: 2, ..Settings::default() });
        tell(&mut admission, 0, &[arrived(1), arrived(2), arrived(3), arrived(4)]);
        let gauges = Gauges { runnable: Some(runnable), busy: Some(1.0) };
        let actions = tell(&mut admission, 50, &[Event::Timer(TimerId(0), gauges)]);
        actions.iter().filter(|a| matches!(a, Action::Run(_))).count()
    };
    assert_eq!((runs_with(2.0), runs_with(1.0), runs_with(0.0)), (0, 1, 2));
}

#[test]
fn a_tier_below_is_not_starved_by_a_bound_meant_for_a_shared_dependency() {
    let class = Class { calls: true, skip_weight: 0.3, deadline: ms(9000), ..Class::default() };
    let mut admission = opened(Settings {
        classes: vec![Class { latency_objective: ms(4000), ..class }],
        dependency: Dependency::Tier,
        cores: 2,
        max_concurrency_per_core: 8.0,
        ..Settings::default()
    });
    for id in 1..=6 {
        let at = 50 * u64::from(id);
        let started = tell(&mut admission, at, &[arrived(id)]);
        assert!(started.iter().any(|a| is_run(a, id)), "{id} of 6 with room for twelve");
        let called = tell(&mut admission, at + 40, &[Event::CallNeeded(RequestId(id))]);
        assert!(called.iter().any(|a| matches!(a, Action::Call(..))), "{id} called");
    }
}

/// The idle limits set over `seconds`, with a fresh caller each 50 ms and these gauges.
fn limits_under(admission: &mut Admission, from: u64, seconds: u64, gauges: Gauges) -> Vec<Duration> {
    let mut limits = Vec::new();
    for step in from * 20..(from + seconds) * 20 {
        let id = RequestId(step as u32 + 1);
        let event = Arrival { caller: CallerId(step as u32), ..Arrival::new(id, ClassId(0)) };
        let events = [Event::Arrived(event), Event::Timer(TimerId(0), gauges)];
        limits.extend(tell(admission, step * 50, &events).iter().filter_map(|action| match action {
            Action::IdleLimit(limit) => Some(*limit),
            _ => None,
        }));
    }
    limits
}

#[test]
fn connections_are_kept_while_connecting_takes_the_cores_and_let_go_once_cores_are_spare() {
    let mut admission = opened(Settings { callers: 5000, ..Settings::default() });
    let plain = Gauges { busy: Some(0.95), runnable: Some(1.0) };
    let before = limits_under(&mut admission, 0, 20, plain);
    assert!(before.last().is_some_and(|l| *l < ms(1000)), "callers do not return: {before:?}");
    let overrun = Gauges { busy: Some(1.0), runnable: Some(9.0) };
    let during = limits_under(&mut admission, 20, 5, overrun);
    assert_eq!(during.last(), Some(&ms(30_000)));
    let spare = Gauges { busy: Some(0.5), runnable: Some(1.0) };
    let after = limits_under(&mut admission, 25, 10, spare);
    assert!(after.last().is_some_and(|l| *l < ms(1000)), "it recovers: {after:?}");
}

#[test]
fn what_is_given_up_on_is_answered_at_once_and_told_when_to_come_back() {
    let class = Class { calls: true, latency_objective: ms(1000), deadline: ms(60_000), ..Class::default() };
    let mut admission =
        opened(Settings { classes: vec![class], dependency: Dependency::Tier, ..Settings::default() });
    tell(&mut admission, 0, &[arrived(1)]);
    tell(&mut admission, 10, &[Event::CallNeeded(RequestId(1)), arrived(2), arrived(3)]);
    let answers: Vec<_> = (1..40).flat_map(|n| tell(&mut admission, 50 * n, &[timer()])).collect();
    assert!(answers.contains(&Action::Fail(RequestId(1))), "it stood at a call past its aim");
    let refused = |a: &&Action| matches!(a, Action::Reject { id: RequestId(3), retry_after: Some(_), .. });
    assert_eq!(answers.iter().filter(refused).count(), 1, "held past its aim, without an estimate");
}

#[test]
fn what_is_worth_far_more_runs_first_though_its_aim_is_later() {
    let worthy = Class { weight: 10.0, latency_objective: ms(2000), ..Class::default() };
    let mut admission = opened(Settings { classes: vec![Class::default(), worthy], ..Settings::default() });
    tell(&mut admission, 0, &[arrived(1)]);
    let late = Event::Arrived(Arrival::new(RequestId(4), ClassId(1)));
    tell(&mut admission, 10, &[arrived(2), arrived(3), late]);
    let done = Event::Finished { id: RequestId(1), outcome: Outcome::Ok, took: ms(20) };
    let actions = tell(&mut admission, 20, &[done]);
    assert!(actions.iter().any(|a| is_run(a, 4)), "{actions:?}");
}

#[test]
fn a_call_that_may_be_left_out_does_not_outlast_the_aim() {
    let class = Class {
        calls: true,
        skip_weight: 0.3,
        latency_objective: ms(2000),
        deadline: ms(20_000),
        ..Class::default()
    };
    let mut admission =
        opened(Settings { classes: vec![class], dependency: Dependency::Tier, ..Settings::default() });
    tell(&mut admission, 0, &[arrived(1)]);
    let called = tell(&mut admission, 100, &[Event::CallNeeded(RequestId(1))]);
    assert!(called.iter().any(|a| matches!(a, Action::Call(_, within) if *within <= ms(1900))), "{called:?}");
    let silent = Event::CallReturned { id: RequestId(1), outcome: Outcome::TimedOut, took: ms(1850) };
    assert!(tell(&mut admission, 1950, &[silent]).contains(&Action::SkipCall(RequestId(1))));
}

#[test]
fn a_standstill_seen_before_is_allowed_for_at_the_end_of_a_drain() {
    let class = Class { latency_objective: ms(9000), deadline: ms(60_000), ..Class::default() };
    let mut admission = opened(Settings { classes: vec![class], ..Settings::default() });
    tell(&mut admission, 50, &[timer(), arrived(1)]);
    tell(&mut admission, 700, &[timer(), Event::Drain(ms(4000))]);
    // The process stands still again over its last 650 ms.
    let all: Vec<_> = (15..=80).flat_map(|n| tell(&mut admission, 50 * n, &[timer()])).collect();
    assert!(all.contains(&Action::Fail(RequestId(1))), "unanswered when it is stopped");
}

#[test]
fn calls_that_are_turned_away_narrow_the_calls_in_hand() {
    let class = Class { calls: true, latency_objective: ms(4000), deadline: ms(60_000), ..Class::default() };
    let dependency = Dependency::Shared { share: 12.0, span: ms(5000), linger: ms(200) };
    let mut admission =
        opened(Settings { classes: vec![class], dependency, cores: 8, ..Settings::default() });
    let ids: Vec<u32> = (1..=8).collect();
    tell(&mut admission, 0, &ids.iter().map(|&id| arrived(id)).collect::<Vec<_>>());
    let mut calls = 0;
    for round in 1..=2 {
        let at = 100 * round;
        let needed = |&id: &u32| Event::CallNeeded(RequestId(id));
        let rejected =
            |&id: &u32| Event::CallReturned { id: RequestId(id), outcome: Outcome::Rejected, took: ms(1) };
        let needs: Vec<_> =
            if round == 1 { ids.iter().map(needed).collect() } else { ids.iter().map(rejected).collect() };
        let actions = tell(&mut admission, at, &needs);
        calls = actions.iter().filter(|a| matches!(a, Action::Call(..))).count();
    }
    assert!(calls < 8, "{calls} calls sent again at once to a dependency that turned all of them away");
}

#[test]
fn a_server_on_which_nothing_ends_says_so_refuses_the_rest_and_recovers() {
    let class = Class { latency_objective: ms(9000), deadline: ms(60_000), ..Class::default() };
    let mut admission = opened(Settings { classes: vec![class], ..Settings::default() });
    let mut id = 0;
    for n in 1..=60 {
        id += 1;
        let done = Event::Finished { id: RequestId(id - 1), outcome: Outcome::Ok, took: ms(50) };
        tell(&mut admission, 50 * n, &[done, timer(), arrived(id)]);
    }
    let hung: Vec<_> = (61..90).flat_map(|n| tell(&mut admission, 50 * n, &[timer()])).collect();
    assert!(hung.contains(&Action::SetHealth { good: false, cheap: true }), "{hung:?}");
    let refused = tell(&mut admission, 4500, &[arrived(1000)]);
    assert!(
        refused.iter().any(|a| matches!(a, Action::Reject { give_up: false, .. })),
        "a neighbour may help"
    );
    let done = Event::Finished { id: RequestId(id), outcome: Outcome::Ok, took: ms(1500) };
    let after = tell(&mut admission, 4550, &[done, timer(), arrived(1001)]);
    assert!(after.contains(&Action::SetHealth { good: true, cheap: true }));
    assert!(!after.iter().any(|a| matches!(a, Action::Reject { .. })), "it recovers at once");
}

#[test]
fn a_server_that_was_slow_tries_again_though_it_expects_too_long_a_run() {
    let class =
        Class { latency_objective: ms(300), deadline: ms(1200), late_weight: 0.2, ..Class::default() };
    let mut admission = opened(Settings { classes: vec![class], cores: 2, ..Settings::default() });
    let mut at = 0;
    let mut once = |id: u32, took: u64| {
        let ran = tell(&mut admission, at, &[arrived(id), timer()]).iter().any(|action| is_run(action, id));
        at += took;
        let done = Event::Finished { id: RequestId(id), outcome: Outcome::Ok, took: ms(took) };
        tell(&mut admission, at, &[done, timer()]);
        // Nothing ends for a while.
        at += 2_050;
        tell(&mut admission, at, &[timer()]);
        ran
    };
    assert!((1..=20).all(|id| once(id, 900)), "each alone, at cores that are slow");
    assert!((21..=60).all(|id| once(id, 50)), "and once they are quick again");
    let line: Vec<Event> = (100..106).map(arrived).collect();
    assert!(!tell(&mut admission, 180_000, &line).iter().any(|a| matches!(a, Action::Reject { .. })));
}

#[test]
fn after_a_long_standstill_the_permitted_rate_is_found_anew() {
    let class = Class { latency_objective: ms(200), deadline: ms(1000), ..Class::default() };
    let mut admission = opened(Settings { classes: vec![class], ..Settings::default() });
    for n in 1..=200 {
        let done = Event::Finished { id: RequestId(n - 1), outcome: Outcome::Ok, took: ms(40) };
        tell(&mut admission, 50 * u64::from(n), &[done, timer(), arrived(n)]);
    }
    let before = admission.permitted_rate();
    tell(&mut admission, 10_000 + 9_900, &[timer()]);
    assert!(admission.permitted_rate().is_some(), "a pause");
    tell(&mut admission, 10_000 + 30_000, &[timer()]);
    assert!(before.is_some() && admission.permitted_rate().is_none());
    let first = tell(&mut admission, 10_000 + 30_050, &[arrived(1000), arrived(1001), timer()]);
    assert!(!first.iter().any(|action| matches!(action, Action::Reject { .. })), "as at a start: {first:?}");
}

#[test]
fn settings_that_make_no_sense_and_a_jumping_clock_leave_nothing_unanswered() {
    let zero = Duration::ZERO;
    let class = Class {
        latency_objective: zero,
        deadline: ms(500),
        weight: 0.0,
        calls: true,
        window: zero,
        ..keyed().classes[0].clone()
    };
    let shared = Dependency::Shared { share: 0.0, span: zero, linger: zero };
    for (memory_kb, dependency) in
        [(0.0, Dependency::Tier), (f64::NAN, shared), (1e9, shared), (1e9, Dependency::Tier)]
    {
        let mut admission = opened(Settings {
            classes: vec![class.clone()],
            tenant_quotas: vec![0.0, f64::NAN],
            servers: 0,
            callers: 0,
            cores: 0,
            max_concurrency_per_core: 0.0,
            memory_kb,
            dependency,
            idle: zero,
            max_retry_after: zero,
            cold: true,
            cold_speed: 0.0,
            signal: Signal::Credit,
            ..Settings::default()
        });
        let (mut answered, mut now) = (std::collections::BTreeSet::new(), 0);
        for id in 1..=200 {
            now += if id % 50 == 0 { 10_000 } else { 50 };
            let mut events = vec![timer(), arrived(id), Event::CallNeeded(RequestId(id - 1))];
            events.push(Event::Finished { id: RequestId(9999), outcome: Outcome::Ok, took: zero });
            for action in tell(&mut admission, now, &events) {
                if let Action::Reject { id, .. } | Action::Fail(id) = action {
                    assert!(answered.insert(id), "{id:?} answered twice");
                }
            }
        }
        tell(&mut admission, now, &[Event::Drain(zero)]).iter().for_each(|action| {
            if let Action::Reject { id, .. } | Action::Fail(id) = action {
                assert!(answered.insert(*id), "{id:?} answered twice");
            }
        });
        assert_eq!(answered.len(), 200);
    }
}

#[test]
fn a_run_that_never_began_frees_its_key_and_its_memory() {
    let mut admission = opened(Settings { cores: 4, memory_kb: 10.0, ..keyed() });
    for id in 1..=50 {
        let actions = tell(&mut admission, u64::from(id), &[arrived(id)]);
        assert!(actions.iter().any(|a| is_run(a, id)), "{id}: {actions:?}");
        let (id, took) = (RequestId(id), ms(1));
        tell(&mut admission, 60, &[Event::Finished { id, outcome: Outcome::Rejected, took }]);
    }
}

#[test]
fn new_settings_keep_what_is_in_hand_and_bring_classes() {
    let mut admission = opened(Settings { cores: 1, ..keyed() });
    tell(&mut admission, 0, &[arrived(1), arrived(2)]);
    let second = |id| Event::Arrived(Arrival::new(RequestId(id), ClassId(1)));
    let unknown = tell(&mut admission, 1, &[second(3)]);
    assert!(unknown.iter().any(|a| matches!(a, Action::Reject { id: RequestId(3), .. })));
    let classes = vec![keyed().classes[0].clone(), Class::default()];
    admission.reconfigure(Settings { classes, cores: 2, ..keyed() });
    // A list that is shorter takes no position away from what is in hand.
    admission.reconfigure(Settings { classes: keyed().classes, cores: 2, ..keyed() });
    let actions = tell(&mut admission, 5, &[repeat(4, 1), second(5)]);
    assert!(actions.contains(&Action::Coalesce(RequestId(4))), "the key of 1 is still known");
    let done = |id| Event::Finished { id: RequestId(id), outcome: Outcome::Ok, took: ms(15) };
    let mut runs = actions;
    runs.extend((1..=2).flat_map(|id| tell(&mut admission, 20 * u64::from(id), &[done(id)])));
    assert_eq!([2, 5].map(|id| runs.iter().filter(|a| is_run(a, id)).count()), [1, 1]);
}
