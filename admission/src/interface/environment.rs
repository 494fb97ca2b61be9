//! The environment of a server: its dependency, how runs can be preempted, and how callers use the advertised
//! value.

use std::time::Duration;

/// The dependency that requests may call while they run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Dependency {
    /// No dependency; requests make no calls.
    Off,
    /// A service that all servers of this tier share.
    Shared {
        /// This server's share of the dependency's capacity: the mean number of concurrent calls. May be
        /// below 1.
        share: f64,
        /// Period over which the mean number of concurrent calls is taken.
        averaging_time: Duration,
        /// The longest time for which the dependency continues to work on a call that has timed out here.
        linger: Duration,
    },
    /// A further tier of servers, which run this module themselves.
    Tier,
}

/// How running requests can be preempted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Preemption {
    /// Running requests cannot be preempted.
    Off,
    /// A running request can be stopped. Its progress is lost and it returns to the queue.
    Drop,
    /// A running request can be paused and resumed. It keeps its memory while paused.
    Pause,
}

/// How callers use the value of [`Action::Advertise`](crate::Action::Advertise).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Callers ignore the value; the module advertises nothing.
    Off,
    /// Minimum rank, 0 to 1: callers send no request whose [`Arrival::rank`](crate::Arrival::rank) is below
    /// the value to this server.
    MinRank,
    /// Maximum number of pending requests per caller. The fractional part is the probability of allowing one
    /// more.
    Credit,
    /// Load balancing weight, 0 to 1: the probability that a caller does not skip this server.
    Weight,
}
