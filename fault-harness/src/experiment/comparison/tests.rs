use super::*;

#[test]
fn a_spread_has_the_mean_the_range_and_the_number_of_missing_values() {
    assert_eq!(format_spread([Some(1.0), Some(2.0), Some(3.0)].into_iter(), 1), "2.0 (1.0-3.0)");
    assert_eq!(format_spread([Some(2.0), Some(2.0)].into_iter(), 0), "2");
    assert_eq!(format_spread([Some(2.0), None].into_iter(), 0), "2, 1 never");
    assert_eq!(format_spread([None].into_iter(), 0), "-");
}
