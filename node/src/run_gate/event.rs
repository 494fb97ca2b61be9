//! Answers of the run gate, given at once or later as events.

use oakwind_admission::RequestId;

use crate::exchange::HandoverState;
use crate::outcome::{Completion, StoredOutcome};

/// Whether a run may start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Authorization {
    /// The run may start now.
    Granted,
    /// The run must not start, now or later.
    Denied,
    /// The decision follows as a [`GateEvent`].
    Pending,
}

/// An answer of the run gate that depends on the store or the peers.
#[derive(Debug)]
pub(crate) enum GateEvent {
    /// The decision whether the run of an attempt may start.
    Authorized {
        /// Id of the attempt.
        id: RequestId,
        /// Whether the run may start. If not, it has never started.
        granted: bool,
    },
    /// The run must not start, because another node may run its key. The outcome of that run follows.
    AwaitingRemoteRun(RequestId),
    /// The outcome of another node's run of the key; the run must not start.
    RemoteOutcome {
        /// Id of the attempt.
        id: RequestId,
        /// Outcome of the other node's run.
        outcome: StoredOutcome,
    },
    /// The outcome of another node's run did not become known in time, or too few replicas stored the result of this
    /// node's run.
    OutcomeUnknown(RequestId),
    /// The key of the attempt has been used with another body.
    BodyMismatch(RequestId),
    /// The run has ended, and its end may be reported now.
    Completed {
        /// Id of the attempt.
        id: RequestId,
        /// How the run ended; failed if its end could not be stored.
        completion: Completion,
    },
    /// The state that the store kept from earlier processes.
    Recovered(HandoverState),
    /// The store could not be opened. No run with a key starts.
    StoreUnavailable,
}
