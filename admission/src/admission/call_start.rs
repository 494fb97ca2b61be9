//! Decides on a request that waits for a call: the call is started or skipped, or the request waits or fails.
//!
//! For a request that is not idempotent, a call that may have taken effect is not repeated. No call outlasts
//! the deadline of its request.

use crate::admission::calls::DependencyCalls;
use crate::admission::constants::TICK_PERIOD;
use crate::admission::context::Context;
use crate::admission::requests::request::{Request, Run};
use crate::admission::requests::table::{Entry, RequestTable};
use crate::admission::time::Span;
use crate::interface::{Effect, RequestId};

/// The fraction of a request's estimated work that is assumed to remain after the call.
const WORK_AFTER_CALL: f64 = 0.5;
/// The shortest timeout of a call. No answer arrives this quickly, but the timeout must not be zero.
const MIN_TIMEOUT: Span = Span::from_seconds(0.001);

/// The decision on a request that waits for a call.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum CallDecision {
    /// Resume the run without the call.
    Skip,
    /// Answer the request with a failure.
    Fail,
    /// Start the call with this timeout as soon as the call limit allows.
    Call { timeout: Span },
}

/// The unanswered requests that wait for a call, by descending priority and then by ascending objective
/// deadline.
pub(crate) fn awaiting_calls(requests: &RequestTable) -> Vec<RequestId> {
    let is_waiting = |entry: &Entry| entry.request.is_awaiting_call() && !entry.request.answer_settled;
    let mut waiting: Vec<Entry> = requests.iter().filter(is_waiting).collect();
    waiting.sort_by(|first, second| {
        let by_priority = second.request.priority.total_cmp(first.request.priority);
        by_priority.then(first.request.objective_deadline.total_cmp(second.request.objective_deadline))
    });
    waiting.into_iter().map(|entry| entry.id).collect()
}

/// Decides on `request`, which waits for a call. `calls_at_limit` says whether the number of requests blocked
/// on calls has reached its limit.
pub(crate) fn decide_call(
    request: &Request,
    context: &Context,
    calls: &DependencyCalls,
    calls_at_limit: bool,
) -> CallDecision {
    let now = context.now;
    let class = context.class_of(request);
    let work_after_call = context.estimates.work_of(request).unwrap_or(Span::ZERO) * WORK_AFTER_CALL;
    let time_left_for_call = request.objective_deadline - now - work_after_call;
    let failed_calls = request.phase.run().map(|run: &Run| run.failed_calls).unwrap_or_default();
    let skippable = class.skip_weight > 0.0;
    // After the objective has passed, skipping the call cannot meet it any more and is no longer justified.
    let unmeetable = now < request.objective_deadline && time_left_for_call < calls.mean_duration();
    if skippable && (calls_at_limit || failed_calls.any() || unmeetable) {
        return CallDecision::Skip;
    }
    let late = calls_at_limit && class.effect == Effect::Idempotent && now > request.objective_deadline;
    if late || failed_calls.exhausted() {
        return CallDecision::Fail;
    }
    let until_deadline = request.deadline - now - TICK_PERIOD;
    let timeout =
        if skippable && time_left_for_call > Span::ZERO { time_left_for_call } else { until_deadline };
    CallDecision::Call { timeout: timeout.min(calls.limit().max_call_time()).max(MIN_TIMEOUT) }
}

#[cfg(test)]
mod tests;
