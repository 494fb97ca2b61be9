//! The most recent arrivals and which of them were admitted: the quantile of a priority among them is found, and the
//! load signal is computed from them.

use std::collections::VecDeque;

use crate::admission::constants::RATE_WINDOW;
use crate::admission::priority::Priority;
use crate::admission::quantities::Fraction;
use crate::admission::time::Instant;
use crate::interface::RequestId;

/// Arrivals that are remembered: enough for a quantile to within a few percent, few enough to look at for each arrival.
const RECENT_ARRIVALS: usize = 64;
/// Fewer arrivals than this say little: the rejected fraction is taken of this many.
const MIN_ARRIVALS: usize = 8;

/// One of the most recent arrivals.
#[derive(Debug)]
pub(crate) struct RecentArrival {
    pub(crate) id: RequestId,
    pub(crate) at: Instant,
    /// The rank that callers compare with the advertised minimum.
    pub(crate) rank: Fraction,
    pub(crate) priority: Priority,
    /// Whether it was queued and has not been shed since.
    pub(crate) admitted: bool,
}

/// The most recent arrivals, the latest first; retries that share the outcome of another attempt are not among them.
#[derive(Debug, Default)]
pub(crate) struct RecentArrivals {
    arrivals: VecDeque<RecentArrival>,
}

impl RecentArrivals {
    /// Adds an arrival; the oldest makes way for it.
    pub(crate) fn add(&mut self, arrival: RecentArrival) {
        self.arrivals.push_front(arrival);
        self.arrivals.truncate(RECENT_ARRIVALS);
    }

    /// An admitted request was shed after all.
    pub(crate) fn shed(&mut self, id: RequestId) {
        for arrival in self.arrivals.iter_mut().filter(|arrival| arrival.id == id) {
            arrival.admitted = false;
        }
    }

    /// Forgets all.
    pub(crate) fn clear(&mut self) {
        self.arrivals.clear();
    }

    /// The quantile of this priority: the fraction of the recent arrivals that had a lower one.
    pub(crate) fn priority_quantile(&self, priority: Priority) -> Fraction {
        let lower = self.arrivals.iter().filter(|arrival| arrival.priority < priority).count();
        Fraction::new(lower as f64 / (self.arrivals.len().max(1) as f64))
    }

    /// The arrivals of the last rate window, the latest first.
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
