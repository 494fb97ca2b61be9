//! What a fleet of nodes decides together, so that a keyed request runs once among all of them: who holds copies of a
//! key ([`membership_config`], [`active_configs`]), what a copy answers ([`replica_table`], [`key_state`]), whether a run may begin and when its result is
//! safe ([`claim_coordinator`]), who is heard ([`failure_detector`]), whether what a node kept is the last that was known of it ([`staleness`]), and
//! what it has to learn when it comes back ([`state_transfer`]),
//! in which stages that is ([`recovery_stages`]).
//! [`replica_node`] puts them together. Apart from that, [`audit`] says what the records of all nodes tell, and [`hash_chain`] whether they
//! are as they were written.
//!
//! There is no clock, socket, thread or random source here: time and events come in, actions go out, and random numbers
//! come from a seed. `docs/replication.md` has the reasons.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod active_configs;
pub mod audit;
pub mod claim_coordinator;
pub mod failure_detector;
pub mod hash_chain;
pub mod key_state;
pub mod membership_config;
pub mod message;
pub mod recovery_stages;
pub mod replica_node;
pub mod replica_table;
pub mod staleness;
pub mod state_transfer;

use std::time::Duration;

/// A point in time on a clock of this node's own that never goes back and does not stop while the process does.
pub type Time = Duration;

/// A key that has run out is kept this much longer for tries that were read late: those that came to the machine in its
/// time are still linked to it.
pub const LATE_READ_GRACE: Duration = Duration::from_secs(8);

/// The longest result that is kept, in bytes; one that is longer counts as failed for later tries.
pub const MAX_RESULT_BYTES: usize = 64 * 1024;
