//! Points in time and lengths of time, both in seconds.
//!
//! They are floating-point numbers, not [`Duration`], because the estimates are: decisions multiply, divide and
//! average them, and a rounding to nanoseconds at each step would change decisions.

use std::ops::{Add, AddAssign, Div, Mul, Sub};
use std::time::Duration;

/// The longest time that is reported to the server: no setting comes near it, and a [`Duration`] holds it.
const LONGEST_REPORTED: f64 = 1e6;

/// A point in time, in seconds on the clock of the embedding server.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub(crate) struct Instant(f64);

/// A length of time, in seconds. It may be negative, for what is overdue.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub(crate) struct Span(f64);

impl Instant {
    /// Before everything that happens.
    pub(crate) const DISTANT_PAST: Instant = Instant(f64::NEG_INFINITY);
    /// After everything that happens.
    pub(crate) const DISTANT_FUTURE: Instant = Instant(f64::INFINITY);

    /// The point in time at this reading of the server's clock.
    pub(crate) fn from_clock(reading: Duration) -> Self {
        Instant(reading.as_secs_f64())
    }

    /// The later of two points in time.
    pub(crate) fn max(self, other: Instant) -> Instant {
        Instant(self.0.max(other.0))
    }

    /// The earlier of two points in time.
    pub(crate) fn min(self, other: Instant) -> Instant {
        Instant(self.0.min(other.0))
    }

    /// The order of two points in time, for sorting.
    pub(crate) fn total_cmp(self, other: Instant) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

impl Span {
    /// No time at all.
    pub(crate) const ZERO: Span = Span(0.0);
    /// Longer than any other.
    pub(crate) const INFINITE: Span = Span(f64::INFINITY);

    /// A length of so many seconds.
    pub(crate) const fn from_seconds(seconds: f64) -> Self {
        Span(seconds)
    }

    /// The length in seconds.
    pub(crate) fn seconds(self) -> f64 {
        self.0
    }

    /// The length as the server takes it: a negative one is zero.
    pub(crate) fn to_duration(self) -> Duration {
        Duration::from_secs_f64(self.0.clamp(0.0, LONGEST_REPORTED))
    }

    /// The longer of two lengths.
    pub(crate) fn max(self, other: Span) -> Span {
        Span(self.0.max(other.0))
    }

    /// The shorter of two lengths.
    pub(crate) fn min(self, other: Span) -> Span {
        Span(self.0.min(other.0))
    }

    /// The distance between two lengths.
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
