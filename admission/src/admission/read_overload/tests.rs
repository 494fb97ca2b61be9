use super::ReadOverload;
use crate::admission::requests::table::RequestTable;
use crate::interface::Gauges;

#[test]
fn reading_is_overloaded_once_most_of_what_is_runnable_is_no_run_for_a_while() {
    let mut reading = ReadOverload::new();
    let read_overload = Gauges { utilization: None, runnable: Some(10.0) };
    let mut overloaded_after = |ticks| {
        (0..ticks).for_each(|_| reading.update(&read_overload, &RequestTable::default()));
        reading.is_overloaded()
    };
    assert!(!overloaded_after(5));
    assert!(overloaded_after(30));
}
