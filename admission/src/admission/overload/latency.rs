//! The latency of recent requests as a fraction of their latency objective, by which overload is detected.
//!
//! Each class has an objective of its own, and the target of the mean latency is a fraction of it. Requests that are
//! late before they have an answer count too: a server on which nothing ends is not quick. Failed runs do not count:
//! quick failures would lower the mean.

use std::collections::VecDeque;

use crate::admission::constants::{LATENCY_TARGET_FRACTION, RATE_WINDOW};
use crate::admission::context::Context;
use crate::admission::quantities::Fraction;
use crate::admission::requests::request::Request;
use crate::admission::time::Instant;

/// The latency of a request that was answered.
#[derive(Debug)]
pub(crate) struct LatencySample {
    pub(crate) at: Instant,
    /// Its latency over the latency objective of its class.
    pub(crate) latency_over_objective: Fraction,
    /// Whether its latency may contain calls to the dependency.
    pub(crate) may_call: bool,
}

/// Latencies of the requests that were answered with success in the last rate window.
#[derive(Debug, Default)]
pub(crate) struct LatencyTracker {
    samples: VecDeque<LatencySample>,
}

impl LatencyTracker {
    /// Adds the latency of a request that was answered.
    pub(crate) fn add(&mut self, sample: LatencySample) {
        self.samples.push_back(sample);
    }

    /// Forgets what is older than a rate window.
    pub(crate) fn drop_expired(&mut self, now: Instant) {
        self.samples.retain(|sample| sample.at >= now - RATE_WINDOW);
    }

    /// Whether no request was answered in the last rate window.
    pub(crate) fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }

    /// Whether the mean latency is over target: that of the answered requests together with the unanswered ones that
    /// are over target already. While calls are throttled, what may call is left out: its latency is intended.
    pub(crate) fn exceeds_target(&self, context: &Context, calls_throttled: bool) -> bool {
        self.mean(context, calls_throttled).value() > LATENCY_TARGET_FRACTION
    }

    fn mean(&self, context: &Context, calls_throttled: bool) -> Fraction {
        let counts = |may_call: bool| !(calls_throttled && may_call);
        let is_waiting = |request: &&Request| {
            !request.answer_settled && !request.is_coalesced() && counts(request.may_call)
        };
        let answered = self.samples.iter().filter(|sample| counts(sample.may_call));
        let waiting = context.requests.values().filter(is_waiting);
        let late = waiting
            .map(|request| context.latency_over_objective(request).value())
            .filter(|used| *used > LATENCY_TARGET_FRACTION);
        let mut sum = 0.0;
        let mut count = 0.0;
        for used in answered.map(|sample| sample.latency_over_objective.value()).chain(late) {
            sum += used;
            count += 1.0;
        }
        Fraction::new(sum / f64::max(count, 1.0))
    }
}

#[cfg(test)]
mod tests;
