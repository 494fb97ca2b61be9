//! When the server counts as overloaded, so that arrivals need a token: requests are queued and their mean latency is
//! over target, or the dependency or the tier below has rejected a call lately (a penalty).
//!
//! Only rejections are penalties, timeouts are not.

use crate::admission::constants::RATE_WINDOW;
use crate::admission::context::Context;
use crate::admission::overload::latency::LatencyTracker;
use crate::admission::requests::request::Request;
use crate::admission::time::Instant;

/// One queued request is the next to run; more of them wait for others.
const MAX_QUEUED_WITHOUT_OVERLOAD: usize = 1;

/// Detects overload and remembers the last penalty.
#[derive(Debug)]
pub(crate) struct OverloadDetector {
    penalized_until: Instant,
}

impl OverloadDetector {
    /// A detector without a penalty.
    pub(crate) fn new() -> Self {
        OverloadDetector { penalized_until: Instant::DISTANT_PAST }
    }

    /// A call was rejected from below: for a rate window the server counts as overloaded.
    pub(crate) fn penalize(&mut self, now: Instant) {
        self.penalized_until = now + RATE_WINDOW;
    }

    /// Whether there was a penalty after this time.
    pub(crate) fn penalized_after(&self, window_start: Instant) -> bool {
        self.penalized_until > window_start + RATE_WINDOW
    }

    /// Whether the server is overloaded. While calls are throttled, what may call does not count: it waits on purpose.
    pub(crate) fn is_overloaded(
        &self,
        context: &Context,
        latencies: &LatencyTracker,
        calls_throttled: bool,
    ) -> bool {
        if context.now < self.penalized_until {
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
