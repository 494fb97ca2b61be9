use super::{LatencySample, LatencyTracker};
use crate::admission::quantities::Fraction;
use crate::admission::requests::request::Request;
use crate::admission::tests::fixtures::{at, queued, running, ServerState};
use crate::interface::Settings;

fn sample(seconds: f64, latency_over_objective: f64, may_call: bool) -> LatencySample {
    LatencySample {
        answered_at: at(seconds),
        latency_over_objective: Fraction::new(latency_over_objective),
        may_call,
    }
}

fn tracker(samples: Vec<LatencySample>) -> LatencyTracker {
    let mut tracker = LatencyTracker::default();
    samples.into_iter().for_each(|sample| tracker.add(sample));
    tracker
}

#[test]
fn the_mean_latency_includes_answered_requests_and_unanswered_ones_over_target() {
    let latencies = tracker(vec![sample(0.0, 0.1, false), sample(0.0, 0.1, false)]);
    let over_target = |requests| {
        let state = ServerState::with_requests(Settings::default(), requests);
        latencies.exceeds_target(&state.context(0.9), false)
    };
    assert!(!over_target(vec![]));
    assert!(!over_target(vec![running()]), "the mean of 0.1, 0.1 and 0.9 is below the target");
    assert!(over_target(vec![running(), queued()]));
    let answered = Request { answer_settled: true, ..running() };
    assert!(!over_target(vec![answered, queued()]));
}

#[test]
fn requests_that_may_call_do_not_count_while_calls_are_throttled() {
    let latencies = tracker(vec![sample(0.0, 0.9, true)]);
    let state = ServerState::new(Settings::default());
    assert!(latencies.exceeds_target(&state.context(0.0), false));
    assert!(!latencies.exceeds_target(&state.context(0.0), true));
}
