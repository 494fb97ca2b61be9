use super::Priority;
use crate::admission::quantities::Fraction;
use crate::admission::tests::fixtures::{priority, seconds};

#[test]
fn the_part_beyond_the_quota_has_the_over_quota_weight() {
    let half_over = Priority::new(8.0, seconds(1.0), Fraction::new(0.5), 0.25);
    assert_eq!(half_over, priority(5.0));
}

#[test]
fn less_work_at_the_same_weight_has_the_higher_priority() {
    assert!(Priority::new(1.0, seconds(0.1), Fraction::ALL, 1.0) > priority(1.0));
}

#[test]
fn priorities_within_a_small_factor_share_a_scheduling_band() {
    assert_eq!(priority(1.0).scheduling_band(), priority(1.1).scheduling_band());
    assert!(priority(2.0).scheduling_band() > priority(1.0).scheduling_band());
}
