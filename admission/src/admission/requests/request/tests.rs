use super::Phase;
use crate::admission::tests::fixtures::{at, queued, seconds};

#[test]
fn time_blocked_on_calls_does_not_count_as_time_on_a_core() {
    let mut request = queued();
    request.start_run(at(1.0));
    request.need_call(at(2.0));
    request.send_call(at(3.0));
    request.continue_run(at(5.0));
    let Phase::Running(run) = request.phase else {
        panic!("the run was not resumed after the call: {:?}", request.phase)
    };
    assert_eq!(run.time_blocked_on_calls, seconds(3.0));
    assert_eq!(run.time_on_core(at(6.0)), seconds(2.0));
}

#[test]
fn a_failed_call_is_recorded_for_the_rest_of_the_run() {
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
fn call_transitions_have_no_effect_on_a_queued_request() {
    let mut request = queued();
    request.send_call(at(1.0));
    request.fail_call(true);
    request.continue_run(at(1.0));
    assert!(request.is_queued());
}
