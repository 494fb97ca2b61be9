//! Size and speed of an interpreter, and its warm-up.

use crate::model::{ms_of_seconds, Ms};
use crate::scenario::Fleet;

/// Size and speed of an interpreter.
#[derive(Debug, Clone)]
pub struct InterpreterSpec {
    /// Number of cores.
    pub cores: f64,
    /// Speed of each core when the interpreter is warm; at speed 1, a run takes as long as its work says.
    pub speed: f64,
    /// Fraction of that speed that a cold interpreter starts with.
    pub warm_from: f64,
    /// Duration of the warm-up.
    pub warm_ms: Ms,
    /// Number of runnable tasks for each core above which the total throughput falls.
    pub thrash_onset_per_core: f64,
    /// Efficiency of a core, from 0 to 1, at twice that concurrency and above.
    pub thrash_efficiency: f64,
    /// Available memory, in KB.
    pub memory_kb: f64,
    /// Memory of a request with an open run, as a multiple of its memory while it is only held.
    pub run_factor: f64,
}

impl InterpreterSpec {
    /// The spec of an interpreter of `fleet` whose cores have this speed.
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

    /// Fraction of the full speed at `since_start` after a cold start.
    pub fn warm_fraction(&self, since_start: Ms) -> f64 {
        if since_start >= self.warm_ms {
            return 1.0;
        }
        self.warm_from + (1.0 - self.warm_from) * (since_start / self.warm_ms).max(0.0)
    }
}
