//! Events for the dispatcher: from frontends, backends, operators and the link to another process of this node.

use bytes::Bytes;
use oakwind_settings::NamedSettings;
use tokio::sync::mpsc;

use super::request::{Submission, SubmissionId, TransactionId};
use crate::clock::UnixTime;
use crate::outcome::{Completion, IdempotencyRecord};

/// An event for the dispatcher.
#[derive(Debug)]
pub(crate) enum DispatcherEvent {
    /// A frontend has read a request.
    Submitted(Submission),
    /// The client of this submission has disconnected or cancelled it: its responder is void.
    Cancelled(SubmissionId),
    /// A backend reports.
    Backend(BackendEvent),
    /// The shutdown notice has come: the process is stopped at this time.
    Drain(UnixTime),
    /// Operators turn maintenance mode on or off.
    SetMaintenance(bool),
    /// The recovery of this node keeps clients off, or lets them come.
    SetRecovering(bool),
    /// Other settings apply from now on.
    Reconfigure {
        /// The settings, which follow the present ones.
        settings: Box<NamedSettings>,
        /// Their digest in decision records.
        digest: String,
    },
    /// A successor process takes over; the state of this one is sent to it here.
    BeginHandover(mpsc::Sender<HandoverState>),
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
    /// A run has ended.
    RunEnded {
        /// The attempt that ran.
        txn: TransactionId,
        /// How it ended.
        completion: Completion,
    },
    /// A run waits for a call.
    CallNeeded {
        /// The attempt that runs.
        txn: TransactionId,
        /// The body of the call.
        body: Bytes,
    },
    /// The call of a run has ended.
    CallEnded {
        /// The attempt that runs.
        txn: TransactionId,
        /// How the call ended.
        outcome: CallOutcome,
    },
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
