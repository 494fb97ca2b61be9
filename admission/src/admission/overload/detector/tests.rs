use super::OverloadDetector;
use crate::admission::overload::latency::LatencyTracker;
use crate::admission::requests::request::Request;
use crate::admission::tests::fixtures::{at, queued, running, ServerState};
use crate::interface::Settings;

fn is_overloaded(requests: Vec<Request>, now: f64, calls_throttled: bool) -> bool {
    let state = ServerState::with_requests(Settings::default(), requests);
    OverloadDetector::new().is_overloaded(&state.context(now), &LatencyTracker::default(), calls_throttled)
}

#[test]
fn latency_over_target_with_more_than_one_queued_request_is_overload() {
    assert!(is_overloaded(vec![queued(), queued()], 0.5, false));
    assert!(!is_overloaded(vec![queued(), queued()], 0.3, false), "the latency is within the target");
    assert!(
        !is_overloaded(vec![queued(), running()], 0.5, false),
        "a single queued request is not a sign of overload"
    );
}

#[test]
fn requests_that_may_call_do_not_count_as_overload_while_calls_are_throttled() {
    let queued_may_call = || Request { may_call: true, ..queued() };
    assert!(is_overloaded(vec![queued_may_call(), queued_may_call()], 0.5, false));
    assert!(!is_overloaded(vec![queued_may_call(), queued_may_call()], 0.5, true));
}

#[test]
fn a_downstream_rejection_is_overload_for_one_rate_window() {
    let state = ServerState::new(Settings::default());
    let mut detector = OverloadDetector::new();
    detector.record_downstream_rejection(at(1.0));
    let latencies = LatencyTracker::default();
    let overloaded = |now| detector.is_overloaded(&state.context(now), &latencies, false);
    assert!(overloaded(2.9) && !overloaded(3.0));
    assert!(detector.downstream_rejected_after(at(0.5)) && !detector.downstream_rejected_after(at(1.0)));
}
