//! When the server counts as overloaded, so that arrivals need a token: requests are queued and their mean latency is
//! over target, or the dependency or the tier below has rejected a call lately (a downstream rejection).
//!
//! A timeout of a call is no rejection.

use crate::admission::constants::RATE_WINDOW;
use crate::admission::context::Context;
use crate::admission::overload::latency::LatencyTracker;
use crate::admission::requests::request::Request;
use crate::admission::time::Instant;

/// One queued request is the next to run; more of them wait for others.
const MAX_QUEUED_WITHOUT_OVERLOAD: usize = 1;

/// Detects overload and remembers the last downstream rejection.
#[derive(Debug)]
pub(crate) struct OverloadDetector {
    /// The end of the rate window that the last downstream rejection started.
    rejection_ends_at: Instant,
}

impl OverloadDetector {
    /// A detector that knows of no rejection.
    pub(crate) fn new() -> Self {
        OverloadDetector { rejection_ends_at: Instant::DISTANT_PAST }
    }

    /// The dependency or the tier below has rejected a call: for a rate window the server counts as overloaded.
    pub(crate) fn record_downstream_rejection(&mut self, now: Instant) {
        self.rejection_ends_at = now + RATE_WINDOW;
    }

    /// Whether there was a downstream rejection after this time. Both sides are a rate window later than what is
    /// compared, since the end of the rejection is what is kept.
    pub(crate) fn downstream_rejected_after(&self, window_start: Instant) -> bool {
        self.rejection_ends_at > window_start + RATE_WINDOW
    }

    /// Whether the server is overloaded. While calls are throttled, what may call does not count: it waits on purpose.
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
