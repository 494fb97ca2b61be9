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

/// Advances the interpreter to its next events.
fn run_to_next_event(interpreter: &mut InterpreterModel) -> (Ms, Vec<InterpreterEvent>) {
    loop {
        let at = interpreter.next_event_at().expect("a run or an overhead task is in progress");
        let happened = interpreter.advance(at);
        if !happened.is_empty() {
            return (at, happened);
        }
    }
}

#[test]
fn runs_share_the_cores_and_high_concurrency_lowers_the_throughput() {
    let mut interpreter = InterpreterModel::new(spec(), 0.0, false);
    for attempt in 0..2 {
        interpreter.register_request(0.0, attempt, 1.0);
        interpreter.start_run(0.0, work(attempt, 100.0));
    }
    let (at, ended) = run_to_next_event(&mut interpreter);
    assert!((at - 100.0).abs() < 1e-3 && ended.len() == 2, "two runs on two cores: {at}");
    for attempt in 10..16 {
        interpreter.register_request(at, attempt, 1.0);
        interpreter.start_run(at, work(attempt, 100.0));
    }
    // Six runs on two cores are at twice the onset concurrency of 1.5: efficiency 0.5 times a share of 1/3 of
    // a core.
    let (end, _) = run_to_next_event(&mut interpreter);
    assert!((end - at - 600.0).abs() < 1e-3, "{}", end - at);
}

#[test]
fn each_core_reads_one_request_at_a_time_beside_the_runs() {
    let mut interpreter = InterpreterModel::new(spec(), 0.0, false);
    (1..=4).for_each(|attempt| drop(interpreter.start_reading(0.0, attempt, 10.0)));
    assert_eq!(interpreter.gauges(0.0).runnable, 2.0, "two of the four requests wait to be read");
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
fn a_cold_interpreter_speeds_up_over_its_warm_up() {
    let mut interpreter = InterpreterModel::new(spec(), 0.0, true);
    interpreter.register_request(0.0, 1, 1.0);
    interpreter.start_run(0.0, work(1, 8000.0));
    // In the 8 s of the warm-up, the speed rises from a quarter to 1 and the run completes 5,000 ms of work.
    // The remaining 3,000 ms of work take 3,000 ms at full speed.
    let (at, _) = run_to_next_event(&mut interpreter);
    assert!((at - 11_000.0).abs() < 20.0, "{at}");
}

#[test]
fn a_run_waits_for_its_call_or_is_aborted_there_if_its_request_is_closed() {
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
    assert_eq!(interpreter.next_event_at(), None, "the run waits for the reply");
    interpreter.resume_run(80.0, 1);
    let (at, ended) = run_to_next_event(&mut interpreter);
    assert!((at - 130.0).abs() < 1e-3 && ended == [InterpreterEvent::Completed(1)]);
}

#[test]
fn closing_a_request_aborts_its_run_that_waits_for_its_call() {
    let mut interpreter = InterpreterModel::new(spec(), 0.0, false);
    interpreter.register_request(0.0, 1, 1.0);
    interpreter.start_run(0.0, RunRequest { attempt: 1, work: 100.0, calls_dependency: true });
    assert_eq!(interpreter.advance(60.0), [InterpreterEvent::CallStarted(1)]);
    assert_eq!(interpreter.close_request(70.0, 1), [InterpreterEvent::Aborted(1)]);
    assert!(!interpreter.has_open_run(1));
}

#[test]
fn a_paused_run_keeps_its_progress_and_is_aborted_when_its_request_is_closed() {
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
fn a_suspended_interpreter_does_no_work_and_keeps_its_memory() {
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
fn sustained_concurrency_or_memory_kills_it_and_a_cold_one_has_a_lower_limit() {
    let concurrency = |count: u64, cold: bool, until: Ms| {
        let mut interpreter = InterpreterModel::new(InterpreterSpec { memory_kb: 1e9, ..spec() }, 0.0, cold);
        for attempt in 0..count {
            interpreter.register_request(0.0, attempt, 1.0);
            interpreter.start_run(0.0, work(attempt, 1e6));
        }
        interpreter.advance(until)
    };
    let died = [InterpreterEvent::Died("too many runs on its cores")];
    assert_eq!(concurrency(17, false, 2100.0), died);
    assert!(concurrency(17, false, 1000.0).is_empty(), "the concurrency is averaged over 2 s");
    assert!(concurrency(15, false, 2100.0).is_empty());
    assert_eq!(concurrency(12, true, 2100.0), died);
    let mut interpreter = InterpreterModel::new(spec(), 0.0, false);
    interpreter.register_request(0.0, 1, 1200.0);
    assert!(
        interpreter.advance(50.0).is_empty(),
        "the memory of an unstarted request counts only after a delay"
    );
    assert_eq!(interpreter.advance(150.0), [InterpreterEvent::Died("out of memory")]);
}
