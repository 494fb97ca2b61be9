//! Accounting of the records in the segments, and the decisions that follow from it: whether there is
//! capacity for one more key, when a segment is full, and which segment is removed or compacted next. No I/O.
//!
//! Segments are removed in the order of their creation. A record therefore never outlives a later record of
//! its key.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;

use super::record::{Record, RecordState, HEADER_BYTES};
use super::segment::SegmentNumber;
use crate::clock::UnixTime;
use crate::outcome::{LATE_READ_GRACE, MAX_RESULT_BYTES};

/// Segment length at which a segment is full, as a divisor of the store's size.
const SEGMENTS_PER_STORE: u64 = 16;
/// Space for current records and reservations, as a divisor of the store's size. The rest is headroom for
/// compaction.
const LIVE_DATA_DIVISOR: u64 = 2;
/// Numerator and denominator of the share of the store's size above which the oldest segment is compacted:
/// 3/4.
const COMPACTION_NUMERATOR: u64 = 3;
const COMPACTION_DENOMINATOR: u64 = 4;
/// Interval between scans for expired keys.
const EXPIRY_SCAN_INTERVAL: Duration = Duration::from_secs(1);

/// Hard limits of a store.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Limits {
    /// Limit on the bytes of all segments together.
    pub(crate) max_bytes: u64,
}

impl Limits {
    /// Length in bytes at which a segment is full and a new one is created.
    fn segment_bytes(self) -> u64 {
        self.max_bytes / SEGMENTS_PER_STORE
    }

    /// Bytes of all segments together above which the oldest segment may be compacted.
    fn compaction_threshold(self) -> u64 {
        self.max_bytes / COMPACTION_DENOMINATOR * COMPACTION_NUMERATOR
    }
}

/// Step to be done before the next record is written.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum MaintenanceStep {
    /// Create a new segment and append to it from then on.
    Rotate,
    /// Remove the segment with this number, none of whose records is the last of its key.
    Remove(SegmentNumber),
    /// Append the current records of the segment with this number to the active segment, then remove it.
    Compact(SegmentNumber),
}

/// Accounting of one segment.
#[derive(Debug)]
struct SegmentEntry {
    number: SegmentNumber,
    bytes: u64,
    /// Number of records in the segment that are the last of their key.
    current_records: u64,
}

/// Location of the last record of a key, and the space it takes.
#[derive(Debug)]
struct RecordLocation {
    segment: SegmentNumber,
    /// Number of the record in the sequence of all records.
    record: u64,
    bytes: u64,
    expires_at: UnixTime,
    /// Whether space is reserved for the completion record of the key's run.
    reserves_completion: bool,
}

/// Index of all segments and of the last record of each key.
#[derive(Debug)]
pub(crate) struct SegmentIndex {
    limits: Limits,
    segments: VecDeque<SegmentEntry>,
    locations: HashMap<Bytes, RecordLocation>,
    /// Bytes of the last records of all keys together.
    current_bytes: u64,
    /// Bytes reserved for the completion records of runs that have started.
    reserved_bytes: u64,
    last_expiry_scan: UnixTime,
    /// Time before which no segment is removed, so that the next start also finds the damaged records and
    /// treats the same keys as uncertain.
    retained_until: UnixTime,
}

impl SegmentIndex {
    /// Creates the index of an empty store.
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

    /// Adds a segment of `bytes` bytes behind the last one.
    pub(crate) fn add_segment(&mut self, number: SegmentNumber, bytes: u64) {
        self.segments.push_back(SegmentEntry { number, bytes, current_records: 0 });
    }

    /// Adds `bytes` to the length of the last segment.
    pub(crate) fn grow_last_segment(&mut self, bytes: u64) {
        if let Some(segment) = self.segments.back_mut() {
            segment.bytes += bytes;
        }
    }

    /// Adds a record of the last segment, which becomes the last record of its key. A never-started record
    /// frees the key.
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
        // Copied, as a slice would keep the whole buffer that the key was read into alive.
        let key = Bytes::copy_from_slice(&record.key);
        if let Some(previous) = self.locations.insert(key.clone(), location) {
            self.release(&key, &previous);
        }
        if record.state == RecordState::NeverStarted {
            self.remove_key(&key);
        }
    }

    /// Releases the space of a record that is no longer the last of its key.
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

    /// Finishes recovery. Expiry times are moved back by `clock_setback`, and no segment is removed before
    /// `retained_until`, as its damaged records are still needed. Reservations are released, as runs that had
    /// started before this start will never report their completion.
    pub(crate) fn finish_recovery(&mut self, clock_setback: Duration, retained_until: UnixTime) {
        self.retained_until = retained_until;
        self.reserved_bytes = 0;
        for location in self.locations.values_mut() {
            location.expires_at = location.expires_at.saturating_sub(clock_setback);
            location.reserves_completion = false;
        }
    }

    /// Whether there is capacity for this record behind `pending` bytes that were accepted but are not
    /// written yet. A completion record is always accepted, as its space was reserved when the run started.
    pub(crate) fn has_capacity(&self, record: &Record, pending: u64) -> bool {
        if record.state != RecordState::Started {
            return true;
        }
        let required = pending + required_bytes(record);
        let current = self.current_bytes + self.reserved_bytes + required;
        let stored = self.bytes() + self.reserved_bytes + required;
        current <= self.limits.max_bytes / LIVE_DATA_DIVISOR
            && stored + self.limits.segment_bytes() <= self.limits.max_bytes
    }

    /// Whether this record is the last one of its key.
    pub(crate) fn is_current(&self, record: &Record) -> bool {
        self.locations.get(&record.key).is_some_and(|location| location.record == record.number)
    }

    /// Next step to be done before a record is written; none if nothing is left to do at `now`.
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

    /// Whether the store is full enough for compaction and compaction would free enough. With nearly all
    /// records current, it would only copy the same records again and again.
    fn needs_compaction(&self) -> bool {
        let obsolete = self.bytes().saturating_sub(self.current_bytes);
        self.bytes() > self.limits.compaction_threshold() && obsolete > 2 * self.limits.segment_bytes()
    }

    /// Removes the segment with this number from the index.
    pub(crate) fn remove_segment(&mut self, number: SegmentNumber) {
        self.segments.retain(|segment| segment.number != number);
    }

    /// Number that the next segment gets.
    pub(crate) fn next_segment_number(&self) -> SegmentNumber {
        self.segments.back().map_or(SegmentNumber::FIRST, |segment| segment.number.next())
    }

    /// Bytes of all segments together.
    pub(crate) fn bytes(&self) -> u64 {
        self.segments.iter().map(|segment| segment.bytes).sum()
    }

    /// Number of keys that are remembered.
    pub(crate) fn key_count(&self) -> usize {
        self.locations.len()
    }
}

/// Bytes that a record needs: its own, and those reserved for the completion record of its run.
pub(crate) fn required_bytes(record: &Record) -> u64 {
    record.encoded_len() as u64 + reserved_for(&record.key, record.state == RecordState::Started)
}

/// Bytes reserved for the completion record of a key's run: those of the largest possible one, or 0 if none
/// is reserved.
fn reserved_for(key: &Bytes, reserves_completion: bool) -> u64 {
    if reserves_completion {
        (HEADER_BYTES + key.len() + MAX_RESULT_BYTES) as u64
    } else {
        0
    }
}
