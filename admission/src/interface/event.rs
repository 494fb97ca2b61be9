//! Events: what the server reports to the admission module.

use std::time::Duration;

use super::arrival::Arrival;
use super::identifiers::{RequestId, TimerId};

/// How a run or a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The run or call succeeded.
    Ok,
    /// The run or call failed; its effect may have occurred.
    Error,
    /// The call or run was rejected before it started.
    Rejected,
    /// The call timed out; its effect may have occurred.
    TimedOut,
    /// The call did not reach the dependency.
    Unreachable,
    /// The connection of the call was lost; its effect may have occurred.
    CutOff,
    /// The run was stopped, or ended at a call because the request had been answered or its caller had
    /// disconnected.
    Cancelled,
    /// No run was started because the request had already ended or another node runs the request with this
    /// key.
    Skipped,
}

/// Load measurements of the server. A gauge that the server does not measure is `None`.
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
    /// A run or a coalesced request ended. The server has sent the result of `Ok` and `Error` to the caller,
    /// unless the request had been answered before.
    Finished {
        /// The request.
        id: RequestId,
        /// How the run ended.
        outcome: Outcome,
        /// Time since the action that started the run or coalesced the request.
        took: Duration,
    },
    /// A running request has reached a call. It waits for [`Action::Call`](crate::Action::Call) and uses no
    /// core meanwhile.
    CallNeeded(RequestId),
    /// A call ended. After `Ok` the server resumes the request; otherwise the request waits for another
    /// action.
    CallReturned {
        /// The request.
        id: RequestId,
        /// How the call ended.
        outcome: Outcome,
        /// Time since the [`Action::Call`](crate::Action::Call) that started the call.
        took: Duration,
    },
    /// The caller has cancelled the request or disconnected; the request needs no answer.
    Cancelled(RequestId),
    /// Shutdown notice: the server drains and will be stopped after this time.
    Drain(Duration),
    /// A timer has expired; the gauges are read at that time.
    Timer(TimerId, Gauges),
}
