use super::*;

#[test]
fn calls_beyond_the_slots_are_queued_and_beyond_the_queue_rejected() {
    let mut dependency = Dependency::new(1, 1);
    assert!(dependency.try_call(0.0, 1, 100.0, 1000.0) && dependency.try_call(0.0, 2, 100.0, 1000.0));
    assert!(!dependency.try_call(0.0, 3, 100.0, 1000.0), "the queue is full");
    assert_eq!(dependency.advance(100.0), [CallEnd::Completed(1)]);
    assert_eq!(dependency.next_event_at(), Some(200.0));
    assert_eq!(dependency.advance(250.0), [CallEnd::Completed(2)]);
}

#[test]
fn a_call_times_out_at_its_deadline_in_a_slot_or_in_the_queue() {
    let mut dependency = Dependency::new(1, 2);
    dependency.try_call(0.0, 1, 500.0, 50.0);
    dependency.try_call(0.0, 2, 10.0, 20.0);
    assert_eq!(dependency.advance(60.0), [CallEnd::TimedOut(2), CallEnd::TimedOut(1)]);
}

#[test]
fn without_slots_all_calls_are_rejected_and_a_queued_call_can_be_cancelled() {
    let mut dependency = Dependency::new(2, 2);
    dependency.try_call(0.0, 1, 100.0, 1000.0);
    dependency.set_capacity_factor(0.0);
    assert!(!dependency.try_call(1.0, 2, 100.0, 1000.0));
    assert_eq!(dependency.advance(200.0), [CallEnd::Completed(1)]);
    dependency.set_capacity_factor(1.0);
    for id in 3..=5 {
        assert!(dependency.try_call(200.0, id, 100.0, 1000.0));
    }
    dependency.cancel(5);
    assert_eq!(dependency.advance(900.0), [CallEnd::Completed(3), CallEnd::Completed(4)]);
}
