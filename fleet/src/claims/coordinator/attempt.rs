//! What an attempt requests, and what it is notified of.

use crate::ids::NodeId;
use crate::message::{Message, RejectReason};
use crate::replication::key_state::{BodyDigest, Key, RunResult};
use crate::Time;

/// An attempt at a request, as its node numbers it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// What an attempt is notified of.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ClaimOutcome {
    /// Its run may start.
    Granted,
    /// Its run must not start. No run has started under this attempt; whether another attempt's has is not
    /// said.
    Rejected(RejectReason),
    /// A run of another attempt may have started; the outcome of that run follows.
    RunningElsewhere,
    /// The result of another attempt's run.
    RemoteOutcome(RunResult),
    /// Its key was used with another body.
    BodyMismatch,
    /// The outcome of another attempt's run is not known in time.
    Unknown,
    /// Whether a quorum has stored the result of its run in time.
    Replicated(bool),
}

/// An attempt's request for permission to run.
#[derive(Debug, Clone)]
pub struct RunRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its key.
    pub key: Key,
    /// The digest of its body.
    pub body: BodyDigest,
    /// When the key's idempotency window ends.
    pub expires_at: Time,
    /// When the request was received.
    pub received_at: Time,
    /// The same in Unix milliseconds.
    pub received_unix_ms: u64,
    /// When the client stops waiting.
    pub deadline: Time,
}

/// What is to be done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Send this message to a node.
    Send(NodeId, Message),
    /// Notify an attempt.
    Notify(AttemptId, ClaimOutcome),
}
