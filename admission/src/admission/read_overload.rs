//! Whether reading requests is what overloads the cores: then reading itself must be shed, by what callers learn and
//! by keeping their connections open.

use crate::admission::constants::{MIN_SAMPLES, SLOW_MEAN_WEIGHT};
use crate::admission::requests::table::RequestTable;
use crate::admission::running_mean::RunningMean;
use crate::interface::Gauges;

/// Reading is overloaded when reads, health checks and new connections are more than this fraction of what is runnable:
/// clearly more than the runs. The value above one half is not derived.
const MAX_FRACTION: f64 = 0.6;

/// The fraction of runnable work that is not runs.
#[derive(Debug)]
pub(crate) struct ReadOverload {
    other_work: RunningMean,
}

impl ReadOverload {
    /// At the start there is none, as if seen many times: one tick proves nothing.
    pub(crate) fn new() -> Self {
        ReadOverload { other_work: RunningMean::assumed(0.0, MIN_SAMPLES) }
    }

    /// Adds the gauges of a tick.
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
