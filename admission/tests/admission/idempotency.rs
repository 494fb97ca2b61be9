//! Idempotency keys: retries, retained keys and their memory.

use oakwind_admission::*;

use crate::common::{
    arrival_event, finished_event, handle_at, idempotency_key_settings, is_run_of, ms, retry_event,
    started_admission,
};

#[test]
fn a_key_is_retained_before_its_run_for_the_whole_idempotency_window() {
    let mut admission = started_admission(idempotency_key_settings());
    let actions = handle_at(&mut admission, 0, &[arrival_event(1)]);
    let retained = actions
        .iter()
        .position(|action| matches!(action, Action::RetainKey(RequestId(1), k) if *k >= ms(5000)));
    let run = actions.iter().position(|action| is_run_of(action, 1));
    assert!(retained.is_some() && retained < run);
}

#[test]
fn a_retry_is_coalesced_with_the_first_run_and_never_runs() {
    let mut admission = started_admission(idempotency_key_settings());
    handle_at(&mut admission, 0, &[arrival_event(1)]);
    let actions = handle_at(&mut admission, 10, &[retry_event(2, 1)]);
    assert_eq!(actions, vec![Action::Coalesce(RequestId(2))]);
}

#[test]
fn of_an_attempt_and_its_retry_in_one_batch_only_the_retry_runs() {
    let mut admission = started_admission(Settings { cores: 4, ..idempotency_key_settings() });
    let actions = handle_at(&mut admission, 0, &[arrival_event(1), retry_event(2, 1)]);
    let runs: Vec<_> = actions.iter().filter(|action| matches!(action, Action::Run(_))).collect();
    assert_eq!(runs, [&Action::Run(RequestId(2))]);
    assert!(actions.iter().any(|action| matches!(action, Action::Reject { id: RequestId(1), .. })));
}

#[test]
fn a_retry_replaces_an_attempt_that_is_still_queued() {
    let mut admission = started_admission(idempotency_key_settings());
    handle_at(&mut admission, 0, &[arrival_event(1), arrival_event(2)]);
    let actions = handle_at(&mut admission, 5, &[retry_event(3, 2)]);
    assert!(actions.iter().any(|action| matches!(action, Action::Reject { id: RequestId(2), .. })));
    assert!(actions.iter().any(|action| matches!(action, Action::RetainKey(RequestId(3), _))));
    handle_at(&mut admission, 10, &[Event::Cancelled(RequestId(2))]);
    let done = finished_event(1, 15);
    let actions = handle_at(&mut admission, 15, &[done]);
    assert!(actions.iter().any(|action| is_run_of(action, 3)));
}

#[test]
fn all_keys_retained_in_one_batch_fit_into_the_memory_limit() {
    let mut admission =
        started_admission(Settings { key_memory_kb: 50.0, memory_kb: 160.0, ..idempotency_key_settings() });
    let actions = handle_at(
        &mut admission,
        0,
        &[arrival_event(1), arrival_event(2), arrival_event(3), arrival_event(4)],
    );
    let retained = actions.iter().filter(|action| matches!(action, Action::RetainKey(..))).count();
    assert!((1..=2).contains(&retained), "{retained} keys of 50 kB were retained in 160 kB");
}

#[test]
fn a_second_retry_in_the_batch_that_cancels_the_first_attempt_replaces_the_first_retry() {
    let mut admission = started_admission(Settings { cores: 2, ..idempotency_key_settings() });
    handle_at(&mut admission, 0, &[arrival_event(1), arrival_event(2), arrival_event(3)]);
    handle_at(&mut admission, 10, &[retry_event(4, 3), Event::Cancelled(RequestId(3)), retry_event(5, 3)]);
    let done = [1, 2].map(|id| finished_event(id, 10));
    let actions = handle_at(&mut admission, 15, &done);
    let runs: Vec<_> = actions.iter().filter(|action| matches!(action, Action::Run(_))).collect();
    assert_eq!(runs, [&Action::Run(RequestId(5))]);
}

#[test]
fn a_rejected_run_releases_its_key_and_its_memory() {
    let mut admission =
        started_admission(Settings { cores: 4, memory_kb: 10.0, ..idempotency_key_settings() });
    for id in 1..=50 {
        let actions = handle_at(&mut admission, u64::from(id), &[arrival_event(id)]);
        assert!(
            actions.iter().any(|action| is_run_of(action, id)),
            "request {id} was not run, so an earlier key was not released: {actions:?}"
        );
        let (id, took) = (RequestId(id), ms(1));
        handle_at(&mut admission, 60, &[Event::Finished { id, outcome: Outcome::Rejected, took }]);
    }
}
