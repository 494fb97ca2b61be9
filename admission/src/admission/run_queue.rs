//! Which queued requests run next: the order of the queue, and how far the limits of concurrency, memory and calls
//! let it move.
//!
//! No more requests run than the concurrency limit allows, and with those blocked on calls no more than is safe.

use crate::admission::context::Context;
use crate::admission::memory::{extra_memory_of_run, MemoryUse};
use crate::admission::requests::request::Request;
use crate::admission::requests::table::RequestTable;
use crate::admission::time::Instant;
use crate::interface::RequestId;

/// The limits that starting a run must respect.
pub(crate) struct RunLimits {
    /// Maximum running requests.
    pub(crate) concurrency: f64,
    /// The maximum safe number of concurrent requests, those blocked on calls included.
    pub(crate) max_safe_concurrency: f64,
    /// How many requests may be blocked on calls.
    pub(crate) max_blocked_on_calls: usize,
}

/// What decides on the position of a queued request.
struct QueuePosition {
    id: RequestId,
    band: f64,
    objective_deadline: Instant,
}

/// The queued requests in the order in which they run: the highest band of priorities first, within a band the
/// earliest latency objective.
pub(crate) fn queue_order(requests: &RequestTable) -> Vec<RequestId> {
    let mut queue: Vec<QueuePosition> = requests
        .iter()
        .filter(|entry| entry.request.is_queued())
        .map(|entry| QueuePosition {
            id: entry.id,
            band: entry.request.priority.scheduling_band(),
            objective_deadline: entry.request.objective_deadline,
        })
        .collect();
    queue.sort_by(|first, second| {
        let by_band = second.band.total_cmp(&first.band);
        let by_objective = first.objective_deadline.total_cmp(second.objective_deadline);
        by_band.then(by_objective).then(first.id.cmp(&second.id))
    });
    queue.into_iter().map(|position| position.id).collect()
}

/// The queued requests that start now, in order. What does not fit the memory or would call beyond the limit is passed
/// over.
pub(crate) fn runs_to_start(context: &Context, mut memory: MemoryUse, limits: &RunLimits) -> Vec<RequestId> {
    let max_safe_on_cores = limits.max_safe_concurrency - context.requests.blocked_on_calls_count() as f64;
    let mut running = context.requests.running_count() as f64;
    let mut starting = Vec::new();
    for id in queue_order(context.requests) {
        if running + 1.0 > limits.concurrency || running + 1.0 > max_safe_on_cores {
            break;
        }
        let Some(request) = context.requests.get(id) else { continue };
        let with_run = memory.with(extra_memory_of_run(request, context.settings));
        if with_run.is_exceeded() || calls_are_full(request, context.requests, limits.max_blocked_on_calls) {
            continue;
        }
        memory = with_run;
        running += 1.0;
        starting.push(id);
    }
    starting
}

/// Whether as many requests of its priority or above are blocked on calls as may be.
fn calls_are_full(request: &Request, requests: &RequestTable, max_blocked_on_calls: usize) -> bool {
    let goes_first = |other: &Request| other.is_blocked_on_call() && other.priority >= request.priority;
    request.may_call && requests.count(goes_first) >= max_blocked_on_calls
}

#[cfg(test)]
mod tests;
