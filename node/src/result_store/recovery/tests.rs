use super::*;
use crate::outcome::BodyDigest;
use crate::result_store::record::HEADER_BYTES;
use bytes::BytesMut;
use std::ops::Range;

const SEED: u64 = 7;
const LIMITS: Limits = Limits { max_bytes: 1 << 22 };
const MAX_WINDOW: Duration = Duration::from_secs(17);

fn at(seconds: u64) -> UnixTime {
    Duration::from_secs(seconds)
}

fn put_header(first_record: u64, created_at: UnixTime, output: &mut BytesMut) {
    SegmentHeader { seed: SEED, first_record, created_at }.encode(output);
}

/// A record and its location: the index of its segment and its range of bytes there.
struct PlacedRecord {
    record: Record,
    segment: usize,
    range: Range<usize>,
}

/// Two segments with seven records, written one second apart, and the locations of these records.
fn written_segments() -> (Vec<BytesMut>, Vec<PlacedRecord>) {
    let mut records = Vec::new();
    let mut segments = vec![BytesMut::new(), BytesMut::new()];
    let (a, b, c, d) = ("aaa", "bb", "c", "dddd");
    let states = [
        (a, RecordState::Started, ""),
        (b, RecordState::Started, ""),
        (a, RecordState::Succeeded, "result"),
        (c, RecordState::Started, ""),
        (d, RecordState::Started, ""),
        (d, RecordState::NeverStarted, ""),
        (c, RecordState::Failed, ""),
    ];
    for (number, (key, state, result)) in (10..).zip(states) {
        let segment = usize::from(number >= 14);
        let bytes = &mut segments[segment];
        if bytes.is_empty() {
            put_header(number, at(90 + number), bytes);
        }
        let body_digest = BodyDigest(u64::from(key.as_bytes()[0]));
        let start = bytes.len();
        let (key, result) = (Bytes::from(key), Bytes::from(result));
        let (written_at, expires_at) = (at(90 + number), at(107 + number));
        let record = Record { number, written_at, expires_at, body_digest, state, key, result };
        record.encode(SEED, bytes);
        records.push(PlacedRecord { record, segment, range: start..bytes.len() });
    }
    (segments, records)
}

fn recovered(segments: &[BytesMut], now: UnixTime) -> RecoveredState {
    let segments = (1..)
        .zip(segments)
        .map(|(number, bytes)| Segment { number: SegmentNumber(number), bytes: bytes.clone().freeze() });
    recover(SEED, segments, LIMITS, MAX_WINDOW, now).state
}

fn state_of<'a>(recovered: &'a RecoveredState, key: &[u8]) -> Option<&'a RunState> {
    recovered.keys.iter().find(|record| record.key == key).map(|record| &record.state)
}

#[test]
fn intact_segments_give_the_last_state_of_each_key() {
    let state = recovered(&written_segments().0, at(108));
    assert_eq!(state_of(&state, b"aaa"), Some(&RunState::Succeeded("result".into())));
    assert_eq!(state_of(&state, b"bb"), Some(&RunState::Pending));
    assert_eq!(state_of(&state, b"c"), Some(&RunState::Failed));
    assert_eq!(state_of(&state, b"dddd"), None);
    assert_eq!((state.damage, state.next_record), (Damage::default(), 17));
    assert!(!state.uncertain_keys.contains(b"other", at(108)));
}

/// Whether damage affects a range of bytes in the segment with this index.
type DamagePredicate<'a> = dyn Fn(usize, &Range<usize>) -> bool + 'a;

/// Damage to the segments: the affected bytes, and whether recovery can detect it.
struct InjectedDamage<'a> {
    affects: &'a DamagePredicate<'a>,
    is_detectable: bool,
    description: String,
}

/// Asserts that undamaged last records are recovered as acknowledged, and that after damage which can be
/// detected every key that may have run is either known or uncertain.
fn assert_recovers(segments: &[BytesMut], damage: &InjectedDamage) {
    let InjectedDamage { affects, is_detectable, description } = damage;
    let (recovered, records) = (recovered(segments, at(108)), written_segments().1);
    for key in [&b"aaa"[..], b"bb", b"c"] {
        let of_key = records.iter().filter(|placed| placed.record.key == key);
        let is_damaged = of_key.clone().any(|placed| affects(placed.segment, &placed.range));
        let last = of_key.last().unwrap();
        let known = state_of(&recovered, key);
        if !affects(last.segment, &last.range) {
            let acknowledged = match last.record.state {
                RecordState::Succeeded => RunState::Succeeded(last.record.result.clone()),
                RecordState::Started => RunState::Pending,
                _ => RunState::Failed,
            };
            assert_eq!(known, Some(&acknowledged), "{description}: {key:?}");
        } else if *is_detectable || !is_damaged {
            let may_have_run = known.is_some() || recovered.uncertain_keys.contains(key, at(108));
            assert!(may_have_run, "{description}: {key:?} looks as if it had not run");
        }
    }
}

#[test]
fn a_corrupt_byte_neither_hides_a_run_nor_changes_records_outside_it() {
    for damaged_segment in 0..2 {
        for offset in 0..written_segments().0[damaged_segment].len() {
            for flip in [0xff, 1, 0x80] {
                let mut segments = written_segments().0;
                segments[damaged_segment][offset] ^= flip;
                let damage = InjectedDamage {
                    affects: &|segment, range| segment == damaged_segment && range.contains(&offset),
                    is_detectable: true,
                    description: format!("segment {damaged_segment}, byte {offset} ^ {flip}"),
                };
                assert_recovers(&segments, &damage);
            }
        }
    }
}

#[test]
fn a_truncation_neither_hides_a_run_nor_changes_records_before_it() {
    for damaged_segment in 0..2 {
        for length in 0..written_segments().0[damaged_segment].len() {
            let (mut segments, records) = written_segments();
            segments[damaged_segment].truncate(length);
            // A truncation at the end of a record of the last segment cannot be detected.
            let at_record_end =
                records.iter().any(|placed| placed.segment == 1 && placed.range.end == length);
            let damage = InjectedDamage {
                affects: &|segment, range| segment == damaged_segment && range.end > length,
                is_detectable: damaged_segment == 0 || !(at_record_end || length == SEGMENT_HEADER_BYTES),
                description: format!("segment {damaged_segment} truncated to {length}"),
            };
            assert_recovers(&segments, &damage);
        }
    }
}

#[test]
fn uncertainty_ends_with_the_window_of_the_missing_records_and_outlasts_one_more_start() {
    let (mut segments, _) = written_segments();
    let middle = SEGMENT_HEADER_BYTES + 2 * HEADER_BYTES;
    segments[0][SEGMENT_HEADER_BYTES + 8..middle].fill(0);
    let state = recovered(&segments, at(108));
    assert!(state.damage.missing > 0 && state.uncertain_keys.contains(b"lost", at(108)));
    assert!(!state.uncertain_keys.contains(b"lost", state.uncertain_keys.resolved_at()));
    assert!(
        state.uncertain_keys.resolved_at() <= at(102) + MAX_WINDOW,
        "the record behind the gap bounds the time at which the lost one was written"
    );
    // After a torn end, the next process skips a record number, so that the process after it finds a gap.
    let (mut segments, _) = written_segments();
    let length = segments[1].len() - HEADER_BYTES - 10;
    segments[1].truncate(length);
    let state = recovered(&segments, at(108));
    assert!(state.uncertain_keys.contains(b"lost", at(108 + 16)));
    let mut next = BytesMut::new();
    put_header(state.next_record, at(108), &mut next);
    segments.push(next);
    assert!(recovered(&segments, at(109)).uncertain_keys.contains(b"lost", at(108 + 16)));
    assert!(!recovered(&segments, at(109)).uncertain_keys.contains(b"lost", at(108 + 18)));
}

#[test]
fn after_a_clock_setback_the_rest_of_a_keys_window_counts_from_now() {
    let state = recovered(&written_segments().0, at(50));
    assert_eq!(state.clock_setback, at(106 - 50));
    // The result of "aaa" was written at 102 s and expires at 119 s, which is 13 s after the last record, of
    // 106 s.
    let until = state.keys.iter().find(|record| record.key == b"aaa"[..]).unwrap().expires_at;
    assert_eq!(until, at(50 + 13));
}

/// A client could place the bytes of a record in a result, to be found when the record around them is
/// damaged. Their checksum needs the seed of the store, which clients do not know.
#[test]
fn a_record_forged_inside_a_result_is_not_recovered() {
    let mut inner = BytesMut::new();
    let forged = Record {
        number: 5,
        written_at: at(100),
        expires_at: at(117),
        body_digest: BodyDigest(1),
        state: RecordState::Started,
        key: "forged".into(),
        result: Bytes::new(),
    };
    forged.encode(SEED + 1, &mut inner);
    let mut bytes = BytesMut::new();
    put_header(5, at(100), &mut bytes);
    Record { key: "k".into(), state: RecordState::Succeeded, result: inner.freeze(), ..forged }
        .encode(SEED, &mut bytes);
    bytes[SEGMENT_HEADER_BYTES] ^= 1;
    assert_eq!(state_of(&recovered(&[bytes], at(101)), b"forged"), None);
}
