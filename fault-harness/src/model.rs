//! The models behind the simulated services, as state machines in virtual time: no clock, socket or thread, and no
//! randomness except from a seeded generator that is passed in. The services on sockets and `predict` drive the same ones.

pub mod dependency;
pub mod frontend;
pub mod interpreter;
pub mod registry;

/// Milliseconds since the load began; what was before that is below 0.
pub type Ms = f64;

/// Milliseconds in a second.
pub const MS_PER_SECOND: Ms = 1000.0;

/// Seconds as milliseconds.
pub fn ms_of_seconds(seconds: f64) -> Ms {
    seconds * MS_PER_SECOND
}

/// Milliseconds as seconds.
pub fn seconds_of_ms(ms: Ms) -> f64 {
    ms / MS_PER_SECOND
}

/// Tolerance for rounding in times and in work, both in milliseconds.
pub const EPSILON_MS: Ms = 1e-6;
