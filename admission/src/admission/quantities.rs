//! Types for fractions and rates. They wrap floating-point numbers, and their arithmetic is that of the
//! numbers.

use std::ops::{Add, Mul};

use crate::admission::time::Span;

/// A ratio; may exceed 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub(crate) struct Fraction(f64);

/// A number of requests per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub(crate) struct RequestRate(f64);

impl Fraction {
    /// The fraction 0.
    pub(crate) const NONE: Fraction = Fraction(0.0);
    /// The fraction 1.
    pub(crate) const ALL: Fraction = Fraction(1.0);

    /// Creates a fraction with this value, which is not clamped.
    pub(crate) const fn new(value: f64) -> Self {
        Fraction(value)
    }

    /// The value as a number, usually 0 to 1.
    pub(crate) fn value(self) -> f64 {
        self.0
    }

    /// One minus this fraction.
    pub(crate) fn complement(self) -> Fraction {
        Fraction(1.0 - self.0)
    }
}

impl RequestRate {
    /// Zero requests per second.
    pub(crate) const ZERO: RequestRate = RequestRate(0.0);

    /// Creates a rate of this many requests per second.
    pub(crate) const fn per_second(requests: f64) -> Self {
        RequestRate(requests)
    }

    /// The rate in requests per second.
    pub(crate) fn value(self) -> f64 {
        self.0
    }

    pub(crate) fn max(self, other: RequestRate) -> RequestRate {
        RequestRate(self.0.max(other.0))
    }

    pub(crate) fn min(self, other: RequestRate) -> RequestRate {
        RequestRate(self.0.min(other.0))
    }
}

impl Add for RequestRate {
    type Output = RequestRate;
    fn add(self, other: RequestRate) -> RequestRate {
        RequestRate(self.0 + other.0)
    }
}

impl Mul<f64> for RequestRate {
    type Output = RequestRate;
    fn mul(self, factor: f64) -> RequestRate {
        RequestRate(self.0 * factor)
    }
}

impl Mul<RequestRate> for f64 {
    type Output = RequestRate;
    fn mul(self, rate: RequestRate) -> RequestRate {
        RequestRate(self * rate.0)
    }
}

/// The number of requests in a time span at this rate.
impl Mul<Span> for RequestRate {
    type Output = f64;
    fn mul(self, span: Span) -> f64 {
        self.0 * span.seconds()
    }
}
