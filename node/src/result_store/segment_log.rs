//! The folder of a result store: a lock file, a seed file and the segments of a log. This module does the I/O
//! that the [`SegmentIndex`] decides on. No record is reported as stored before it is durable.

use std::fs::{File, TryLockError};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::{Bytes, BytesMut};

use super::disk::{Disk, SystemDisk};
use super::record::{Record, RecordState};
use super::recovery::{recover, Recovered, RecoveredState, Segment};
use super::segment::{
    scan, segment_number, segment_path, ScanItem, SegmentHeader, SegmentNumber, SEGMENT_HEADER_BYTES,
};
use super::segment_index::{required_bytes, Limits, MaintenanceStep, SegmentIndex};
use crate::clock::UnixTime;
use crate::log;
use crate::outcome::MAX_RESULT_BYTES;

/// File that the process which has the folder open holds a lock on.
const LOCK_FILE: &str = "lock";
/// File with the seed of the store, in the format of a segment header.
const SEED_FILE: &str = "seed";

/// The log in one folder. While it is open, the folder is locked for this process.
pub(crate) struct SegmentLog<D: Disk = SystemDisk> {
    path: PathBuf,
    disk: D,
    /// Lock on the folder, released when the log is dropped.
    _lock: File,
    seed: u64,
    index: SegmentIndex,
    /// Segment that records are appended to; absent after a disk error, until the next write creates a new
    /// one.
    active_segment: Option<File>,
    next_record: u64,
}

/// A newly opened log and the state recovered from its folder.
pub(crate) struct OpenedLog<D: Disk = SystemDisk> {
    /// Log that new records are written to.
    pub(crate) log: SegmentLog<D>,
    /// State recovered from the segments.
    pub(crate) recovered: RecoveredState,
}

impl<D: Disk> SegmentLog<D> {
    /// Locks a folder, recovers its state and creates a new segment. After damage, keys are uncertain for at
    /// most `max_window`, unless a record has a longer window.
    ///
    /// # Errors
    ///
    /// If a disk operation fails; the kind is `WouldBlock` if another process has the folder open.
    pub(crate) fn open(
        path: &Path,
        mut disk: D,
        limits: Limits,
        max_window: Duration,
        now: UnixTime,
    ) -> io::Result<OpenedLog<D>> {
        let lock = lock_folder(path)?;
        let numbers = segment_numbers(path)?;
        let seed = open_seed(path, &numbers, &mut disk, now)?;
        let segments = numbers.into_iter().map(|number| read_segment(path, number, limits));
        let Recovered { index, state: recovered } = recover(seed, segments, limits, max_window, now);
        let mut log = SegmentLog {
            path: path.into(),
            disk,
            _lock: lock,
            seed,
            index,
            active_segment: None,
            next_record: recovered.next_record,
        };
        log.rotate(now)?;
        Ok(OpenedLog { log, recovered })
    }

    /// Writes the records for which there is capacity, with one sync of the disk. Returns for each record
    /// whether it is durable.
    pub(crate) fn write(&mut self, mut records: Vec<Record>, now: UnixTime) -> Vec<bool> {
        if let Err(error) = self.maintain(now) {
            log!("result store: maintenance failed, the next write tries again: error={error}");
        }
        let mut pending = 0;
        let accepted: Vec<bool> =
            records.iter_mut().map(|record| self.accept(record, &mut pending, now)).collect();
        let to_write: Vec<&Record> = records
            .iter()
            .zip(&accepted)
            .filter(|(_, accepted)| **accepted)
            .map(|(record, _)| record)
            .collect();
        if let Err(error) = self.append(&to_write) {
            log!(
                "result store: append failed, the next write begins a new segment: records={} error={error}",
                to_write.len()
            );
            return vec![false; accepted.len()];
        }
        accepted
    }

    /// Assigns a number and a time to a record if there is capacity for it behind `pending` bytes, and adds
    /// the bytes that it needs to `pending`.
    fn accept(&mut self, record: &mut Record, pending: &mut u64, now: UnixTime) -> bool {
        if record.result.len() > MAX_RESULT_BYTES {
            // The result is delivered to the first attempt but not stored; later attempts are answered as
            // failed.
            record.state = RecordState::Failed;
            record.result = Bytes::new();
        }
        if !self.index.has_capacity(record, *pending) {
            return false;
        }
        *pending += required_bytes(record);
        record.number = self.next_record;
        record.written_at = now;
        self.next_record += 1;
        true
    }

    /// Appends records that have their numbers to the active segment, durably.
    fn append(&mut self, records: &[&Record]) -> io::Result<()> {
        let Some(first) = records.first() else { return Ok(()) };
        let mut bytes = BytesMut::new();
        for record in records {
            record.encode(self.seed, &mut bytes);
        }
        // After an error it is unknown where the segment ends, so the next record goes to a new segment. It
        // reuses the numbers of the records that were not written, as numbers must have no gaps.
        let Some(segment) = &mut self.active_segment else {
            self.next_record = first.number;
            return Err(io::Error::other("there is no active segment, as creating one failed"));
        };
        // Counted before the write, as a partial write takes space too.
        self.index.grow_last_segment(bytes.len() as u64);
        if let Err(e) = self.disk.append(segment, &bytes) {
            self.active_segment = None;
            self.next_record = first.number;
            return Err(e);
        }
        for record in records {
            self.index.add_record(record);
        }
        Ok(())
    }

    /// Does the maintenance steps that the index asks for, after creating an active segment if there is none.
    fn maintain(&mut self, now: UnixTime) -> io::Result<()> {
        if self.active_segment.is_none() {
            self.rotate(now)?;
        }
        while let Some(step) = self.index.next_step(now) {
            match step {
                MaintenanceStep::Rotate => self.rotate(now)?,
                MaintenanceStep::Remove(number) => self.remove_segment(number)?,
                MaintenanceStep::Compact(number) => self.compact(number)?,
            }
        }
        Ok(())
    }

    /// Creates a segment and makes it the active one.
    fn rotate(&mut self, now: UnixTime) -> io::Result<()> {
        let number = self.index.next_segment_number();
        let header = SegmentHeader { seed: self.seed, first_record: self.next_record, created_at: now };
        let mut bytes = BytesMut::new();
        header.encode(&mut bytes);
        self.active_segment = None;
        self.active_segment = Some(self.disk.create(&segment_path(&self.path, number), &bytes)?);
        self.index.add_segment(number, SEGMENT_HEADER_BYTES as u64);
        Ok(())
    }

    fn remove_segment(&mut self, number: SegmentNumber) -> io::Result<()> {
        remove_if_present(&mut self.disk, &segment_path(&self.path, number))?;
        self.index.remove_segment(number);
        Ok(())
    }

    /// Appends the current records of the oldest segment to the active one, durably, and only then removes
    /// the oldest segment, so that a crash at any moment leaves at least one copy of each record.
    fn compact(&mut self, number: SegmentNumber) -> io::Result<()> {
        let bytes = Bytes::from(read_file(&segment_path(&self.path, number), u64::MAX)?);
        let mut current = Vec::new();
        for item in scan(self.seed, &bytes.slice(bytes.len().min(SEGMENT_HEADER_BYTES)..)) {
            let ScanItem::Intact(mut record) = item else { continue };
            if self.index.is_current(&record) {
                record.number = self.next_record;
                self.next_record += 1;
                current.push(record);
            }
        }
        self.append(&current.iter().collect::<Vec<_>>())?;
        self.remove_segment(number)
    }

    /// Number of keys that are remembered.
    pub(crate) fn key_count(&self) -> usize {
        self.index.key_count()
    }

    /// Bytes of all segments together.
    pub(crate) fn bytes(&self) -> u64 {
        self.index.bytes()
    }
}

/// Locks the folder for this process; fails at once if another process holds the lock.
fn lock_folder(path: &Path) -> io::Result<File> {
    let lock = File::options().write(true).create(true).truncate(false).open(path.join(LOCK_FILE))?;
    match lock.try_lock() {
        Ok(()) => Ok(lock),
        Err(TryLockError::WouldBlock) => {
            Err(io::Error::new(io::ErrorKind::WouldBlock, "another process has it open"))
        }
        Err(TryLockError::Error(e)) => Err(e),
    }
}

/// Reads the seed of the store. If the seed file is missing or damaged, it is written anew with the seed from
/// a segment or, if no segment has an intact header, with a new random seed.
fn open_seed(
    path: &Path,
    segments: &[SegmentNumber],
    disk: &mut impl Disk,
    now: UnixTime,
) -> io::Result<u64> {
    let seed_path = path.join(SEED_FILE);
    if let Some(header) = read_header(&seed_path) {
        return Ok(header.seed);
    }
    let from_segment = segments.iter().find_map(|number| read_header(&segment_path(path, *number)));
    let seed = from_segment.map_or_else(random_seed, |header| header.seed);
    let mut bytes = BytesMut::new();
    SegmentHeader { seed, first_record: 0, created_at: now }.encode(&mut bytes);
    remove_if_present(disk, &seed_path)?;
    disk.create(&seed_path, &bytes)?;
    Ok(seed)
}

fn read_header(path: &Path) -> Option<SegmentHeader> {
    let bytes = read_file(path, SEGMENT_HEADER_BYTES as u64).ok()?;
    SegmentHeader::decode(&bytes)
}

/// Reads a segment. A file that cannot be read is treated as an empty, damaged segment, so that the process
/// still starts.
fn read_segment(folder: &Path, number: SegmentNumber, limits: Limits) -> Segment {
    let bytes = read_file(&segment_path(folder, number), limits.max_bytes).unwrap_or_else(|error| {
        log!("result store: segment unreadable, treated as damaged: segment={number} error={error}");
        Vec::new()
    });
    Segment { number, bytes: bytes.into() }
}

/// Numbers of the segments in a folder, in ascending order.
fn segment_numbers(folder: &Path) -> io::Result<Vec<SegmentNumber>> {
    let mut numbers = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        numbers.extend(entry?.file_name().to_str().and_then(segment_number));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

fn read_file(path: &Path, max_bytes: u64) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?.take(max_bytes).read_to_end(&mut bytes).map(|_| bytes)
}

fn remove_if_present(disk: &mut impl Disk, path: &Path) -> io::Result<()> {
    match disk.remove(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
        _ => Ok(()),
    }
}

/// Generates a seed that clients cannot predict, so that they cannot forge checksums.
fn random_seed() -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one(())
}

#[cfg(test)]
mod tests;
