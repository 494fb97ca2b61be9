use super::{RecentArrival, RecentArrivals};
use crate::admission::quantities::Fraction;
use crate::admission::tests::fixtures::{at, priority};
use crate::interface::RequestId;

fn arrival(number: u32, admitted: bool) -> RecentArrival {
    let weight = f64::from(number);
    let rank = Fraction::new(0.5);
    RecentArrival { id: RequestId(number), at: at(0.0), rank, priority: priority(weight), admitted }
}

fn arrivals(numbers: std::ops::RangeInclusive<u32>) -> RecentArrivals {
    let mut recent = RecentArrivals::default();
    numbers.for_each(|number| recent.add(arrival(number, number % 2 == 0)));
    recent
}

#[test]
fn the_priority_quantile_is_computed_over_the_latest_64_arrivals() {
    let recent = arrivals(1..=100);
    assert_eq!(recent.priority_quantile(priority(36.0)).value(), 0.0);
    assert_eq!(recent.priority_quantile(priority(69.0)).value(), 0.5);
    assert_eq!(recent.priority_quantile(priority(500.0)).value(), 1.0);
}

#[test]
fn the_rejected_fraction_covers_the_last_window_and_divides_by_at_least_eight() {
    assert_eq!(arrivals(1..=20).rejected_fraction(at(1.0)).value(), 0.5);
    assert_eq!(arrivals(1..=4).rejected_fraction(at(1.0)).value(), 0.25);
    assert_eq!(arrivals(1..=20).rejected_fraction(at(2.0)).value(), 0.0);
}

#[test]
fn a_request_that_is_shed_later_counts_as_rejected() {
    let mut recent = arrivals(1..=20);
    recent.mark_shed(RequestId(2));
    assert_eq!(recent.rejected_fraction(at(1.0)).value(), 0.55);
}
