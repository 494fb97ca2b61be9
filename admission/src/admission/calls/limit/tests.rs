use std::time::Duration;

use super::{CallEnd, CallLimit};
use crate::admission::tests::fixtures::{at, seconds};
use crate::interface::Dependency;

fn limit(share: f64) -> CallLimit {
    let dependency = Dependency::Shared {
        share,
        averaging_time: Duration::from_secs(4),
        linger: Duration::from_millis(500),
    };
    CallLimit::new(&dependency, at(0.0))
}

fn call_end(slow: bool) -> CallEnd {
    CallEnd { duration: seconds(0.5), slow, orphaned: false }
}

/// The number of calls in progress below which another call may start.
fn allowed(limit: &CallLimit, now: f64) -> usize {
    (0..20).take_while(|calls| limit.allows_call(at(now), f64::from(*calls))).count()
}

#[test]
fn slow_calls_lower_the_limit_to_its_minimum_and_quick_calls_restore_the_share() {
    let mut limit = limit(10.0);
    assert_eq!(allowed(&limit, 0.0), 10);
    limit.call_ended(at(0.0), &call_end(true));
    assert_eq!(allowed(&limit, 0.0), 8);
    (0..50).for_each(|_| limit.call_ended(at(0.0), &call_end(true)));
    assert_eq!(allowed(&limit, 0.0), 2);
    (0..50).for_each(|_| limit.call_ended(at(0.0), &call_end(false)));
    assert_eq!(allowed(&limit, 0.0), 10);
}

#[test]
fn calls_beyond_the_usable_share_overdraw_the_balance() {
    let mut limit = limit(2.0);
    assert_eq!(limit.accrue_and_count_in_progress(at(1.0), 2), 2.0);
    assert_eq!(allowed(&limit, 1.0), 0, "two calls for one second overdraw the usable 1.5 call-seconds");
    limit.accrue_and_count_in_progress(at(2.0), 0);
    assert_eq!(allowed(&limit, 2.0), 2);
}

#[test]
fn orphaned_calls_count_until_the_dependency_ends_them() {
    let mut limit = limit(2.0);
    limit.call_ended(at(0.0), &CallEnd { orphaned: true, ..call_end(false) });
    assert_eq!(limit.accrue_and_count_in_progress(at(0.25), 1), 2.0);
    assert_eq!(limit.accrue_and_count_in_progress(at(0.75), 1), 1.0);
}

#[test]
fn a_share_below_one_call_enforces_a_pause_after_each_call() {
    let mut limit = limit(0.5);
    assert_eq!(allowed(&limit, 0.0), 1);
    limit.call_ended(at(0.0), &call_end(false));
    assert_eq!(allowed(&limit, 0.4), 0);
    assert_eq!(allowed(&limit, 0.5), 1);
}

#[test]
fn one_call_may_use_half_of_the_share_less_the_linger_time() {
    assert_eq!(limit(1.0).max_call_time(), seconds(1.5));
    assert_eq!(limit(0.0).max_call_time(), seconds(0.05));
}
