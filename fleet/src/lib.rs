//! Every decision that the nodes of a fleet make together, so that a request with an idempotency key runs
//! at most once among all of them.
//!
//! The crate does no I/O: there is no clock, socket, thread or random source here. Events and the time come
//! in, actions go out, and random numbers come from a seed. `docs/replication.md` explains the protocol and
//! the reasons for it.
//!
//! - [`replica_node`] is the state machine of one node, which puts the other modules together.
//! - [`membership`]: who the members are, which of them hold replicas of a key, and which of them answer.
//! - [`claims`]: whether a run may start, and when its result is replicated.
//! - [`replication`]: what a replica knows of each key, how it votes, and how replicas are merged.
//! - [`recovery`]: the stages in which a node comes back, whether its restored state is the latest, and the
//!   transfer of what it lacks.
//! - [`audit`]: what nodes record of their decisions, and what those records show.
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
