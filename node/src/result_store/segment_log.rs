//! The folder of a result store: a lock file, a file with the seed and the segments of a log. Does the I/O that the
//! [`SegmentIndex`] decides on; no record is reported as stored before it is durable.

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

/// Locked by the process that has the folder open.
const LOCK_FILE: &str = "lock";
/// Holds a segment header for the sake of the seed in it.
const SEED_FILE: &str = "seed";

/// The log of one folder, which belongs to this process alone while it is open.
pub(crate) struct SegmentLog<D: Disk = SystemDisk> {
    path: PathBuf,
    disk: D,
    /// Released when the log is dropped.
    _lock: File,
    seed: u64,
    index: SegmentIndex,
    /// The segment that records are appended to; a new one is created where there is none.
    active_segment: Option<File>,
    next_record: u64,
}

/// A log that was opened, and what was found in its folder.
pub(crate) struct OpenedLog<D: Disk = SystemDisk> {
    /// The log.
    pub(crate) log: SegmentLog<D>,
    /// What was in the folder.
    pub(crate) recovered: RecoveredState,
}

impl<D: Disk> SegmentLog<D> {
    /// Opens a folder and recovers what is in it. No key counts as remembered for longer than `max_window`, unless a
    /// record says so.
    ///
    /// # Errors
    ///
    /// The kind is `WouldBlock` if another process has the folder open.
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

    /// Writes the records for which there is capacity, with one wait for the disk. Returns for each whether it is durable.
    pub(crate) fn write(&mut self, mut records: Vec<Record>, now: UnixTime) -> Vec<bool> {
        if let Err(error) = self.maintain(now) {
            log!("result store: maintenance failed: error={error}");
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
            log!("result store: append failed: records={} error={error}", to_write.len());
            return vec![false; accepted.len()];
        }
        accepted
    }

    /// Numbers a record if there is capacity for it behind `pending` bytes, which it is added to.
    fn accept(&mut self, record: &mut Record, pending: &mut u64, now: UnixTime) -> bool {
        if record.result.len() > MAX_RESULT_BYTES {
            // It was delivered once; later attempts get 'failed'.
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

    /// Appends numbered records to the active segment.
    fn append(&mut self, records: &[&Record]) -> io::Result<()> {
        let Some(first) = records.first() else { return Ok(()) };
        let mut bytes = BytesMut::new();
        for record in records {
            record.encode(self.seed, &mut bytes);
        }
        // After an error the end of the segment is unknown: the next record goes to a new one, under the numbers that
        // were not used.
        let Some(segment) = &mut self.active_segment else {
            self.next_record = first.number;
            return Err(io::Error::other("no segment could be created"));
        };
        // Also what was written in part takes space.
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

    /// Does what the index asks for.
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

    /// Creates a segment, which is the active one from then on.
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

    /// Writes the current records of the oldest segment again, durably, and only then removes it: a crash at any moment
    /// leaves each record at least once.
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

    /// The number of keys that are remembered.
    pub(crate) fn key_count(&self) -> usize {
        self.index.key_count()
    }

    /// Bytes of all segments.
    pub(crate) fn bytes(&self) -> u64 {
        self.index.bytes()
    }
}

/// Locks the folder for this process.
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

/// Reads the seed, from a segment if its own file is damaged, and writes that file again then. A store without any gets a
/// new seed.
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

/// Reads a segment. One that cannot be read counts as damaged, so that one bad file does not prevent the start.
fn read_segment(folder: &Path, number: SegmentNumber, limits: Limits) -> Segment {
    let bytes = read_file(&segment_path(folder, number), limits.max_bytes).unwrap_or_else(|error| {
        log!("result store: segment not readable: segment={number} error={error}");
        Vec::new()
    });
    Segment { number, bytes: bytes.into() }
}

/// The numbers of the segments in a folder, in ascending order.
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

/// A seed that no client can predict.
fn random_seed() -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one(())
}

#[cfg(test)]
mod tests;
