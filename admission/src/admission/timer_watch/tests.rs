use super::TimerWatch;
use crate::admission::tests::fixtures::{at, seconds};

#[test]
fn the_longest_delay_of_a_timer_is_kept() {
    let mut timers = TimerWatch::new(at(0.0));
    for now in [0.05, 0.6, 0.65] {
        assert!(!timers.record_timer(at(now)));
    }
    assert!(timers.longest_delay().distance(seconds(0.5)) < seconds(1e-9));
}

#[test]
fn estimates_are_stale_after_ten_seconds_without_a_timer() {
    let mut timers = TimerWatch::new(at(0.0));
    assert!(!timers.record_timer(at(10.0)));
    assert!(timers.record_timer(at(20.5)));
    assert!(!timers.record_timer(at(20.55)));
}
