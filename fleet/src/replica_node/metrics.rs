//! Counters of a node's claims, votes and state transfers.

use crate::claims::coordinator::ClaimOutcome;

/// Counters of a node since its process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicaMetrics {
    /// Own claims that a quorum has granted.
    pub granted: u64,
    /// Attempts that were rejected, including those with a body mismatch.
    pub rejected: u64,
    /// Attempts that received the result of another attempt's run.
    pub remote_outcomes: u64,
    /// Attempts for which the outcome of another attempt's run stayed unknown until shortly before the
    /// deadline.
    pub unknown_outcomes: u64,
    /// Results that a quorum stored before the deadline.
    pub replicated: u64,
    /// Results that no quorum stored before the deadline.
    pub unreplicated: u64,
    /// Claim requests that the node granted as a replica, retries included.
    pub votes_granted: u64,
    /// Claim requests that the node did not grant as a replica, retries included.
    pub votes_rejected: u64,
    /// Records received from donors in state transfers.
    pub records_received: u64,
    /// Records sent as a donor in state transfers.
    pub records_sent: u64,
    /// Duplicate runs, i.e. pairs of different completed runs of one key.
    pub conflicts: u64,
    /// Suspensions of the process.
    pub suspensions: u64,
    /// Page requests that the node deferred as a donor.
    pub transfers_deferred: u64,
    /// Restored states that were found to be stale.
    pub stale_states: u64,
}

impl ReplicaMetrics {
    /// Counts an outcome that an attempt is notified of.
    pub(super) fn count_outcome(&mut self, outcome: &ClaimOutcome) {
        match outcome {
            ClaimOutcome::Granted => self.granted += 1,
            ClaimOutcome::Rejected(_) | ClaimOutcome::BodyMismatch => self.rejected += 1,
            ClaimOutcome::RemoteResult(_) => self.remote_outcomes += 1,
            ClaimOutcome::Unknown => self.unknown_outcomes += 1,
            ClaimOutcome::StoredByQuorum(true) => self.replicated += 1,
            ClaimOutcome::StoredByQuorum(false) => self.unreplicated += 1,
            ClaimOutcome::AwaitingRemoteRun => {}
        }
    }
}
