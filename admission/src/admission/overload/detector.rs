//! Overload detection. The server is overloaded if requests are queued and their mean latency is over target,
//! or if the dependency or the tier below has recently rejected a call (a downstream rejection).
//!
//! A call that times out does not count as rejected.

use crate::admission::constants::RATE_WINDOW;
use crate::admission::context::Context;
use crate::admission::overload::latency::LatencyTracker;
use crate::admission::requests::request::Request;
use crate::admission::time::Instant;

/// Maximum number of queued requests that is not a sign of overload: one queued request is merely the next to
/// run, while any further ones wait for others.
const MAX_QUEUED_WITHOUT_OVERLOAD: usize = 1;

/// Detects overload and keeps the time of the last downstream rejection.
#[derive(Debug)]
pub(crate) struct OverloadDetector {
    /// The end of the rate window that began with the last downstream rejection.
    rejection_ends_at: Instant,
}

impl OverloadDetector {
    /// Creates a detector without a downstream rejection.
    pub(crate) fn new() -> Self {
        OverloadDetector { rejection_ends_at: Instant::DISTANT_PAST }
    }

    /// Records a downstream rejection: the server counts as overloaded for one rate window from now.
    pub(crate) fn record_downstream_rejection(&mut self, now: Instant) {
        self.rejection_ends_at = now + RATE_WINDOW;
    }

    /// Whether a downstream rejection occurred after `window_start`. Both sides of the comparison are shifted
    /// by one rate window, because the detector stores the end of the window.
    pub(crate) fn downstream_rejected_after(&self, window_start: Instant) -> bool {
        self.rejection_ends_at > window_start + RATE_WINDOW
    }

    /// Whether the server is overloaded. While calls are throttled, requests that may call are not counted,
    /// because they are held back deliberately.
    pub(crate) fn is_overloaded(
        &self,
        context: &Context,
        latencies: &LatencyTracker,
        calls_throttled: bool,
    ) -> bool {
        if context.now < self.rejection_ends_at {
            return true;
        }
        let waits_for_core =
            |request: &Request| request.is_queued() && !(calls_throttled && request.may_call);
        let queued = context.requests.count(waits_for_core);
        queued > MAX_QUEUED_WITHOUT_OVERLOAD && latencies.exceeds_target(context, calls_throttled)
    }
}

#[cfg(test)]
mod tests;
