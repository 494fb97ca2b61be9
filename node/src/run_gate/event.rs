//! The answers of the run gate: at once, or later as events.

use oakwind_admission::RequestId;

use crate::outcome::{Completion, IdempotencyRecord, StoredOutcome};

/// Whether a run may start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Authorization {
    /// It may.
    Granted,
    /// It may not, and never will.
    Denied,
    /// A [`GateEvent`] follows.
    Pending,
}

/// What the run gate reports later, as it could not be known at once.
#[derive(Debug)]
pub(crate) enum GateEvent {
    /// Whether the run of an attempt may start.
    Authorized {
        /// The attempt.
        id: RequestId,
        /// If not, the run has never started.
        granted: bool,
    },
    /// The run must not start, as another node may run its key. The outcome of that follows.
    AwaitingRemoteRun(RequestId),
    /// The outcome of another node's run of the key; the run must not start.
    RemoteOutcome {
        /// The attempt.
        id: RequestId,
        /// The outcome.
        outcome: StoredOutcome,
    },
    /// The outcome of another node's run is not known in time, or too few replicas have the result of the own run.
    OutcomeUnknown(RequestId),
    /// The key came with another body before.
    BodyMismatch(RequestId),
    /// The run has ended so, and that is stored.
    Completed {
        /// The attempt.
        id: RequestId,
        /// How it ended.
        completion: Completion,
    },
    /// What the store had from earlier processes.
    Recovered(Vec<IdempotencyRecord>),
}
