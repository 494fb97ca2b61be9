//! Which unanswered requests are answered now: those that would miss their deadline before the next tick, and those
//! whose objective can no longer be met.
//!
//! Every request has its answer by its deadline, as long as ticks come. A run in progress and an effect that may have
//! begun go on until then.

use crate::admission::constants::TICK_PERIOD;
use crate::admission::context::Context;
use crate::admission::requests::request::{Phase, Request};
use crate::interface::{Effect, RequestId};

/// The requests to answer now.
pub(crate) fn requests_to_answer(context: &Context, stalled: bool) -> Vec<RequestId> {
    let next_tick = context.now + TICK_PERIOD;
    let is_due = |request: &Request| {
        request.deadline <= next_tick
            || (stalled && request.is_queued())
            || objective_is_missed(request, context)
    };
    let due = context.requests.iter().filter(|entry| !entry.request.answer_settled && is_due(entry.request));
    due.map(|entry| entry.id).collect()
}

/// Whether it is past its objective and worth nothing later. Runs in progress and effects that have begun go on.
fn objective_is_missed(request: &Request, context: &Context) -> bool {
    let class = context.class_of(request);
    let may_end = match request.phase {
        Phase::Queued => true,
        Phase::AwaitingCall { .. } | Phase::Calling { .. } => class.effect == Effect::Idempotent,
        Phase::Coalesced | Phase::Running(_) => false,
    };
    may_end && class.late_weight <= 0.0 && context.now > request.objective_deadline
}

#[cfg(test)]
mod tests;
