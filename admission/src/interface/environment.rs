//! What a server finds around it: its dependency, what its callers understand, and how runs can be preempted.

use std::time::Duration;

/// The dependency that requests call while they run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Dependency {
    /// None.
    Off,
    /// A service that all servers of the tier share.
    Shared {
        /// This server's share of the dependency's capacity in concurrent calls, as a mean; may be below 1.
        share: f64,
        /// Period over which that mean is taken.
        averaging_time: Duration,
        /// The longest time for which the dependency goes on with a call that has timed out.
        linger: Duration,
    },
    /// A tier of servers that run this module themselves.
    Tier,
}

/// How running requests can be preempted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Preemption {
    /// They can't.
    Off,
    /// A request can be stopped; its progress is lost and it returns to the queue.
    Drop,
    /// A request can be paused and resumed; it keeps its memory.
    Pause,
}

/// How callers use the value of [`Action::Advertise`](crate::Action::Advertise).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// They don't; nothing may be advertised.
    Off,
    /// Minimum rank, 0 to 1: callers send no request here whose [`Arrival::rank`](crate::Arrival::rank) is below it.
    MinRank,
    /// Maximum number of pending requests of each caller; a fraction is a probability for one more.
    Credit,
    /// Load balancing weight, 0 to 1: the probability that a caller doesn't skip this server.
    Weight,
}
