//! The records that a node writes about its decisions. Each record is one line of JSON, whose names must not
//! change.

use serde::{Deserialize, Serialize};

use crate::audit::hash_chain::ChainBreak;
use crate::ids::ConfigVersion;

/// The versions of the settings, membership configuration and program that made a decision.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Versions {
    /// Digest of the settings.
    pub settings: String,
    /// Version of the newest membership configuration; 0 if the node does not replicate.
    #[serde(rename = "list")]
    pub config: ConfigVersion,
    /// Version of the program.
    pub program: String,
}

/// A decision about an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Decision {
    /// The attempt's run starts.
    Run,
    /// The run that was recorded for the attempt provably never started.
    #[serde(rename = "unrun")]
    NeverStarted,
    /// The result was sent to the client.
    Served,
    /// The attempt was rejected before it ran.
    #[serde(rename = "refused")]
    Rejected,
    /// The attempt failed.
    Failed,
}

/// A record of the decision log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "e")]
pub enum Record {
    /// A process started and writes records from now on.
    #[serde(rename = "began")]
    ProcessStarted {
        /// Unix time in milliseconds.
        at: u64,
        /// Name of the node.
        node: String,
        /// The versions with which the process makes decisions.
        #[serde(rename = "by")]
        versions: Versions,
    },
    /// A decision about an attempt was made.
    #[serde(rename = "try")]
    Attempt {
        /// Unix time in milliseconds.
        at: u64,
        /// What the node decided about the attempt.
        #[serde(rename = "did")]
        decision: Decision,
        /// The attempt's transaction id.
        txn: String,
        /// Idempotency key of the request; absent in classes whose requests may run twice.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        key: Option<String>,
        /// Name of the request's class.
        class: String,
        /// The versions with which the decision was made.
        #[serde(rename = "by")]
        versions: Versions,
    },
    /// Records were dropped because the disk was too slow to write them.
    #[serde(rename = "dropped")]
    Dropped {
        /// Unix time in milliseconds at which the loss was detected.
        at: u64,
        /// Number of dropped records.
        count: u64,
    },
    /// The process shut down cleanly.
    #[serde(rename = "ended")]
    ProcessStopped {
        /// Unix time in milliseconds.
        at: u64,
    },
}

impl Record {
    /// Returns the Unix time of the record in milliseconds.
    pub fn at(&self) -> u64 {
        match self {
            Record::ProcessStarted { at, .. }
            | Record::Attempt { at, .. }
            | Record::Dropped { at, .. }
            | Record::ProcessStopped { at } => *at,
        }
    }

    /// Returns the versions in the record; records about dropped records and stopped processes have none.
    pub fn versions(&self) -> Option<&Versions> {
        match self {
            Record::ProcessStarted { versions, .. } | Record::Attempt { versions, .. } => Some(versions),
            Record::Dropped { .. } | Record::ProcessStopped { .. } => None,
        }
    }
}

/// A line of a file at which the hash chain is broken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FileBreak {
    /// Name of the file.
    pub file: String,
    /// The line and the fault.
    pub chain_break: ChainBreak,
}

/// All records of one node.
#[derive(Debug, Clone, Default)]
pub struct Journal {
    /// Name of the node, as its records give it.
    pub node: String,
    /// The records in the order in which they were written.
    pub records: Vec<Record>,
    /// The places at which the hash chain of the records is broken.
    pub breaks: Vec<FileBreak>,
}
