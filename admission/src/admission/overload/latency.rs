//! Latency of recent requests relative to their latency objectives, which is used to detect overload.
//!
//! Each class has its own objective, and the target of the mean latency is a fraction of it. Requests that
//! are over target and still unanswered count too; otherwise the mean would stay low on a server on which no
//! request ends. Failed runs do not count, because quick failures would lower the mean.

use std::collections::VecDeque;

use crate::admission::constants::{LATENCY_TARGET_FRACTION, RATE_WINDOW};
use crate::admission::context::Context;
use crate::admission::quantities::Fraction;
use crate::admission::requests::request::Request;
use crate::admission::time::Instant;

/// Latency of an answered request.
#[derive(Debug)]
pub(crate) struct LatencySample {
    pub(crate) answered_at: Instant,
    /// Ratio of the latency to the latency objective of the class.
    pub(crate) latency_over_objective: Fraction,
    /// Whether the latency may include calls to the dependency.
    pub(crate) may_call: bool,
}

/// Latencies of the requests that were answered successfully within the last [`RATE_WINDOW`].
#[derive(Debug, Default)]
pub(crate) struct LatencyTracker {
    samples: VecDeque<LatencySample>,
}

impl LatencyTracker {
    /// Adds the latency of an answered request.
    pub(crate) fn add(&mut self, sample: LatencySample) {
        self.samples.push_back(sample);
    }

    /// Drops the samples that are older than [`RATE_WINDOW`].
    pub(crate) fn drop_expired(&mut self, now: Instant) {
        self.samples.retain(|sample| sample.answered_at >= now - RATE_WINDOW);
    }

    /// Whether no request was answered successfully within the last [`RATE_WINDOW`].
    pub(crate) fn is_empty(&self) -> bool {
        self.samples.is_empty()
    }

    /// Whether the mean latency is over target. The mean includes the answered requests and the unanswered
    /// ones that are already over target. While calls are throttled, requests that may call are left out,
    /// because the throttle delays them deliberately.
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
        let unanswered_over_target = waiting
            .map(|request| context.latency_over_objective(request).value())
            .filter(|ratio| *ratio > LATENCY_TARGET_FRACTION);
        let mut sum = 0.0;
        let mut count = 0.0;
        for ratio in
            answered.map(|sample| sample.latency_over_objective.value()).chain(unanswered_over_target)
        {
            sum += ratio;
            count += 1.0;
        }
        Fraction::new(sum / f64::max(count, 1.0))
    }
}

#[cfg(test)]
mod tests;
