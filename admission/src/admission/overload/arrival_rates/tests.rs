use super::ArrivalRates;
use crate::admission::quantities::Fraction;
use crate::admission::tests::fixtures::at;
use crate::interface::TenantId;

/// Rates after arrivals of the first of two tenants, `per_second` for so many seconds.
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
fn what_a_tenant_sends_beyond_its_quota_over_all_servers_exceeds_it() {
    let rates = after_arrivals(10, 40);
    let within =
        |tenant, quota, servers| rates.fraction_within_quota(TenantId(tenant), quota, servers).value();
    assert!((0.45..0.55).contains(&within(0, 20.0, 4.0)), "40 of 20 a second");
    assert_eq!(within(0, 20.0, 1.0), 1.0);
    assert_eq!(within(0, 0.0, 4.0), 1.0, "no quota");
    assert_eq!(within(1, 20.0, 4.0), 1.0, "another tenant");
    assert_eq!(within(7, 20.0, 4.0), 1.0, "an unknown tenant");
}

#[test]
fn more_than_usual_arrives_after_a_rise_by_more_than_a_quarter() {
    let mut rates = after_arrivals(10, 40);
    rates.window_ended(Fraction::NONE, at(40.0));
    assert!(!rates.exceeds_usual(at(40.0)));
    add_arrivals(&mut rates, 40, 20, 5);
    assert!(rates.exceeds_usual(at(45.0)));
}

#[test]
fn a_window_with_many_rejections_is_not_usual() {
    let mut rates = after_arrivals(10, 40);
    rates.window_ended(Fraction::new(0.2), at(40.0));
    assert!(rates.exceeds_usual(at(40.0)), "nothing is usual yet");
}
