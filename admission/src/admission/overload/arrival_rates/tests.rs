use super::ArrivalRates;
use crate::admission::quantities::Fraction;
use crate::admission::tests::fixtures::at;
use crate::interface::TenantId;

/// Rates of two tenants after `per_second` arrivals per second of the first one for this number of seconds.
fn after_arrivals(per_second: u32, seconds: u32) -> ArrivalRates {
    let mut rates = ArrivalRates::new(2, at(0.0));
    add_arrivals(&mut rates, 0, per_second, seconds);
    rates
}

fn add_arrivals(rates: &mut ArrivalRates, from: u32, per_second: u32, seconds: u32) {
    for number in 0..per_second * seconds {
        let passed = f64::from(number) / f64::from(per_second);
        rates.count(TenantId(0), at(f64::from(from) + passed));
    }
}

#[test]
fn the_quota_is_compared_with_the_estimated_rate_over_all_servers() {
    let rates = after_arrivals(10, 40);
    let within =
        |tenant, quota, servers| rates.fraction_within_quota(TenantId(tenant), quota, servers).value();
    assert!(
        (0.45..0.55).contains(&within(0, 20.0, 4.0)),
        "about 40 requests per second over four servers exceed the quota of 20"
    );
    assert_eq!(within(0, 20.0, 1.0), 1.0);
    assert_eq!(within(0, 0.0, 4.0), 1.0, "a tenant without a quota is within it");
    assert_eq!(within(1, 20.0, 4.0), 1.0, "the arrivals of another tenant do not count");
    assert_eq!(within(7, 20.0, 4.0), 1.0, "an unknown tenant is within its quota");
}

#[test]
fn the_usual_rate_is_exceeded_after_an_increase_by_more_than_a_quarter() {
    let mut rates = after_arrivals(10, 40);
    rates.window_ended(Fraction::NONE, at(40.0));
    assert!(!rates.exceeds_usual(at(40.0)));
    add_arrivals(&mut rates, 40, 20, 5);
    assert!(rates.exceeds_usual(at(45.0)));
}

#[test]
fn a_window_with_many_rejections_does_not_count_as_usual() {
    let mut rates = after_arrivals(10, 40);
    rates.window_ended(Fraction::new(0.2), at(40.0));
    assert!(rates.exceeds_usual(at(40.0)), "no window has counted as usual yet");
}
