//! What a fleet of nodes decides together, so that a keyed request runs once among all of them: who holds copies of a
//! key ([`list`], [`lists`]), what a copy answers ([`copies`], [`record`]), whether a run may begin and when its result is
//! safe ([`claims`]), who is heard ([`members`]), whether what a node kept is the last that was known of it ([`marks`]), and
//! what it has to learn when it comes back ([`catchup`]),
//! in which stages that is ([`way`]).
//! [`node`] puts them together. Apart from that, [`audit`] says what the records of all nodes tell, and [`chain`] whether they
//! are as they were written.
//!
//! There is no clock, socket, thread or random source here: time and events come in, actions go out, and random numbers
//! come from a seed. `docs/replication.md` has the reasons.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod audit;
pub mod catchup;
pub mod chain;
pub mod claims;
pub mod copies;
pub mod frame;
pub mod list;
pub mod lists;
pub mod marks;
pub mod members;
pub mod node;
pub mod record;
pub mod way;

use std::time::Duration;

/// A point in time on a clock of this node's own that never goes back and does not stop while the process does.
pub type Time = Duration;

/// A key that has run out is kept this much longer for tries that were read late: those that came to the machine in its
/// time are still linked to it.
pub const READ_LATE: Duration = Duration::from_secs(8);

/// The longest result that is kept, in bytes; one that is longer counts as failed for later tries.
pub const LONGEST_RESULT: usize = 64 * 1024;
