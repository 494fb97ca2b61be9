use super::{PermittedRate, WindowLoad};
use crate::admission::quantities::RequestRate;
use crate::admission::tests::fixtures::at;

const WITHIN_TARGET: WindowLoad = WindowLoad {
    downstream_rejected: false,
    latency_exceeds_target: false,
    capacity: RequestRate::per_second(40.0),
};
const OVER_TARGET: WindowLoad = WindowLoad { latency_exceeds_target: true, ..WITHIN_TARGET };
const DOWNSTREAM_REJECTED: WindowLoad = WindowLoad { downstream_rejected: true, ..WITHIN_TARGET };

/// A rate of 10 requests per second, initialized by 16 requests (plus a standard error of 4) in two seconds.
fn initialized() -> PermittedRate {
    let mut rate = PermittedRate::new(at(0.0));
    handle(&mut rate, 16);
    rate.end_window(&WITHIN_TARGET, at(2.0));
    rate
}

fn handle(rate: &mut PermittedRate, requests: u32) {
    (0..requests).for_each(|_| rate.count_handled());
}

/// The rate after a second window with this number of handled requests.
fn after_window(requests: u32, load: &WindowLoad) -> f64 {
    let mut rate = initialized();
    handle(&mut rate, requests);
    rate.end_window(load, at(4.0));
    rate.get().expect("the first window has initialized the rate").value()
}

#[test]
fn the_first_window_with_enough_requests_initializes_the_rate() {
    let mut rate = PermittedRate::new(at(0.0));
    handle(&mut rate, 15);
    assert!(
        !rate.window_has_ended(at(9.0)),
        "a window with fewer than 16 requests does not initialize the rate"
    );
    handle(&mut rate, 1);
    assert!(!rate.window_has_ended(at(1.9)) && rate.window_has_ended(at(2.0)));
    assert_eq!(initialized().get(), Some(RequestRate::per_second(10.0)));
}

#[test]
fn the_rate_rises_by_a_step_only_if_at_least_half_of_it_was_used() {
    assert_eq!(after_window(9, &WITHIN_TARGET), 12.0);
    assert_eq!(after_window(4, &WITHIN_TARGET), 10.0);
}

#[test]
fn latency_over_target_sets_the_rate_to_90_percent_of_the_handled_rate_but_not_below_45_percent_of_the_rate()
{
    assert_eq!(after_window(9, &OVER_TARGET), 0.9 * 6.0);
    assert_eq!(after_window(0, &OVER_TARGET), 0.9 * 5.0);
}

#[test]
fn a_downstream_rejection_decreases_the_rate_even_if_more_requests_were_handled_than_permitted() {
    assert_eq!(after_window(64, &DOWNSTREAM_REJECTED), 0.9 * 10.0);
}
