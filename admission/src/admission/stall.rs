//! Stall detection: a server on which no run ends or reaches a call for several mean run times reports bad
//! health and queues no arrivals.
//!
//! The server recovers as soon as a run ends or reaches a call.

use crate::admission::context::Context;
use crate::admission::time::{Instant, Span};

/// Number of mean run times without progress after which the server counts as stalled. On a working server,
/// few runs take that long.
const STALLED_AFTER_RUNS: f64 = 4.0;

/// Detects whether runs have stopped making progress.
#[derive(Debug)]
pub(crate) struct StallDetector {
    /// When a run last ended or reached a call.
    progress_at: Instant,
    stalled: bool,
}

impl StallDetector {
    /// Creates the detector of a server that starts now.
    pub(crate) fn new(now: Instant) -> Self {
        StallDetector { progress_at: now, stalled: false }
    }

    /// Whether the server is stalled.
    pub(crate) fn is_stalled(&self) -> bool {
        self.stalled
    }

    /// Records that a run has ended or reached a call, or that there is no run to wait for.
    pub(crate) fn record_progress(&mut self, now: Instant) {
        self.progress_at = now;
    }

    /// Updates the state; returns whether it has changed. `run_times_known` is set once there is a permitted
    /// rate: it is initialized after a window with 16 successful runs, so the mean run time is established by
    /// then.
    pub(crate) fn update(&mut self, context: &Context, run_times_known: bool) -> bool {
        let mean_run = Span::from_seconds(context.cores() / context.capacity().value());
        let stalled = run_times_known && context.now - self.progress_at > STALLED_AFTER_RUNS * mean_run;
        std::mem::replace(&mut self.stalled, stalled) != stalled
    }
}

#[cfg(test)]
mod tests;
