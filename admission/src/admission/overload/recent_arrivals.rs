//! The most recent arrivals, with whether each was admitted. They determine the quantile of a priority and
//! the load signal.

use std::collections::VecDeque;

use crate::admission::constants::RATE_WINDOW;
use crate::admission::priority::Priority;
use crate::admission::quantities::Fraction;
use crate::admission::time::Instant;
use crate::interface::RequestId;

/// Number of arrivals that are kept: enough to determine a quantile to within a few percent, and few enough
/// to be scanned for each arrival.
const RECENT_ARRIVALS: usize = 64;
/// Minimum divisor of the rejected fraction: a smaller number of arrivals says little.
const MIN_ARRIVALS: usize = 8;

/// One of the most recent arrivals.
#[derive(Debug)]
pub(crate) struct RecentArrival {
    pub(crate) id: RequestId,
    pub(crate) at: Instant,
    /// The rank that callers compare with the advertised minimum.
    pub(crate) rank: Fraction,
    pub(crate) priority: Priority,
    /// Whether the arrival was queued and has not been shed since.
    pub(crate) admitted: bool,
}

/// The most recent arrivals, latest first. Retries that share the outcome of another attempt are not
/// included.
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

    /// Marks an admitted request as shed.
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

    /// The arrivals of the last rate window, latest first.
    pub(crate) fn in_window(&self, now: Instant) -> impl Iterator<Item = &RecentArrival> {
        self.arrivals.iter().filter(move |arrival| arrival.at > now - RATE_WINDOW)
    }

    /// The rejected fraction of the arrivals of the last rate window.
    pub(crate) fn rejected_fraction(&self, now: Instant) -> Fraction {
        let rejected = self.in_window(now).filter(|arrival| !arrival.admitted).count();
        Fraction::new(rejected as f64 / self.in_window(now).count().max(MIN_ARRIVALS) as f64)
    }
}

#[cfg(test)]
mod tests;
