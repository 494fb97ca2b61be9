use super::*;

#[test]
fn a_spread_is_the_mean_with_its_ends_and_counts_what_is_missing() {
    assert_eq!(spread_of([Some(1.0), Some(2.0), Some(3.0)].into_iter(), 1), "2.0 (1.0-3.0)");
    assert_eq!(spread_of([Some(2.0), Some(2.0)].into_iter(), 0), "2");
    assert_eq!(spread_of([Some(2.0), None].into_iter(), 0), "2, 1 never");
    assert_eq!(spread_of([None].into_iter(), 0), "-");
}
