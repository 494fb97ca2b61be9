use super::*;
use crate::outcome::RunState;
use std::cell::Cell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};

const LIMITS: Limits = Limits { file: 4 << 20 };
const LONGEST: Duration = Duration::from_secs(17);

/// A folder for one test, gone after it.
struct Place(PathBuf);

impl Place {
    fn new() -> Place {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let number = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("oakwind-{}-{number}", std::process::id()));
        std::fs::create_dir(&path).unwrap();
        Place(path)
    }

    fn open<D: Disk>(&self, disk: D, now: Unix) -> (SegmentLog<D>, RecoveredState) {
        SegmentLog::open(&self.0, disk, LIMITS, LONGEST, now).unwrap()
    }

    fn bytes(&self) -> u64 {
        std::fs::read_dir(&self.0).unwrap().map(|entry| entry.unwrap().metadata().unwrap().len()).sum()
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A disk that does so many more things, does the next one in part, and nothing after it; it may come back.
#[derive(Clone)]
struct Failing {
    left: Rc<Cell<u32>>,
    part: usize,
}

impl Failing {
    fn fails(&self) -> io::Result<()> {
        let left = self.left.get();
        self.left.set(left.saturating_sub(1));
        if left == 0 {
            Err(io::Error::other("the disk fails"))
        } else {
            Ok(())
        }
    }
}

impl Disk for Failing {
    fn create(&mut self, path: &Path, bytes: &[u8]) -> io::Result<File> {
        let first = self.left.get() == 1;
        if first {
            std::fs::write(path, &bytes[..self.part.min(bytes.len())])?;
        }
        self.fails().and_then(|()| if first { self.fails() } else { Ok(()) })?;
        // Nothing here outlives a failure of the machine, so nothing waits for a real disk.
        let mut file = File::options().append(true).create_new(true).open(path)?;
        file.write_all(bytes).map(|()| file)
    }

    fn append(&mut self, file: &mut File, bytes: &[u8]) -> io::Result<()> {
        if self.left.get() == 1 {
            self.left.set(0);
            file.write_all(&bytes[..self.part.min(bytes.len())])?;
        }
        self.fails()?;
        file.write_all(bytes)
    }

    fn remove(&mut self, path: &Path) -> io::Result<()> {
        self.fails()?;
        System.remove(path)
    }
}

fn record(key: &str, state: RecordState, result: usize, now: Unix) -> Record {
    let expires_at = now + Duration::from_secs(10);
    let (key, result) = (Bytes::copy_from_slice(key.as_bytes()), Bytes::from(vec![7; result]));
    Record { number: 0, written_at: now, expires_at, body_digest: 1, state, key, result }
}

fn at(millis: u64) -> Unix {
    Duration::from_millis(1_000_000 + millis)
}

#[test]
fn one_process_has_a_folder_and_the_next_finds_what_it_left() {
    let place = Place::new();
    let (mut folder, _) = place.open(System, at(0));
    let again = SegmentLog::open(&place.0, System, LIMITS, LONGEST, at(0));
    assert_eq!(again.err().unwrap().kind(), io::ErrorKind::WouldBlock);
    let records =
        vec![record("k", RecordState::Started, 0, at(0)), record("k", RecordState::Succeeded, 9, at(1))];
    assert_eq!(folder.write(records, at(1)), [true, true]);
    drop(folder);
    // The seed is known from the segments as well.
    std::fs::write(place.0.join(SEED), b"noise").unwrap();
    let (_folder, learnt) = place.open(System, at(2));
    assert_eq!(learnt.keys[0].state, RunState::Succeeded(vec![7; 9].into()));
    assert_eq!(learnt.damage, Default::default());
}

#[test]
fn the_bound_holds_ends_always_have_room_and_room_comes_back_with_time() {
    let place = Place::new();
    let (mut folder, _) = place.open(System, at(0));
    let mut begun = Vec::new();
    for n in 0.. {
        let key = format!("key {n}");
        if !folder.write(vec![record(&key, RecordState::Started, 0, at(0))], at(0))[0] {
            break;
        }
        begun.push(key);
    }
    assert!(begun.len() > 20);
    for key in &begun {
        assert_eq!(
            folder.write(vec![record(key, RecordState::Succeeded, MAX_RESULT_BYTES, at(1))], at(1)),
            [true]
        );
        assert!(place.bytes() <= LIMITS.file);
    }
    assert_eq!(folder.write(vec![record("more", RecordState::Started, 0, at(2))], at(2)), [false]);
    // Nothing was dropped to make room.
    drop(folder);
    let (mut folder, learnt) = place.open(System, at(3));
    assert_eq!(learnt.keys.len(), begun.len());
    let late = at(30_000);
    assert_eq!(folder.write(vec![record("more", RecordState::Started, 0, late)], late), [true]);
    assert_eq!(folder.size().0, 1);
    // A result that is too long counts as failed for later tries.
    folder.write(vec![record("more", RecordState::Succeeded, MAX_RESULT_BYTES + 1, late)], late);
    drop(folder);
    assert_eq!(place.open(System, late).1.keys[0].state, RunState::Failed);
}

/// Life after life ends by a disk that fails at some moment, in writing, rotating or compacting. What was kept for
/// sure is found by the next, as it was.
#[test]
fn wherever_the_disk_fails_what_was_kept_is_found_and_the_folder_works_again() {
    for seed in 1..60_u64 {
        let place = Place::new();
        let mut state = seed;
        let mut draw = |below: u64| {
            state = state.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
            (state >> 33) % below
        };
        // By key: the last record that was kept for sure, and whether more may have been kept after it.
        let mut kept: HashMap<Bytes, (Record, bool)> = HashMap::new();
        let (mut now, mut number) = (0, 0);
        for _ in 0..4 {
            let left = Rc::new(Cell::new(u32::MAX));
            let disk = Failing { left: left.clone(), part: draw(300) as usize };
            let (mut folder, learnt) = place.open(disk, at(now));
            for (key, (record, more)) in &kept {
                let found = learnt.keys.iter().find(|record| record.key == key).map(|found| &found.state);
                let as_kept = match record.state {
                    RecordState::Started => Some(RunState::Pending),
                    RecordState::Succeeded => Some(RunState::Succeeded(record.result.clone())),
                    RecordState::Failed => Some(RunState::Failed),
                    RecordState::NeverStarted => None,
                };
                assert!(found == as_kept.as_ref() || *more, "seed {seed}: {key:?} is not {:?}", record.state);
                assert!(
                    found.is_some() || record.state == RecordState::NeverStarted,
                    "seed {seed}: {key:?} looks unrun"
                );
            }
            left.set(100 + draw(100) as u32);
            for _ in 0..150 {
                now += 200;
                kept.retain(|_, (record, _)| at(now) < record.expires_at);
                let mut batch: Vec<Record> = Vec::new();
                for _ in 0..=draw(3) {
                    let open =
                        kept.values().filter(|(record, more)| record.state == RecordState::Started && !more);
                    let mut open: Vec<&Record> = open.map(|(record, _)| record).collect();
                    open.retain(|open| !batch.iter().any(|record| record.key == open.key));
                    open.sort_by_key(|record| record.number);
                    batch.push(match open.first().filter(|_| draw(3) > 0) {
                        Some(begun) => {
                            let state = [
                                RecordState::Succeeded,
                                RecordState::Succeeded,
                                RecordState::Failed,
                                RecordState::NeverStarted,
                            ][draw(4) as usize];
                            let result =
                                if state == RecordState::Succeeded { draw(60_000) as usize } else { 0 };
                            Record { state, result: vec![7; result].into(), ..(*begun).clone() }
                        }
                        None => {
                            number += 1;
                            let expires_at = at(now + if draw(8) == 0 { 60_000 } else { 1_000 });
                            Record {
                                number,
                                expires_at,
                                ..record(&format!("key {number}"), RecordState::Started, 0, at(now))
                            }
                        }
                    });
                }
                let told = folder.write(batch.clone(), at(now));
                for (record, told) in batch.into_iter().zip(told) {
                    if told {
                        kept.insert(record.key.clone(), (record, false));
                    } else if record.state == RecordState::NeverStarted {
                        kept.remove(&record.key);
                    } else if let Some((_, more)) = kept.get_mut(&record.key) {
                        *more = true;
                    }
                }
                assert!(place.bytes() <= LIMITS.file, "seed {seed}");
            }
            if draw(2) == 0 {
                // The disk comes back in the same life.
                left.set(u32::MAX);
                assert_eq!(
                    folder.write(vec![record("back", RecordState::Started, 0, at(now))], at(now)).len(),
                    1
                );
            }
        }
    }
}
