//! Statistics of a history: what was served in time, second by second and in total, how long answers took, and how long
//! the fleet needed to recover full service after a fault.

mod accumulator;
mod recovery;

use serde::Serialize;

use crate::history::History;
use accumulator::Accumulator;

pub use recovery::Recovery;

/// One second of a play, by when requests were sent.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Second {
    /// Weight of the requests sent.
    pub requested_weight: f64,
    /// Weight served: all of it within the latency objective, a fraction after it.
    pub served_weight: f64,
    /// Requests sent.
    pub requests: u64,
    /// Served within their latency objective.
    pub in_time: u64,
    /// Served after it.
    pub late: u64,
    /// Rejected by the last attempt.
    pub rejected: u64,
    /// Failed, or without an answer.
    pub failed: u64,
    /// Attempts written in this second.
    pub attempts: u64,
    /// Connections opened by frontends in this second.
    pub connections: u64,
    /// Runs started in this second.
    pub runs: u64,
}

/// A fault as a stretch of time.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Band {
    /// What it was, and for which nodes.
    pub text: String,
    /// From when, in seconds.
    pub from: f64,
    /// Until when.
    pub until: f64,
}

/// The fractions of requests by their outcome.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct OutcomeFractions {
    /// Served within their latency objective.
    pub in_time: f64,
    /// Served after it.
    pub late: f64,
    /// Rejected by the last attempt.
    pub rejected: f64,
    /// Failed, or without an answer.
    pub failed: f64,
}

/// Connections that frontends opened, a second.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct ConnectionRates {
    /// In the mean.
    pub mean: f64,
    /// In the second with the most.
    pub busiest_second: f64,
    /// The same with one node.
    pub busiest_node: f64,
}

/// The most that one program took.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct PeakUse {
    /// Memory.
    pub memory_kb: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

/// All figures of a play.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Statistics {
    /// By second.
    pub seconds: Vec<Second>,
    /// The faults.
    pub bands: Vec<Band>,
    /// Requests sent, without repeats.
    pub requests: u64,
    /// The fraction of the weight requested that was served.
    pub served: f64,
    /// The same in the ten seconds in which it was least.
    pub worst_stretch: f64,
    /// The fractions of requests by their outcome.
    pub outcomes: OutcomeFractions,
    /// Requests served, a second.
    pub throughput: f64,
    /// Median latency of the requests served, in milliseconds from the sending of the request.
    pub median_ms: f64,
    /// Their 99th percentile.
    pub p99_ms: f64,
    /// Attempts for each request.
    pub attempts_per_request: f64,
    /// Connections that frontends opened.
    pub connections: ConnectionRates,
    /// The recovery, where there was a fault.
    pub recovery: Option<Recovery>,
    /// The most that one program took.
    pub peak_use: PeakUse,
    /// CPU time of the programs, in microseconds for each attempt.
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
