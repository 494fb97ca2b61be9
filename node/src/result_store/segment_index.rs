//! Accounts for what the segments hold and decides what is to be done with them: whether one more key has capacity, when a
//! segment is full and which one goes next. No I/O.
//!
//! Segments go in the order in which they were created, so a record never outlives a later one of its key.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;

use super::record::{Record, RecordState, HEADER_BYTES};
use super::segment::SegmentNumber;
use crate::clock::UnixTime;
use crate::outcome::{LATE_READ_GRACE, MAX_RESULT_BYTES};

/// A segment is full at this part of the whole store.
const SEGMENTS_PER_STORE: u64 = 16;
/// Keys take up to this part of the store; the rest is left to compaction.
const LIVE_SHARE: u64 = 2;
/// The oldest segment is compacted once all together take more than three quarters of the store.
const COMPACTION_NUMERATOR: u64 = 3;
const COMPACTION_DENOMINATOR: u64 = 4;
/// How often expired keys are looked for.
const EXPIRY_SCAN_INTERVAL: Duration = Duration::from_secs(1);

/// The hard limits of a store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Limits {
    /// Bytes of all segments together.
    pub(crate) max_bytes: u64,
}

impl Limits {
    /// A segment that has this length takes no more records.
    fn segment_bytes(self) -> u64 {
        self.max_bytes / SEGMENTS_PER_STORE
    }

    /// Above this length the oldest segment is compacted.
    fn compaction_threshold(self) -> u64 {
        self.max_bytes / COMPACTION_DENOMINATOR * COMPACTION_NUMERATOR
    }
}

/// What is to be done before the next record is written.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum MaintenanceStep {
    /// Begin a new segment.
    Rotate,
    /// Remove the segment of this number: none of its records is current.
    Remove(SegmentNumber),
    /// Write the current records of the segment of this number again, then remove it.
    Compact(SegmentNumber),
}

/// A segment as the index knows it.
#[derive(Debug)]
struct SegmentEntry {
    number: SegmentNumber,
    bytes: u64,
    /// Records in it that are the last of their key.
    current_records: u64,
}

/// Where the last record of a key is.
#[derive(Debug)]
struct RecordLocation {
    segment: SegmentNumber,
    /// The number of the record.
    record: u64,
    bytes: u64,
    expires_at: UnixTime,
    /// Whether capacity is reserved for the end of the key's run.
    reserves_completion: bool,
}

/// The index of all segments and of the last record of each key.
#[derive(Debug)]
pub(crate) struct SegmentIndex {
    limits: Limits,
    segments: VecDeque<SegmentEntry>,
    locations: HashMap<Bytes, RecordLocation>,
    /// Bytes of the last records of all keys.
    current_bytes: u64,
    /// Bytes reserved for the ends of runs that have started.
    reserved_bytes: u64,
    last_expiry_scan: UnixTime,
    /// No segment is removed before then: its damaged records may be needed by one more start.
    retained_until: UnixTime,
}

impl SegmentIndex {
    /// The index of an empty store.
    pub(crate) fn new(limits: Limits) -> Self {
        SegmentIndex {
            limits,
            segments: VecDeque::new(),
            locations: HashMap::new(),
            current_bytes: 0,
            reserved_bytes: 0,
            last_expiry_scan: Duration::ZERO,
            retained_until: Duration::ZERO,
        }
    }

    /// A segment of so many bytes follows those before.
    pub(crate) fn add_segment(&mut self, number: SegmentNumber, bytes: u64) {
        self.segments.push_back(SegmentEntry { number, bytes, current_records: 0 });
    }

    /// The last segment grew by so many bytes.
    pub(crate) fn grow_last_segment(&mut self, bytes: u64) {
        if let Some(segment) = self.segments.back_mut() {
            segment.bytes += bytes;
        }
    }

    /// This record is in the last segment and is the last of its key.
    pub(crate) fn add_record(&mut self, record: &Record) {
        let Some(segment) = self.segments.back_mut() else { return };
        segment.current_records += 1;
        let location = RecordLocation {
            segment: segment.number,
            record: record.number,
            bytes: record.encoded_len() as u64,
            expires_at: record.expires_at,
            reserves_completion: record.state == RecordState::Started,
        };
        self.current_bytes += location.bytes;
        self.reserved_bytes += reserved_for(&record.key, location.reserves_completion);
        // The key outlives the buffer that it was read into.
        let key = Bytes::copy_from_slice(&record.key);
        if let Some(previous) = self.locations.insert(key.clone(), location) {
            self.release(&key, &previous);
        }
        if record.state == RecordState::NeverStarted {
            self.remove_key(&key);
        }
    }

    /// Gives back what a record that is no longer the last of its key took.
    fn release(&mut self, key: &Bytes, location: &RecordLocation) {
        self.current_bytes -= location.bytes;
        self.reserved_bytes -= reserved_for(key, location.reserves_completion);
        let segment = self.segments.iter_mut().find(|segment| segment.number == location.segment);
        if let Some(segment) = segment {
            segment.current_records -= 1;
        }
    }

    fn remove_key(&mut self, key: &Bytes) {
        if let Some(location) = self.locations.remove(key) {
            self.release(key, &location);
        }
    }

    /// Finishes recovery: the clock was set back by `clock_setback`, and segments are kept until `retained_until` for the
    /// sake of their damaged records. Runs that had started will report no end, so nothing is reserved for one.
    pub(crate) fn finish_recovery(&mut self, clock_setback: Duration, retained_until: UnixTime) {
        self.retained_until = retained_until;
        self.reserved_bytes = 0;
        for location in self.locations.values_mut() {
            location.expires_at = location.expires_at.saturating_sub(clock_setback);
            location.reserves_completion = false;
        }
    }

    /// Whether this record may be written after `pending` bytes that were accepted but are not written yet. The end of a
    /// run is always accepted, as its capacity was reserved when the run started.
    pub(crate) fn has_capacity(&self, record: &Record, pending: u64) -> bool {
        if record.state != RecordState::Started {
            return true;
        }
        let required = pending + required_bytes(record);
        let current = self.current_bytes + self.reserved_bytes + required;
        let stored = self.bytes() + self.reserved_bytes + required;
        current <= self.limits.max_bytes / LIVE_SHARE
            && stored + self.limits.segment_bytes() <= self.limits.max_bytes
    }

    /// Whether this record is the last of its key.
    pub(crate) fn is_current(&self, record: &Record) -> bool {
        self.locations.get(&record.key).is_some_and(|location| location.record == record.number)
    }

    /// What is to be done at `now` before the next record is written, if anything.
    pub(crate) fn next_step(&mut self, now: UnixTime) -> Option<MaintenanceStep> {
        if now >= self.last_expiry_scan + EXPIRY_SCAN_INTERVAL {
            self.last_expiry_scan = now;
            self.remove_expired_keys(now);
        }
        let newest = self.segments.back()?;
        if newest.bytes >= self.limits.segment_bytes() {
            return Some(MaintenanceStep::Rotate);
        }
        let oldest = self.segments.front()?;
        if oldest.number == newest.number || now < self.retained_until {
            return None;
        }
        if oldest.current_records == 0 {
            return Some(MaintenanceStep::Remove(oldest.number));
        }
        self.needs_compaction().then_some(MaintenanceStep::Compact(oldest.number))
    }

    fn remove_expired_keys(&mut self, now: UnixTime) {
        let expired = |location: &RecordLocation| now >= location.expires_at + LATE_READ_GRACE;
        let expired = self.locations.iter().filter(|(_, location)| expired(location));
        let keys: Vec<Bytes> = expired.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove_key(&key);
        }
    }

    /// Whether compaction frees enough: where nearly every record is current it would only move them round and round.
    fn needs_compaction(&self) -> bool {
        let obsolete = self.bytes().saturating_sub(self.current_bytes);
        self.bytes() > self.limits.compaction_threshold() && obsolete > 2 * self.limits.segment_bytes()
    }

    /// The segment of this number was removed.
    pub(crate) fn remove_segment(&mut self, number: SegmentNumber) {
        self.segments.retain(|segment| segment.number != number);
    }

    /// The number for a new segment.
    pub(crate) fn next_segment_number(&self) -> SegmentNumber {
        self.segments.back().map_or(SegmentNumber::FIRST, |segment| segment.number.next())
    }

    /// Bytes of all segments.
    pub(crate) fn bytes(&self) -> u64 {
        self.segments.iter().map(|segment| segment.bytes).sum()
    }

    /// The number of keys that are remembered.
    pub(crate) fn key_count(&self) -> usize {
        self.locations.len()
    }
}

/// The bytes that a record takes, with what it reserves for the end of its run.
pub(crate) fn required_bytes(record: &Record) -> u64 {
    record.encoded_len() as u64 + reserved_for(&record.key, record.state == RecordState::Started)
}

/// The bytes of the largest record of a run's end, if they are reserved.
fn reserved_for(key: &Bytes, reserves_completion: bool) -> u64 {
    if reserves_completion {
        (HEADER_BYTES + key.len() + MAX_RESULT_BYTES) as u64
    } else {
        0
    }
}
