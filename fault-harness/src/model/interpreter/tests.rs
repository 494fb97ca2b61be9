use super::*;

fn spec() -> InterpreterSpec {
    InterpreterSpec {
        cores: 2.0,
        speed: 1.0,
        warm_from: 0.25,
        warm_ms: 8000.0,
        thrash_onset_per_core: 1.5,
        thrash_efficiency: 0.5,
        memory_kb: 1000.0,
        run_factor: 8.0,
    }
}

fn work(attempt: u64, work: Ms) -> RunRequest {
    RunRequest { attempt, work, calls_dependency: false }
}

/// Lets it run to its next end.
fn run_to_next_event(interpreter: &mut InterpreterModel) -> (Ms, Vec<InterpreterEvent>) {
    loop {
        let at = interpreter.next_event_at().expect("something runs");
        let happened = interpreter.advance(at);
        if !happened.is_empty() {
            return (at, happened);
        }
    }
}

#[test]
fn cores_are_shared_and_high_concurrency_gets_less_done() {
    let mut interpreter = InterpreterModel::new(spec(), 0.0, false);
    for attempt in 0..2 {
        interpreter.register_request(0.0, attempt, 1.0);
        interpreter.start_run(0.0, work(attempt, 100.0));
    }
    let (at, ended) = run_to_next_event(&mut interpreter);
    assert!((at - 100.0).abs() < 1e-3 && ended.len() == 2, "two on two cores: {at}");
    for attempt in 10..16 {
        interpreter.register_request(at, attempt, 1.0);
        interpreter.start_run(at, work(attempt, 100.0));
    }
    // Six on two cores are at twice the concurrency of 1.5: efficiency 0.5 x a share of 1/3 of a core.
    let (end, _) = run_to_next_event(&mut interpreter);
    assert!((end - at - 600.0).abs() < 1e-3, "{}", end - at);
}

#[test]
fn requests_are_read_one_a_core_at_a_time_beside_the_runs() {
    let mut interpreter = InterpreterModel::new(spec(), 0.0, false);
    (1..=4).for_each(|attempt| drop(interpreter.start_reading(0.0, attempt, 10.0)));
    assert_eq!(interpreter.gauges(0.0).runnable, 2.0, "two wait unread");
    assert!(interpreter.cancel_reading(5.0, 3).is_empty());
    assert_eq!(
        run_to_next_event(&mut interpreter),
        (10.0, vec![InterpreterEvent::RequestRead(1), InterpreterEvent::RequestRead(2)])
    );
    interpreter.register_request(10.0, 1, 1.0);
    interpreter.start_run(10.0, work(1, 100.0));
    let (at, read) = run_to_next_event(&mut interpreter);
    assert!((at - 20.0).abs() < 1e-3 && read == [InterpreterEvent::RequestRead(4)], "{at}");
    assert!((run_to_next_event(&mut interpreter).0 - 110.0).abs() < 1e-3);
    assert_eq!(interpreter.start_reading(200.0, 9, 0.0), [InterpreterEvent::RequestRead(9)]);
    (0..300).for_each(|attempt| drop(interpreter.start_reading(200.0, attempt, 10.0)));
    assert!(interpreter.is_read_queue_full());
}

#[test]
fn a_cold_interpreter_does_what_its_warm_up_allows() {
    let mut interpreter = InterpreterModel::new(spec(), 0.0, true);
    interpreter.register_request(0.0, 1, 1.0);
    interpreter.start_run(0.0, work(1, 8000.0));
    // Over 8 s from a quarter to the whole it does 5,000; the rest at full speed.
    let (at, _) = run_to_next_event(&mut interpreter);
    assert!((at - 11_000.0).abs() < 20.0, "{at}");
}

#[test]
fn a_run_waits_for_its_call_and_ends_there_if_its_request_is_over() {
    let mut interpreter = InterpreterModel::new(spec(), 0.0, false);
    for attempt in 1..=2 {
        interpreter.register_request(0.0, attempt, 1.0);
        interpreter.start_run(0.0, RunRequest { attempt, work: 100.0, calls_dependency: true });
    }
    interpreter.close_request(10.0, 2);
    assert_eq!(
        run_to_next_event(&mut interpreter),
        (50.0, vec![InterpreterEvent::CallStarted(1), InterpreterEvent::Aborted(2)])
    );
    assert_eq!(interpreter.next_event_at(), None, "it waits");
    interpreter.resume_run(80.0, 1);
    let (at, ended) = run_to_next_event(&mut interpreter);
    assert!((at - 130.0).abs() < 1e-3 && ended == [InterpreterEvent::Completed(1)]);
}

#[test]
fn a_run_that_waits_for_its_call_ends_with_its_request() {
    let mut interpreter = InterpreterModel::new(spec(), 0.0, false);
    interpreter.register_request(0.0, 1, 1.0);
    interpreter.start_run(0.0, RunRequest { attempt: 1, work: 100.0, calls_dependency: true });
    assert_eq!(interpreter.advance(60.0), [InterpreterEvent::CallStarted(1)]);
    assert_eq!(interpreter.close_request(70.0, 1), [InterpreterEvent::Aborted(1)]);
    assert!(!interpreter.has_open_run(1));
}

#[test]
fn what_is_paused_keeps_its_progress_and_ends_when_its_request_is_over() {
    let mut interpreter = InterpreterModel::new(spec(), 0.0, false);
    for attempt in 1..=2 {
        interpreter.register_request(0.0, attempt, 1.0);
        interpreter.start_run(0.0, work(attempt, 100.0));
        assert!(interpreter.pause_run(60.0, attempt).is_empty());
    }
    interpreter.resume_run(500.0, 1);
    assert_eq!(interpreter.close_request(510.0, 2), [InterpreterEvent::Aborted(2)]);
    let (at, _) = run_to_next_event(&mut interpreter);
    assert!((at - 540.0).abs() < 1e-3, "{at}");
}

#[test]
fn while_paused_nothing_is_done_and_memory_stays() {
    let mut interpreter = InterpreterModel::new(spec(), 0.0, false);
    interpreter.register_request(0.0, 1, 10.0);
    interpreter.start_run(0.0, work(1, 100.0));
    interpreter.set_suspended(40.0, true);
    assert!(interpreter.next_event_at().is_none() && interpreter.advance(5000.0).is_empty());
    assert!(interpreter.gauges(5000.0).memory_used > 0.0);
    interpreter.set_suspended(5000.0, false);
    assert!((run_to_next_event(&mut interpreter).0 - 5060.0).abs() < 1e-3);
}

#[test]
fn it_dies_of_lasting_concurrency_and_of_memory_and_a_cold_one_of_lower_concurrency() {
    let concurrency = |count: u64, cold: bool, until: Ms| {
        let mut interpreter = InterpreterModel::new(InterpreterSpec { memory_kb: 1e9, ..spec() }, 0.0, cold);
        for attempt in 0..count {
            interpreter.register_request(0.0, attempt, 1.0);
            interpreter.start_run(0.0, work(attempt, 1e6));
        }
        interpreter.advance(until)
    };
    let died = [InterpreterEvent::Died("too many on its cores")];
    assert_eq!(concurrency(17, false, 2100.0), died);
    assert!(concurrency(17, false, 1000.0).is_empty(), "a mean over 2 s");
    assert!(concurrency(15, false, 2100.0).is_empty());
    assert_eq!(concurrency(12, true, 2100.0), died);
    let mut interpreter = InterpreterModel::new(spec(), 0.0, false);
    interpreter.register_request(0.0, 1, 1200.0);
    assert!(interpreter.advance(50.0).is_empty(), "it is not counted yet");
    assert_eq!(interpreter.advance(150.0), [InterpreterEvent::Died("out of memory")]);
}
