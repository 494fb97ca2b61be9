//! What the folder holds, and what is to be done with it: whether one more key has room, when a segment is full, and
//! which one goes next. Decisions alone, no I/O.
//!
//! Segments go in the order in which they came, so a record never outlives a later one of its key.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use bytes::Bytes;

use super::record::{Record, RecordState, HEAD};
use crate::clock::Unix;
use crate::outcome::{LATE_READ_GRACE, MAX_RESULT_BYTES};

/// The hard bounds of a folder.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
    /// Bytes of all segments.
    pub file: u64,
}

impl Limits {
    /// A segment takes no more records once it has this length.
    fn segment(self) -> u64 {
        self.file / 16
    }

    /// Beyond this the oldest segment is written anew, without what is of no more use.
    fn crowded(self) -> u64 {
        self.file / 4 * 3
    }
}

/// What is to be done before the next record is written.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Step {
    /// Begin a new segment.
    Rotate,
    /// Remove this segment: nothing in it is of use.
    Retire(u64),
    /// Write again what is of use in this segment, which can go then.
    Compact(u64),
}

#[derive(Debug)]
struct Segment {
    number: u64,
    bytes: u64,
    /// Records in it that are the last word on their key.
    live: u64,
}

/// Where the last word on a key is.
#[derive(Debug)]
struct Place {
    segment: u64,
    number: u64,
    bytes: u64,
    expires_at: Unix,
    open: bool,
}

/// The books of a folder.
#[derive(Debug)]
pub struct SegmentIndex {
    limits: Limits,
    segments: VecDeque<Segment>,
    places: HashMap<Bytes, Place>,
    /// Bytes of the last words, and those set aside for the ends of what has begun.
    live: u64,
    reserved: u64,
    swept: Unix,
    /// No segment goes before then: what is damaged in them may still be of use.
    held: Unix,
}

/// What a record takes, with what it sets aside.
pub fn needed(record: &Record) -> u64 {
    record.bytes() as u64 + if record.state == RecordState::Started { end_of(&record.key) } else { 0 }
}

/// The most that the end of a run takes.
fn end_of(key: &Bytes) -> u64 {
    (HEAD + key.len() + MAX_RESULT_BYTES) as u64
}

impl SegmentIndex {
    /// The books of an empty folder.
    pub fn new(limits: Limits) -> Self {
        SegmentIndex {
            limits,
            segments: VecDeque::new(),
            places: HashMap::new(),
            live: 0,
            reserved: 0,
            swept: Duration::ZERO,
            held: Duration::ZERO,
        }
    }

    /// A segment of so many bytes follows the ones before.
    pub fn opened(&mut self, number: u64, bytes: u64) {
        self.segments.push_back(Segment { number, bytes, live: 0 });
    }

    /// This record is in the last segment.
    pub fn wrote(&mut self, record: &Record) {
        let Some(segment) = self.segments.back_mut() else { return };
        let number = segment.number;
        segment.live += 1;
        let open = record.state == RecordState::Started;
        let place = Place {
            segment: number,
            number: record.number,
            bytes: record.bytes() as u64,
            expires_at: record.expires_at,
            open,
        };
        self.live += place.bytes;
        self.reserved += if open { end_of(&record.key) } else { 0 };
        // The key outlives the buffer that it came in.
        let key = Bytes::copy_from_slice(&record.key);
        if let Some(before) = self.places.insert(key.clone(), place) {
            self.leave(&key, &before);
        }
        if record.state == RecordState::NeverStarted {
            self.drop_key(&key);
        }
    }

    /// The last segment grew.
    pub fn appended(&mut self, bytes: u64) {
        if let Some(segment) = self.segments.back_mut() {
            segment.bytes += bytes;
        }
    }

    fn leave(&mut self, key: &Bytes, place: &Place) {
        self.live -= place.bytes;
        self.reserved -= if place.open { end_of(key) } else { 0 };
        if let Some(segment) = self.segments.iter_mut().find(|segment| segment.number == place.segment) {
            segment.live -= 1;
        }
    }

    fn drop_key(&mut self, key: &Bytes) {
        if let Some(place) = self.places.remove(key) {
            self.leave(key, &place);
        }
    }

    /// After a start: the clock has gone back by so much, and until `held` segments are kept for what is damaged. Of
    /// what had begun no end will come, so none has room set aside.
    pub fn recovered(&mut self, clock_setback: Duration, held: Unix) {
        self.held = held;
        self.reserved = 0;
        for place in self.places.values_mut() {
            place.expires_at = place.expires_at.saturating_sub(clock_setback);
            place.open = false;
        }
    }

    /// Whether this may be written. The beginning of a run needs room for its end too: guards the ends, which always
    /// have their room, and the bound.
    /// So many bytes are as good as written.
    pub fn has_room(&self, record: &Record, pending: u64) -> bool {
        if record.state != RecordState::Started {
            return true;
        }
        let more = pending + needed(record);
        self.live + self.reserved + more <= self.limits.file / 2
            && self.bytes() + self.reserved + more + self.limits.segment() <= self.limits.file
    }

    /// Whether this record is the last word on its key.
    pub fn is_live(&self, record: &Record) -> bool {
        self.places.get(&record.key).is_some_and(|place| place.number == record.number)
    }

    /// What is to be done at `now` before the next record, if anything.
    pub fn step(&mut self, now: Unix) -> Option<Step> {
        if now >= self.swept + Duration::from_secs(1) {
            self.swept = now;
            let over = |place: &Place| now >= place.expires_at + LATE_READ_GRACE;
            let over = self.places.iter().filter(|(_, place)| over(place)).map(|(key, _)| key.clone());
            over.collect::<Vec<Bytes>>().iter().for_each(|key| self.drop_key(key));
        }
        let last = self.segments.back()?;
        if last.bytes >= self.limits.segment() {
            return Some(Step::Rotate);
        }
        let oldest =
            self.segments.front().filter(|oldest| oldest.number != last.number && now >= self.held)?;
        if oldest.live == 0 {
            return Some(Step::Retire(oldest.number));
        }
        // Guards against going round for ever where nearly all is of use.
        let useless = self.bytes().saturating_sub(self.live);
        let crowded = self.bytes() > self.limits.crowded() && useless > 2 * self.limits.segment();
        crowded.then_some(Step::Compact(oldest.number))
    }

    /// A segment was removed.
    pub fn retired(&mut self, number: u64) {
        self.segments.retain(|segment| segment.number != number);
    }

    /// The number for a new segment.
    pub fn next_segment(&self) -> u64 {
        self.segments.back().map_or(1, |segment| segment.number + 1)
    }

    /// Bytes of all segments.
    pub fn bytes(&self) -> u64 {
        self.segments.iter().map(|segment| segment.bytes).sum()
    }

    /// Keys that are remembered.
    pub fn keys(&self) -> usize {
        self.places.len()
    }
}
