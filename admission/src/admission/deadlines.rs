//! Selects the unanswered requests to answer now: those that would miss their deadline before the next tick,
//! and those whose objective can no longer be met.
//!
//! As long as ticks arrive, every request is answered by its deadline. After a missed objective, a run in
//! progress and a request whose effect may have begun continue until the deadline.

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

/// Whether the request is past its objective and a later answer earns nothing. Runs in progress and requests
/// whose effect may have begun are excluded.
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
