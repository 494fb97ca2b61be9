//! The idle timeout of connections that the module sets.

use std::time::Duration;

use oakwind_admission::*;

use crate::common::{finished_event, handle_at, ms, started_admission, timer_event};

/// The idle limits set over ten seconds with an arrival every 50 ms, from `callers` callers in turn.
fn idle_limits_with_callers(callers: u32) -> Vec<Duration> {
    let mut admission = started_admission(Settings { idle_timeout: ms(30_000), ..Settings::default() });
    let mut limits = Vec::new();
    for n in 0..200 {
        let mut arrival = Arrival::new(RequestId(n + 1), ClassId(0));
        arrival.caller = CallerId(n % callers);
        let done = finished_event(n, 5);
        let actions =
            handle_at(&mut admission, u64::from(n) * 50, &[done, Event::Arrived(arrival), timer_event()]);
        limits.extend(actions.iter().filter_map(|a| match a {
            Action::IdleLimit(limit) => Some(*limit),
            _ => None,
        }));
    }
    limits
}

#[test]
fn the_idle_limit_is_lowered_if_callers_rarely_return() {
    assert!(idle_limits_with_callers(1000).last().is_some_and(|limit| *limit < ms(3000)));
    assert!(idle_limits_with_callers(4).last().is_none_or(|limit| *limit > ms(20_000)));
}

/// The idle limits set over `seconds`, with an arrival from a new caller every 50 ms and these gauges.
fn idle_limits_with_gauges(
    admission: &mut Admission,
    from: u64,
    seconds: u64,
    gauges: Gauges,
) -> Vec<Duration> {
    let mut limits = Vec::new();
    for step in from * 20..(from + seconds) * 20 {
        let id = RequestId(step as u32 + 1);
        let event = Arrival { caller: CallerId(step as u32), ..Arrival::new(id, ClassId(0)) };
        let events = [Event::Arrived(event), Event::Timer(TimerId(0), gauges)];
        limits.extend(handle_at(admission, step * 50, &events).iter().filter_map(|action| match action {
            Action::IdleLimit(limit) => Some(*limit),
            _ => None,
        }));
    }
    limits
}

#[test]
fn the_idle_limit_is_raised_during_read_overload_and_lowered_afterwards() {
    let mut admission = started_admission(Settings { callers: 5000, ..Settings::default() });
    let normal_load = Gauges { utilization: Some(0.95), runnable: Some(1.0) };
    let before = idle_limits_with_gauges(&mut admission, 0, 20, normal_load);
    assert!(
        before.last().is_some_and(|l| *l < ms(1000)),
        "the limit is not low although no caller returns: {before:?}"
    );
    let read_overload = Gauges { utilization: Some(1.0), runnable: Some(9.0) };
    let during = idle_limits_with_gauges(&mut admission, 20, 5, read_overload);
    assert_eq!(during.last(), Some(&ms(30_000)));
    let spare_capacity = Gauges { utilization: Some(0.5), runnable: Some(1.0) };
    let after = idle_limits_with_gauges(&mut admission, 25, 10, spare_capacity);
    assert!(
        after.last().is_some_and(|l| *l < ms(1000)),
        "the limit has not fallen after the read overload: {after:?}"
    );
}
