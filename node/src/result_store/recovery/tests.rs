use super::super::record::{put_segment_head, SegmentHead, HEAD};
use super::*;
use bytes::BytesMut;

const SEED: u64 = 7;
const LIMITS: Limits = Limits { file: 1 << 22 };
const LONGEST: Duration = Duration::from_secs(17);

fn at(seconds: u64) -> Unix {
    Duration::from_secs(seconds)
}

/// A record and where it is: the segment and the bytes in it.
type Placed = (Record, usize, std::ops::Range<usize>);

/// Records that were acknowledged one after the other, a second apart, in two segments.
fn journal() -> (Vec<BytesMut>, Vec<Placed>) {
    let mut records = Vec::new();
    let mut segments = vec![BytesMut::new(), BytesMut::new()];
    let (a, b, c, d) = ("aaa", "bb", "c", "dddd");
    let said = [
        (a, RecordState::Started, ""),
        (b, RecordState::Started, ""),
        (a, RecordState::Succeeded, "result"),
        (c, RecordState::Started, ""),
        (d, RecordState::Started, ""),
        (d, RecordState::NeverStarted, ""),
        (c, RecordState::Failed, ""),
    ];
    for (number, (key, state, result)) in (10..).zip(said) {
        let which = usize::from(number >= 14);
        let bytes = &mut segments[which];
        if bytes.is_empty() {
            put_segment_head(SegmentHead { seed: SEED, first: number, written_at: at(90 + number) }, bytes);
        }
        let (body_digest, from) = (u64::from(key.as_bytes()[0]), bytes.len());
        let (key, result) = (Bytes::from(key), Bytes::from(result));
        let (written_at, expires_at) = (at(90 + number), at(107 + number));
        let record = Record { number, written_at, expires_at, body_digest, state, key, result };
        record.put(SEED, bytes);
        records.push((record, which, from..bytes.len()));
    }
    (segments, records)
}

fn recovered(segments: &[BytesMut], now: Unix) -> RecoveredState {
    let segments =
        (1..).zip(segments).map(|(number, bytes)| Segment { number, bytes: bytes.clone().freeze() });
    recover(SEED, segments, LIMITS, LONGEST, now).1
}

fn fate<'a>(learnt: &'a RecoveredState, key: &[u8]) -> Option<&'a RunState> {
    learnt.keys.iter().find(|record| record.key == key).map(|record| &record.state)
}

#[test]
fn a_whole_journal_tells_the_last_word_on_each_key() {
    let learnt = recovered(&journal().0, at(108));
    assert_eq!(fate(&learnt, b"aaa"), Some(&RunState::Succeeded("result".into())));
    assert_eq!(fate(&learnt, b"bb"), Some(&RunState::Pending));
    assert_eq!(fate(&learnt, b"c"), Some(&RunState::Failed));
    assert_eq!(fate(&learnt, b"dddd"), None);
    assert_eq!((learnt.damage, learnt.next), (Damage::default(), 17));
    assert!(!learnt.uncertain_keys.contains(b"other", at(108)));
}

/// What the damage leaves must be as it was acknowledged, and nothing that ran may look as if it had not.
fn holds(
    segments: &[BytesMut],
    hit: impl Fn(usize, &std::ops::Range<usize>) -> bool,
    told: bool,
    what: &str,
) {
    let (learnt, records) = (recovered(segments, at(108)), journal().1);
    for key in [&b"aaa"[..], b"bb", b"c"] {
        let of_key = records.iter().filter(|(record, ..)| record.key == key);
        let hurt = of_key.clone().any(|(_, which, range)| hit(*which, range));
        let last = of_key.last().unwrap();
        let known = fate(&learnt, key);
        if !hit(last.1, &last.2) {
            let as_told = match last.0.state {
                RecordState::Succeeded => RunState::Succeeded(last.0.result.clone()),
                RecordState::Started => RunState::Pending,
                _ => RunState::Failed,
            };
            assert_eq!(known, Some(&as_told), "{what}: {key:?}");
        } else if told || !hurt {
            assert!(
                known.is_some() || learnt.uncertain_keys.contains(key, at(108)),
                "{what}: {key:?} looks unrun"
            );
        }
    }
}

#[test]
fn no_corrupt_byte_makes_what_ran_look_unrun_nor_touches_what_lies_outside_it() {
    for which in 0..2 {
        for offset in 0..journal().0[which].len() {
            for flip in [0xff, 1, 0x80] {
                let mut segments = journal().0;
                segments[which][offset] ^= flip;
                let hit =
                    |segment, range: &std::ops::Range<usize>| segment == which && range.contains(&offset);
                holds(&segments, hit, true, &format!("segment {which}, byte {offset} ^ {flip}"));
            }
        }
    }
}

#[test]
fn no_cut_makes_what_ran_look_unrun_nor_touches_what_lies_before_it() {
    for which in 0..2 {
        for length in 0..journal().0[which].len() {
            let (mut segments, records) = journal();
            segments[which].truncate(length);
            // Between two records of the last segment a cut leaves no trace.
            let ends = records.iter().any(|(_, segment, range)| *segment == 1 && range.end == length);
            let told = which == 0 || !(ends || length == SEGMENT_HEAD);
            let hit = |segment, range: &std::ops::Range<usize>| segment == which && range.end > length;
            holds(&segments, hit, told, &format!("segment {which} cut to {length}"));
        }
    }
}

#[test]
fn doubts_end_with_the_time_of_what_is_missing_and_outlast_one_more_start() {
    let (mut segments, _) = journal();
    let middle = SEGMENT_HEAD + 2 * HEAD;
    segments[0][SEGMENT_HEAD + 8..middle].fill(0);
    let learnt = recovered(&segments, at(108));
    assert!(learnt.damage.missing > 0 && learnt.uncertain_keys.contains(b"lost", at(108)));
    assert!(!learnt.uncertain_keys.contains(b"lost", learnt.uncertain_keys.resolved_at()));
    assert!(
        learnt.uncertain_keys.resolved_at() <= at(102) + LONGEST,
        "the record after it tells when it was written"
    );
    // A torn end: what a next life writes leaves a gap, so that the one after it is in doubt as well.
    let (mut segments, _) = journal();
    let length = segments[1].len() - HEAD - 10;
    segments[1].truncate(length);
    let learnt = recovered(&segments, at(108));
    assert!(learnt.uncertain_keys.contains(b"lost", at(108 + 16)));
    let mut next = BytesMut::new();
    put_segment_head(SegmentHead { seed: SEED, first: learnt.next, written_at: at(108) }, &mut next);
    segments.push(next);
    assert!(recovered(&segments, at(109)).uncertain_keys.contains(b"lost", at(108 + 16)));
    assert!(!recovered(&segments, at(109)).uncertain_keys.contains(b"lost", at(108 + 18)));
}

#[test]
fn where_the_clock_went_back_what_is_left_of_a_keys_time_counts_from_now() {
    let learnt = recovered(&journal().0, at(50));
    assert_eq!(learnt.clock_setback, at(106 - 50));
    // Its end was recorded at 102 s and is kept until 119 s, thirteen seconds after the last record.
    let until = learnt.keys.iter().find(|record| record.key == b"aaa"[..]).unwrap().expires_at;
    assert_eq!(until, at(50 + 13));
}

#[test]
fn nothing_in_a_key_or_a_result_passes_for_a_record() {
    let mut inner = BytesMut::new();
    let fake = Record {
        number: 5,
        written_at: at(100),
        expires_at: at(117),
        body_digest: 1,
        state: RecordState::Started,
        key: "forged".into(),
        result: Bytes::new(),
    };
    fake.put(SEED + 1, &mut inner);
    let mut bytes = BytesMut::new();
    put_segment_head(SegmentHead { seed: SEED, first: 5, written_at: at(100) }, &mut bytes);
    Record { key: "k".into(), state: RecordState::Succeeded, result: inner.freeze(), ..fake }
        .put(SEED, &mut bytes);
    bytes[SEGMENT_HEAD] ^= 1;
    assert_eq!(fate(&recovered(&[bytes], at(101)), b"forged"), None);
}
