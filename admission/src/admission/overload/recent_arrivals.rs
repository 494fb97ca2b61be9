//! The most recent arrivals and, for each, whether it was admitted. The quantile of a priority and the load
//! signal that is advertised to callers are computed from them.

use std::collections::VecDeque;

use crate::admission::constants::RATE_WINDOW;
use crate::admission::priority::Priority;
use crate::admission::quantities::Fraction;
use crate::admission::time::Instant;
use crate::interface::RequestId;

/// Number of arrivals that are kept: enough to estimate a quantile with a standard error of at most about 6
/// percentage points, and few enough to be scanned for each arrival.
const RECENT_ARRIVALS: usize = 64;
/// Minimum divisor of the rejected fraction, so that a few rejections among fewer arrivals do not yield a
/// high fraction.
const MIN_ARRIVALS: usize = 8;

/// One of the most recent arrivals.
#[derive(Debug)]
pub(crate) struct RecentArrival {
    pub(crate) id: RequestId,
    /// When the admission module received the request.
    pub(crate) at: Instant,
    /// Rank of the request, which its caller compares with the advertised minimum rank.
    pub(crate) rank: Fraction,
    pub(crate) priority: Priority,
    /// Whether the arrival was queued and has not been rejected since (shed).
    pub(crate) admitted: bool,
}

/// The most recent arrivals, latest first. Retries of a known attempt are not included.
#[derive(Debug, Default)]
pub(crate) struct RecentArrivals {
    arrivals: VecDeque<RecentArrival>,
}

impl RecentArrivals {
    /// Adds an arrival; the oldest one is dropped if there are too many.
    pub(crate) fn add(&mut self, arrival: RecentArrival) {
        self.arrivals.push_front(arrival);
        self.arrivals.truncate(RECENT_ARRIVALS);
    }

    /// Marks a request that was admitted and has been rejected since (shed) as not admitted.
    pub(crate) fn mark_shed(&mut self, id: RequestId) {
        for arrival in self.arrivals.iter_mut().filter(|arrival| arrival.id == id) {
            arrival.admitted = false;
        }
    }

    pub(crate) fn clear(&mut self) {
        self.arrivals.clear();
    }

    /// The quantile of this priority: the fraction of the recent arrivals with a lower one.
    pub(crate) fn priority_quantile(&self, priority: Priority) -> Fraction {
        let lower = self.arrivals.iter().filter(|arrival| arrival.priority < priority).count();
        Fraction::new(lower as f64 / (self.arrivals.len().max(1) as f64))
    }

    /// The arrivals within the last [`RATE_WINDOW`], latest first.
    pub(crate) fn in_window(&self, now: Instant) -> impl Iterator<Item = &RecentArrival> {
        self.arrivals.iter().filter(move |arrival| arrival.at > now - RATE_WINDOW)
    }

    /// The rejected fraction of the arrivals within the last [`RATE_WINDOW`].
    pub(crate) fn rejected_fraction(&self, now: Instant) -> Fraction {
        let rejected = self.in_window(now).filter(|arrival| !arrival.admitted).count();
        Fraction::new(rejected as f64 / self.in_window(now).count().max(MIN_ARRIVALS) as f64)
    }
}

#[cfg(test)]
mod tests;
