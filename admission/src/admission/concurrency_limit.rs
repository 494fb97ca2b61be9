//! The concurrency limit: how many requests run at once.
//!
//! The limit starts at the number of cores. It rises while cores are idle and requests are queued, and falls
//! when more work is runnable than the cores handle efficiently. The maximum safe concurrency is its upper
//! bound, not its target. Requests that are blocked on calls do not count towards it.

use crate::admission::constants::USABLE_CAPACITY_FRACTION;
use crate::admission::context::Context;
use crate::admission::quantities::Fraction;
use crate::admission::requests::request::Request;
use crate::admission::requests::table::RequestTable;
use crate::interface::Gauges;

/// Utilization of the cores below which there is spare capacity. The gauge of cores that are always busy
/// seldom reads lower.
const SPARE_UTILIZATION: f64 = 0.92;
/// Runnable tasks per core above which the limit falls, because cores lose efficiency beyond it.
const MAX_RUNNABLE_PER_CORE: f64 = 1.4;
/// Change of the limit per tick: a quarter of a request, or one request in a fifth of a second.
const STEP: f64 = 0.25;

/// Limit on the number of requests that run at once.
#[derive(Debug)]
pub(crate) struct ConcurrencyLimit {
    limit: f64,
    /// Number of running requests that wait for I/O, estimated from the gauge of runnable tasks. They do not
    /// count towards the limit.
    waiting_for_io: f64,
}

impl ConcurrencyLimit {
    /// Creates a limit that starts at the number of cores.
    pub(crate) fn new(cores: f64) -> Self {
        ConcurrencyLimit { limit: cores, waiting_for_io: 0.0 }
    }

    /// Maximum number of requests on cores.
    pub(crate) fn core_limit(&self) -> f64 {
        self.limit
    }

    /// Maximum number of running requests, including those that wait for I/O.
    pub(crate) fn run_limit(&self) -> f64 {
        self.limit + self.waiting_for_io
    }

    /// Whether no request uses a core, according to the gauges.
    pub(crate) fn is_idle(&self, requests: &RequestTable) -> bool {
        requests.running_count() as f64 <= self.waiting_for_io
    }

    /// Adjusts the limit to the gauges of a tick; `max_safe_concurrency` is its upper bound.
    pub(crate) fn adjust(&mut self, gauges: &Gauges, context: &Context, max_safe_concurrency: f64) {
        let cores = context.cores();
        let running = context.requests.running_count() as f64;
        let any_queued = context.requests.count(Request::is_queued) > 0;
        // Without the gauge of runnable tasks, no run is assumed to wait for I/O.
        self.waiting_for_io = (running - gauges.runnable.unwrap_or(running)).max(0.0);
        // Without the gauge of runnable tasks, the cores count as exactly busy: the limit neither falls nor
        // rises.
        let runnable = gauges.runnable.unwrap_or(cores);
        if runnable > cores * MAX_RUNNABLE_PER_CORE {
            self.limit -= STEP;
            // Without the gauge of utilization, runnable tasks alone permit an increase.
        } else if any_queued && runnable < cores && gauges.utilization.is_none_or(has_spare_capacity) {
            self.limit += STEP;
        }
        self.limit = self.limit.clamp(cores, max_safe_concurrency.max(cores));
    }
}

/// Whether cores with this utilization have spare capacity.
pub(crate) fn has_spare_capacity(utilization: f64) -> bool {
    utilization < SPARE_UTILIZATION
}

/// Maximum safe number of concurrent runs, less a margin; lower while the server warms up.
pub(crate) fn max_safe_concurrency(context: &Context, warm_up: Fraction) -> f64 {
    let beyond_one = (context.settings.max_concurrency_per_core - 1.0).max(0.0);
    let per_core = 1.0 + beyond_one * warm_up.value();
    (context.cores() * per_core * USABLE_CAPACITY_FRACTION).max(1.0)
}

#[cfg(test)]
mod tests;
