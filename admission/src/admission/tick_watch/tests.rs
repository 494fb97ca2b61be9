use super::TickWatch;
use crate::admission::tests::fixtures::{at, seconds};

#[test]
fn the_longest_delay_of_a_tick_is_kept() {
    let mut ticks = TickWatch::new(at(0.0));
    for now in [0.05, 0.6, 0.65] {
        assert!(!ticks.record_tick(at(now)));
    }
    assert!(ticks.longest_delay().distance(seconds(0.5)) < seconds(1e-9));
}

#[test]
fn estimates_are_stale_after_ten_seconds_without_a_tick() {
    let mut ticks = TickWatch::new(at(0.0));
    assert!(!ticks.record_tick(at(10.0)));
    assert!(ticks.record_tick(at(20.5)));
    assert!(!ticks.record_tick(at(20.55)));
}
