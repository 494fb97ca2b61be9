use super::{PermittedRate, WindowLoad};
use crate::admission::quantities::RequestRate;
use crate::admission::tests::fixtures::at;

const CALM: WindowLoad = WindowLoad {
    downstream_rejected: false,
    latency_exceeds_target: false,
    capacity: RequestRate::per_second(40.0),
};
const SLOW: WindowLoad = WindowLoad { latency_exceeds_target: true, ..CALM };
const DOWNSTREAM_REJECTED: WindowLoad = WindowLoad { downstream_rejected: true, ..CALM };

/// A rate of 10 requests a second, initialized by 16 requests (and a standard error of 4) in two seconds.
fn initialized() -> PermittedRate {
    let mut rate = PermittedRate::new(at(0.0));
    handle(&mut rate, 16);
    rate.end_window(&CALM, at(2.0));
    rate
}

fn handle(rate: &mut PermittedRate, requests: u32) {
    (0..requests).for_each(|_| rate.count_handled());
}

/// The rate after a second window with so many requests.
fn after_window(requests: u32, load: &WindowLoad) -> f64 {
    let mut rate = initialized();
    handle(&mut rate, requests);
    rate.end_window(load, at(4.0));
    rate.get().expect("initialized").value()
}

#[test]
fn the_first_window_with_enough_requests_initializes_the_rate() {
    let mut rate = PermittedRate::new(at(0.0));
    handle(&mut rate, 15);
    assert!(!rate.window_has_ended(at(9.0)), "too few requests");
    handle(&mut rate, 1);
    assert!(!rate.window_has_ended(at(1.9)) && rate.window_has_ended(at(2.0)));
    assert_eq!(initialized().get(), Some(RequestRate::per_second(10.0)));
}

#[test]
fn the_rate_rises_by_a_step_if_half_of_it_was_handled() {
    assert_eq!(after_window(9, &CALM), 12.0);
    assert_eq!(after_window(4, &CALM), 10.0);
}

#[test]
fn latency_over_target_cuts_the_rate_to_what_was_handled_and_by_half_at_most() {
    assert_eq!(after_window(9, &SLOW), 0.9 * 6.0);
    assert_eq!(after_window(0, &SLOW), 0.9 * 5.0);
}

#[test]
fn a_downstream_rejection_cuts_the_rate_even_if_more_was_handled() {
    assert_eq!(after_window(64, &DOWNSTREAM_REJECTED), 0.9 * 10.0);
}
