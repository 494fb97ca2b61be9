use super::{is_slow, CallHistory};
use crate::admission::tests::fixtures::{at, seconds};

fn history_of(count: usize, waited: f64) -> CallHistory {
    let mut history = CallHistory::default();
    (0..count).for_each(|_| history.call_ended(at(0.0), seconds(waited)));
    history
}

#[test]
fn a_call_is_slow_above_a_small_fraction_of_the_objective() {
    assert!(is_slow(seconds(0.08), seconds(1.0)) && !is_slow(seconds(0.06), seconds(1.0)));
    assert!(history_of(3, 0.08).waits_are_slow(seconds(1.0)));
    assert!(!history_of(0, 0.0).waits_are_slow(seconds(1.0)));
}

#[test]
fn completable_calls_are_the_recent_call_rate_times_the_latency_target() {
    assert_eq!(history_of(16, 0.1).completable(seconds(2.0)), 10.0 * 0.4 * 2.0);
}

#[test]
fn the_typical_time_is_the_mean_of_successful_calls_only() {
    let mut history = history_of(3, 9.0);
    history.call_succeeded(seconds(0.25));
    assert_eq!(history.typical_time(), seconds(0.25));
}
