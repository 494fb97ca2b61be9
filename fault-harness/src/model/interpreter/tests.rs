use super::*;

fn spec() -> InterpreterSpec {
    InterpreterSpec {
        cores: 2.0,
        speed: 1.0,
        warm_from: 0.25,
        warm_ms: 8000.0,
        thrash_at: 1.5,
        thrash: 0.5,
        memory_kb: 1000.0,
        run_factor: 8.0,
    }
}

fn work(txn: u64, work: Ms) -> RunRequest {
    RunRequest { attempt: txn, work, calls_dependency: false }
}

/// Lets it run to its next end.
fn next(vm: &mut InterpreterModel) -> (Ms, Vec<InterpreterEvent>) {
    loop {
        let at = vm.next().expect("something runs");
        let happened = vm.advance(at);
        if !happened.is_empty() {
            return (at, happened);
        }
    }
}

#[test]
fn cores_are_shared_and_a_crowd_gets_less_done() {
    let mut vm = InterpreterModel::new(spec(), 0.0, false);
    for txn in 0..2 {
        vm.admit_request(0.0, txn, 1.0);
        vm.start_run(0.0, work(txn, 100.0));
    }
    let (at, ended) = next(&mut vm);
    assert!((at - 100.0).abs() < 1e-3 && ended.len() == 2, "two on two cores: {at}");
    for txn in 10..16 {
        vm.admit_request(at, txn, 1.0);
        vm.start_run(at, work(txn, 100.0));
    }
    // Six on two cores are at twice the crowd of 1.5: half is left of a third.
    let (end, _) = next(&mut vm);
    assert!((end - at - 600.0).abs() < 1e-3, "{}", end - at);
}

#[test]
fn requests_are_read_one_a_core_at_a_time_beside_the_runs() {
    let mut vm = InterpreterModel::new(spec(), 0.0, false);
    (1..=4).for_each(|txn| drop(vm.start_reading(0.0, txn, 10.0)));
    assert_eq!(vm.gauges(0.0).runnable, 2.0, "two wait unread");
    assert!(vm.cancel_reading(5.0, 3).is_empty());
    assert_eq!(
        next(&mut vm),
        (10.0, vec![InterpreterEvent::RequestRead(1), InterpreterEvent::RequestRead(2)])
    );
    vm.admit_request(10.0, 1, 1.0);
    vm.start_run(10.0, work(1, 100.0));
    let (at, read) = next(&mut vm);
    assert!((at - 20.0).abs() < 1e-3 && read == [InterpreterEvent::RequestRead(4)], "{at}");
    assert!((next(&mut vm).0 - 110.0).abs() < 1e-3);
    assert_eq!(vm.start_reading(200.0, 9, 0.0), [InterpreterEvent::RequestRead(9)]);
    (0..300).for_each(|txn| drop(vm.start_reading(200.0, txn, 10.0)));
    assert!(vm.is_overloaded());
}

#[test]
fn a_cold_one_does_what_its_warmth_allows() {
    let mut vm = InterpreterModel::new(spec(), 0.0, true);
    vm.admit_request(0.0, 1, 1.0);
    vm.start_run(0.0, work(1, 8000.0));
    // Over 8 s from a quarter to the whole it does 5,000; the rest at full speed.
    let (at, _) = next(&mut vm);
    assert!((at - 11_000.0).abs() < 20.0, "{at}");
}

#[test]
fn a_run_waits_for_its_call_and_ends_there_if_its_request_is_over() {
    let mut vm = InterpreterModel::new(spec(), 0.0, false);
    for txn in 1..=2 {
        vm.admit_request(0.0, txn, 1.0);
        vm.start_run(0.0, RunRequest { attempt: txn, work: 100.0, calls_dependency: true });
    }
    vm.release_request(10.0, 2);
    assert_eq!(next(&mut vm), (50.0, vec![InterpreterEvent::CallStarted(1), InterpreterEvent::Aborted(2)]));
    assert_eq!(vm.next(), None, "it waits");
    vm.resume_run(80.0, 1);
    let (at, ended) = next(&mut vm);
    assert!((at - 130.0).abs() < 1e-3 && ended == [InterpreterEvent::Completed(1)]);
}

#[test]
fn a_run_that_waits_for_its_call_ends_with_its_request() {
    let mut vm = InterpreterModel::new(spec(), 0.0, false);
    vm.admit_request(0.0, 1, 1.0);
    vm.start_run(0.0, RunRequest { attempt: 1, work: 100.0, calls_dependency: true });
    assert_eq!(vm.advance(60.0), [InterpreterEvent::CallStarted(1)]);
    assert_eq!(vm.release_request(70.0, 1), [InterpreterEvent::Aborted(1)]);
    assert!(!vm.has_run(1));
}

#[test]
fn what_is_paused_keeps_its_progress_and_ends_when_its_request_is_over() {
    let mut vm = InterpreterModel::new(spec(), 0.0, false);
    for txn in 1..=2 {
        vm.admit_request(0.0, txn, 1.0);
        vm.start_run(0.0, work(txn, 100.0));
        assert!(vm.pause_run(60.0, txn).is_empty());
    }
    vm.resume_run(500.0, 1);
    assert_eq!(vm.release_request(510.0, 2), [InterpreterEvent::Aborted(2)]);
    let (at, _) = next(&mut vm);
    assert!((at - 540.0).abs() < 1e-3, "{at}");
}

#[test]
fn standing_still_nothing_is_done_and_memory_stays() {
    let mut vm = InterpreterModel::new(spec(), 0.0, false);
    vm.admit_request(0.0, 1, 10.0);
    vm.start_run(0.0, work(1, 100.0));
    vm.set_paused(40.0, true);
    assert!(vm.next().is_none() && vm.advance(5000.0).is_empty());
    assert!(vm.gauges(5000.0).memory_used > 0.0);
    vm.set_paused(5000.0, false);
    assert!((next(&mut vm).0 - 5060.0).abs() < 1e-3);
}

#[test]
fn it_dies_of_a_crowd_that_lasts_and_of_memory_and_a_cold_one_of_a_smaller_crowd() {
    let concurrency = |count: u64, cold: bool, until: Ms| {
        let mut vm = InterpreterModel::new(InterpreterSpec { memory_kb: 1e9, ..spec() }, 0.0, cold);
        for txn in 0..count {
            vm.admit_request(0.0, txn, 1.0);
            vm.start_run(0.0, work(txn, 1e6));
        }
        vm.advance(until)
    };
    let fell = [InterpreterEvent::Died("too many on its cores")];
    assert_eq!(concurrency(17, false, 2100.0), fell);
    assert!(concurrency(17, false, 1000.0).is_empty(), "a mean over 2 s");
    assert!(concurrency(15, false, 2100.0).is_empty());
    assert_eq!(concurrency(12, true, 2100.0), fell);
    let mut vm = InterpreterModel::new(spec(), 0.0, false);
    vm.admit_request(0.0, 1, 1200.0);
    assert!(vm.advance(50.0).is_empty(), "it is not counted yet");
    assert_eq!(vm.advance(150.0), [InterpreterEvent::Died("out of memory")]);
}
