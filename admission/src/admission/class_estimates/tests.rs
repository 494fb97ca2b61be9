use std::time::Duration;

use super::ClassEstimates;
use crate::admission::requests::request::Request;
use crate::admission::tests::fixtures::{queued, seconds};

#[test]
fn work_is_the_mean_of_the_class_times_the_relative_cost() {
    let mut estimates = ClassEstimates::new(1);
    assert_eq!(estimates.work_of(&queued()), None);
    estimates.record_run(&Request { relative_cost: 2.0, ..queued() }, seconds(4.0));
    assert_eq!(estimates.mean_work(0), Some(seconds(2.0)));
    assert_eq!(estimates.work_of(&Request { relative_cost: 3.0, ..queued() }), Some(seconds(6.0)));
}

#[test]
fn the_relative_cost_of_an_outlying_hint_is_bounded() {
    let mut estimates = ClassEstimates::new(1);
    for _ in 0..50 {
        estimates.relative_cost(0, Some(Duration::from_millis(100)));
    }
    assert_eq!(estimates.relative_cost(0, Some(Duration::from_secs(60))), 5.0);
    assert_eq!(estimates.relative_cost(0, None), 1.0);
    assert_eq!(estimates.relative_cost(0, Some(Duration::ZERO)), 1.0);
}

#[test]
fn capacity_is_the_number_of_cores_over_the_mean_work_of_the_estimated_classes() {
    let mut estimates = ClassEstimates::new(2);
    estimates.record_run(&queued(), seconds(0.5));
    assert_eq!(estimates.capacity(4.0).value(), 8.0);
}
