use std::time::Duration;

use super::{Instant, Span};

#[test]
fn arithmetic_on_instants_and_spans_is_that_of_their_seconds() {
    let (early, late) = (0.1, 0.7);
    let elapsed = Instant::from_clock(Duration::from_secs_f64(late))
        - Instant::from_clock(Duration::from_secs_f64(early));
    assert_eq!(elapsed.seconds().to_bits(), (late - early).to_bits());
    assert_eq!((Span::from_seconds(0.3) / Span::from_seconds(0.7)).to_bits(), (0.3f64 / 0.7).to_bits());
}

#[test]
fn a_negative_span_is_reported_as_zero_and_an_infinite_one_is_capped() {
    assert_eq!(Span::from_seconds(-2.0).to_duration(), Duration::ZERO);
    assert_eq!(Span::INFINITE.to_duration(), Duration::from_secs(1_000_000));
}
