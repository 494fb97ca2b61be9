//! What follows from a change of a replica table.

use serde::{Deserialize, Serialize};

use crate::envelope::{Request, Response};
use crate::message::ReplicaRecord;
use crate::replication::key_state::{ClaimId, Key, RunConflict};

/// What a node stores on disk of one key. The fields are encoded by position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// The claim that this replica has granted.
    pub vote: Option<ClaimId>,
    /// What it knows of the key.
    pub record: ReplicaRecord,
}

/// What follows from a message to the replica.
#[derive(Debug, Default)]
pub struct TableOutcome {
    /// Responses to the attempts that have asked for the key.
    pub responses: Vec<Response>,
    /// Queries to other nodes.
    pub queries: Vec<Request>,
    /// The key whose entry changed and must be stored before the responses are sent.
    pub changed_key: Option<Key>,
    /// Two runs of one key that have both completed.
    pub conflict: Option<RunConflict>,
}

/// What became of records that a donor sent.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Whether some of them were dropped for lack of capacity.
    pub dropped: bool,
    /// Pairs of different completed runs of one key.
    pub conflicts: Vec<RunConflict>,
}

/// The size of a table.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableSize {
    /// The number of keys.
    pub keys: usize,
    /// The memory that they take, reservations included.
    pub bytes: usize,
}
