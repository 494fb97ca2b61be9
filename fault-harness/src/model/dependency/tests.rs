use super::*;

#[test]
fn slots_work_the_line_waits_and_the_rest_is_refused() {
    let mut below = Below::new(1, 1);
    assert!(below.call(0.0, 1, 100.0, 1000.0) && below.call(0.0, 2, 100.0, 1000.0));
    assert!(!below.call(0.0, 3, 100.0, 1000.0), "the line is full");
    assert_eq!(below.advance(100.0), [Ended::Done(1)]);
    assert_eq!(below.next(), Some(200.0));
    assert_eq!(below.advance(250.0), [Ended::Done(2)]);
}

#[test]
fn a_call_whose_time_is_over_is_slow_wherever_it_is() {
    let mut below = Below::new(1, 2);
    below.call(0.0, 1, 500.0, 50.0);
    below.call(0.0, 2, 10.0, 20.0);
    assert_eq!(below.advance(60.0), [Ended::Slow(2), Ended::Slow(1)]);
}

#[test]
fn without_slots_it_refuses_all_and_what_waits_is_given_up() {
    let mut below = Below::new(2, 2);
    below.call(0.0, 1, 100.0, 1000.0);
    below.weaken(0.0);
    assert!(!below.call(1.0, 2, 100.0, 1000.0));
    assert_eq!(below.advance(200.0), [Ended::Done(1)]);
    below.weaken(1.0);
    for id in 3..=5 {
        assert!(below.call(200.0, id, 100.0, 1000.0));
    }
    below.give_up(5);
    assert_eq!(below.advance(900.0), [Ended::Done(3), Ended::Done(4)]);
}
