//! Fleet membership: the members, the placement of the replicas of a key, and failure detection.
//!
//! All nodes must agree on the replicas of a key, so these depend only on the membership configurations.
//! Liveness affects only the order in which members are contacted and the time to wait for them.

pub mod active_configs;
pub mod config;
pub mod failure_detector;
