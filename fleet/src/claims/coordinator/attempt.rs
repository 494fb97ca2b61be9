//! What an attempt requests, and what it is notified of.

use crate::ids::NodeId;
use crate::message::{Message, RejectReason};
use crate::replication::key_state::{BodyDigest, Key, RunResult};
use crate::Time;

/// An attempt at a request, as its node numbers it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// What an attempt is notified of. Several may follow each other: [`ClaimOutcome::Granted`] and
/// [`ClaimOutcome::AwaitingRemoteRun`] are interim, all others are final.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ClaimOutcome {
    /// Its run may start. Once that has completed, [`ClaimOutcome::StoredByQuorum`] follows.
    Granted,
    /// Its run must not start. No run has started under this attempt; whether another attempt's has is not
    /// said.
    Rejected(RejectReason),
    /// Its run must not start, as a run of another attempt (a remote run) may have started. What became of
    /// that one follows: its result, a rejection (it never started, or its window has ended), a body
    /// mismatch, or that its outcome is unknown.
    AwaitingRemoteRun,
    /// The result of the remote run.
    RemoteResult(RunResult),
    /// Its key was used with another body.
    BodyMismatch,
    /// The outcome of the remote run is not known in time.
    Unknown,
    /// Whether a quorum has stored the result of its run in time.
    StoredByQuorum(bool),
}

/// An attempt's request for permission to run.
#[derive(Debug, Clone)]
pub struct RunRequest {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its key.
    pub key: Key,
    /// The digest of its body.
    pub body_digest: BodyDigest,
    /// When the key's idempotency window ends.
    pub window_ends_at: Time,
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
