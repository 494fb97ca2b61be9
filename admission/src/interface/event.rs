//! What the server reports to the module.

use std::time::Duration;

use super::arrival::Arrival;
use super::identifiers::{RequestId, TimerId};

/// How a run or a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It succeeded.
    Ok,
    /// It failed; its effect may have occurred.
    Error,
    /// A call or a run was rejected before it started.
    Rejected,
    /// A call timed out; its effect may have occurred.
    TimedOut,
    /// A call could not reach the dependency.
    Unreachable,
    /// The connection of a call was lost; its effect may have occurred.
    CutOff,
    /// A run was stopped, or ended at a call because it had been answered or its caller had disconnected.
    Cancelled,
    /// No run was started because the request had already ended, or another node runs its key.
    Skipped,
}

/// Load of the server, as far as it measures it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Gauges {
    /// Recent utilization of the cores, 0 to 1.
    pub utilization: Option<f64>,
    /// Number of threads or tasks that are running or ready to run.
    pub runnable: Option<f64>,
}

/// An event that the server reports to the module.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request was read and is now queued.
    Arrived(Arrival),
    /// A run or a coalesced request ended; `Ok` and `Error` were sent to the caller unless it had its answer.
    Finished {
        /// The request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the action that started it.
        took: Duration,
    },
    /// A running request waits for [`Action::Call`](crate::Action::Call) and uses no core meanwhile.
    CallNeeded(RequestId),
    /// A call ended; after `Ok` the request continues by itself, otherwise it waits for another action.
    CallReturned {
        /// The request.
        id: RequestId,
        /// How the call ended.
        outcome: Outcome,
        /// Time since [`Action::Call`](crate::Action::Call).
        took: Duration,
    },
    /// The caller has cancelled or disconnected; no answer is needed.
    Cancelled(RequestId),
    /// Shutdown notice: the server drains and is stopped after this time.
    Drain(Duration),
    /// A timer is due.
    Timer(TimerId, Gauges),
}
