//! Run requests of attempts, and the outcomes that attempts are notified of.

use crate::ids::NodeId;
use crate::message::{Message, RejectReason};
use crate::replication::key_state::{BodyDigest, Key, RunResult};
use crate::Time;

/// Identifies an attempt at a request; assigned by the node that received it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId(pub u64);

/// Notification to an attempt about its claim. [`ClaimOutcome::Granted`] and
/// [`ClaimOutcome::AwaitingRemoteRun`] are interim and followed by another outcome; all others are final.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum ClaimOutcome {
    /// The attempt's run may start. [`ClaimOutcome::StoredByQuorum`] follows once the run has completed.
    Granted,
    /// The attempt's run has not started and must not start. The run of another attempt may have started.
    Rejected(RejectReason),
    /// The attempt's run must not start, because a run of another attempt (the remote run) may have started.
    /// The final outcome follows: the result of the remote run, a rejection (the remote run never started, or
    /// its window has ended), a body mismatch, or an unknown outcome.
    AwaitingRemoteRun,
    /// The result of the remote run.
    RemoteResult(RunResult),
    /// The key was already used with another request body.
    BodyMismatch,
    /// Shortly before the deadline it was still unknown whether a remote run started, or with which result.
    Unknown,
    /// Whether a quorum has stored the result of the attempt's run. False if the claim was given up before
    /// that, or if the attempt has no granted claim.
    StoredByQuorum(bool),
}

/// Request of an attempt for permission to run.
#[derive(Debug, Clone)]
pub struct RunRequest {
    /// The attempt that asks.
    pub attempt: AttemptId,
    /// Idempotency key of the client's request.
    pub key: Key,
    /// Digest of the request body.
    pub body_digest: BodyDigest,
    /// When the key's idempotency window ends.
    pub window_ends_at: Time,
    /// When this node received the request, on the clock of [`Time`].
    pub received_at: Time,
    /// The same time in Unix milliseconds.
    pub received_unix_ms: u64,
    /// When the client stops waiting.
    pub deadline: Time,
}

/// Action that the caller of [`ClaimCoordinator`](super::ClaimCoordinator) must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimAction {
    /// Send the message to the node, which may be this node itself.
    Send(NodeId, Message),
    /// Notify the attempt of the outcome.
    Notify(AttemptId, ClaimOutcome),
}
