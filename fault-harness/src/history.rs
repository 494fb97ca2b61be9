//! The history of a play, in order: every attempt written, every answer, every run, and all that was done to the fleet.
//! The checker and all statistics are functions of it. A file holds one event a line, as JSON, and can be checked again.

mod event;
mod file;
mod parameters;

use serde::{Deserialize, Serialize};

pub use event::{ConnectionLoss, Event, Observation, ProcessExit, Response, DEGRADED_SUFFIX};
pub use file::HistoryError;

use crate::model::Ms;
use crate::scenario::RunScope;

/// What the checker and the statistics need to know of a class.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ClassParameters {
    /// Its name.
    pub name: String,
    /// Its latency objective: an answer within this time earns the full weight.
    #[serde(alias = "aim")]
    pub latency_objective: Ms,
    /// How long a client waits.
    pub deadline: Ms,
    /// How long an idempotency key may come again; 0 in classes without keys.
    #[serde(alias = "window")]
    pub idempotency_window: Ms,
    /// Weight of a request: that of the scenario times its mean work in milliseconds.
    #[serde(alias = "worth")]
    pub weight: f64,
    /// Fraction of the weight that an answer after the latency objective earns.
    #[serde(alias = "late_worth")]
    pub late_weight: f64,
    /// Fraction of the weight that is earned without the call of the dependency.
    #[serde(alias = "skip_worth")]
    pub skip_weight: f64,
}

/// The parameters that a play is checked by.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RuleParameters {
    /// The scenario's name.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// How long load was sent, in seconds.
    pub seconds: f64,
    /// How many nodes there are.
    pub nodes: usize,
    /// The classes.
    pub classes: Vec<ClassParameters>,
    /// Within what an idempotency key may run once.
    #[serde(alias = "once")]
    pub run_once_per: RunScope,
    /// How long after its deadline an answer still counts; it allows for the delays of a busy machine.
    #[serde(rename = "slack")]
    pub timing_tolerance: Ms,
    /// What arrives later than this after the shutdown notice is not run.
    pub drain_grace: Ms,
    /// Descriptors that a program may hold.
    #[serde(alias = "sockets")]
    pub descriptors: u64,
    /// Memory that a program may take, in KB.
    pub memory_kb: u64,
    /// How long two nodes may both have the role of the virtual router, once nothing keeps them from receiving each
    /// other's advertisements.
    #[serde(alias = "two_active")]
    pub max_dual_active: Ms,
}

/// The history of a whole play.
#[derive(Debug, Clone, PartialEq)]
pub struct History {
    /// The parameters that it is checked by.
    pub parameters: RuleParameters,
    /// What was observed, in order.
    pub observations: Vec<Observation>,
}

#[cfg(test)]
mod tests;
