//! The journal's records as bytes, and the finding of them in bytes that may be damaged. No I/O.
//!
//! A record is a head of [`HEAD`] bytes, the key and the result. Head and rest have a checksum each, keyed with the
//! folder's seed: guards the search for the next whole record after damage against keys and results that look like one.

use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::clock::{millis, Unix};
use crate::outcome::digest;

/// Bytes before a record's key.
pub const HEAD: usize = 60;
/// Bytes before a segment's first record.
pub const SEGMENT_HEAD: usize = 40;
const MAGIC: u32 = 0x4f41_4b52;
const SEGMENT_MAGIC: u64 = 0x4f41_4b57_494e_4401;

/// What a record says of its key's run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecordState {
    /// It may have begun.
    Started = 1,
    /// It ended with the result.
    Succeeded = 2,
    /// It failed and may have had its effect.
    Failed = 3,
    /// It provably never began: the key is free.
    NeverStarted = 4,
}

/// One record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Its number in the folder, without gaps.
    pub number: u64,
    /// When it was written.
    pub written_at: Unix,
    /// How long its key is remembered.
    pub expires_at: Unix,
    /// The digest of the body that the key's tries carry.
    pub body_digest: u64,
    /// What it says.
    pub state: RecordState,
    /// The key.
    pub key: Bytes,
    /// The result, if the run is done.
    pub result: Bytes,
}

fn check(seed: u64, bytes: &[u8]) -> u32 {
    digest(seed ^ 1, bytes) as u32
}

impl Record {
    /// What it takes.
    pub fn bytes(&self) -> usize {
        HEAD + self.key.len() + self.result.len()
    }

    /// Appends it.
    pub fn put(&self, seed: u64, out: &mut BytesMut) {
        let rest = [&self.key[..], &self.result[..]].concat();
        let mut head = BytesMut::with_capacity(HEAD);
        head.put_u64(self.number);
        head.put_u64(digest(seed, &self.key));
        head.put_u64(self.body_digest);
        head.put_u64(millis(self.expires_at));
        head.put_u64(millis(self.written_at));
        head.put_u16(self.state as u16);
        // Fronts bound keys, and what is kept of results is bounded far below this.
        head.put_u16(u16::try_from(self.key.len()).unwrap_or(u16::MAX));
        head.put_u32(u32::try_from(self.result.len()).unwrap_or(u32::MAX));
        head.put_u32(check(seed, &rest));
        out.put_u32(MAGIC);
        out.put_u32(check(seed, &head));
        out.put_slice(&head);
        out.put_slice(&rest);
    }
}

/// A record's head, which names its key by digest alone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Head {
    /// The record's number.
    pub number: u64,
    /// The digest of its key.
    pub key: u64,
    /// When it was written.
    pub written_at: Unix,
    /// How long its key is remembered.
    pub expires_at: Unix,
    body_digest: u64,
    state: RecordState,
    key_len: usize,
    len: usize,
    check: u32,
}

impl Head {
    fn take(seed: u64, bytes: &[u8]) -> Option<Head> {
        let mut head = bytes.get(..HEAD)?;
        if head.get_u32() != MAGIC || head.get_u32() != check(seed, head) {
            return None;
        }
        let (number, key, body_digest) = (head.get_u64(), head.get_u64(), head.get_u64());
        let (expires_at, written_at) =
            (Duration::from_millis(head.get_u64()), Duration::from_millis(head.get_u64()));
        let state = match head.get_u16() {
            1 => RecordState::Started,
            2 => RecordState::Succeeded,
            3 => RecordState::Failed,
            4 => RecordState::NeverStarted,
            _ => return None,
        };
        let key_len = usize::from(head.get_u16());
        let len = key_len.saturating_add(head.get_u32() as usize);
        Some(Head {
            number,
            key,
            written_at,
            expires_at,
            body_digest,
            state,
            key_len,
            len,
            check: head.get_u32(),
        })
    }
}

/// What is found in a segment, in its order.
#[derive(Debug, PartialEq)]
pub enum Found {
    /// A record as it was written.
    Whole(Record),
    /// A record whose key or result is damaged.
    Hurt(Head),
    /// Bytes that are no record's.
    Noise(usize),
}

/// Finds what there is in a segment, from behind its head.
pub fn find(seed: u64, bytes: &Bytes) -> Vec<Found> {
    let (mut found, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let next_head = |from: usize| {
            let starts = (from..bytes.len()).filter(|at| bytes[*at..].starts_with(&MAGIC.to_be_bytes()));
            starts.into_iter().find(|at| Head::take(seed, &bytes[*at..]).is_some()).unwrap_or(bytes.len())
        };
        let Some(head) = Head::take(seed, &bytes[at..]) else {
            let next = next_head(at + 1);
            found.push(Found::Noise(next - at));
            at = next;
            continue;
        };
        let (from, to) = (at + HEAD, (at + HEAD).saturating_add(head.len));
        let rest = bytes.get(from..to).filter(|rest| check(seed, rest) == head.check);
        if rest.is_some() {
            let (key, result) =
                (bytes.slice(from..from + head.key_len), bytes.slice(from + head.key_len..to));
            let Head { number, expires_at, body_digest, state, .. } = head;
            found.push(Found::Whole(Record {
                number,
                written_at: head.written_at,
                expires_at,
                body_digest,
                state,
                key,
                result,
            }));
            at = to;
        } else {
            found.push(Found::Hurt(head));
            at = next_head(from);
        }
    }
    found
}

/// What a segment says of itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SegmentHead {
    /// The folder's seed.
    pub seed: u64,
    /// The number of the first record in it.
    pub first: u64,
    /// When it was begun.
    pub written_at: Unix,
}

/// Appends a segment's head.
pub fn put_segment_head(head: SegmentHead, out: &mut BytesMut) {
    let start = out.len();
    out.put_u64(SEGMENT_MAGIC);
    out.put_u64(head.seed);
    out.put_u64(head.first);
    out.put_u64(millis(head.written_at));
    let sum = digest(0, &out[start..]);
    out.put_u64(sum);
}

/// A segment's head, if it is whole.
pub fn segment_head(bytes: &[u8]) -> Option<SegmentHead> {
    let mut head = bytes.get(..SEGMENT_HEAD)?;
    let sum = digest(0, &head[..SEGMENT_HEAD - 8]);
    let (magic, seed, first) = (head.get_u64(), head.get_u64(), head.get_u64());
    let written_at = Duration::from_millis(head.get_u64());
    (magic == SEGMENT_MAGIC && head.get_u64() == sum).then_some(SegmentHead { seed, first, written_at })
}

#[cfg(test)]
mod tests;
