//! The size and speed of an interpreter, and how it warms up.

use crate::model::{ms_of_seconds, Ms};
use crate::scenario::Fleet;

/// The size and speed of an interpreter.
#[derive(Debug, Clone)]
pub struct InterpreterSpec {
    /// Its cores.
    pub cores: f64,
    /// The speed of each core when warm.
    pub speed: f64,
    /// The fraction of that speed that a fresh one has.
    pub warm_from: f64,
    /// How long it warms up.
    pub warm_ms: Ms,
    /// Runnable tasks for each core past which less is done in total.
    pub thrash_onset_per_core: f64,
    /// The efficiency of a core, as a fraction of 1, that is left from twice that concurrency on.
    pub thrash_efficiency: f64,
    /// Its memory.
    pub memory_kb: f64,
    /// Memory of a running request, as a multiple of one held.
    pub run_factor: f64,
}

impl InterpreterSpec {
    /// The spec of an interpreter of a fleet, whose cores have this speed.
    pub fn of(fleet: &Fleet, speed: f64) -> InterpreterSpec {
        InterpreterSpec {
            cores: f64::from(fleet.cores),
            speed,
            warm_from: fleet.warm_from,
            warm_ms: ms_of_seconds(fleet.warm_s),
            thrash_onset_per_core: fleet.thrash_at,
            thrash_efficiency: fleet.thrash,
            memory_kb: fleet.memory_kb,
            run_factor: fleet.run_factor,
        }
    }

    /// The fraction of its speed that an interpreter has at the time `since_start` after a cold start.
    pub fn warm_fraction(&self, since_start: Ms) -> f64 {
        if since_start >= self.warm_ms {
            return 1.0;
        }
        self.warm_from + (1.0 - self.warm_from) * (since_start / self.warm_ms).max(0.0)
    }
}
