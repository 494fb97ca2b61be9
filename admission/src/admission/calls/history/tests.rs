use super::{is_slow, CallHistory};
use crate::admission::tests::fixtures::{at, seconds};

fn history_of(count: usize, time_blocked: f64) -> CallHistory {
    let mut history = CallHistory::default();
    (0..count).for_each(|_| history.call_ended(at(0.0), seconds(time_blocked)));
    history
}

#[test]
fn a_call_is_slow_above_a_small_fraction_of_the_objective() {
    assert!(is_slow(seconds(0.08), seconds(1.0)) && !is_slow(seconds(0.06), seconds(1.0)));
    assert!(history_of(3, 0.08).calls_are_slow(seconds(1.0)));
    assert!(!history_of(0, 0.0).calls_are_slow(seconds(1.0)));
}

#[test]
fn max_completable_calls_are_the_recent_call_rate_times_the_latency_target() {
    assert_eq!(history_of(16, 0.1).max_completable_within(seconds(2.0)), 10.0 * 0.4 * 2.0);
}

#[test]
fn the_mean_duration_includes_successful_calls_only() {
    let mut history = history_of(3, 9.0);
    history.call_succeeded(seconds(0.25));
    assert_eq!(history.mean_duration(), seconds(0.25));
}
