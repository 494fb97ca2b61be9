use super::recovery::{lowest_served_fraction, recovery};
use super::*;

fn second(requested: f64, served: f64) -> Second {
    Second { requested_weight: requested, served_weight: served, ..Second::default() }
}

fn band(from: f64, until: f64) -> Band {
    Band { text: "x".into(), from, until }
}

#[test]
fn recovery_is_when_service_stays_at_nine_tenths_of_its_earlier_level() {
    let served = [10., 10., 10., 10., 10., 10., 2., 2., 4., 9., 3., 6., 9., 10., 10., 10.];
    let seconds: Vec<Second> = served.iter().map(|served| second(10.0, *served)).collect();
    let recovery = recovery(&seconds, &[band(6.0, 8.0)]).unwrap();
    assert_eq!(recovery.before, 1.0);
    // Second 13 is the first from which on the smoothed fraction stays at 0.9 or above.
    assert_eq!((recovery.from_start, recovery.from_end), (Some(7.0), Some(5.0)));
    assert_eq!(recovery.least, 0.2);
}

#[test]
fn recovery_time_is_absent_without_recovery_and_zero_without_a_drop() {
    let low: Vec<Second> = (0..20).map(|i| second(10.0, if i < 8 { 9.0 } else { 5.0 })).collect();
    assert_eq!(recovery(&low, &[band(8.0, 9.0)]).unwrap().from_start, None);
    let even: Vec<Second> = (0..20).map(|_| second(10.0, 7.0)).collect();
    assert_eq!(recovery(&even, &[band(8.0, 9.0)]).unwrap().from_start, Some(0.0));
    assert!(recovery(&even, &[]).is_none());
}

#[test]
fn lowest_served_fraction_is_of_ten_consecutive_seconds() {
    let seconds: Vec<Second> =
        (0..30).map(|i| second(10.0, if (10..20).contains(&i) { 4.0 } else { 8.0 })).collect();
    assert!((lowest_served_fraction(&seconds, 10) - 0.4).abs() < 1e-9);
}
