use super::requests_to_shed;
use crate::admission::requests::request::Request;
use crate::admission::tests::fixtures::{priority, queued, running, ServerState};
use crate::interface::{RequestId, Settings};

fn server_with_work_of(work: f64, requests: Vec<Request>) -> ServerState {
    let mut state = ServerState::with_requests(Settings::default(), requests);
    state.record_work(work);
    state
}

#[test]
fn nothing_is_shed_without_an_estimate_of_the_work() {
    let state = ServerState::with_requests(Settings::default(), (0..50).map(|_| queued()).collect());
    assert!(requests_to_shed(&state.context(0.0), 1.0, true).is_empty());
}

#[test]
fn the_request_of_lowest_priority_that_delays_others_is_shed() {
    let light = Request { priority: priority(0.9), ..queued() };
    let state = server_with_work_of(0.6, vec![queued(), light, queued()]);
    assert_eq!(requests_to_shed(&state.context(0.0), 1.0, true), [RequestId(2)]);
}

#[test]
fn a_higher_concurrency_limit_sheds_fewer_requests() {
    let state = server_with_work_of(0.6, vec![running(), queued(), queued(), queued()]);
    let shed = |concurrency| requests_to_shed(&state.context(0.0), concurrency, true).len();
    assert!(shed(1.0) > shed(2.0) && shed(4.0) == 0);
}

#[test]
fn the_head_of_the_queue_is_kept_despite_a_long_estimate_if_there_are_no_recent_answers() {
    let state = server_with_work_of(30.0, vec![queued()]);
    assert!(requests_to_shed(&state.context(0.0), 1.0, false).is_empty());
    assert_eq!(requests_to_shed(&state.context(0.0), 1.0, true), [RequestId(1)]);
}
