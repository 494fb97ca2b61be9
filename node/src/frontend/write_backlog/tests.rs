use super::*;

const START: UnixTime = Duration::from_secs(1_000);

#[test]
fn small_writes_do_not_extend_the_deadline_of_queued_output() {
    let mut backlog = WriteBacklog::default();
    assert_eq!(backlog.deadline(0, START), None);
    assert_eq!(backlog.deadline(100, START), Some(START + WRITE_TIMEOUT));
    // One byte is written each second while more output is queued.
    for second in 1..5 {
        backlog.record_write(1);
        let now = START + Duration::from_secs(second);
        assert_eq!(backlog.deadline(100 + second as usize, now), Some(START + WRITE_TIMEOUT), "{second}");
    }
}

#[test]
fn later_output_gets_a_deadline_once_earlier_output_is_written() {
    let mut backlog = WriteBacklog::default();
    backlog.deadline(100, START);
    backlog.record_write(100);
    let later = START + Duration::from_secs(3);
    assert_eq!(backlog.deadline(40, later), Some(later + WRITE_TIMEOUT));
    backlog.record_write(40);
    assert_eq!(backlog.deadline(0, later), None, "nothing is queued");
    // After an idle time, the deadline counts from when output is queued again.
    let next = later + Duration::from_secs(60);
    assert_eq!(backlog.deadline(7, next), Some(next + WRITE_TIMEOUT));
}
