use super::*;
use rand::SeedableRng;

fn frontend(settings: Frontends, honours_rejection_hints: bool) -> Frontend {
    let mut frontend = Frontend::new(
        &settings,
        settings.load_balancing[0],
        honours_rejection_hints,
        3,
        ChaCha8Rng::seed_from_u64(1),
    );
    frontend.next_node = 0;
    frontend
}

const ALL: [bool; 3] = [true; 3];
const REJECTED: AttemptOutcome = AttemptOutcome::Rejected { retry_after: None, give_up: false };

#[test]
fn a_frontend_that_tries_the_next_node_tries_each_listed_node_once() {
    let mut frontend = frontend(
        Frontends { try_next_node: true, retries: 0, client_retries: 0, ..Frontends::default() },
        false,
    );
    let mut progress = RequestProgress::new(1000.0, AttemptPolicy::UNRESTRICTED, &frontend);
    assert_eq!(progress.proceed(0.0, &mut frontend, &ALL), NextStep::Attempt(0));
    assert_eq!(progress.on_outcome(1.0, 0, REJECTED, &mut frontend, &ALL), NextStep::Attempt(1));
    assert_eq!(progress.on_outcome(2.0, 1, REJECTED, &mut frontend, &ALL), NextStep::Attempt(2));
    assert_eq!(
        progress.on_outcome(3.0, 2, REJECTED, &mut frontend, &ALL),
        NextStep::Finished(RequestOutcome::Rejected)
    );
}

#[test]
fn only_a_frontend_that_honours_rejection_hints_avoids_a_node_for_its_retry_after() {
    let rejected = AttemptOutcome::Rejected { retry_after: Some(500.0), give_up: false };
    for (honours_rejection_hints, next) in [(true, 1), (false, 0)] {
        let mut frontend = frontend(
            Frontends { retries: 0, client_retries: 0, ..Frontends::default() },
            honours_rejection_hints,
        );
        let mut first = RequestProgress::new(1000.0, AttemptPolicy::UNRESTRICTED, &frontend);
        first.proceed(0.0, &mut frontend, &ALL);
        first.on_outcome(1.0, 0, rejected, &mut frontend, &ALL);
        frontend.next_node = 0;
        let mut second = RequestProgress::new(1000.0, AttemptPolicy::UNRESTRICTED, &frontend);
        assert_eq!(second.proceed(2.0, &mut frontend, &ALL), NextStep::Attempt(next));
    }
}

#[test]
fn trying_the_next_node_skips_nodes_whose_retry_after_has_not_passed() {
    let settings = Frontends { try_next_node: true, retries: 0, client_retries: 0, ..Frontends::default() };
    let mut frontend = frontend(settings, true);
    frontend.avoid_until = vec![0.0, 500.0, 500.0];
    let mut progress = RequestProgress::new(1000.0, AttemptPolicy::UNRESTRICTED, &frontend);
    assert_eq!(progress.proceed(0.0, &mut frontend, &ALL), NextStep::Attempt(0));
    assert_eq!(
        progress.on_outcome(1.0, 0, REJECTED, &mut frontend, &ALL),
        NextStep::Finished(RequestOutcome::Rejected)
    );
}

#[test]
fn without_a_retry_limit_attempts_go_on_until_the_deadline() {
    let mut frontend = frontend(Frontends { retries: -1, client_retries: 0, ..Frontends::default() }, false);
    let mut progress = RequestProgress::new(1000.0, AttemptPolicy::UNRESTRICTED, &frontend);
    let (mut now, mut attempts, mut step) = (0.0, 0, NextStep::WaitUntil(0.0));
    let end = loop {
        step = match step {
            NextStep::WaitUntil(until) => {
                now = until;
                progress.proceed(now, &mut frontend, &ALL)
            }
            NextStep::Attempt(node) => {
                attempts += 1;
                progress.on_outcome(now, node, AttemptOutcome::Failed, &mut frontend, &ALL)
            }
            NextStep::Finished(end) => break end,
        };
    };
    assert!(
        end == RequestOutcome::Failed && attempts > 10 && now < 1000.0,
        "{attempts} attempts until {now}"
    );
}

#[test]
fn a_client_retries_once_and_a_repeat_gets_one_attempt_at_its_placement() {
    let mut frontend = frontend(Frontends { retries: 0, client_retries: 1, ..Frontends::default() }, false);
    let mut progress = RequestProgress::new(1000.0, AttemptPolicy::UNRESTRICTED, &frontend);
    progress.proceed(0.0, &mut frontend, &ALL);
    let NextStep::WaitUntil(until) = progress.on_outcome(1.0, 0, REJECTED, &mut frontend, &ALL) else {
        panic!("the client has one retry, so the rejection must lead to a wait")
    };
    assert_eq!(progress.proceed(until, &mut frontend, &ALL), NextStep::Attempt(1));
    assert_eq!(
        progress.on_outcome(until, 1, REJECTED, &mut frontend, &ALL),
        NextStep::Finished(RequestOutcome::Rejected)
    );
    let mut repeat =
        RequestProgress::new(1000.0, AttemptPolicy::single_attempt(Placement::Only(2)), &frontend);
    assert_eq!(repeat.proceed(0.0, &mut frontend, &ALL), NextStep::Attempt(2));
    assert_eq!(
        repeat.on_outcome(1.0, 2, REJECTED, &mut frontend, &ALL),
        NextStep::Finished(RequestOutcome::Rejected)
    );
    let mut elsewhere =
        RequestProgress::new(1000.0, AttemptPolicy::single_attempt(Placement::Except(2)), &frontend);
    assert!(matches!(elsewhere.proceed(0.0, &mut frontend, &ALL), NextStep::Attempt(0 | 1)));
    assert_eq!(
        elsewhere.proceed(0.0, &mut frontend, &[false, false, true]),
        NextStep::Finished(RequestOutcome::Rejected)
    );
}

#[test]
fn with_no_listed_node_the_frontend_rejects_the_request() {
    let mut frontend = frontend(Frontends { client_retries: 0, ..Frontends::default() }, false);
    let mut progress = RequestProgress::new(1000.0, AttemptPolicy::UNRESTRICTED, &frontend);
    assert_eq!(
        progress.proceed(0.0, &mut frontend, &[false; 3]),
        NextStep::Finished(RequestOutcome::Rejected)
    );
}
