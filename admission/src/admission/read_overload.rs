//! Detects whether reading requests overloads the cores. Then reads themselves must be reduced: callers are
//! told to send less, and connections are kept open.

use crate::admission::constants::{MIN_SAMPLES, SLOW_MEAN_WEIGHT};
use crate::admission::requests::table::RequestTable;
use crate::admission::running_mean::RunningMean;
use crate::interface::Gauges;

/// Fraction of the runnable tasks above which reads, health checks and new connections overload the cores:
/// clearly more than the runs.
const MAX_FRACTION: f64 = 0.6;

/// Mean fraction of the runnable tasks that are not runs.
#[derive(Debug)]
pub(crate) struct ReadOverload {
    other_work: RunningMean,
}

impl ReadOverload {
    /// Creates a detector whose mean starts at zero with the weight of several samples, so that a single tick
    /// does not indicate overload.
    pub(crate) fn new() -> Self {
        ReadOverload { other_work: RunningMean::assumed(0.0, MIN_SAMPLES) }
    }

    /// Adds the gauges of a tick to the mean.
    pub(crate) fn update(&mut self, gauges: &Gauges, requests: &RequestTable) {
        let runnable = gauges.runnable.unwrap_or(0.0);
        let running = requests.running_count() as f64;
        let other = (runnable - running).max(0.0);
        self.other_work.add(other / runnable.max(1.0), SLOW_MEAN_WEIGHT);
    }

    /// Whether reading overloads the cores.
    pub(crate) fn is_overloaded(&self) -> bool {
        self.other_work.or_zero() > MAX_FRACTION
    }
}

#[cfg(test)]
mod tests;
