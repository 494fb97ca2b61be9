use super::{queue_order, runs_to_start, RunLimits};
use crate::admission::memory::MemoryUse;
use crate::admission::requests::idempotency_keys::RetainedKeys;
use crate::admission::requests::request::Request;
use crate::admission::tests::fixtures::{at, awaiting_call, priority, queued, running, ServerState};
use crate::interface::{RequestId, Settings};

fn started(state: &ServerState, limits: &RunLimits) -> Vec<u32> {
    let context = state.context(0.1);
    let memory = MemoryUse::of(&context, &RetainedKeys::default());
    runs_to_start(&context, memory, limits).into_iter().map(|id| id.0).collect()
}

/// Limits that none of these tests reaches; a test overrides the one that it is about.
const AMPLE_LIMITS: RunLimits =
    RunLimits { concurrency: 9.0, max_safe_concurrency: 9.0, max_blocked_on_calls: 9 };

#[test]
fn the_highest_band_runs_first_and_within_a_band_the_earliest_objective() {
    let heavy = Request { priority: priority(4.0), objective_deadline: at(3.0), ..queued() };
    let urgent = Request { objective_deadline: at(0.5), ..queued() };
    let state = ServerState::with_requests(Settings::default(), vec![queued(), urgent, heavy]);
    assert_eq!(queue_order(&state.requests), [RequestId(3), RequestId(2), RequestId(1)]);
}

#[test]
fn the_concurrency_limit_bounds_the_running_requests() {
    let state = ServerState::with_requests(Settings::default(), vec![running(), queued(), queued()]);
    assert_eq!(started(&state, &RunLimits { concurrency: 2.0, ..AMPLE_LIMITS }), [2]);
}

#[test]
fn requests_blocked_on_calls_count_towards_the_max_safe_concurrency() {
    let state = ServerState::with_requests(Settings::default(), vec![awaiting_call(), queued(), queued()]);
    assert_eq!(started(&state, &RunLimits { max_safe_concurrency: 2.0, ..AMPLE_LIMITS }), [2]);
}

#[test]
fn a_request_that_does_not_fit_into_memory_is_passed_over() {
    let settings = Settings { memory_kb: 100.0, running_memory_factor: 2.0, ..Settings::default() };
    let large = Request { memory_kb: 60.0, ..queued() };
    let state = ServerState::with_requests(settings, vec![large, queued()]);
    assert_eq!(started(&state, &AMPLE_LIMITS), [2]);
}

#[test]
fn a_request_that_may_call_waits_while_blocked_calls_of_its_priority_are_at_the_limit() {
    let caller = Request { may_call: true, ..queued() };
    let state = ServerState::with_requests(Settings::default(), vec![awaiting_call(), caller, queued()]);
    assert_eq!(started(&state, &RunLimits { max_blocked_on_calls: 1, ..AMPLE_LIMITS }), [3]);
}
