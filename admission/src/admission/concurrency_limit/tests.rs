use super::{max_safe_concurrency, ConcurrencyLimit};
use crate::admission::quantities::Fraction;
use crate::admission::tests::fixtures::{queued, running, ServerState};
use crate::interface::{Gauges, Settings};

const IDLE: Gauges = Gauges { utilization: Some(0.5), runnable: Some(1.0) };
const TOO_MUCH_RUNNABLE: Gauges = Gauges { utilization: Some(1.0), runnable: Some(9.0) };

fn server() -> ServerState {
    let settings = Settings { cores: 2, ..Settings::default() };
    ServerState::with_requests(settings, vec![running(), running(), queued()])
}

#[test]
fn the_limit_rises_while_cores_are_idle_and_requests_are_queued() {
    let mut limit = ConcurrencyLimit::new(2.0);
    limit.adjust(&IDLE, &server().context(0.0), 6.0);
    assert_eq!(limit.core_limit(), 2.25);
    let empty = ServerState::new(Settings { cores: 2, ..Settings::default() });
    limit.adjust(&IDLE, &empty.context(0.0), 6.0);
    assert_eq!(limit.core_limit(), 2.25, "the limit does not rise while no request is queued");
}

#[test]
fn the_limit_falls_while_too_many_tasks_are_runnable_and_stays_within_its_bounds() {
    let state = server();
    let mut limit = ConcurrencyLimit::new(2.0);
    (0..100).for_each(|_| limit.adjust(&IDLE, &state.context(0.0), 6.0));
    assert_eq!(limit.core_limit(), 6.0);
    (0..100).for_each(|_| limit.adjust(&TOO_MUCH_RUNNABLE, &state.context(0.0), 6.0));
    assert_eq!(limit.core_limit(), 2.0);
}

#[test]
fn runs_that_wait_for_io_raise_the_run_limit() {
    let mut limit = ConcurrencyLimit::new(2.0);
    limit.adjust(&Gauges { utilization: Some(1.0), runnable: Some(1.0) }, &server().context(0.0), 6.0);
    assert_eq!(limit.run_limit(), 3.0);
}

#[test]
fn fewer_concurrent_runs_are_safe_while_the_server_warms_up() {
    let settings = Settings { cores: 4, max_concurrency_per_core: 5.0, ..Settings::default() };
    let state = ServerState::new(settings);
    assert_eq!(max_safe_concurrency(&state.context(0.0), Fraction::ALL), 15.0);
    assert_eq!(max_safe_concurrency(&state.context(0.0), Fraction::new(0.25)), 6.0);
}
