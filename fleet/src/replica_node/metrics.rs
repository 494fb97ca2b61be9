//! Counters of what a node has done.

use crate::claims::coordinator::ClaimOutcome;

/// What a node has done since its process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicaMetrics {
    /// Runs that were permitted.
    pub granted: u64,
    /// Attempts that were rejected.
    pub rejected: u64,
    /// Attempts that got the result of another node's run.
    pub remote_outcomes: u64,
    /// Attempts that did not get it in time.
    pub unknown_outcomes: u64,
    /// Results that a quorum stored in time.
    pub replicated: u64,
    /// Results that no quorum stored in time.
    pub unreplicated: u64,
    /// Claims that this node has granted as a replica.
    pub votes_granted: u64,
    /// Claims that it has not granted as a replica.
    pub votes_rejected: u64,
    /// Records that it received from donors.
    pub records_received: u64,
    /// Records that it sent as a donor.
    pub records_sent: u64,
    /// Pairs of different completed runs of one key.
    pub conflicts: u64,
    /// How often it was suspended.
    pub suspensions: u64,
    /// Requesters that it deferred as a donor.
    pub transfers_deferred: u64,
    /// How often the state that it restored was stale.
    pub stale_states: u64,
}

impl ReplicaMetrics {
    /// Counts what an attempt is notified of.
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
