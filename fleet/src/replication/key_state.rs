//! What is known of a key's runs, and how the states of two replicas are merged.
//!
//! The merge is a join-semilattice: commutative, associative and idempotent, with unknown < started <
//! completed. All runs that may have started are kept, since any of them may be the one that ran; a
//! completed run prevails over them. Two different runs of one key can't complete while fewer than a quorum
//! of its replicas lose their state within one idempotency window. If they do, the earliest run prevails:
//! by the time its request was received, then by its node's index in the membership configuration.

use std::collections::BTreeMap;
use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, NodeId};

/// The idempotency key of a request.
pub type Key = Bytes;

/// A collision-resistant digest of a request's body.
pub type BodyDigest = u128;

/// Identifies one attempt's claim on a key, among all nodes and at all times.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimId {
    /// The node that makes the claim.
    pub node: NodeId,
    /// The node's incarnation.
    pub incarnation: Incarnation,
    /// The number of the claim in that incarnation.
    pub number: u64,
}

impl fmt::Display for ClaimId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.node, self.incarnation, self.number)
    }
}

/// How a run ended. The order of the variants is part of the order of precedence of [`CompletedRun`]:
/// `Succeeded` must stay before `Failed`, so that of two reports of one run the success prevails.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RunResult {
    /// It returned these bytes.
    Succeeded(Bytes),
    /// It failed and may have had its effect, or nobody knows what became of it.
    Failed,
}

impl RunResult {
    /// Returns the size of the result in bytes.
    pub fn size(&self) -> usize {
        match self {
            RunResult::Succeeded(bytes) => bytes.len(),
            RunResult::Failed => 0,
        }
    }
}

/// A run that has ended.
///
/// Of two runs the smaller one in the derived order takes precedence, so the order of the fields is the
/// order of precedence: the run whose request was received earlier, then the one of the node with the lower
/// index, then the lower claim, and of one claim the success, as [`RunResult::Succeeded`] stands before
/// [`RunResult::Failed`]. The `u64::MAX` of [`CompletedRun::abandoned`] is part of it: such a run yields to
/// every one that was reported.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CompletedRun {
    /// When the node received the request, in Unix milliseconds.
    pub received_at: u64,
    /// The node's index in the membership configuration that was newest when it received the attempt.
    pub node_index: u32,
    /// The claim under which it ran.
    pub claim: ClaimId,
    /// How it ended.
    pub result: RunResult,
    /// The digest of the request's body.
    pub body: BodyDigest,
}

/// [`CompletedRun::received_at`] of a run whose node has lost its state: later than every real one.
const ABANDONED_RECEIVED_AT: u64 = u64::MAX;

impl CompletedRun {
    /// Returns the run of a claim whose node has lost its state. Whether it ran is not known, so it counts
    /// as failed; a completion that the run itself reported prevails over this one.
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

/// Two completed runs of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunConflict {
    /// The run that prevails.
    pub retained: CompletedRun,
    /// The run that is dropped.
    pub dropped: CompletedRun,
}

/// What is known of a key.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash)]
pub struct KeyState {
    /// Claims whose runs may have started, with the digests of their bodies. Empty once a run has
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
                // No conflict: either both are reports of one run, of which the success prevails, or the
                // dropped one is a placeholder for a claim whose node lost its state and which may never
                // have run.
                let superseded = dropped.result == RunResult::Failed
                    && (retained.claim == dropped.claim || dropped.is_abandoned());
                if retained != dropped && !superseded {
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

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.started.is_empty() && self.completed.is_none()
    }

    /// Returns the size of the result in bytes.
    pub fn result_size(&self) -> usize {
        self.completed.as_ref().map_or(0, |run| run.result.size())
    }
}

#[cfg(test)]
mod tests;
