use super::Priority;
use crate::admission::quantities::Fraction;
use crate::admission::tests::fixtures::{priority, seconds};

#[test]
fn what_exceeds_the_quota_counts_by_its_lower_weight() {
    let half_over = Priority::new(8.0, seconds(1.0), Fraction::new(0.5), 0.25);
    assert_eq!(half_over, priority(5.0));
}

#[test]
fn less_work_of_the_same_weight_goes_first() {
    assert!(Priority::new(1.0, seconds(0.1), Fraction::ALL, 1.0) > priority(1.0));
}

#[test]
fn priorities_within_a_factor_of_about_one_and_a_half_share_a_band() {
    assert_eq!(priority(1.0).scheduling_band(), priority(1.1).scheduling_band());
    assert!(priority(2.0).scheduling_band() > priority(1.0).scheduling_band());
}
