//! Recovery of a node that has started or lost its state: the stages of recovery, the detection of stale
//! restored state, and the transfer of missing state from peers at a bounded rate.

pub(crate) mod donor;
pub mod stages;
pub mod staleness;
pub(crate) mod state_transfer;
mod token_bucket;
