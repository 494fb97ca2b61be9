//! Selects the queued requests that run next, from the order of the queue and the limits on concurrency,
//! memory and calls.
//!
//! The number of running requests stays within the concurrency limit. Together with the requests blocked on
//! calls it stays within the maximum safe concurrency.

use crate::admission::context::Context;
use crate::admission::memory::{extra_memory_of_run, MemoryUse};
use crate::admission::requests::request::Request;
use crate::admission::requests::table::RequestTable;
use crate::admission::time::Instant;
use crate::interface::RequestId;

/// Limits that apply when a run is started.
pub(crate) struct RunLimits {
    /// Maximum number of running requests.
    pub(crate) concurrency: f64,
    /// Maximum safe number of concurrent requests, including those blocked on calls.
    pub(crate) max_safe_concurrency: f64,
    /// Maximum number of requests blocked on calls.
    pub(crate) max_blocked_on_calls: usize,
}

/// Sort key of a queued request.
struct QueuePosition {
    id: RequestId,
    band: f64,
    objective_deadline: Instant,
}

/// The queued requests in the order in which they run: by descending scheduling band, and within a band by
/// ascending objective deadline.
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

/// The queued requests that start now, in order. A request that does not fit into memory, or that may call
/// while calls are at their limit, is passed over.
pub(crate) fn runs_to_start(context: &Context, mut memory: MemoryUse, limits: &RunLimits) -> Vec<RequestId> {
    let max_safe_on_cores = limits.max_safe_concurrency - context.requests.blocked_on_calls_count() as f64;
    let mut running = context.requests.running_count() as f64;
    let mut starting = Vec::new();
    for id in queue_order(context.requests) {
        if running + 1.0 > limits.concurrency || running + 1.0 > max_safe_on_cores {
            break;
        }
        let Some(request) = context.requests.get(id) else { continue };
        let with_run = memory.with_additional(extra_memory_of_run(request, context.settings));
        if with_run.is_exceeded() || calls_are_full(request, context.requests, limits.max_blocked_on_calls) {
            continue;
        }
        memory = with_run;
        running += 1.0;
        starting.push(id);
    }
    starting
}

/// Whether the request may call and the number of requests of its priority or above that are blocked on calls
/// has reached the limit.
fn calls_are_full(request: &Request, requests: &RequestTable, max_blocked_on_calls: usize) -> bool {
    let goes_first = |other: &Request| other.is_blocked_on_call() && other.priority >= request.priority;
    request.may_call && requests.count(goes_first) >= max_blocked_on_calls
}

#[cfg(test)]
mod tests;
