//! Stall detection: a server on which no run ends or reaches a call for several mean run times reports bad health and
//! queues nothing.
//!
//! It recovers with the first run that does.

use crate::admission::context::Context;
use crate::admission::time::{Instant, Span};

/// The server is stalled when no run ends or reaches a call for this many mean run times: few runs of a working server
/// take so long.
const STALLED_AFTER_RUNS: f64 = 4.0;

/// Watches whether runs make progress.
#[derive(Debug)]
pub(crate) struct StallDetector {
    /// When a run last ended or reached a call.
    progress_at: Instant,
    stalled: bool,
}

impl StallDetector {
    /// A server that starts now.
    pub(crate) fn new(now: Instant) -> Self {
        StallDetector { progress_at: now, stalled: false }
    }

    /// Whether the server is stalled.
    pub(crate) fn is_stalled(&self) -> bool {
        self.stalled
    }

    /// A run has ended or reached a call, or there is none to wait for.
    pub(crate) fn record_progress(&mut self, now: Instant) {
        self.progress_at = now;
    }

    /// Looks whether progress is overdue; returns whether that has changed. Run times are `known` once there is a
    /// permitted rate: it exists only after a window with 16 successful runs, so the mean is established.
    pub(crate) fn update(&mut self, context: &Context, known: bool) -> bool {
        let mean_run = Span::from_seconds(context.cores() / context.capacity().value());
        let stalled = known && context.now - self.progress_at > STALLED_AFTER_RUNS * mean_run;
        std::mem::replace(&mut self.stalled, stalled) != stalled
    }
}

#[cfg(test)]
mod tests;
