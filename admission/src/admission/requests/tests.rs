use super::{Advice, OpenRequests};
use crate::admission::requests::request::Request;
use crate::admission::tests::fixtures::{at, queued, running};
use crate::interface::{Action, Class, Effect, Preemption, RequestId, Settings};

const ADVICE: Advice = Advice { retry_after: None, give_up: true };
const REJECTED: Action = Action::Reject { id: RequestId(1), retry_after: None, give_up: true };

fn settings(effect: Effect) -> Settings {
    let class = Class { effect, ..Class::default() };
    Settings { classes: vec![class], preemption: Preemption::Pause, ..Settings::default() }
}

fn with_request(request: Request) -> OpenRequests {
    let mut requests = OpenRequests::default();
    requests.table_mut().insert(RequestId(1), request);
    requests
}

#[test]
fn a_rejected_request_releases_its_key() {
    let mut requests = with_request(queued());
    let mut actions = Vec::new();
    requests.retain_key(RequestId(1), &settings(Effect::IdempotencyKey), at(0.0), &mut actions);
    requests.reject(RequestId(1), ADVICE, &mut actions);
    assert_eq!(actions[1..], [REJECTED, Action::ReleaseKey(RequestId(1))]);
}

#[test]
fn only_an_idempotent_run_is_preempted_when_it_fails() {
    let actions_of = |effect| {
        let mut actions = Vec::new();
        with_request(running()).fail(RequestId(1), &settings(effect), &mut actions);
        actions
    };
    let (fail, pause) = (Action::Fail(RequestId(1)), Action::Pause(RequestId(1)));
    assert_eq!(actions_of(Effect::Idempotent), [fail.clone(), pause]);
    assert_eq!(actions_of(Effect::AtMostOnce), [fail]);
}

#[test]
fn a_retry_that_replaces_a_queued_attempt_keeps_the_earlier_objective() {
    let mut requests = with_request(queued());
    requests.table_mut().insert(RequestId(2), Request { objective_deadline: at(3.0), ..queued() });
    requests.prepare_replacement(RequestId(2), RequestId(1));
    requests.reject_replaced(RequestId(1), RequestId(2), ADVICE, &mut Vec::new());
    assert_eq!(requests.table().get(RequestId(2)).map(|retry| retry.objective_deadline), Some(at(1.0)));
    let original = |effect| requests.matched_attempt(Some(RequestId(1)), 0, &settings(effect));
    assert_eq!(original(Effect::IdempotencyKey), Some(RequestId(2)));
    assert_eq!(original(Effect::AtMostOnce), None);
}

#[test]
fn a_drain_moves_deadlines_and_objectives_forward() {
    let mut requests = with_request(queued());
    requests.limit_deadlines(at(0.5));
    let request = requests.table().get(RequestId(1)).expect("the request is still open");
    assert_eq!((request.deadline, request.objective_deadline), (at(0.5), at(0.5)));
}
