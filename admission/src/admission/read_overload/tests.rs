use super::ReadOverload;
use crate::admission::requests::table::RequestTable;
use crate::interface::Gauges;

#[test]
fn read_overload_is_detected_after_many_ticks_on_which_most_runnable_tasks_are_not_runs() {
    let mut detector = ReadOverload::new();
    let read_overload = Gauges { utilization: None, runnable: Some(10.0) };
    let mut overloaded_after = |ticks| {
        (0..ticks).for_each(|_| detector.update(&read_overload, &RequestTable::default()));
        detector.is_overloaded()
    };
    assert!(!overloaded_after(5));
    assert!(overloaded_after(30));
}
