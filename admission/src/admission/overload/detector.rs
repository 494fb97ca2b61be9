//! Overload detection. The server is overloaded if more than one request is queued and the mean latency is
//! over target, or if the dependency, which may be a further tier of servers, has rejected a call (a
//! downstream rejection) within the last [`RATE_WINDOW`].
//!
//! A call that times out does not count as rejected.

use crate::admission::constants::RATE_WINDOW;
use crate::admission::context::Context;
use crate::admission::overload::latency::LatencyTracker;
use crate::admission::requests::request::Request;
use crate::admission::time::Instant;

/// Maximum number of queued requests that is not a sign of overload: one queued request is merely the next to
/// run, while any further ones also wait for the queued requests ahead of them.
const MAX_QUEUED_WITHOUT_OVERLOAD: usize = 1;

/// Detects overload, and stores until when the last downstream rejection counts as overload.
#[derive(Debug)]
pub(crate) struct OverloadDetector {
    /// Time of the last downstream rejection plus [`RATE_WINDOW`].
    overloaded_until: Instant,
}

impl OverloadDetector {
    /// Creates a detector without a downstream rejection.
    pub(crate) fn new() -> Self {
        OverloadDetector { overloaded_until: Instant::DISTANT_PAST }
    }

    /// Records a downstream rejection: the server counts as overloaded for one rate window from now.
    pub(crate) fn record_downstream_rejection(&mut self, now: Instant) {
        self.overloaded_until = now + RATE_WINDOW;
    }

    /// Whether a downstream rejection occurred after `window_start`. Both sides of the comparison are shifted
    /// by one rate window, because `overloaded_until` is the time of the rejection plus one rate window.
    pub(crate) fn downstream_rejected_after(&self, window_start: Instant) -> bool {
        self.overloaded_until > window_start + RATE_WINDOW
    }

    /// Whether the server is overloaded. While calls are throttled, requests that may call are not counted,
    /// because they are held back deliberately.
    pub(crate) fn is_overloaded(
        &self,
        context: &Context,
        latencies: &LatencyTracker,
        calls_throttled: bool,
    ) -> bool {
        if context.now < self.overloaded_until {
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
