//! Recovery of the state of a store at startup from its segments, intact or damaged: the keys that are known,
//! and those that may have run although no intact record says so. No I/O.
//!
//! Records are numbered without gaps, so a missing number reveals a lost record. A key whose record may have
//! been lost is treated as one that may have run.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;

use super::record::{Record, RecordHeader, RecordState};
use super::segment::{scan, ScanItem, SegmentHeader, SegmentNumber, SEGMENT_HEADER_BYTES};
use super::segment_index::{Limits, SegmentIndex};
use crate::clock::UnixTime;
use crate::outcome::{digest, IdempotencyRecord, RunState};

/// Segment as it was read from its file.
pub(crate) struct Segment {
    /// Number of the segment, from its file name.
    pub(crate) number: SegmentNumber,
    /// Content of the file, header included.
    pub(crate) bytes: Bytes,
}

/// Keys that may have run although no intact record says so.
#[derive(Debug, Default, PartialEq)]
pub(crate) struct UncertainKeys {
    /// Time until which a key is uncertain, by the digest of the key.
    by_digest: HashMap<u64, UnixTime>,
    /// Time until which every key without a known state is uncertain.
    all_until: UnixTime,
    seed: u64,
}

impl UncertainKeys {
    /// Whether a key without a known state may have run.
    pub(crate) fn contains(&self, key: &[u8], now: UnixTime) -> bool {
        if now < self.all_until {
            return true;
        }
        // Avoids the digest in the usual case that nothing was damaged.
        if self.by_digest.is_empty() {
            return false;
        }
        self.by_digest.get(&digest(self.seed, key)).is_some_and(|until| now < *until)
    }

    /// Time from which no key is uncertain any more.
    pub(crate) fn resolved_at(&self) -> UnixTime {
        self.by_digest.values().copied().fold(self.all_until, UnixTime::max)
    }

    fn add(&mut self, key_digest: u64, until: UnixTime) {
        let entry = self.by_digest.entry(key_digest).or_default();
        *entry = (*entry).max(until);
    }
}

/// Damage found in the segments.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub(crate) struct Damage {
    /// Number of records with an intact header and a damaged payload (key or result).
    pub(crate) unreadable: u64,
    /// Number of missing records, as far as gaps in the record numbers show.
    pub(crate) missing: u64,
    /// Bytes that are part of no record.
    pub(crate) unrecognized_bytes: u64,
}

/// State recovered from the segments.
#[derive(Debug, Default)]
pub(crate) struct RecoveredState {
    /// Seed of the store, which the digests of keys and bodies use.
    pub(crate) seed: u64,
    /// Keys with an intact last record, and the states of their runs.
    pub(crate) keys: Vec<IdempotencyRecord>,
    /// Keys that may have run although no intact record says so.
    pub(crate) uncertain_keys: UncertainKeys,
    /// Damage that recovery skipped.
    pub(crate) damage: Damage,
    /// Time by which the clock was set back since the latest record; zero if it was not.
    pub(crate) clock_setback: Duration,
    /// Number that the next record gets.
    pub(crate) next_record: u64,
}

/// Result of a recovery.
pub(crate) struct Recovered {
    /// Index of the segments that were read.
    pub(crate) index: SegmentIndex,
    /// State recovered from these segments.
    pub(crate) state: RecoveredState,
}

/// Recovers the state of a store at `now` from its segments, which come in ascending order of their numbers.
/// A lost record makes keys uncertain for at most `max_window`, or the longest window of any record found if
/// that is longer.
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

/// End of a gap in the record numbers. It bounds the time at which the missing records were written.
#[derive(Debug, Clone, Copy)]
enum GapEnd {
    /// A record or segment follows the gap; this is the time at which it was written.
    NextRecord(UnixTime),
    /// Nothing follows the gap, so the missing records may have been written until this start.
    Restart,
}

/// Record with a damaged payload, as its header describes it.
struct UnreadableRecord {
    key_digest: u64,
    expires_at: UnixTime,
}

/// State of a recovery that is in progress.
struct Recovery {
    seed: u64,
    index: SegmentIndex,
    damage: Damage,
    /// Last intact record of each key.
    last_records: HashMap<Bytes, Record>,
    unreadable: Vec<UnreadableRecord>,
    /// Gaps in the record numbers.
    gaps: Vec<GapEnd>,
    /// Number of the next record if none is missing; absent before the first number is known.
    expected_number: Option<u64>,
    /// Whether records may be missing before the first one that is found.
    unknown_start: bool,
    /// Whether the segment read last ends in a truncated header or unrecognized bytes, so that its end may
    /// have held more records.
    torn_end: bool,
    /// Latest time at which any record was written.
    newest_write: UnixTime,
    /// Longest idempotency window, including those of the records read so far.
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
            expected_number: None,
            unknown_start: false,
            torn_end: false,
            newest_write: Duration::ZERO,
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
            // Without its header, the number of the first record of the oldest segment is unknown. Only a
            // record directly behind the header shows that no earlier record of the segment was lost.
            let starts_with_record = !matches!(items.first(), None | Some(ScanItem::Unrecognized(_)));
            self.unknown_start |= self.expected_number.is_none() && !starts_with_record;
            // A file that is shorter than a header was truncated, and the number of its records is lost.
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
        // Copied, as slices would keep the bytes of the whole segment alive.
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

    /// Registers `records` records from `number` on, and the gap before them if numbers are missing; `end` is
    /// its end.
    fn observe_number(&mut self, number: u64, records: u64, end: GapEnd) {
        let missing = self.expected_number.map_or(0, |expected| number.saturating_sub(expected));
        let unknown_start = std::mem::take(&mut self.unknown_start);
        if missing > 0 || unknown_start {
            self.gaps.push(end);
        }
        // A number can occur twice: after a failed write, the next one reuses its numbers in a new segment.
        self.expected_number = Some(self.expected_number.unwrap_or(0).max(number.saturating_add(records)));
        self.damage.missing += missing;
    }

    fn observe_times(&mut self, written_at: UnixTime, expires_at: UnixTime) {
        self.newest_write = self.newest_write.max(written_at);
        self.max_window = self.max_window.max(expires_at.saturating_sub(written_at));
    }

    fn finish(mut self, now: UnixTime) -> Recovered {
        // If the clock was set back, expiry times are moved back as far. Otherwise entries would be kept
        // longer by that time and fill the store.
        let clock_setback = self.newest_write.saturating_sub(now);
        let uncertain_keys = self.uncertain_keys(clock_setback, now);
        self.index.finish_recovery(clock_setback, uncertain_keys.resolved_at());
        // After a torn end one number is skipped, so that the next start finds a gap and treats keys as
        // uncertain too.
        let next_record = self.expected_number.unwrap_or(0).saturating_add(u64::from(self.torn_end));
        let known = self.last_records.into_values();
        let state = RecoveredState {
            seed: self.seed,
            // Unreadable records add nothing to a known key: an earlier one is superseded, and a later one
            // could at most hold how the run ended.
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

/// State of a key according to its last record; none if the run never started and the key is free.
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
