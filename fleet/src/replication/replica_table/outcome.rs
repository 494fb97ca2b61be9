//! Results of operations on a replica table.

use serde::{Deserialize, Serialize};

use crate::envelope::{Request, Response};
use crate::message::ReplicaRecord;
use crate::replication::key_state::{ClaimId, Key, RunConflict};

/// Record of one key as a node stores it on disk. The fields are encoded by position and must not be
/// reordered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// The claim that this replica has granted, if any.
    pub vote: Option<ClaimId>,
    /// What this replica knows of the key.
    pub record: ReplicaRecord,
}

/// Messages and changes that result from a message to the replica.
#[derive(Debug, Default)]
pub struct TableOutcome {
    /// Response to the message, and notifications of waiting attempts.
    pub responses: Vec<Response>,
    /// Queries for the outcome of conflicting claims, to be sent to other nodes.
    pub queries: Vec<Request>,
    /// The key whose entry changed and must be stored before the responses are sent.
    pub changed_key: Option<Key>,
    /// The conflict, if two different runs of the key have completed.
    pub conflict: Option<RunConflict>,
}

/// Result of merging the records of a donor.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct MergeOutcome {
    /// Whether records, or started claims of a record, were dropped for lack of capacity.
    pub dropped: bool,
    /// Pairs of different completed runs of one key.
    pub conflicts: Vec<RunConflict>,
}

/// Number of keys in a replica table and the memory they use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableSize {
    /// The number of keys.
    pub keys: usize,
    /// Estimated memory use of the keys in bytes, including the space reserved for results.
    pub bytes: usize,
}
