use super::*;

const START: Unix = Duration::from_secs(1_000);

#[test]
fn what_waits_is_owed_by_a_time_that_small_writes_do_not_put_off() {
    let mut unread = WriteBacklog::default();
    assert_eq!(unread.until(0, START), None);
    assert_eq!(unread.until(100, START), Some(START + UNREAD));
    // A byte now and then, while more comes to wait.
    for second in 1..5 {
        unread.wrote(1);
        let now = START + Duration::from_secs(second);
        assert_eq!(unread.until(100 + second as usize, now), Some(START + UNREAD), "{second}");
    }
}

#[test]
fn what_came_later_is_owed_once_what_waited_before_it_is_written() {
    let mut unread = WriteBacklog::default();
    unread.until(100, START);
    unread.wrote(100);
    let later = START + Duration::from_secs(3);
    assert_eq!(unread.until(40, later), Some(later + UNREAD));
    unread.wrote(40);
    assert_eq!(unread.until(0, later), None, "nobody is owed anything");
    // Answers that took long to come are owed from when they came.
    let next = later + Duration::from_secs(60);
    assert_eq!(unread.until(7, next), Some(next + UNREAD));
}
