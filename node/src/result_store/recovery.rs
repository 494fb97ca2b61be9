//! What a start learns from the folder's bytes, whole or damaged: which keys are known, and of which it is in doubt
//! whether they ran. No I/O.
//!
//! Records are numbered without gaps, so a missing number tells that a record is lost. What is in doubt counts as run.

use std::collections::HashMap;
use std::time::Duration;

use bytes::Bytes;

use super::record::{self, Found, Record, RecordState, SEGMENT_HEAD};
use super::segment_index::{Limits, SegmentIndex};
use crate::clock::Unix;
use crate::outcome::{digest, BodyDigest, IdempotencyRecord, RunState};

/// A segment as it was read.
pub struct Segment {
    /// Its number, from its name.
    pub number: u64,
    /// All its bytes.
    pub bytes: Bytes,
}

/// Keys of which it is not known whether they ran.
#[derive(Debug, Default, PartialEq)]
pub struct UncertainKeys {
    /// By the digest of the key, until when.
    keys: HashMap<u64, Unix>,
    /// All keys that are not known, until then.
    all: Unix,
    seed: u64,
}

impl UncertainKeys {
    /// Whether a key that is not known may have run. A key in doubt is in doubt for all of its time.
    pub fn contains(&self, key: &[u8], now: Unix) -> bool {
        now < self.all
            || (!self.keys.is_empty() && self.keys.get(&digest(self.seed, key)).is_some_and(|at| now < *at))
    }

    /// When nothing is in doubt any more.
    pub fn resolved_at(&self) -> Unix {
        self.keys.values().copied().fold(self.all, Unix::max)
    }
}

/// What was not as it was written.
#[derive(Debug, Default, Clone, Copy, PartialEq)]
pub struct Damage {
    /// Records whose key can't be read.
    pub hurt: u64,
    /// Records that are missing, as far as their numbers tell.
    pub missing: u64,
    /// Bytes that are no record's.
    pub noise: u64,
}

fn copied(slice: &Bytes) -> Bytes {
    Bytes::copy_from_slice(slice)
}

/// What a start learns.
#[derive(Debug, Default)]
pub struct RecoveredState {
    /// How bodies are digested.
    pub seed: u64,
    /// The keys that are known.
    pub keys: Vec<IdempotencyRecord>,
    /// Those that may have run all the same.
    pub uncertain_keys: UncertainKeys,
    /// What was skipped.
    pub damage: Damage,
    /// How far the clock has gone back since the last record.
    pub clock_setback: Duration,
    /// The number of the next record.
    pub next: u64,
}

/// Learns what the segments tell, in their order, at `now`. No key is remembered for longer than `longest`.
pub fn recover(
    seed: u64,
    segments: impl Iterator<Item = Segment>,
    limits: Limits,
    longest: Duration,
    now: Unix,
) -> (SegmentIndex, RecoveredState) {
    let mut learnt = RecoveredState {
        seed,
        uncertain_keys: UncertainKeys { seed, ..UncertainKeys::default() },
        ..RecoveredState::default()
    };
    let mut ledger = SegmentIndex::new(limits);
    let mut known: HashMap<Bytes, Record> = HashMap::new();
    let (mut expected, mut torn, mut blind) = (None, false, false);
    let (mut newest, mut longest) = (Duration::ZERO, longest);
    // When what is missing was written at the latest, or none if that is only known to be before now.
    let mut gaps: Vec<Option<Unix>> = Vec::new();
    let mut hurt: Vec<(u64, Unix)> = Vec::new();
    for Segment { number, bytes } in segments {
        let head = record::segment_head(&bytes);
        learnt.damage.noise += if head.is_none() { bytes.len().min(SEGMENT_HEAD) as u64 } else { 0 };
        ledger.opened(number, bytes.len() as u64);
        let found = record::find(seed, &bytes.slice(bytes.len().min(SEGMENT_HEAD)..));
        // Where the oldest segment does not tell its first number, only a record at its very start shows that none is
        // missing before it.
        blind |=
            expected.is_none() && head.is_none() && matches!(found.first(), None | Some(Found::Noise(_)));
        // What comes next begins with this number; returns how many are missing before it.
        let mut came = |number: u64, records: u64, at: Option<Unix>| {
            let missing = expected.map_or(0, |expected| number.saturating_sub(expected));
            if missing > 0 || std::mem::take(&mut blind) {
                gaps.push(at);
            }
            // A number comes again where a write failed and was made good.
            expected = Some(expected.unwrap_or(0).max(number.saturating_add(records)));
            missing
        };
        let mut missing = head.map_or(0, |head| came(head.first, 0, Some(head.written_at)));
        // Without a segment's head, what is before the first record is as unknown as what is behind the last.
        torn = head.is_none() && bytes.len() < SEGMENT_HEAD;
        for found in found {
            torn = matches!(found, Found::Noise(_));
            match found {
                Found::Whole(record) => {
                    missing += came(record.number, 1, Some(record.written_at));
                    newest = newest.max(record.written_at);
                    longest = longest.max(record.expires_at.saturating_sub(record.written_at));
                    ledger.wrote(&record);
                    // It outlives the segment that it was read from.
                    let (key, result) = (copied(&record.key), copied(&record.result));
                    known.insert(key.clone(), Record { key, result, ..record });
                }
                Found::Hurt(head) => {
                    missing += came(head.number, 1, Some(head.written_at));
                    newest = newest.max(head.written_at);
                    longest = longest.max(head.expires_at.saturating_sub(head.written_at));
                    learnt.damage.hurt += 1;
                    hurt.push((head.key, head.expires_at));
                }
                Found::Noise(bytes) => learnt.damage.noise += bytes as u64,
            }
        }
        learnt.damage.missing += missing;
    }
    // Guards the room against entries that would stay for as long as the clock went back: what is left of their time
    // counts from now.
    learnt.clock_setback = newest.saturating_sub(now);
    let clock_setback = learnt.clock_setback;
    let of_now = |time: Unix| time.saturating_sub(clock_setback);
    let written_by = |gap: Option<Unix>| gap.map_or(now, of_now).min(now);
    let gaps = gaps.into_iter().chain(torn.then_some(None));
    learnt.uncertain_keys.all = gaps.map(|gap| written_by(gap) + longest).max().unwrap_or_default();
    for (key, until) in hurt {
        let doubted = learnt.uncertain_keys.keys.entry(key).or_default();
        *doubted = (*doubted).max(of_now(until));
    }
    ledger.recovered(clock_setback, learnt.uncertain_keys.resolved_at());
    for (key, record) in known {
        let fate = match record.state {
            RecordState::Started => RunState::Pending,
            RecordState::Succeeded => RunState::Succeeded(record.result),
            RecordState::Failed => RunState::Failed,
            RecordState::NeverStarted => continue,
        };
        // What a damaged record said of the key came after this one, or is no more than this one says.
        learnt.keys.push(IdempotencyRecord {
            key,
            body_digest: BodyDigest(record.body_digest),
            expires_at: of_now(record.expires_at),
            state: fate,
        });
    }
    // What may have been lost at the end leaves a gap: the next start is to know of it too.
    learnt.next = expected.unwrap_or(0).saturating_add(u64::from(torn));
    (ledger, learnt)
}

#[cfg(test)]
mod tests;
