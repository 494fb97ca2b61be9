//! Events that the dispatcher receives from frontends, backends, operators and the handover link to another
//! process of this node.

use bytes::Bytes;
use oakwind_settings::NamedSettings;
use tokio::sync::mpsc;

use super::request::{Submission, SubmissionId, TransactionId};
use crate::clock::UnixTime;
use crate::outcome::{Completion, IdempotencyRecord};

/// An event that the dispatcher handles.
#[derive(Debug)]
pub(crate) enum DispatcherEvent {
    /// A frontend has read a request.
    Submitted(Submission),
    /// The client of this submission has disconnected or cancelled it: it must not be answered any more.
    Cancelled(SubmissionId),
    /// A backend has reported an event.
    Backend(BackendEvent),
    /// The shutdown notice has come. The process is stopped at this time.
    Drain(UnixTime),
    /// An operator turns maintenance mode on or off.
    SetMaintenance(bool),
    /// Whether this node is recovering. A recovering node takes no clients.
    SetRecovering(bool),
    /// New settings apply from now on.
    Reconfigure {
        /// The new settings.
        settings: Box<NamedSettings>,
        /// Digest that identifies the settings in decision records.
        digest: String,
    },
    /// A successor process runs and can't serve yet. If this process drains before it can, its state is sent
    /// through this queue.
    SuccessorStandsBy(mpsc::Sender<HandoverState>),
    /// A successor process takes over. The state of this process is sent to it through this queue.
    BeginHandover(mpsc::Sender<HandoverState>),
    /// One item of the queue has been written to the successor.
    UpdateWritten,
    /// The successor process has ended.
    SuccessorLost,
    /// The predecessor's state, or a change of it.
    StateReceived(HandoverState),
    /// The predecessor process transfers nothing more.
    PredecessorDone,
}

/// State that a process transfers to its successor: the whole idempotency table first, then each change of it.
#[derive(Debug, Default)]
pub(crate) struct HandoverState {
    /// Seed of the body digests. Only the first transfer carries it; later ones have 0.
    pub(crate) digest_seed: u64,
    /// The records of all keys, or of the keys that changed.
    pub(crate) records: Vec<IdempotencyRecord>,
    /// When the keys that earlier processes of the node have lost have expired; zero if none were lost.
    pub(crate) lost_keys_expire_at: UnixTime,
}

/// An event that a backend reports.
#[derive(Debug)]
pub(crate) enum BackendEvent {
    /// The backend can run requests.
    Up {
        /// Whether the backend has only just started.
        cold: bool,
    },
    /// A run has ended.
    RunEnded {
        /// Transaction id of the attempt that ran.
        txn: TransactionId,
        /// How the run ended.
        completion: Completion,
    },
    /// A run needs a call and waits for its reply.
    CallNeeded {
        /// Transaction id of the running attempt.
        txn: TransactionId,
        /// The body of the call.
        body: Bytes,
    },
    /// The call of a run has ended.
    CallEnded {
        /// Transaction id of the running attempt.
        txn: TransactionId,
        /// How the call ended.
        outcome: CallOutcome,
    },
    /// Values of the gauges, in the order of the settings.
    Gauges(Vec<f64>),
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum CallOutcome {
    /// The call returned this reply.
    Ok(Bytes),
    /// The call failed and may have taken effect.
    Failed,
    /// The call was rejected: it never ran.
    Rejected,
    /// The call timed out and may have taken effect.
    TimedOut,
    /// No server could be reached: the call never ran.
    Unreachable,
    /// The connection of the call broke; the call may have taken effect.
    CutOff,
}
