use super::Phase;
use crate::admission::tests::fixtures::{at, queued, seconds};

#[test]
fn time_blocked_on_calls_is_no_time_on_a_core() {
    let mut request = queued();
    request.start_run(at(1.0));
    request.need_call(at(2.0));
    request.send_call(at(3.0));
    request.continue_run(at(5.0));
    let Phase::Running(run) = request.phase else { panic!("{:?}", request.phase) };
    assert_eq!(run.time_blocked_on_calls, seconds(3.0));
    assert_eq!(run.time_on_core(at(6.0)), seconds(2.0));
}

#[test]
fn a_failed_call_is_remembered_until_the_run_ends() {
    let mut request = queued();
    request.start_run(at(1.0));
    request.need_call(at(2.0));
    request.send_call(at(2.0));
    request.fail_call(true);
    assert!(request.is_awaiting_call());
    request.continue_run(at(3.0));
    assert!(request.phase.run().is_some_and(|run| run.failed_calls.any()));
}

#[test]
fn a_call_is_sent_or_fails_only_in_its_phase() {
    let mut request = queued();
    request.send_call(at(1.0));
    request.fail_call(true);
    request.continue_run(at(1.0));
    assert!(request.is_queued());
}
