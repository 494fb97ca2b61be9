use super::requests_to_shed;
use crate::admission::requests::request::Request;
use crate::admission::tests::fixtures::{priority, queued, running, ServerState};
use crate::interface::{RequestId, Settings};

fn server_with_work_of(work: f64, requests: Vec<Request>) -> ServerState {
    let mut state = ServerState::with_requests(Settings::default(), requests);
    state.learn_work(work);
    state
}

#[test]
fn nothing_is_shed_while_nothing_is_known_of_the_work() {
    let state = ServerState::with_requests(Settings::default(), (0..50).map(|_| queued()).collect());
    assert!(requests_to_shed(&state.context(0.0), 1.0, true).is_empty());
}

#[test]
fn the_lowest_priority_that_delays_others_is_shed() {
    let light = Request { priority: priority(0.9), ..queued() };
    let state = server_with_work_of(0.6, vec![queued(), light, queued()]);
    assert_eq!(requests_to_shed(&state.context(0.0), 1.0, true), [RequestId(2)]);
}

#[test]
fn more_concurrency_sheds_less() {
    let state = server_with_work_of(0.6, vec![running(), queued(), queued(), queued()]);
    let shed = |concurrency| requests_to_shed(&state.context(0.0), concurrency, true).len();
    assert!(shed(1.0) > shed(2.0) && shed(4.0) == 0);
}

#[test]
fn the_first_of_the_queue_runs_despite_a_long_estimate_if_nothing_was_answered_lately() {
    let state = server_with_work_of(30.0, vec![queued()]);
    assert!(requests_to_shed(&state.context(0.0), 1.0, false).is_empty());
    assert_eq!(requests_to_shed(&state.context(0.0), 1.0, true), [RequestId(1)]);
}
