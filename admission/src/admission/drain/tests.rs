use super::Drain;
use crate::admission::tests::fixtures::{at, seconds};
use crate::admission::time::{Instant, Span};

#[test]
fn without_a_shutdown_notice_every_arrival_may_run() {
    let drain = Drain::default();
    assert!(!drain.is_draining() && drain.may_run(at(1e6)));
    assert_eq!(drain.stop_at(), Instant::DISTANT_FUTURE);
}

#[test]
fn a_tenth_of_the_drain_and_the_longest_tick_delay_are_reserved_for_answers() {
    let mut drain = Drain::default();
    drain.start(at(0.0), seconds(10.0), seconds(1.0), seconds(0.5));
    assert_eq!(drain.stop_at(), at(8.5));
}

#[test]
fn a_short_drain_reserves_at_most_half_of_its_time() {
    let mut drain = Drain::default();
    drain.start(at(0.0), seconds(0.125), seconds(1.0), seconds(3.0));
    assert_eq!(drain.stop_at(), at(0.0625));
}

#[test]
fn arrivals_after_the_grace_period_must_not_run() {
    let mut drain = Drain::default();
    drain.start(at(0.0), seconds(10.0), seconds(1.0), Span::ZERO);
    assert!(drain.is_draining() && drain.may_run(at(1.0)) && !drain.may_run(at(1.01)));
}
