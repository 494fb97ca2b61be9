//! The priority of a request: the weight of its class for a unit of work, less for what exceeds its tenant's quota.
//! Every decision between requests (what runs first, what is shed, which call starts first) follows it. One
//! permitted rate covers every class; priorities decide within it.

use crate::admission::constants::MIN_DIVISOR;
use crate::admission::quantities::Fraction;
use crate::admission::time::Span;

/// Bands of scheduling in a doubling of the priority: a band spans a factor of about 1.4. Only inside a band do
/// priorities count as equal, and the latency objective decides.
const BANDS_PER_DOUBLING: f64 = 2.0;

/// Weight for each second of work on a core; the greater goes first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub(crate) struct Priority(f64);

impl Priority {
    /// The priority of a request of this weight and work, of which the fraction `within_quota` counts in full and the
    /// rest by `over_quota_weight`.
    pub(crate) fn new(weight: f64, work: Span, within_quota: Fraction, over_quota_weight: f64) -> Self {
        let within = within_quota.value();
        Priority(weight / work.seconds().max(MIN_DIVISOR) * (within + (1.0 - within) * over_quota_weight))
    }

    /// The band in which it is scheduled; the highest runs first.
    pub(crate) fn scheduling_band(self) -> f64 {
        (BANDS_PER_DOUBLING * self.0.log2()).round()
    }

    /// The order of two priorities, for sorting.
    pub(crate) fn total_cmp(self, other: Priority) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

#[cfg(test)]
mod tests;
