//! How a node comes back: the stages that it passes through, whether the state that it restored is the latest,
//! and how it gets what it lacks from its peers without overloading them.

pub(crate) mod donor;
pub mod stages;
pub mod staleness;
pub(crate) mod state_transfer;
mod token_bucket;
