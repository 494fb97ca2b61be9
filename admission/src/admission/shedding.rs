//! Load shedding: which queued requests are rejected because they, or those before them, would end too late.
//!
//! What would miss its latency objective is rejected early, while another server can still answer, and the lowest
//! priorities first.

use crate::admission::context::Context;
use crate::admission::priority::Priority;
use crate::admission::requests::request::Request;
use crate::admission::run_queue::queue_order;
use crate::admission::time::Span;
use crate::interface::RequestId;

/// The fraction of its estimated work that a running request is assumed to need still, at the least: estimates are
/// means, and what has run for longer than the mean is not about to end.
const MIN_REMAINING_WORK_OF_RUN: f64 = 0.5;
/// A queued request is taken to meet its latency objective if at least this fraction of its estimated work fits before.
const WORK_BEFORE_OBJECTIVE: f64 = 0.5;

/// A queued request that is not shed so far.
struct Candidate {
    id: RequestId,
    work: Span,
    priority: Priority,
}

/// The queued requests to shed: the lowest priorities that would delay a request past its latency objective, in the
/// order in which they are found. `concurrency` is the limit of running requests. Without `recent_answers` a
/// request with no work ahead of it is kept all the same: only runs that succeed correct the estimates, and a wrong one
/// would shed everything from then on.
pub(crate) fn requests_to_shed(context: &Context, concurrency: f64, recent_answers: bool) -> Vec<RequestId> {
    let mut shed = Vec::new();
    let mut candidates: Vec<Candidate> = Vec::new();
    // The remaining work of the runs and of the candidates, the last one's own included.
    let mut work_through_this = remaining_work_of_runs(context);
    for id in queue_order(context.requests) {
        let Some(request) = context.requests.get(id) else { continue };
        let Some(work) = context.estimates.work_of(request) else { continue };
        candidates.push(Candidate { id, work, priority: request.priority });
        work_through_this += work;
        let has_work_ahead = |work_through_this: Span| work_through_this > work;
        let is_late = |work_through_this: Span| {
            let starts_at = context.now + (work_through_this - work) / concurrency;
            starts_at + work * WORK_BEFORE_OBJECTIVE > request.objective_deadline
        };
        while (has_work_ahead(work_through_this) || recent_answers) && is_late(work_through_this) {
            let Some(lowest) = remove_lowest(&mut candidates) else { break };
            work_through_this = work_through_this - lowest.work;
            shed.push(lowest.id);
            if lowest.id == id {
                break;
            }
        }
    }
    shed
}

/// Removes the candidate of the lowest priority; of several, the first of the queue.
fn remove_lowest(candidates: &mut Vec<Candidate>) -> Option<Candidate> {
    let positions = 0..candidates.len();
    let lowest = positions
        .min_by(|&first, &second| candidates[first].priority.total_cmp(candidates[second].priority))?;
    Some(candidates.remove(lowest))
}

/// What running requests are expected to need still, all together.
fn remaining_work_of_runs(context: &Context) -> Span {
    let running = context.requests.values().filter(|request| request.is_running());
    let remaining = running.map(|request| remaining_work(request, context).seconds());
    Span::from_seconds(remaining.sum::<f64>())
}

fn remaining_work(request: &Request, context: &Context) -> Span {
    let (Some(work), Some(run)) = (context.estimates.work_of(request), request.phase.run()) else {
        return Span::ZERO;
    };
    (work - run.time_on_core(context.now)).max(work * MIN_REMAINING_WORK_OF_RUN)
}

#[cfg(test)]
mod tests;
