//! Helpers shared by the tests. Times are in milliseconds since the start of the server.

use std::time::Duration;

use oakwind_admission::*;

/// A duration of `n` milliseconds.
pub(crate) fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// The admission state of a server that started at time zero and has taken its initial actions.
pub(crate) fn started_admission(settings: Settings) -> Admission {
    let mut admission = Admission::new(settings, 1, ms(0));
    admission.handle(ms(0), &[], &mut Vec::new());
    admission
}

/// Applies `events` at `at` milliseconds and returns the resulting actions.
pub(crate) fn handle_at(admission: &mut Admission, at: u64, events: &[Event]) -> Vec<Action> {
    let mut actions = Vec::new();
    admission.handle(ms(at), events, &mut actions);
    actions
}

/// The arrival of a first attempt of the first class.
pub(crate) fn arrival_event(id: u32) -> Event {
    Event::Arrived(Arrival::new(RequestId(id), ClassId(0)))
}

/// The arrival of a retry of the attempt `of`.
pub(crate) fn retry_event(id: u32, of: u32) -> Event {
    Event::Arrived(Arrival { retry_of: Some(RequestId(of)), ..Arrival::new(RequestId(id), ClassId(0)) })
}

/// The successful end of a run after this time.
pub(crate) fn finished_event(id: u32, took_millis: u64) -> Event {
    Event::Finished { id: RequestId(id), outcome: Outcome::Ok, took: ms(took_millis) }
}

/// The run of a request has reached a call.
pub(crate) fn call_needed_event(id: u32) -> Event {
    Event::CallNeeded(RequestId(id))
}

/// The return of a call after this time.
pub(crate) fn call_returned_event(id: u32, outcome: Outcome, took_millis: u64) -> Event {
    Event::CallReturned { id: RequestId(id), outcome, took: ms(took_millis) }
}

/// A timer event without gauges.
pub(crate) fn timer_event() -> Event {
    Event::Timer(TimerId(0), Gauges::default())
}

/// Settings with one class, whose requests have idempotency keys.
pub(crate) fn idempotency_key_settings() -> Settings {
    let class = Class { effect: Effect::IdempotencyKey, deadline: ms(3000), ..Class::default() };
    Settings { classes: vec![class], key_memory_kb: 1.0, ..Settings::default() }
}

/// Whether the action starts a run of the request `id`.
pub(crate) fn is_run_of(action: &Action, id: u32) -> bool {
    *action == Action::Run(RequestId(id))
}

/// The requests whose runs the actions start.
pub(crate) fn runs_of(actions: &[Action]) -> Vec<RequestId> {
    let run = |action: &Action| if let Action::Run(id) = action { Some(*id) } else { None };
    actions.iter().filter_map(run).collect()
}

/// The number of calls that the actions start.
pub(crate) fn count_calls(actions: &[Action]) -> usize {
    actions.iter().filter(|action| matches!(action, Action::Call(..))).count()
}
