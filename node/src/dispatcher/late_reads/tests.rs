use super::*;
use oakwind_admission::Class;

const START: UnixTime = Duration::from_secs(1_000_000);

fn settings_with_deadline(deadline: Duration) -> Settings {
    Settings { classes: vec![Class { deadline, ..Class::default() }], ..Settings::default() }
}

/// The time by which keys must have expired at `until`, after batches without an interruption since `from`.
fn removable_after_batches(late_reads: &mut LateReads, from: UnixTime, until: UnixTime) -> Option<UnixTime> {
    let mut at = from;
    while at < until {
        late_reads.removable_before(at);
        at += MAX_BATCH_INTERVAL;
    }
    late_reads.removable_before(until)
}

/// Guards against keys that are gone before the deadline of an attempt that was sent within their window.
#[test]
fn a_key_is_kept_for_the_longest_deadline_after_it_has_expired() {
    let long = Duration::from_secs(20);
    let mut late_reads = LateReads::new(&settings_with_deadline(long), START);
    let now = START + Duration::from_secs(2);
    assert_eq!(removable_after_batches(&mut late_reads, START, now), Some(now - long - CATCH_UP_TIME));
    late_reads.follow_settings(&settings_with_deadline(Duration::from_secs(1)));
    assert_eq!(
        late_reads.removable_before(now),
        Some(now - long - CATCH_UP_TIME),
        "attempts may have been sent under the earlier settings"
    );
}

/// Guards against keys that are removed after a standstill before the attempts that came meanwhile have been read.
#[test]
fn no_key_is_removed_until_a_process_that_stood_still_has_caught_up() {
    let mut late_reads = LateReads::new(&settings_with_deadline(Duration::from_secs(2)), START);
    let stopped_at = START + Duration::from_secs(2);
    assert!(removable_after_batches(&mut late_reads, START, stopped_at).is_some());
    let resumed_at = stopped_at + Duration::from_secs(60);
    assert_eq!(late_reads.removable_before(resumed_at), None);
    assert!(removable_after_batches(&mut late_reads, resumed_at, resumed_at + CATCH_UP_TIME).is_some());
}

/// Guards against an attempt that came within the window of its key, and is taken for a later one because it is read late.
#[test]
fn an_attempt_read_after_a_standstill_may_have_come_at_its_begin_unless_its_receipt_is_stated() {
    let mut late_reads = LateReads::new(&settings_with_deadline(Duration::from_secs(2)), START);
    let stopped_at = START + Duration::from_secs(2);
    removable_after_batches(&mut late_reads, START, stopped_at);
    assert_eq!(late_reads.earliest_receipt(None, stopped_at), stopped_at);
    let resumed_at = stopped_at + Duration::from_secs(6);
    let stated = stopped_at + Duration::from_secs(3);
    for _ in ["before the first batch", "after it"] {
        assert_eq!(late_reads.earliest_receipt(None, resumed_at), stopped_at);
        assert_eq!(late_reads.earliest_receipt(Some(stated), resumed_at), stated);
        late_reads.removable_before(resumed_at);
    }
    let caught_up_at = resumed_at + CATCH_UP_TIME;
    removable_after_batches(&mut late_reads, resumed_at, caught_up_at);
    assert_eq!(late_reads.earliest_receipt(None, caught_up_at), caught_up_at);
}
