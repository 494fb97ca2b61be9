//! The history of a play: in order of time, every attempt written, every answer, every run, and every change
//! that the harness made to the fleet. The checker and all statistics are computed from the history alone. A
//! history file holds one event per line, as JSON, so that a play can be checked again later.

mod event;
mod file;
mod parameters;

use serde::{Deserialize, Serialize};

pub use event::{ConnectionLoss, Event, Observation, ProcessExit, Response, DEGRADED_SUFFIX};
pub use file::HistoryError;

use crate::model::Ms;
use crate::scenario::RunScope;

/// Parameters of a class that the checker and the statistics use.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassParameters {
    /// Name of the class in the scenario.
    pub name: String,
    /// Latency objective: a request answered within this time earns its full weight.
    #[serde(alias = "aim")]
    pub latency_objective: Ms,
    /// Time that a client waits for an answer, in milliseconds since the request was sent.
    pub deadline: Ms,
    /// Idempotency window: how long after a request another one with its key counts as a repeat; 0 in classes
    /// without keys.
    #[serde(alias = "window")]
    pub idempotency_window: Ms,
    /// Weight of a request: the weight of the class in the scenario times its mean work in milliseconds.
    #[serde(alias = "worth")]
    pub weight: f64,
    /// Fraction of the weight that an answer after the latency objective earns.
    #[serde(alias = "late_worth")]
    pub late_weight: f64,
    /// Fraction of the weight that an answer computed without the call of the dependency earns.
    #[serde(alias = "skip_worth")]
    pub skip_weight: f64,
}

/// The parameters against which a play is checked.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RuleParameters {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of all random choices of the play.
    pub seed: u64,
    /// Duration of the load, in seconds.
    pub seconds: f64,
    /// Number of nodes in the fleet.
    pub nodes: usize,
    /// Classes of the scenario; events refer to a class by its position here.
    pub classes: Vec<ClassParameters>,
    /// Scope within which an idempotency key may run only once: a node or the fleet.
    #[serde(alias = "once")]
    pub run_once_per: RunScope,
    /// Time after its deadline up to which an answer still counts as in time, to allow for scheduling delays
    /// on a busy machine.
    #[serde(rename = "slack")]
    pub timing_tolerance: Ms,
    /// Grace period of the drain: an attempt that arrives later than this after the shutdown notice must not
    /// run.
    pub drain_grace: Ms,
    /// Maximum number of file descriptors that a node process may hold open.
    #[serde(alias = "sockets")]
    pub descriptors: u64,
    /// Maximum resident memory of a node process, in KB.
    pub memory_kb: u64,
    /// Maximum time for which two nodes may both hold the role of the virtual router while they can receive
    /// each other's advertisements.
    #[serde(alias = "two_active")]
    pub max_dual_active: Ms,
}

/// The complete history of one play.
#[derive(Debug, Clone, PartialEq)]
pub struct History {
    /// Parameters against which the play is checked.
    pub parameters: RuleParameters,
    /// Observed events, in order of time.
    pub observations: Vec<Observation>,
}

#[cfg(test)]
mod tests;
