//! The priority of a request: the weight of its class per unit of work, reduced for the part that exceeds the
//! quota of its tenant.
//!
//! Every decision between requests (what runs first, what is shed, which call starts first) uses the
//! priority. A single permitted rate covers all classes; priorities decide within it.

use crate::admission::constants::MIN_DIVISOR;
use crate::admission::quantities::Fraction;
use crate::admission::time::Span;

/// Scheduling bands per doubling of the priority: one band spans a factor of about 1.4. Priorities within a
/// band count as equal, and the latency objective decides between them.
const BANDS_PER_DOUBLING: f64 = 2.0;

/// Weight per second of work on a core; requests with the greater value go first.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub(crate) struct Priority(f64);

impl Priority {
    /// The priority of a request with this weight and work. The fraction `within_quota` of the weight counts
    /// in full, and the rest is multiplied by `over_quota_weight`.
    pub(crate) fn new(weight: f64, work: Span, within_quota: Fraction, over_quota_weight: f64) -> Self {
        let within = within_quota.value();
        Priority(weight / work.seconds().max(MIN_DIVISOR) * (within + (1.0 - within) * over_quota_weight))
    }

    /// The scheduling band of this priority; the highest band runs first.
    pub(crate) fn scheduling_band(self) -> f64 {
        (BANDS_PER_DOUBLING * self.0.log2()).round()
    }

    /// Total order of priorities, for sorting.
    pub(crate) fn total_cmp(self, other: Priority) -> std::cmp::Ordering {
        self.0.total_cmp(&other.0)
    }
}

#[cfg(test)]
mod tests;
