//! The byte format of a segment file, a header followed by records, and the scan that finds intact records
//! among damaged bytes.

use std::fmt::{self, Display, Formatter};
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};

use super::record::{Record, RecordHeader, HEADER_BYTES, RECORD_MAGIC};
use crate::clock::{millis, UnixTime};
use crate::hexadecimal;
use crate::outcome::digest;

/// Length of a segment's header in bytes.
pub(crate) const SEGMENT_HEADER_BYTES: usize = 40;
const SEGMENT_MAGIC: u64 = 0x4f41_4b57_494e_4401;
/// Length of the checksum at the end of a segment header in bytes.
const CHECKSUM_BYTES: usize = 8;
/// Seed of the checksum of a segment header. It is fixed, as the seed of the store is read from this header.
const CHECKSUM_SEED: u64 = 0;
const FILE_PREFIX: &str = "keys-";
const FILE_SUFFIX: &str = ".log";

/// Number of a segment. Segments are numbered in the order in which they are created.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct SegmentNumber(pub(crate) u64);

impl SegmentNumber {
    /// Number of the first segment of a store.
    pub(crate) const FIRST: SegmentNumber = SegmentNumber(1);

    /// Number of the segment that is created after this one.
    pub(crate) fn next(self) -> SegmentNumber {
        SegmentNumber(self.0 + 1)
    }
}

impl Display for SegmentNumber {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Header at the start of the file of a segment.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct SegmentHeader {
    /// Seed of the store, repeated in every segment so that damage to one file does not lose it.
    pub(crate) seed: u64,
    /// Number of the first record in the segment.
    pub(crate) first_record: u64,
    /// Time at which the segment was created.
    pub(crate) created_at: UnixTime,
}

impl SegmentHeader {
    /// Appends the encoded header to `output`.
    pub(crate) fn encode(self, output: &mut BytesMut) {
        let start = output.len();
        output.put_u64(SEGMENT_MAGIC);
        output.put_u64(self.seed);
        output.put_u64(self.first_record);
        output.put_u64(millis(self.created_at));
        let checksum = digest(CHECKSUM_SEED, &output[start..]);
        output.put_u64(checksum);
    }

    /// Decodes the header at the start of `bytes`; none if it is truncated or damaged.
    pub(crate) fn decode(bytes: &[u8]) -> Option<SegmentHeader> {
        let mut header = bytes.get(..SEGMENT_HEADER_BYTES)?;
        let checksum = digest(CHECKSUM_SEED, &header[..SEGMENT_HEADER_BYTES - CHECKSUM_BYTES]);
        let magic = header.get_u64();
        let seed = header.get_u64();
        let first_record = header.get_u64();
        let created_at = Duration::from_millis(header.get_u64());
        let intact = magic == SEGMENT_MAGIC && header.get_u64() == checksum;
        intact.then_some(SegmentHeader { seed, first_record, created_at })
    }
}

/// Item that the scan of a segment finds; items come in the order of their bytes.
#[derive(Debug, PartialEq)]
pub(crate) enum ScanItem {
    /// Record whose header and payload are intact.
    Intact(Record),
    /// Intact header of a record whose payload (key or result) is damaged or truncated.
    DamagedPayload(RecordHeader),
    /// Length in bytes of a stretch that is part of no record.
    Unrecognized(usize),
}

/// Scans `bytes`, which are those behind a segment's header, for records.
pub(crate) fn scan(seed: u64, bytes: &Bytes) -> Vec<ScanItem> {
    let mut items = Vec::new();
    let mut position = 0;
    while position < bytes.len() {
        let scanned = scan_item(seed, &bytes.slice(position..));
        items.push(scanned.item);
        position += scanned.len;
    }
    items
}

/// Item of a scan and the number of bytes that it takes.
struct Scanned {
    item: ScanItem,
    len: usize,
}

/// Determines the item at the start of `bytes`.
fn scan_item(seed: u64, bytes: &Bytes) -> Scanned {
    let Some(header) = RecordHeader::decode(seed, bytes) else {
        let len = next_header(seed, bytes, 1);
        return Scanned { item: ScanItem::Unrecognized(len), len };
    };
    if let Some(record) = header.decode_payload(seed, bytes) {
        return Scanned { item: ScanItem::Intact(record), len: header.record_len() };
    }
    // The payload may be truncated at any point, so the next record can begin directly behind this header.
    let len = next_header(seed, bytes, HEADER_BYTES);
    Scanned { item: ScanItem::DamagedPayload(header), len }
}

/// Offset of the first intact record header at or behind `from`; the length of `bytes` if there is none.
fn next_header(seed: u64, bytes: &[u8], from: usize) -> usize {
    let magic = RECORD_MAGIC.to_be_bytes();
    (from..bytes.len())
        .filter(|offset| bytes[*offset..].starts_with(&magic))
        .find(|offset| RecordHeader::decode(seed, &bytes[*offset..]).is_some())
        .unwrap_or(bytes.len())
}

/// Path of a segment file.
pub(crate) fn segment_path(folder: &Path, segment: SegmentNumber) -> PathBuf {
    let number = segment.0;
    folder.join(format!("{FILE_PREFIX}{number:016x}{FILE_SUFFIX}"))
}

/// Number of the segment with this file name; none if the name is not that of a segment.
pub(crate) fn segment_number(file_name: &str) -> Option<SegmentNumber> {
    let digits = file_name.strip_prefix(FILE_PREFIX)?.strip_suffix(FILE_SUFFIX)?;
    hexadecimal::parse(digits).map(SegmentNumber)
}

#[cfg(test)]
mod tests;
