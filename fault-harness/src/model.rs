//! Models of the simulated services, as state machines in virtual time: they use no clock, socket or thread,
//! and no randomness except from a seeded generator that is passed in. The services on sockets and `predict`
//! drive the same models.

pub mod dependency;
pub mod frontend;
pub mod interpreter;
pub mod registry;

/// Time in milliseconds since the load began (negative before that), or a duration in milliseconds.
pub type Ms = f64;

/// Milliseconds in a second.
pub const MS_PER_SECOND: Ms = 1000.0;

/// Converts seconds to milliseconds.
pub fn ms_of_seconds(seconds: f64) -> Ms {
    seconds * MS_PER_SECOND
}

/// Converts milliseconds to seconds.
pub fn seconds_of_ms(ms: Ms) -> f64 {
    ms / MS_PER_SECOND
}

/// Rounding tolerance for times and for remaining work, both in milliseconds.
pub const EPSILON_MS: Ms = 1e-6;
