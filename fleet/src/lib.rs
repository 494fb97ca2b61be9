//! The replication protocol of a fleet: the nodes agree that a request with an idempotency key runs at most
//! once in the whole fleet.
//!
//! The crate does no I/O and has no clock, socket, thread or random source. Its state machine takes events
//! and the current time and returns actions; random numbers are generated from a seed. `docs/replication.md`
//! explains the protocol and the reasons for it.
//!
//! - [`replica_node`]: the state machine of one node, which combines the other modules.
//! - [`membership`]: the members of the fleet, the placement of replicas, and failure detection.
//! - [`claims`]: the decision whether a run may start, and the replication of its result.
//! - [`replication`]: the state of each key on a replica, its votes, and the merging of replicas.
//! - [`recovery`]: the stages of a node's recovery, the detection of stale restored state, and the transfer
//!   of missing state from peers.
//! - [`audit`]: the decision records of the nodes, and the audit of these records.
//! - [`message`], [`envelope`] and [`ids`]: the peer protocol.

pub mod audit;
pub mod claims;
mod digest;
pub mod envelope;
pub mod ids;
pub mod membership;
pub mod message;
pub mod recovery;
pub mod replica_node;
pub mod replication;

#[cfg(test)]
mod test_support;

use std::time::Duration;

/// A point in time on this node's monotonic clock, which continues while the process is suspended.
pub type Time = Duration;

/// Time for which a key is retained after its idempotency window, for attempts that reached the machine
/// within the window but were read later.
pub const LATE_READ_GRACE: Duration = Duration::from_secs(8);

/// Maximum size of a stored result in bytes. If a result is larger, later attempts at the key are answered as
/// if the run had failed.
pub const MAX_RESULT_BYTES: usize = 64 * 1024;

/// Returns a duration in whole milliseconds, rounded up so that no key is dropped early.
pub fn millis_ceil(duration: Duration) -> u64 {
    u64::try_from(duration.as_nanos().div_ceil(1_000_000)).unwrap_or(u64::MAX)
}
