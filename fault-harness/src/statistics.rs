//! Statistics of a history: what was served in time, second by second and in total, how long answers took, and how long
//! the fleet needed to recover full service after a fault.

mod accumulator;
mod recovery;

use serde::Serialize;

use crate::history::History;
use accumulator::Accumulator;

/// One second of a play, by when requests were sent.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Second {
    /// Weight of the requests sent.
    pub asked_worth: f64,
    /// Weight served: all of it within the latency objective, a fraction after it.
    pub served_worth: f64,
    /// Requests sent.
    pub asked: u64,
    /// Served within their latency objective.
    pub in_time: u64,
    /// Served later.
    pub late: u64,
    /// Rejected by the last attempt.
    pub refused: u64,
    /// Failed, or without an answer.
    pub failed: u64,
    /// Attempts written in this second.
    pub tries: u64,
    /// Connections opened by frontends in this second.
    pub connected: u64,
    /// Runs begun in this second.
    pub began: u64,
}

/// A fault as a stretch of time.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Band {
    /// What.
    pub text: String,
    /// From when, in seconds.
    pub from: f64,
    /// Until when.
    pub until: f64,
}

/// How long a fleet took to recover.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Return {
    /// The fraction of the weight requested that was served before the first fault.
    pub before: f64,
    /// Seconds from the first fault's start until service is back and stays; none if it is not by the end.
    pub from_start: Option<f64>,
    /// The same from the end of the last fault.
    pub from_end: Option<f64>,
    /// The least that a second served meanwhile, as a part of `before`.
    pub least: f64,
}

/// All figures of a play.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Statistics {
    /// By second.
    pub seconds: Vec<Second>,
    /// The faults.
    pub bands: Vec<Band>,
    /// Requests sent, without repeats.
    pub asked: u64,
    /// The fraction of the weight requested that was served.
    pub served: f64,
    /// The same in the worst ten seconds.
    pub worst_ten: f64,
    /// The fractions of requests that were served in time, served late, rejected and failed.
    pub parts: [f64; 4],
    /// Requests served, a second.
    pub throughput: f64,
    /// Milliseconds from asking to the answer of those served: half of them, and 99 in 100.
    pub median_ms: f64,
    /// The same for 99 in 100.
    pub p99_ms: f64,
    /// Attempts for each request.
    pub tries: f64,
    /// Connections that frontends opened, a second: in the mean, at most, and at most with one node.
    pub connected: [f64; 3],
    /// The recovery, where there was a fault.
    pub back: Option<Return>,
    /// The most that one program took: memory in KB, and descriptors.
    pub most: [u64; 2],
    /// Time of the cores that programs took, in microseconds for each attempt.
    pub cpu_us_a_try: f64,
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
