use super::*;
use crate::outcome::BodyDigest;
use crate::outcome::RunState;
use crate::result_store::recovery::Damage;
use crate::test_support::TestFolder;
use std::cell::Cell;
use std::collections::HashMap;
use std::io::Write;
use std::rc::Rc;

const LIMITS: Limits = Limits { max_bytes: 4 << 20 };
const MAX_WINDOW: Duration = Duration::from_secs(17);

impl TestFolder {
    fn open<D: Disk>(&self, disk: D, now: UnixTime) -> OpenedLog<D> {
        SegmentLog::open(&self.0, disk, LIMITS, MAX_WINDOW, now).unwrap()
    }

    fn bytes(&self) -> u64 {
        std::fs::read_dir(&self.0).unwrap().map(|entry| entry.unwrap().metadata().unwrap().len()).sum()
    }
}

/// Disk with injected failures. The last of the `remaining` operations, if it is a write, writes only
/// `partial_bytes` bytes and fails; all operations after it fail. A test may raise `remaining` again to end
/// the failure.
#[derive(Clone)]
struct FailingDisk {
    remaining: Rc<Cell<u32>>,
    partial_bytes: usize,
}

impl FailingDisk {
    fn consume_operation(&self) -> io::Result<()> {
        let remaining = self.remaining.get();
        self.remaining.set(remaining.saturating_sub(1));
        if remaining == 0 {
            Err(io::Error::other("injected disk failure"))
        } else {
            Ok(())
        }
    }
}

impl Disk for FailingDisk {
    fn create(&mut self, path: &Path, bytes: &[u8]) -> io::Result<File> {
        let fails_here = self.remaining.get() == 1;
        if fails_here {
            std::fs::write(path, &bytes[..self.partial_bytes.min(bytes.len())])?;
        }
        self.consume_operation().and_then(|()| if fails_here { self.consume_operation() } else { Ok(()) })?;
        // Not synced, as these tests do not crash the machine.
        let mut file = File::options().append(true).create_new(true).open(path)?;
        file.write_all(bytes).map(|()| file)
    }

    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        if self.remaining.get() == 1 {
            self.remaining.set(0);
            file.write_all(&bytes[..self.partial_bytes.min(bytes.len())])?;
        }
        self.consume_operation()?;
        file.write_all(bytes)
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        self.consume_operation()?;
        SystemDisk.remove(path)
    }
}

fn record(key: &str, state: RecordState, result_len: usize, now: UnixTime) -> Record {
    let expires_at = now + Duration::from_secs(10);
    let (key, result) = (Bytes::copy_from_slice(key.as_bytes()), Bytes::from(vec![7; result_len]));
    Record { written_at: now, ..Record::new(key, BodyDigest(1), expires_at, state, result) }
}

fn at(millis: u64) -> UnixTime {
    Duration::from_millis(1_000_000 + millis)
}

#[test]
fn the_folder_is_open_in_one_process_at_a_time_and_the_next_one_recovers_its_records() {
    let folder = TestFolder::new();
    let OpenedLog { mut log, .. } = folder.open(SystemDisk, at(0));
    let second = SegmentLog::open(&folder.0, SystemDisk, LIMITS, MAX_WINDOW, at(0));
    assert_eq!(second.err().unwrap().kind(), io::ErrorKind::WouldBlock);
    let records =
        vec![record("k", RecordState::Started, 0, at(0)), record("k", RecordState::Succeeded, 9, at(1))];
    assert_eq!(log.write(records, at(1)), [true, true]);
    drop(log);
    // The segments hold copies of the seed, so damage to the seed file does not lose it.
    std::fs::write(folder.0.join(SEED_FILE), b"damaged").unwrap();
    let OpenedLog { log: _log, recovered } = folder.open(SystemDisk, at(2));
    assert_eq!(recovered.keys[0].state, RunState::Succeeded(vec![7; 9].into()));
    assert_eq!(recovered.damage, Damage::default());
}

#[test]
fn the_size_limit_holds_while_completions_always_have_capacity_and_expired_keys_free_theirs() {
    let folder = TestFolder::new();
    let OpenedLog { mut log, .. } = folder.open(SystemDisk, at(0));
    let mut started = Vec::new();
    for n in 0.. {
        let key = format!("key {n}");
        if !log.write(vec![record(&key, RecordState::Started, 0, at(0))], at(0))[0] {
            break;
        }
        started.push(key);
    }
    assert!(started.len() > 20);
    for key in &started {
        let completion = record(key, RecordState::Succeeded, MAX_RESULT_BYTES, at(1));
        assert_eq!(log.write(vec![completion], at(1)), [true]);
        assert!(folder.bytes() <= LIMITS.max_bytes);
    }
    assert_eq!(log.write(vec![record("more", RecordState::Started, 0, at(2))], at(2)), [false]);
    // No key was evicted to make room.
    drop(log);
    let OpenedLog { mut log, recovered } = folder.open(SystemDisk, at(3));
    assert_eq!(recovered.keys.len(), started.len());
    let late = at(30_000);
    assert_eq!(log.write(vec![record("more", RecordState::Started, 0, late)], late), [true]);
    assert_eq!(log.key_count(), 1);
    // A result that is too long is not stored; the run is recorded as failed.
    log.write(vec![record("more", RecordState::Succeeded, MAX_RESULT_BYTES + 1, late)], late);
    drop(log);
    assert_eq!(folder.open(SystemDisk, late).recovered.keys[0].state, RunState::Failed);
}

/// Seeded generator of pseudo-random numbers below a bound.
struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 33) % bound
    }
}

/// Last record of a key that was reported as durable.
struct Acknowledged {
    record: Record,
    /// Whether a later record of the key was reported as not durable; it may be on the disk all the same.
    may_be_outdated: bool,
}

/// Sequence of processes that use one folder; their writes and disk failures are drawn from a seed.
struct FaultRun {
    seed: u64,
    random: Random,
    folder: TestFolder,
    acknowledged: HashMap<Bytes, Acknowledged>,
    now: u64,
    next_key: u64,
}

impl FaultRun {
    fn new(seed: u64) -> FaultRun {
        FaultRun {
            seed,
            random: Random(seed),
            folder: TestFolder::new(),
            acknowledged: HashMap::new(),
            now: 0,
            next_key: 0,
        }
    }

    /// Runs a process that opens the folder, checks the recovered state and writes batches. Its disk fails at
    /// a random operation, in an append, a rotation or a compaction.
    fn run_process(&mut self) {
        let remaining = Rc::new(Cell::new(u32::MAX));
        let disk =
            FailingDisk { remaining: remaining.clone(), partial_bytes: self.random.below(300) as usize };
        let OpenedLog { mut log, recovered } = self.folder.open(disk, at(self.now));
        self.assert_recovered(&recovered);
        remaining.set(100 + self.random.below(100) as u32);
        for _ in 0..150 {
            self.now += 200;
            let now = at(self.now);
            self.acknowledged.retain(|_, last| now < last.record.expires_at);
            let batch = self.draw_batch();
            let durable = log.write(batch.clone(), now);
            self.acknowledge(batch, &durable);
            assert!(self.folder.bytes() <= LIMITS.max_bytes, "seed {}", self.seed);
        }
        if self.random.below(2) == 0 {
            // The disk works again while the process is still running.
            remaining.set(u32::MAX);
            let now = at(self.now);
            assert_eq!(log.write(vec![record("back", RecordState::Started, 0, now)], now).len(), 1);
        }
    }

    fn assert_recovered(&self, recovered: &RecoveredState) {
        let seed = self.seed;
        for (key, Acknowledged { record, may_be_outdated }) in &self.acknowledged {
            let found = recovered.keys.iter().find(|record| record.key == key).map(|found| &found.state);
            let expected = match record.state {
                RecordState::Started => Some(RunState::Pending),
                RecordState::Succeeded => Some(RunState::Succeeded(record.result.clone())),
                RecordState::Failed => Some(RunState::Failed),
                RecordState::NeverStarted => None,
            };
            let as_acknowledged = found == expected.as_ref() || *may_be_outdated;
            assert!(as_acknowledged, "seed {seed}: {key:?} is not {:?}", record.state);
            let looks_unrun = found.is_none() && record.state != RecordState::NeverStarted;
            assert!(!looks_unrun, "seed {seed}: {key:?} looks as if it had not run");
        }
    }

    fn draw_batch(&mut self) -> Vec<Record> {
        let mut batch: Vec<Record> = Vec::new();
        for _ in 0..=self.random.below(3) {
            let next = match self.oldest_started(&batch) {
                Some(started) if self.random.below(3) > 0 => self.draw_completion(started),
                _ => self.draw_start(),
            };
            batch.push(next);
        }
        batch
    }

    /// The oldest run that has started, has not completed and has no record in the batch.
    fn oldest_started(&self, batch: &[Record]) -> Option<Record> {
        let started = self.acknowledged.values().filter(|last| {
            last.record.state == RecordState::Started
                && !last.may_be_outdated
                && !batch.iter().any(|record| record.key == last.record.key)
        });
        started.map(|last| &last.record).min_by_key(|record| record.number).cloned()
    }

    fn draw_completion(&mut self, started: Record) -> Record {
        let states =
            [RecordState::Succeeded, RecordState::Succeeded, RecordState::Failed, RecordState::NeverStarted];
        let state = states[self.random.below(4) as usize];
        let result_len = if state == RecordState::Succeeded { self.random.below(60_000) as usize } else { 0 };
        Record { state, result: vec![7; result_len].into(), ..started }
    }

    fn draw_start(&mut self) -> Record {
        self.next_key += 1;
        let number = self.next_key;
        let window_ms = if self.random.below(8) == 0 { 60_000 } else { 1_000 };
        let started = record(&format!("key {number}"), RecordState::Started, 0, at(self.now));
        Record { number, expires_at: at(self.now + window_ms), ..started }
    }

    fn acknowledge(&mut self, batch: Vec<Record>, durable: &[bool]) {
        for (record, durable) in batch.into_iter().zip(durable) {
            if *durable {
                let last = Acknowledged { record, may_be_outdated: false };
                self.acknowledged.insert(last.record.key.clone(), last);
            } else if record.state == RecordState::NeverStarted {
                self.acknowledged.remove(&record.key);
            } else if let Some(last) = self.acknowledged.get_mut(&record.key) {
                last.may_be_outdated = true;
            }
        }
    }
}

#[test]
fn wherever_the_disk_fails_acknowledged_records_are_recovered_and_the_folder_works_again() {
    for seed in 1..60 {
        let mut run = FaultRun::new(seed);
        for _ in 0..4 {
            run.run_process();
        }
    }
}
