//! What a node records of its decisions. Records are written as JSON, one a line; the names in them must
//! not change.

use serde::{Deserialize, Serialize};

use crate::audit::hash_chain::ChainBreak;
use crate::ids::ConfigVersion;

/// The versions of everything that a decision depends on.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Versions {
    /// The digest of the settings.
    pub settings: String,
    /// The version of the newest membership configuration; 0 if the node does not replicate.
    #[serde(rename = "list")]
    pub config: ConfigVersion,
    /// The version of the program.
    pub program: String,
}

/// What was decided of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Decision {
    /// Its run starts.
    Run,
    /// That run provably never started.
    #[serde(rename = "unrun")]
    NeverStarted,
    /// The client got the result.
    Served,
    /// It was rejected before it ran.
    #[serde(rename = "refused")]
    Rejected,
    /// It failed.
    Failed,
}

/// A record.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "e")]
pub enum Record {
    /// A process started to record.
    #[serde(rename = "began")]
    ProcessStarted {
        /// When, in Unix milliseconds.
        at: u64,
        /// The node.
        node: String,
        /// The versions by which it decides.
        #[serde(rename = "by")]
        versions: Versions,
    },
    /// Something was decided of an attempt.
    #[serde(rename = "try")]
    Attempt {
        /// When, in Unix milliseconds.
        at: u64,
        /// What was decided.
        #[serde(rename = "did")]
        decision: Decision,
        /// The attempt's transaction id.
        txn: String,
        /// Its idempotency key, in classes whose requests must not run twice.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        key: Option<String>,
        /// The name of its class.
        class: String,
        /// The versions by which it was decided.
        #[serde(rename = "by")]
        versions: Versions,
    },
    /// Records were dropped, as the disk was slow.
    #[serde(rename = "dropped")]
    Dropped {
        /// When that was noticed, in Unix milliseconds.
        at: u64,
        /// How many.
        count: u64,
    },
    /// The process shut down in order.
    #[serde(rename = "ended")]
    ProcessStopped {
        /// When, in Unix milliseconds.
        at: u64,
    },
}

impl Record {
    /// Returns when the record was made, in Unix milliseconds.
    pub fn at(&self) -> u64 {
        match self {
            Record::ProcessStarted { at, .. }
            | Record::Attempt { at, .. }
            | Record::Dropped { at, .. }
            | Record::ProcessStopped { at } => *at,
        }
    }

    /// Returns the versions that the record names, if it does.
    pub fn versions(&self) -> Option<&Versions> {
        match self {
            Record::ProcessStarted { versions, .. } | Record::Attempt { versions, .. } => Some(versions),
            Record::Dropped { .. } | Record::ProcessStopped { .. } => None,
        }
    }
}

/// A place at which the chain of a file is broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileBreak {
    /// The name of the file.
    pub file: String,
    /// What is wrong in it.
    pub chain_break: ChainBreak,
}

/// All records of one node.
#[derive(Debug, Clone, Default)]
pub struct Journal {
    /// The node, as its records name it.
    pub node: String,
    /// The records, in order.
    pub records: Vec<Record>,
    /// Where the chain of the records is broken.
    pub breaks: Vec<FileBreak>,
}
