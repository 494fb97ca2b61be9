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

/// The most calls that may be in progress before another starts.
fn allowed(limit: &CallLimit, now: f64) -> usize {
    (0..20).take_while(|calls| limit.allows_call(at(now), f64::from(*calls))).count()
}

#[test]
fn slow_calls_lower_the_limit_to_a_part_of_the_share_and_quick_ones_restore_it() {
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
fn calls_beyond_the_share_use_up_its_balance() {
    let mut limit = limit(2.0);
    assert_eq!(limit.accrue_and_count_in_progress(at(1.0), 2), 2.0);
    assert_eq!(allowed(&limit, 1.0), 0, "two calls for a second of 1.5");
    limit.accrue_and_count_in_progress(at(2.0), 0);
    assert_eq!(allowed(&limit, 2.0), 2);
}

#[test]
fn calls_that_were_given_up_count_until_the_dependency_ends_them() {
    let mut limit = limit(2.0);
    limit.call_ended(at(0.0), &CallEnd { orphaned: true, ..call_end(false) });
    assert_eq!(limit.accrue_and_count_in_progress(at(0.25), 1), 2.0);
    assert_eq!(limit.accrue_and_count_in_progress(at(0.75), 1), 1.0);
}

#[test]
fn a_share_below_one_call_leaves_a_pause_after_each() {
    let mut limit = limit(0.5);
    assert_eq!(allowed(&limit, 0.0), 1);
    limit.call_ended(at(0.0), &call_end(false));
    assert_eq!(allowed(&limit, 0.4), 0);
    assert_eq!(allowed(&limit, 0.5), 1);
}

#[test]
fn one_call_may_take_half_of_the_share_less_its_lingering() {
    assert_eq!(limit(1.0).max_call_time(), seconds(1.5));
    assert_eq!(limit(0.0).max_call_time(), seconds(0.05));
}
