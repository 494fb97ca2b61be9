//! The folder that lasts: a lock, the seed, and the segments of the journal. It does what the ledger decides.

use std::fs::{File, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::{Bytes, BytesMut};

use super::record::{self, Found, Record, RecordState, SegmentHead, SEGMENT_HEAD};
use super::recovery::{recover, RecoveredState, Segment};
use super::segment_index::{needed, Limits, SegmentIndex, Step};
use crate::clock::Unix;
use crate::log;
use crate::outcome::MAX_RESULT_BYTES;

const LOCK: &str = "lock";
const SEED: &str = "seed";

/// What the folder needs of a disk; tests put one in its place that fails.
pub trait Disk {
    /// Makes a new file with these bytes, durably.
    fn create(&mut self, path: &Path, bytes: &[u8]) -> io::Result<File>;
    /// Appends bytes, durably.
    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()>;
    /// Removes a file.
    fn remove(&mut self, path: &Path) -> io::Result<()>;
}

/// The system's.
pub struct System;

impl Disk for System {
    fn create(&mut self, path: &Path, bytes: &[u8]) -> io::Result<File> {
        let mut file = File::options().append(true).create_new(true).open(path)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        // The name is durable only with its folder.
        path.parent().map_or(Ok(()), |folder| File::open(folder)?.sync_all())?;
        Ok(file)
    }

    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        file.write_all(bytes)?;
        file.sync_data()
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        std::fs::remove_file(path)
    }
}

/// The folder, which is this process's alone while it is open.
pub struct SegmentLog<D: Disk = System> {
    path: PathBuf,
    disk: D,
    _lock: File,
    seed: u64,
    ledger: SegmentIndex,
    /// The segment that records go to; a new one is begun where there is none.
    last: Option<File>,
    next: u64,
}

impl<D: Disk> SegmentLog<D> {
    /// Opens it, with what it remembers. A folder that another process has open is an error of the kind
    /// `WouldBlock`.
    pub fn open(
        path: &Path,
        mut disk: D,
        limits: Limits,
        longest: Duration,
        now: Unix,
    ) -> io::Result<(Self, RecoveredState)> {
        let lock = File::options().write(true).create(true).truncate(false).open(path.join(LOCK))?;
        lock.try_lock().map_err(|e| match e {
            TryLockError::WouldBlock => {
                io::Error::new(io::ErrorKind::WouldBlock, "another process has it open")
            }
            TryLockError::Error(e) => e,
        })?;
        let numbers = numbers(path)?;
        let head =
            |path: &Path| read(path, SEGMENT_HEAD as u64).ok().and_then(|bytes| record::segment_head(&bytes));
        let kept = head(&path.join(SEED));
        // The seed is in every segment as well: guards it against damage in any one place.
        let told = kept.or_else(|| numbers.iter().find_map(|number| head(&name(path, *number))));
        let seed = told.map_or_else(fresh_seed, |head| head.seed);
        if kept.is_none() {
            let mut bytes = BytesMut::new();
            record::put_segment_head(SegmentHead { seed, first: 0, written_at: now }, &mut bytes);
            match disk.remove(&path.join(SEED)) {
                Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
                _ => disk.create(&path.join(SEED), &bytes)?,
            };
        }
        let segments = numbers.into_iter().map(|number| {
            let bytes = read(&name(path, number), limits.file).unwrap_or_else(|e| {
                // It counts as damaged: guards the start against one bad file.
                log!("remembered: segment {number} can't be read: {e}");
                Vec::new()
            });
            Segment { number, bytes: bytes.into() }
        });
        let (ledger, learnt) = recover(seed, segments, limits, longest, now);
        let next = learnt.next;
        let mut folder = SegmentLog { path: path.into(), disk, _lock: lock, seed, ledger, last: None, next };
        folder.rotate(now)?;
        Ok((folder, learnt))
    }

    /// Writes what has room, with one wait for the disk, and tells of each whether it is kept for sure.
    pub fn write(&mut self, mut records: Vec<Record>, now: Unix) -> Vec<bool> {
        if let Err(e) = self.tidy(now) {
            log!("remembered: the folder is not tidied: {e}");
        }
        let mut pending = 0;
        let mut fit = |record: &mut Record| {
            if record.result.len() > MAX_RESULT_BYTES {
                (record.state, record.result) = (RecordState::Failed, Bytes::new());
            }
            let fits = self.ledger.has_room(record, pending);
            if fits {
                pending += needed(record);
                (record.number, record.written_at) = (self.next, now);
                self.next += 1;
            }
            fits
        };
        let fits: Vec<bool> = records.iter_mut().map(&mut fit).collect();
        let kept: Vec<&Record> =
            records.iter().zip(&fits).filter(|(_, fits)| **fits).map(|(r, _)| r).collect();
        if let Err(e) = self.append(&kept) {
            log!("remembered: {} records are not kept: {e}", kept.len());
            return vec![false; fits.len()];
        }
        fits
    }

    fn append(&mut self, records: &[&Record]) -> io::Result<()> {
        if records.is_empty() {
            return Ok(());
        }
        let mut bytes = BytesMut::new();
        records.iter().for_each(|record| record.put(self.seed, &mut bytes));
        // After an error nothing is known of the segment's end: the next record goes to a new one, under the numbers
        // that were not used.
        let first = records.first().map_or(self.next, |record| record.number);
        let Some(file) = &mut self.last else {
            self.next = first;
            return Err(io::Error::other("no segment could be begun"));
        };
        // Also what was written in part is there.
        self.ledger.appended(bytes.len() as u64);
        self.disk.append(file, &bytes).inspect_err(|_| {
            self.last = None;
            self.next = first;
        })?;
        records.iter().for_each(|record| self.ledger.wrote(record));
        Ok(())
    }

    /// Does what the ledger asks for.
    fn tidy(&mut self, now: Unix) -> io::Result<()> {
        if self.last.is_none() {
            self.rotate(now)?;
        }
        while let Some(step) = self.ledger.step(now) {
            match step {
                Step::Rotate => self.rotate(now)?,
                Step::Retire(number) => self.retire(number)?,
                Step::Compact(number) => self.compact(number)?,
            }
        }
        Ok(())
    }

    fn rotate(&mut self, now: Unix) -> io::Result<()> {
        let (number, mut head) = (self.ledger.next_segment(), BytesMut::new());
        record::put_segment_head(
            SegmentHead { seed: self.seed, first: self.next, written_at: now },
            &mut head,
        );
        self.last = None;
        self.last = Some(self.disk.create(&name(&self.path, number), &head)?);
        self.ledger.opened(number, SEGMENT_HEAD as u64);
        Ok(())
    }

    fn retire(&mut self, number: u64) -> io::Result<()> {
        match self.disk.remove(&name(&self.path, number)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => self.ledger.retired(number),
        }
        Ok(())
    }

    /// Writes again, durably, what is of use in the oldest segment; only then does that go. Cut off anywhere, this
    /// leaves each record at least once.
    fn compact(&mut self, number: u64) -> io::Result<()> {
        let bytes = Bytes::from(read(&name(&self.path, number), u64::MAX)?);
        let found = record::find(self.seed, &bytes.slice(bytes.len().min(SEGMENT_HEAD)..));
        let mut live = Vec::new();
        for found in found {
            let Found::Whole(mut record) = found else { continue };
            if self.ledger.is_live(&record) {
                record.number = self.next;
                self.next += 1;
                live.push(record);
            }
        }
        self.append(&live.iter().collect::<Vec<_>>())?;
        self.retire(number)
    }

    /// Keys that are remembered, and bytes of all segments.
    pub fn size(&self) -> (usize, u64) {
        (self.ledger.keys(), self.ledger.bytes())
    }
}

fn name(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("keys-{number:016x}.log"))
}

/// The numbers of the segments in a folder, in their order.
fn numbers(folder: &Path) -> io::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let name = entry?.file_name();
        let number = name.to_str().and_then(|name| name.strip_prefix("keys-")?.strip_suffix(".log"));
        numbers.extend(number.and_then(|number| u64::from_str_radix(number, 16).ok()));
    }
    numbers.sort_unstable();
    Ok(numbers)
}

fn read(path: &Path, most: u64) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    File::open(path)?.take(most).read_to_end(&mut bytes).map(|_| bytes)
}

/// A seed that no client can foresee.
fn fresh_seed() -> u64 {
    use std::hash::{BuildHasher, RandomState};
    RandomState::new().hash_one(())
}

#[cfg(test)]
mod tests;
