use std::time::Duration;

use super::{Instant, Span};

#[test]
fn instants_and_spans_compute_like_the_seconds_that_they_hold() {
    let (early, late) = (0.1, 0.7);
    let elapsed = Instant::from_clock(Duration::from_secs_f64(late))
        - Instant::from_clock(Duration::from_secs_f64(early));
    assert_eq!(elapsed.seconds().to_bits(), (late - early).to_bits());
    assert_eq!((Span::from_seconds(0.3) / Span::from_seconds(0.7)).to_bits(), (0.3f64 / 0.7).to_bits());
}

#[test]
fn an_overdue_span_is_reported_as_zero_and_an_endless_one_as_finite() {
    assert_eq!(Span::from_seconds(-2.0).to_duration(), Duration::ZERO);
    assert_eq!(Span::INFINITE.to_duration(), Duration::from_secs(1_000_000));
}
