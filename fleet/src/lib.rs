//! Every decision that the nodes of a fleet make together, so that a request with an idempotency key runs
//! at most once among all of them.
//!
//! The crate does no I/O: there is no clock, socket, thread or random source here. Events and the time come
//! in, actions go out, and random numbers come from a seed. `docs/replication.md` explains the protocol and
//! the reasons for it.
//!
//! - [`replica_node`] is the state machine of one node, which puts the other modules together.
//! - [`membership_config`] and [`active_configs`]: who the members are, and which of them hold replicas of
//!   a key.
//! - [`replica_table`] and [`key_state`]: what a replica knows of each key, how it votes, and how replicas
//!   are merged.
//! - [`claim_coordinator`]: whether a run may start, and when its result is replicated.
//! - [`failure_detector`]: which members answer.
//! - [`staleness`]: whether state that a node restored is the latest that is known of it.
//! - [`recovery_stages`]: the stages in which a node comes back.
//! - [`message`] and [`ids`]: the peer protocol.
//! - [`decision_record`], [`hash_chain`] and [`audit`]: what nodes record of their decisions, and what
//!   those records show.

pub mod active_configs;
pub mod audit;
pub mod claim_coordinator;
pub mod decision_record;
mod digest;
mod donor;
pub mod failure_detector;
pub mod hash_chain;
pub mod ids;
pub mod key_state;
pub mod membership_config;
pub mod message;
pub mod recovery_stages;
pub mod replica_node;
pub mod replica_table;
pub mod staleness;
mod state_transfer;
mod token_bucket;

#[cfg(test)]
mod test_support;

use std::time::Duration;

/// A point in time on a clock of this node's own, which never goes back and does not stop while the process
/// does.
pub type Time = Duration;

/// A key is retained this much longer than its idempotency window, for attempts that reached the machine
/// within the window but were read later.
pub const LATE_READ_GRACE: Duration = Duration::from_secs(8);

/// The longest result that is stored, in bytes; one that is longer counts as failed for later attempts.
pub const MAX_RESULT_BYTES: usize = 64 * 1024;

/// Returns a duration in whole milliseconds, rounded up so that a key is not dropped early.
pub fn millis_ceil(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}
