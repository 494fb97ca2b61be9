use std::time::Duration;

use super::{can_queue, new_request};
use crate::admission::drain::Drain;
use crate::admission::overload::arrival_rates::ArrivalRates;
use crate::admission::requests::idempotency_keys::RetainedKeys;
use crate::admission::requests::request::Request;
use crate::admission::tests::fixtures::{at, queued, seconds, ServerState};
use crate::admission::time::Span;
use crate::interface::{Arrival, Class, ClassId, RequestId, Settings};

fn arrival() -> Arrival {
    Arrival { age: Duration::from_millis(500), ..Arrival::new(RequestId(1), ClassId(0)) }
}

fn request_of(arrival: &Arrival, settings: Settings, drain: &Drain) -> Request {
    let mut state = ServerState::new(settings);
    let rates = ArrivalRates::new(0, at(0.0));
    new_request(arrival, &state.settings, &mut state.estimates, &rates, drain, at(0.0))
}

#[test]
fn deadline_and_objective_start_when_the_request_reaches_the_machine() {
    let request = request_of(&arrival(), Settings::default(), &Drain::default());
    assert_eq!((request.objective_deadline, request.deadline), (at(0.5), at(4.5)));
}

#[test]
fn a_stated_deadline_applies_if_arrivals_carry_deadlines() {
    let stated = Arrival { remaining_time: Some(Duration::from_secs(2)), ..arrival() };
    let deadline = |sends_deadline| {
        let settings = Settings { sends_deadline, ..Settings::default() };
        request_of(&stated, settings, &Drain::default()).deadline
    };
    assert_eq!((deadline(true), deadline(false)), (at(2.0), at(4.5)));
}

#[test]
fn the_objective_is_extended_by_the_work_but_not_beyond_the_deadline() {
    let class = Class { objective_stretch: 2.0, ..Class::default() };
    let settings = Settings { classes: vec![class], ..Settings::default() };
    let objective = |cost| {
        let hinted = Arrival { cost_hint: Some(Duration::from_secs(cost)), ..arrival() };
        request_of(&hinted, settings.clone(), &Drain::default()).objective_deadline
    };
    assert_eq!((objective(1), objective(60)), (at(2.5), at(4.5)));
}

#[test]
fn a_drain_limits_the_deadline_and_late_arrivals_are_not_queued() {
    let mut drain = Drain::default();
    drain.start(at(-1.0), seconds(4.0), seconds(0.25), Span::ZERO);
    let request = request_of(&arrival(), Settings::default(), &drain);
    assert_eq!(request.deadline, drain.stop_at());
    let state = ServerState::new(Settings::default());
    let queues = |drain: &Drain| can_queue(&request, &state.context(0.0), &RetainedKeys::default(), drain);
    assert!(queues(&Drain::default()) && !queues(&drain));
}

#[test]
fn a_request_is_queued_only_if_its_run_fits_into_memory() {
    let settings = Settings { memory_kb: 10.0, running_memory_factor: 4.0, ..Settings::default() };
    let state = ServerState::new(settings);
    let fits = |memory_kb| {
        let request = Request { memory_kb, ..queued() };
        can_queue(&request, &state.context(0.0), &RetainedKeys::default(), &Drain::default())
    };
    assert!(fits(2.9) && !fits(3.1));
}
