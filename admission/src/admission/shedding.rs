//! Load shedding: selects the queued requests to reject because they, or requests behind them, would end too
//! late.
//!
//! Requests that would miss their latency objective are rejected early, while another server can still answer
//! them, and requests of the lowest priority are rejected first.

use crate::admission::context::Context;
use crate::admission::priority::Priority;
use crate::admission::requests::request::Request;
use crate::admission::run_queue::queue_order;
use crate::admission::time::Span;
use crate::interface::RequestId;

/// Minimum remaining work of a running request, as a fraction of its estimated work. Estimates are means, and
/// a run that has exceeded the mean is not necessarily about to end.
const MIN_REMAINING_WORK_OF_RUN: f64 = 0.5;
/// A queued request is expected to meet its latency objective if at least this fraction of its estimated work
/// can be done before the objective.
const WORK_BEFORE_OBJECTIVE: f64 = 0.5;

/// A queued request that has not been selected for shedding so far.
struct Candidate {
    id: RequestId,
    work: Span,
    priority: Priority,
}

/// The queued requests to shed, in the order in which they are found: the lowest priorities that would delay
/// a request past its latency objective. `concurrency` is the maximum number of running requests. Without
/// `recent_answers`, a request with no work ahead of it is kept even if it would be late: only successful
/// runs correct the estimates, and a wrong estimate would otherwise shed every request from then on.
pub(crate) fn requests_to_shed(context: &Context, concurrency: f64, recent_answers: bool) -> Vec<RequestId> {
    let mut shed = Vec::new();
    let mut candidates: Vec<Candidate> = Vec::new();
    // Remaining work of the runs and of the candidates up to and including this one.
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

/// Removes the candidate with the lowest priority; among equals, the first in the queue.
fn remove_lowest(candidates: &mut Vec<Candidate>) -> Option<Candidate> {
    let positions = 0..candidates.len();
    let lowest = positions
        .min_by(|&first, &second| candidates[first].priority.total_cmp(candidates[second].priority))?;
    Some(candidates.remove(lowest))
}

/// Total remaining work expected of all running requests.
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
