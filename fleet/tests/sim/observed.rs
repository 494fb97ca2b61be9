//! What a simulation observes of the nodes, by which it is judged.

use std::collections::{BTreeMap, HashMap};

use oakwind_fleet::claims::coordinator::AttemptId;
use oakwind_fleet::Time;

/// A run of a key.
#[derive(Debug)]
pub(crate) struct ObservedRun {
    pub(crate) at: Time,
    pub(crate) attempt: AttemptId,
}

/// An attempt at a key.
#[derive(Debug)]
pub(crate) struct ObservedAttempt {
    pub(crate) key: usize,
    pub(crate) has_run: bool,
}

/// What a node sends in a tenth of a second.
#[derive(Debug, PartialEq, Eq, Hash)]
pub(crate) struct SendingInterval {
    pub(crate) node: usize,
    pub(crate) tenth_of_second: u128,
}

/// All that was observed.
#[derive(Debug, Default)]
pub(crate) struct Observed {
    /// All runs, by key.
    pub(crate) runs: HashMap<usize, Vec<ObservedRun>>,
    /// Attempts by number.
    pub(crate) attempts: BTreeMap<u64, ObservedAttempt>,
    pub(crate) ended: BTreeMap<String, usize>,
    pub(crate) violations: Vec<String>,
    pub(crate) conflicts: usize,
    pub(crate) stale_states: usize,
    pub(crate) messages: u64,
    /// The number of pages that a node sent.
    pub(crate) pages: HashMap<SendingInterval, u64>,
}
