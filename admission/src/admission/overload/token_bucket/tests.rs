use super::TokenBucket;
use crate::admission::quantities::{Fraction, RequestRate};
use crate::admission::tests::fixtures::at;

const TEN_PER_SECOND: RequestRate = RequestRate::per_second(10.0);

/// How many of a hundred arrivals of this priority quantile are admitted by a bucket that has filled for
/// `fill_seconds`.
fn admitted(fill_seconds: f64, quantile: f64, overloaded: bool) -> usize {
    let mut bucket = TokenBucket::new(at(0.0));
    let mut takes = || bucket.take(TEN_PER_SECOND, Fraction::new(quantile), at(fill_seconds), || overloaded);
    (0..100).filter(|_| takes()).count()
}

#[test]
fn the_bucket_holds_at_most_one_second_of_the_rate() {
    assert_eq!(admitted(60.0, 1.0, true), admitted(1.0, 1.0, true));
}

#[test]
fn low_priorities_cannot_use_part_of_the_bucket_and_the_highest_may_borrow() {
    assert_eq!(admitted(1.0, 0.0, true), 4);
    assert_eq!(admitted(1.0, 1.0, true), 14);
    assert_eq!(admitted(0.0, 0.0, true), 0);
}

#[test]
fn every_arrival_is_admitted_without_overload() {
    assert_eq!(admitted(0.0, 0.0, false), 100);
}
