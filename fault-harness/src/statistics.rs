//! Statistics of a history: outcomes per second and in total, latencies, resource use, and the time that the fleet
//! needed to recover after a fault. Weights are those of the requests' classes.

mod accumulator;
mod recovery;

use serde::Serialize;

use crate::history::History;
use accumulator::Accumulator;

pub use recovery::Recovery;

/// The counts of one second of a play. Outcomes are counted in the second in which their request was sent; repeats are
/// not counted as requests.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Second {
    /// Total weight of the requests sent.
    pub requested_weight: f64,
    /// Total weight served: a request's full weight within its latency objective, a fraction after it or without its
    /// call.
    pub served_weight: f64,
    /// Number of requests sent.
    pub requests: u64,
    /// Requests served within their latency objective.
    pub in_time: u64,
    /// Requests served after their latency objective.
    pub after_objective: u64,
    /// Requests whose last attempt was rejected.
    pub rejected: u64,
    /// Requests that failed or timed out.
    pub failed: u64,
    /// Attempts that frontends wrote in this second.
    pub attempts: u64,
    /// Connections opened by frontends in this second.
    pub connections: u64,
    /// Runs started in this second.
    pub runs: u64,
}

/// The time range of a fault.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Band {
    /// Description of the fault and its targets.
    pub text: String,
    /// Start, in seconds since the load started.
    pub from: f64,
    /// End, in seconds since the load started.
    pub until: f64,
}

/// Fractions of the requests by outcome.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct OutcomeFractions {
    /// Served within the latency objective.
    pub in_time: f64,
    /// Served after the latency objective.
    pub after_objective: f64,
    /// Rejected in the last attempt.
    pub rejected: f64,
    /// Failed or timed out.
    pub failed: f64,
}

/// Rates of new connections from frontends, per second.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct ConnectionRates {
    /// Mean over the play.
    pub mean: f64,
    /// Maximum of any second.
    pub busiest_second: f64,
    /// Maximum of any second and any single node.
    pub busiest_node: f64,
}

/// The peak resource use of any single program. The two peaks may be of different programs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct PeakUse {
    /// Resident memory in KB.
    pub memory_kb: u64,
    /// Number of open file descriptors.
    pub descriptors: u64,
}

/// All statistics of a play.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Statistics {
    /// The counts of each second.
    pub seconds: Vec<Second>,
    /// The time ranges of the faults injected.
    pub bands: Vec<Band>,
    /// Number of requests sent, without repeats.
    pub requests: u64,
    /// Fraction of the requested weight that was served.
    pub served: f64,
    /// Lowest fraction of the requested weight that was served in any ten consecutive seconds.
    pub lowest_served: f64,
    /// Fractions of the requests by outcome.
    pub outcomes: OutcomeFractions,
    /// Requests served per second.
    pub throughput: f64,
    /// Median latency of the requests served, in milliseconds since the request was sent.
    pub median_ms: f64,
    /// 99th percentile of the same latencies, in milliseconds.
    pub p99_ms: f64,
    /// Mean number of attempts per request.
    pub attempts_per_request: f64,
    /// Rates of new connections from frontends.
    pub connections: ConnectionRates,
    /// The recovery from the faults; `None` without a fault.
    pub recovery: Option<Recovery>,
    /// Peak resource use of any single program.
    pub peak_use: PeakUse,
    /// CPU time of all programs per attempt, in microseconds.
    pub cpu_us_per_attempt: f64,
}

/// Computes all statistics of a history.
pub fn statistics(history: &History) -> Statistics {
    let mut accumulator = Accumulator::new(&history.parameters);
    for observation in &history.observations {
        accumulator.observe(observation.at, &observation.event);
    }
    accumulator.finish()
}

#[cfg(test)]
mod tests;
