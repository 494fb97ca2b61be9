//! Events for the dispatcher: from frontends, backends, operators and the link to another process of this node.

use bytes::Bytes;
use oakwind_settings::Parsed;
use tokio::sync::mpsc;

use super::request::{Submission, SubmissionId};
use crate::clock::Unix;
use crate::outcome::{Completion, IdempotencyRecord};

/// What the dispatcher is told.
#[derive(Debug)]
pub(crate) enum DispatcherEvent {
    /// A frontend has read a request.
    Submitted(Submission),
    /// The client of this submission has gone: its responder is void.
    Cancelled(SubmissionId),
    /// A backend reports.
    Backend(BackendEvent),
    /// The shutdown notice has come: the process is stopped at this time.
    Drain(Unix),
    /// Operators turn maintenance mode on or off.
    SetMaintenance(bool),
    /// The recovery of this node keeps clients off, or lets them come.
    SetRecovering(bool),
    /// Other settings apply from now on.
    Reconfigure {
        /// The settings, which follow the present ones.
        settings: Box<Parsed>,
        /// Their digest in decision records.
        digest: String,
    },
    /// A successor process takes over; it is told here what this one knows.
    HandOver(mpsc::Sender<HandoverState>),
    /// The successor process has ended.
    SuccessorLost,
    /// The predecessor's state, or a change of it.
    StateReceived(HandoverState),
    /// The predecessor process reports nothing more.
    PredecessorDone,
}

/// What a process transfers to its successor: the whole idempotency table at first, then every change of it.
#[derive(Debug, Default)]
pub(crate) struct HandoverState {
    /// Seeds the digests of bodies. Only the first transfer has it.
    pub(crate) digest_seed: u64,
    /// Records of keys.
    pub(crate) records: Vec<IdempotencyRecord>,
}

/// What backends report.
#[derive(Debug)]
pub(crate) enum BackendEvent {
    /// The backend can run requests.
    Up {
        /// It has only just started.
        cold: bool,
    },
    /// The run with this transaction id has ended.
    Ended(Bytes, Completion),
    /// The run with this transaction id waits for a call with this body.
    CallNeeded(Bytes, Bytes),
    /// The call for this transaction id has ended.
    CallEnded(Bytes, CallOutcome),
    /// The gauges, in the order of the settings.
    Gauges(Vec<f64>),
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum CallOutcome {
    /// With a reply.
    Ok(Bytes),
    /// It failed and may have had its effect.
    Failed,
    /// It was rejected: it never ran.
    Rejected,
    /// It ran out of time and may have had its effect.
    TimedOut,
    /// Nobody was reached: it never ran.
    Unreachable,
    /// Its connection broke; it may have had its effect.
    CutOff,
}
