//! Points in time and time spans, both in seconds.
//!
//! They wrap floating-point numbers instead of [`Duration`], because the estimates are floating-point:
//! decisions multiply, divide and average times, and rounding to nanoseconds at each step would change
//! decisions.

use std::ops::{Add, AddAssign, Div, Mul, Sub};
use std::time::Duration;

/// Longest time span that is reported to the server: longer than any setting, and small enough for a
/// [`Duration`].
const LONGEST_REPORTED: f64 = 1e6;

/// A point in time, in seconds on the clock of the embedding server.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub(crate) struct Instant(f64);

/// A time span in seconds. It is negative for an overdue time.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub(crate) struct Span(f64);

impl Instant {
    /// A point in time before all others.
    pub(crate) const DISTANT_PAST: Instant = Instant(f64::NEG_INFINITY);
    /// A point in time after all others.
    pub(crate) const DISTANT_FUTURE: Instant = Instant(f64::INFINITY);

    /// Converts a reading of the server's clock.
    pub(crate) fn from_clock(reading: Duration) -> Self {
        Instant(reading.as_secs_f64())
    }

    pub(crate) fn max(self, other: Instant) -> Instant {
        Instant(self.0.max(other.0))
    }

    pub(crate) fn min(self, other: Instant) -> Instant {
        Instant(self.0.min(other.0))
    }

    /// Total order of points in time, for sorting.
    pub(crate) fn total_cmp(self, other: Instant) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl Span {
    /// The empty time span.
    pub(crate) const ZERO: Span = Span(0.0);
    /// A time span longer than all others.
    pub(crate) const INFINITE: Span = Span(f64::INFINITY);

    /// Creates a span of this many seconds.
    pub(crate) const fn from_seconds(seconds: f64) -> Self {
        Span(seconds)
    }

    /// The span in seconds.
    pub(crate) fn seconds(self) -> f64 {
        self.0
    }

    /// Converts the span for the server: a negative span becomes zero, and a long one is capped.
    pub(crate) fn to_duration(self) -> Duration {
        Duration::from_secs_f64(self.0.clamp(0.0, LONGEST_REPORTED))
    }

    pub(crate) fn max(self, other: Span) -> Span {
        Span(self.0.max(other.0))
    }

    pub(crate) fn min(self, other: Span) -> Span {
        Span(self.0.min(other.0))
    }

    /// The absolute difference of two spans.
    pub(crate) fn distance(self, other: Span) -> Span {
        Span((self.0 - other.0).abs())
    }
}

impl From<Duration> for Span {
    fn from(duration: Duration) -> Self {
        Span(duration.as_secs_f64())
    }
}

impl Sub for Instant {
    type Output = Span;
    fn sub(self, earlier: Instant) -> Span {
        Span(self.0 - earlier.0)
    }
}

impl Add<Span> for Instant {
    type Output = Instant;
    fn add(self, span: Span) -> Instant {
        Instant(self.0 + span.0)
    }
}

impl Sub<Span> for Instant {
    type Output = Instant;
    fn sub(self, span: Span) -> Instant {
        Instant(self.0 - span.0)
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0 + other.0)
    }
}

impl AddAssign for Span {
    fn add_assign(&mut self, other: Span) {
        self.0 += other.0;
    }
}

impl Sub for Span {
    type Output = Span;
    fn sub(self, other: Span) -> Span {
        Span(self.0 - other.0)
    }
}

impl Mul<f64> for Span {
    type Output = Span;
    fn mul(self, factor: f64) -> Span {
        Span(self.0 * factor)
    }
}

impl Mul<Span> for f64 {
    type Output = Span;
    fn mul(self, span: Span) -> Span {
        Span(self * span.0)
    }
}

impl Div<f64> for Span {
    type Output = Span;
    fn div(self, divisor: f64) -> Span {
        Span(self.0 / divisor)
    }
}

impl Div for Span {
    type Output = f64;
    fn div(self, other: Span) -> f64 {
        self.0 / other.0
    }
}

#[cfg(test)]
mod tests;
