//! The state of a key's runs, and the merge of the states of two replicas.
//!
//! The states form a join-semilattice under the merge, which is commutative, associative and idempotent, with
//! unknown < started < completed. All claims whose runs may have started are kept, since any of them may be
//! the one that ran; a completed run replaces them. Two different runs of one key can't complete as long as
//! fewer than a quorum of its replicas lose their state within one idempotency window. If two do complete,
//! the run whose request was received earliest prevails, then the one with the lowest node index in the
//! membership configuration.

use std::collections::BTreeMap;
use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, NodeId};

/// The idempotency key of a request.
pub type Key = Bytes;

/// A collision-resistant digest of a request's body.
pub type BodyDigest = u128;

/// Identifies an attempt's claim on a key; unique across all nodes and incarnations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The node that makes the claim.
    pub node: NodeId,
    /// The node's incarnation.
    pub incarnation: Incarnation,
    /// Sequence number that the node gave the claim.
    pub number: u64,
}

impl fmt::Display for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.node, self.incarnation, self.number)
    }
}

/// Result of a run. The order of the variants is part of the precedence of [`CompletedRun`]: `Succeeded` must
/// stay before `Failed`, so that the success prevails if one run is reported with both.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RunResult {
    /// The run returned these bytes.
    Succeeded(Bytes),
    /// The run failed, in which case it may still have taken effect, or its outcome is unknown.
    Failed,
}

impl RunResult {
    /// Returns the size of the result in bytes; 0 for a failure.
    pub fn size(&self) -> usize {
        match self {
            RunResult::Succeeded(bytes) => bytes.len(),
            RunResult::Failed => 0,
        }
    }
}

/// A run that has ended.
///
/// The smaller of two runs in the derived order takes precedence, so the order of the fields matters: first
/// the run whose request was received earlier, then the one with the lower node index, then the one with the
/// lower claim id. Of two reports on the same claim the success takes precedence, since
/// [`RunResult::Succeeded`] precedes [`RunResult::Failed`]. A [`CompletedRun::abandoned`] run has the latest
/// possible `received_at`, so that every reported run takes precedence over it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CompletedRun {
    /// When the node received the request, in Unix milliseconds.
    pub received_at: u64,
    /// The node's index in the membership configuration that was newest when it first made the claim.
    pub node_index: u32,
    /// The claim under which the run started.
    pub claim: ClaimId,
    /// The result of the run.
    pub result: RunResult,
    /// The digest of the request's body.
    pub body: BodyDigest,
}

/// [`CompletedRun::received_at`] of an abandoned run; later than that of every reported run.
const ABANDONED_RECEIVED_AT: u64 = u64::MAX;

impl CompletedRun {
    /// Returns the placeholder for the run of a claim whose node has lost its state. It is not known whether
    /// the run took place, so it counts as failed. A reported run takes precedence over it.
    pub fn abandoned(claim_id: ClaimId, body_digest: BodyDigest) -> CompletedRun {
        let result = RunResult::Failed;
        CompletedRun {
            received_at: ABANDONED_RECEIVED_AT,
            node_index: u32::MAX,
            claim: claim_id,
            result,
            body: body_digest,
        }
    }

    fn is_abandoned(&self) -> bool {
        self.received_at == ABANDONED_RECEIVED_AT
    }
}

/// Two different completed runs of one key, i.e. a duplicate run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunConflict {
    /// The run that prevails.
    pub retained: CompletedRun,
    /// The run that is dropped.
    pub dropped: CompletedRun,
}

/// What a replica knows of a key's runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct KeyState {
    /// Claims whose runs may have started, with the digests of their request bodies. Empty once a run has
    /// completed.
    pub started: BTreeMap<ClaimId, BodyDigest>,
    /// The completed run that prevails.
    pub completed: Option<CompletedRun>,
}

impl KeyState {
    /// Merges the state of another replica into this one. Returns the conflict if two different runs have
    /// completed.
    pub fn merge(&mut self, other: KeyState) -> Option<RunConflict> {
        let mut conflict = None;
        self.completed = match (self.completed.take(), other.completed) {
            (Some(ours), Some(theirs)) => {
                let (retained, dropped) = if ours <= theirs { (ours, theirs) } else { (theirs, ours) };
                // A dropped failure is no conflict if both are reports on the same claim, or if it is the
                // placeholder of an abandoned run, which may never have taken place.
                let is_superseded = dropped.result == RunResult::Failed
                    && (retained.claim == dropped.claim || dropped.is_abandoned());
                if retained != dropped && !is_superseded {
                    conflict = Some(RunConflict { retained: retained.clone(), dropped });
                }
                Some(retained)
            }
            (ours, theirs) => ours.or(theirs),
        };
        self.started.extend(other.started);
        if self.completed.is_some() {
            self.started.clear();
        }
        conflict
    }

    /// Whether no run of the key is known.
    pub fn is_empty(&self) -> bool {
        self.started.is_empty() && self.completed.is_none()
    }

    /// Returns the size of the completed run's result in bytes; 0 if no run has completed.
    pub fn result_size(&self) -> usize {
        self.completed.as_ref().map_or(0, |run| run.result.size())
    }
}

#[cfg(test)]
mod tests;
