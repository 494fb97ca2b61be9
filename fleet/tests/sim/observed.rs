//! The observations of a simulation, on which the tests make their assertions.

use std::collections::{BTreeMap, HashMap};

use oakwind_fleet::claims::coordinator::AttemptId;
use oakwind_fleet::Time;

/// An observed run of a key.
#[derive(Debug)]
pub(crate) struct ObservedRun {
    pub(crate) at: Time,
    pub(crate) attempt: AttemptId,
}

/// An observed attempt at a key.
#[derive(Debug)]
pub(crate) struct ObservedAttempt {
    pub(crate) key: usize,
    pub(crate) has_run: bool,
}

/// An interval of 100 ms at one node, for which the sent pages are counted.
#[derive(Debug, PartialEq, Eq, Hash)]
pub(crate) struct SendingInterval {
    pub(crate) node: usize,
    pub(crate) tenth_of_second: u128,
}

/// The observations of one simulation.
#[derive(Debug, Default)]
pub(crate) struct Observed {
    /// All runs, by key.
    pub(crate) runs: HashMap<usize, Vec<ObservedRun>>,
    /// All attempts, by number.
    pub(crate) attempts: BTreeMap<u64, ObservedAttempt>,
    /// Number of claim outcomes, by name.
    pub(crate) outcomes: BTreeMap<String, usize>,
    /// Descriptions of the violated promises.
    pub(crate) violations: Vec<String>,
    /// Number of reported duplicate runs.
    pub(crate) duplicate_runs: usize,
    /// Number of times that a node detected stale restored state.
    pub(crate) stale_states: usize,
    /// Number of messages that were sent, including lost ones.
    pub(crate) messages: u64,
    /// Number of pages of state transfers that each node sent in each interval.
    pub(crate) pages: HashMap<SendingInterval, u64>,
}
