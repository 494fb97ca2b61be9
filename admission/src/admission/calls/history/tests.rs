use super::{is_slow, CallHistory};
use crate::admission::tests::fixtures::{at, seconds};

fn with_calls(count: usize, waited: f64) -> CallHistory {
    let mut history = CallHistory::default();
    (0..count).for_each(|_| history.call_ended(at(0.0), seconds(waited)));
    history
}

#[test]
fn a_call_is_slow_beyond_a_small_part_of_the_objective() {
    assert!(is_slow(seconds(0.08), seconds(1.0)) && !is_slow(seconds(0.06), seconds(1.0)));
    assert!(with_calls(3, 0.08).waits_are_slow(seconds(1.0)));
    assert!(!with_calls(0, 0.0).waits_are_slow(seconds(1.0)));
}

#[test]
fn completable_calls_end_within_the_latency_target_at_the_recent_rate() {
    assert_eq!(with_calls(16, 0.1).completable(seconds(2.0)), 10.0 * 0.4 * 2.0);
}

#[test]
fn the_typical_time_is_that_of_calls_that_succeed() {
    let mut history = with_calls(3, 9.0);
    history.call_succeeded(seconds(0.25));
    assert_eq!(history.typical_time(), seconds(0.25));
}
