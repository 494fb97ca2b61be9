//! What a start learns from the bytes of the segments, intact or damaged: which keys are known, and of which it is uncertain
//! whether they ran. No I/O.
//!
//! Records are numbered without gaps, so a missing number shows that a record was lost. A key whose record may have been
//! lost counts as one that ran.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;

use super::record::{Record, RecordHeader, RecordState};
use super::segment::{scan, ScanItem, SegmentHeader, SegmentNumber, SEGMENT_HEADER_BYTES};
use super::segment_index::{Limits, SegmentIndex};
use crate::clock::UnixTime;
use crate::outcome::{digest, IdempotencyRecord, RunState};

/// A segment as it was read.
pub(crate) struct Segment {
    /// Its number, from its file name.
    pub(crate) number: SegmentNumber,
    /// All its bytes.
    pub(crate) bytes: Bytes,
}

/// Keys of which it is uncertain whether they ran.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct UncertainKeys {
    /// Until when each is uncertain, by the digest of the key.
    by_digest: HashMap<u64, UnixTime>,
    /// Until then every key that is not known is uncertain.
    all_until: UnixTime,
    seed: u64,
}

impl UncertainKeys {
    /// Whether a key that is not known may have run.
    pub(crate) fn contains(&self, key: &[u8], now: UnixTime) -> bool {
        if now < self.all_until {
            return true;
        }
        // Spares the digest where nothing was damaged, which is nearly always.
        if self.by_digest.is_empty() {
            return false;
        }
        self.by_digest.get(&digest(self.seed, key)).is_some_and(|until| now < *until)
    }

    /// When no key is uncertain any more.
    pub(crate) fn resolved_at(&self) -> UnixTime {
        self.by_digest.values().copied().fold(self.all_until, UnixTime::max)
    }

    fn add(&mut self, key_digest: u64, until: UnixTime) {
        let entry = self.by_digest.entry(key_digest).or_default();
        *entry = (*entry).max(until);
    }
}

/// What was not as it was written.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub(crate) struct Damage {
    /// Records whose key or result cannot be read.
    pub(crate) unreadable: u64,
    /// Records that are missing, as far as the numbers show.
    pub(crate) missing: u64,
    /// Bytes that belong to no record.
    pub(crate) unrecognized_bytes: u64,
}

/// What a start learns.
#[derive(Debug, Default)]
pub(crate) struct RecoveredState {
    /// The seed of the digests of keys and bodies.
    pub(crate) seed: u64,
    /// The keys that are known, with what became of their runs.
    pub(crate) keys: Vec<IdempotencyRecord>,
    /// The keys that may have run all the same.
    pub(crate) uncertain_keys: UncertainKeys,
    /// What was skipped.
    pub(crate) damage: Damage,
    /// How far the clock was set back since the last record.
    pub(crate) clock_setback: Duration,
    /// The number of the next record.
    pub(crate) next_record: u64,
}

/// The result of a recovery.
pub(crate) struct Recovered {
    /// The index of the segments that were read.
    pub(crate) index: SegmentIndex,
    /// What they hold.
    pub(crate) state: RecoveredState,
}

/// Reads what the segments hold, in the order of their numbers, at `now`. No key is uncertain for longer than
/// `max_window`, unless a record was kept for longer.
pub(crate) fn recover(
    seed: u64,
    segments: impl Iterator<Item = Segment>,
    limits: Limits,
    max_window: Duration,
    now: UnixTime,
) -> Recovered {
    let mut recovery = Recovery::new(seed, limits, max_window);
    for segment in segments {
        recovery.read_segment(&segment);
    }
    recovery.finish(now)
}

/// What is behind a place where records are missing, which tells when they were written at the latest.
#[derive(Debug, Clone, Copy)]
enum GapEnd {
    /// A record or segment that was written then.
    NextRecord(UnixTime),
    /// Nothing: this start.
    Restart,
}

/// A record whose key or result cannot be read, as its header describes it.
struct UnreadableRecord {
    key_digest: u64,
    expires_at: UnixTime,
}

/// A recovery under way.
struct Recovery {
    seed: u64,
    index: SegmentIndex,
    damage: Damage,
    /// The last record of each key.
    last_records: HashMap<Bytes, Record>,
    unreadable: Vec<UnreadableRecord>,
    /// Where records are missing.
    gaps: Vec<GapEnd>,
    /// The number of the next record if none is missing.
    expected: Option<u64>,
    /// Records may be missing before the first one that is found.
    unknown_start: bool,
    /// The end of the last segment may have held more.
    torn_end: bool,
    newest: UnixTime,
    max_window: Duration,
}

impl Recovery {
    fn new(seed: u64, limits: Limits, max_window: Duration) -> Self {
        Recovery {
            seed,
            index: SegmentIndex::new(limits),
            damage: Damage::default(),
            last_records: HashMap::new(),
            unreadable: Vec::new(),
            gaps: Vec::new(),
            expected: None,
            unknown_start: false,
            torn_end: false,
            newest: Duration::ZERO,
            max_window,
        }
    }

    fn read_segment(&mut self, segment: &Segment) {
        let bytes = &segment.bytes;
        self.index.add_segment(segment.number, bytes.len() as u64);
        let header_len = bytes.len().min(SEGMENT_HEADER_BYTES);
        let items = scan(self.seed, &bytes.slice(header_len..));
        if let Some(header) = SegmentHeader::decode(bytes) {
            self.observe_number(header.first_record, 0, GapEnd::NextRecord(header.created_at));
            self.torn_end = false;
        } else {
            self.damage.unrecognized_bytes += header_len as u64;
            // Where the oldest segment does not tell its first number, only a record at its very start shows that none is
            // missing before it.
            let starts_with_record = !matches!(items.first(), None | Some(ScanItem::Unrecognized(_)));
            self.unknown_start |= self.expected.is_none() && !starts_with_record;
            // Without the header, what is before the first record is as unknown as what is behind the last.
            self.torn_end = bytes.len() < SEGMENT_HEADER_BYTES;
        }
        for item in items {
            self.read_item(item);
        }
    }

    fn read_item(&mut self, item: ScanItem) {
        self.torn_end = matches!(item, ScanItem::Unrecognized(_));
        match item {
            ScanItem::Intact(record) => self.read_record(&record),
            ScanItem::DamagedPayload(header) => self.read_damaged(&header),
            ScanItem::Unrecognized(len) => self.damage.unrecognized_bytes += len as u64,
        }
    }

    fn read_record(&mut self, record: &Record) {
        self.observe_number(record.number, 1, GapEnd::NextRecord(record.written_at));
        self.observe_times(record.written_at, record.expires_at);
        self.index.add_record(record);
        // Key and result outlive the segment that they were read from.
        let key = Bytes::copy_from_slice(&record.key);
        let result = Bytes::copy_from_slice(&record.result);
        self.last_records.insert(key.clone(), Record { key, result, ..*record });
    }

    fn read_damaged(&mut self, header: &RecordHeader) {
        self.observe_number(header.number, 1, GapEnd::NextRecord(header.written_at));
        self.observe_times(header.written_at, header.expires_at);
        self.damage.unreadable += 1;
        self.unreadable
            .push(UnreadableRecord { key_digest: header.key_digest, expires_at: header.expires_at });
    }

    /// So many records begin with this number: notices how many are missing before them.
    fn observe_number(&mut self, number: u64, records: u64, end: GapEnd) {
        let missing = self.expected.map_or(0, |expected| number.saturating_sub(expected));
        let unknown_start = std::mem::take(&mut self.unknown_start);
        if missing > 0 || unknown_start {
            self.gaps.push(end);
        }
        // A number comes again where a write failed and was repeated.
        self.expected = Some(self.expected.unwrap_or(0).max(number.saturating_add(records)));
        self.damage.missing += missing;
    }

    fn observe_times(&mut self, written_at: UnixTime, expires_at: UnixTime) {
        self.newest = self.newest.max(written_at);
        self.max_window = self.max_window.max(expires_at.saturating_sub(written_at));
    }

    fn finish(mut self, now: UnixTime) -> Recovered {
        // If the clock was set back, what remains of each key's time counts from now: otherwise entries would stay for as
        // long as the clock went back, and fill the store.
        let clock_setback = self.newest.saturating_sub(now);
        let uncertain_keys = self.uncertain_keys(clock_setback, now);
        self.index.finish_recovery(clock_setback, uncertain_keys.resolved_at());
        // What may have been lost at the end leaves a gap, so that the next start knows of it too.
        let next_record = self.expected.unwrap_or(0).saturating_add(u64::from(self.torn_end));
        let known = self.last_records.into_values();
        let state = RecoveredState {
            seed: self.seed,
            // What a damaged record said about a known key came later, or is no more than this one says.
            keys: known.filter_map(|record| idempotency_record(record, clock_setback)).collect(),
            uncertain_keys,
            damage: self.damage,
            clock_setback,
            next_record,
        };
        Recovered { index: self.index, state }
    }

    fn uncertain_keys(&self, clock_setback: Duration, now: UnixTime) -> UncertainKeys {
        let written_by = |gap: &GapEnd| match gap {
            GapEnd::NextRecord(at) => at.saturating_sub(clock_setback).min(now),
            GapEnd::Restart => now,
        };
        let torn_end = self.torn_end.then_some(&GapEnd::Restart);
        let gaps = self.gaps.iter().chain(torn_end);
        let all_until = gaps.map(|gap| written_by(gap) + self.max_window).max().unwrap_or_default();
        let mut uncertain = UncertainKeys { by_digest: HashMap::new(), all_until, seed: self.seed };
        for UnreadableRecord { key_digest, expires_at } in &self.unreadable {
            uncertain.add(*key_digest, expires_at.saturating_sub(clock_setback));
        }
        uncertain
    }
}

/// What a record says about its key; none if the key is free.
fn idempotency_record(record: Record, clock_setback: Duration) -> Option<IdempotencyRecord> {
    let state = match record.state {
        RecordState::Started => RunState::Pending,
        RecordState::Succeeded => RunState::Succeeded(record.result),
        RecordState::Failed => RunState::Failed,
        RecordState::NeverStarted => return None,
    };
    Some(IdempotencyRecord {
        key: record.key,
        body_digest: record.body_digest,
        expires_at: record.expires_at.saturating_sub(clock_setback),
        state,
    })
}

#[cfg(test)]
mod tests;
