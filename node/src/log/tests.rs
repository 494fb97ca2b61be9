use super::*;

#[test]
fn a_place_writes_a_few_lines_a_second_and_counts_the_rest() {
    let place = Place::new();
    let written = (0..50).filter(|_| place.admit(7).is_some()).count();
    assert_eq!(written as u64, PER_SECOND);
    assert_eq!(place.admit(8), Some(50 - PER_SECOND));
    assert_eq!(place.admit(8), Some(0));
}
