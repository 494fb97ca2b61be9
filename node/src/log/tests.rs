use super::*;

#[test]
fn a_place_writes_a_few_lines_a_second_and_counts_the_suppressed_ones() {
    let limiter = RateLimiter::new();
    let written = (0..50).filter(|_| limiter.admit(7).is_some()).count();
    assert_eq!(written as u64, MAX_LINES_PER_SECOND);
    assert_eq!(limiter.admit(8), Some(50 - MAX_LINES_PER_SECOND));
    assert_eq!(limiter.admit(8), Some(0));
}
