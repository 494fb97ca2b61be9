use super::requests_to_answer;
use crate::admission::requests::request::Request;
use crate::admission::tests::fixtures::{at, awaiting_call, queued, running, ServerState};
use crate::interface::{Class, Effect, RequestId, Settings};

fn answered_now(class: Class, requests: Vec<Request>, now: f64, stalled: bool) -> Vec<RequestId> {
    let settings = Settings { classes: vec![class], ..Settings::default() };
    requests_to_answer(&ServerState::with_requests(settings, requests).context(now), stalled)
}

fn late_class() -> Class {
    Class { late_weight: 0.5, ..Class::default() }
}

#[test]
fn a_request_that_would_miss_its_deadline_before_the_next_tick_is_answered() {
    let later = Request { deadline: at(5.1), ..queued() };
    let answered = Request { answer_settled: true, ..running() };
    let requests = vec![queued(), running(), later, answered];
    assert_eq!(answered_now(late_class(), requests, 4.96, false), [RequestId(1), RequestId(2)]);
}

#[test]
fn a_queued_request_past_its_objective_is_answered_unless_late_answers_have_a_weight() {
    assert_eq!(answered_now(Class::default(), vec![queued()], 1.1, false), [RequestId(1)]);
    assert!(answered_now(late_class(), vec![queued()], 1.1, false).is_empty());
}

#[test]
fn runs_in_progress_continue_past_their_objective() {
    assert!(answered_now(Class::default(), vec![running()], 1.1, false).is_empty());
}

#[test]
fn of_the_requests_blocked_on_calls_only_idempotent_ones_are_answered_past_their_objective() {
    assert_eq!(answered_now(Class::default(), vec![awaiting_call()], 1.1, false), [RequestId(1)]);
    let once = Class { effect: Effect::AtMostOnce, ..Class::default() };
    assert!(answered_now(once, vec![awaiting_call()], 1.1, false).is_empty());
}

#[test]
fn a_stalled_server_answers_all_queued_requests() {
    assert_eq!(answered_now(Class::default(), vec![queued(), running()], 0.0, true), [RequestId(1)]);
}
