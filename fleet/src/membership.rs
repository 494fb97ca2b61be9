//! Who the members of the fleet are, which of them hold the replicas of a key, and which of them answer.
//!
//! What must be agreed on, the replicas of a key, follows from the membership configurations alone. Liveness
//! decides only whom to ask first and how long to wait.

pub mod active_configs;
pub mod config;
pub mod failure_detector;
