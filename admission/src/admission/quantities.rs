//! Fractions and rates: types over floating-point numbers, whose computations are those of the numbers.

use std::ops::{Add, Mul};

use crate::admission::time::Span;

/// A ratio; may exceed 1.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub(crate) struct Fraction(f64);

/// A number of requests a second.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd)]
pub(crate) struct RequestRate(f64);

impl Fraction {
    /// Nothing of it.
    pub(crate) const NONE: Fraction = Fraction(0.0);
    /// All of it.
    pub(crate) const ALL: Fraction = Fraction(1.0);

    /// A fraction of this value.
    pub(crate) const fn new(value: f64) -> Self {
        Fraction(value)
    }

    /// Its value.
    pub(crate) fn value(self) -> f64 {
        self.0
    }

    /// What is missing to the whole.
    pub(crate) fn complement(self) -> Fraction {
        Fraction(1.0 - self.0)
    }
}

impl RequestRate {
    /// No requests.
    pub(crate) const ZERO: RequestRate = RequestRate(0.0);

    /// So many requests a second.
    pub(crate) const fn per_second(requests: f64) -> Self {
        RequestRate(requests)
    }

    /// The number of requests a second.
    pub(crate) fn value(self) -> f64 {
        self.0
    }

    /// The higher of two rates.
    pub(crate) fn max(self, other: RequestRate) -> RequestRate {
        RequestRate(self.0.max(other.0))
    }

    /// The lower of two rates.
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

/// The number of requests in a length of time.
impl Mul<Span> for RequestRate {
    type Output = f64;
    fn mul(self, span: Span) -> f64 {
        self.0 * span.seconds()
    }
}
