//! The concurrency limit: how many requests run at once.
//!
//! It starts at the number of cores, rises while cores are idle and requests are queued, and falls when more is
//! runnable than the cores handle well. It stays under the maximum safe concurrency, which is a ceiling and not a
//! target. Requests that are blocked on calls are outside it.

use crate::admission::constants::USABLE_CAPACITY_FRACTION;
use crate::admission::context::Context;
use crate::admission::quantities::Fraction;
use crate::admission::requests::request::Request;
use crate::admission::requests::table::RequestTable;
use crate::interface::Gauges;

/// Utilization of the cores below which there is capacity to spare: the gauge of cores that are always busy seldom
/// shows less.
const SPARE_UTILIZATION: f64 = 0.92;
/// Runnable work for each core above which the limit falls: past it cores lose efficiency.
const MAX_RUNNABLE_PER_CORE: f64 = 1.4;
/// Each tick moves the limit by a quarter of a request: by a core within a fifth of a second.
const STEP: f64 = 0.25;

/// The limit of requests that run at once.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    /// Running requests that wait for I/O, by the gauge of runnable work; they are beyond the limit.
    waiting_for_io: f64,
}

impl ConcurrencyLimit {
    /// The limit at the start: the number of cores.
    pub(crate) fn new(cores: f64) -> Self {
        ConcurrencyLimit { limit: cores, waiting_for_io: 0.0 }
    }

    /// The limit of requests on cores.
    pub(crate) fn core_limit(&self) -> f64 {
        self.limit
    }

    /// The limit of running requests, with those that wait for I/O.
    pub(crate) fn run_limit(&self) -> f64 {
        self.limit + self.waiting_for_io
    }

    /// Whether no request uses a core, as far as the gauges tell.
    pub(crate) fn is_idle(&self, requests: &RequestTable) -> bool {
        requests.running_count() as f64 <= self.waiting_for_io
    }

    /// Adjusts the limit to the gauges of a tick; `max_safe_concurrency` bounds it.
    pub(crate) fn adjust(&mut self, gauges: &Gauges, context: &Context, max_safe_concurrency: f64) {
        let cores = context.cores();
        let running = context.requests.running_count() as f64;
        let any_queued = context.requests.count(Request::is_queued) > 0;
        // Without the gauge of runnable work, no run is taken to wait for I/O.
        self.waiting_for_io = (running - gauges.runnable.unwrap_or(running)).max(0.0);
        // Without it the cores are taken to be just busy: the limit neither falls nor rises.
        let runnable = gauges.runnable.unwrap_or(cores);
        if runnable > cores * MAX_RUNNABLE_PER_CORE {
            self.limit -= STEP;
            // Without the gauge of utilization, runnable work alone decides on a rise.
        } else if any_queued && runnable < cores && gauges.utilization.is_none_or(has_spare_capacity) {
            self.limit += STEP;
        }
        self.limit = self.limit.clamp(cores, max_safe_concurrency.max(cores));
    }
}

/// Whether cores of this utilization have time to spare.
pub(crate) fn has_spare_capacity(utilization: f64) -> bool {
    utilization < SPARE_UTILIZATION
}

/// Concurrent runs that are safe, less a margin; fewer while it warms up.
pub(crate) fn max_safe_concurrency(context: &Context, warm_up: Fraction) -> f64 {
    let beyond_one = (context.settings.max_concurrency_per_core - 1.0).max(0.0);
    let per_core = 1.0 + beyond_one * warm_up.value();
    (context.cores() * per_core * USABLE_CAPACITY_FRACTION).max(1.0)
}

#[cfg(test)]
mod tests;
