//! The byte format of the records in a segment.
//!
//! A record is a header of [`HEADER_BYTES`] followed by the payload: the key and the result. Header and
//! payload have a checksum each. Both checksums are keyed with the secret seed of the store: the bytes behind
//! a damaged record are searched for the next record, and no client must be able to send a key or a result
//! that is taken for one.

use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};

use crate::clock::{millis, UnixTime};
use crate::outcome::{digest, BodyDigest};

/// Length of a record's header in bytes, with its magic number and checksums.
pub(crate) const HEADER_BYTES: usize = 60;
/// The first bytes of every record.
pub(super) const RECORD_MAGIC: u32 = 0x4f41_4b52;
/// Mask that derives the key of the checksums from the seed, so that it differs from that of other digests.
const CHECKSUM_SEED_MASK: u64 = 1;

/// State of the run of a key, as a record stores it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum RecordState {
    /// The run may have started.
    Started = 1,
    /// The run ended with a result.
    Succeeded = 2,
    /// The run failed and may have taken effect.
    Failed = 3,
    /// The run certainly never started, so the key may be used again.
    NeverStarted = 4,
}

impl RecordState {
    const ALL: [RecordState; 4] =
        [RecordState::Started, RecordState::Succeeded, RecordState::Failed, RecordState::NeverStarted];

    fn from_code(code: u16) -> Option<RecordState> {
        RecordState::ALL.into_iter().find(|state| *state as u16 == code)
    }
}

/// One record of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Record {
    /// Number in the sequence of all records. It has no gaps, so a missing number reveals a lost record.
    pub(crate) number: u64,
    /// Time at which the record was accepted for writing.
    pub(crate) written_at: UnixTime,
    /// End of the key's idempotency window.
    pub(crate) expires_at: UnixTime,
    /// Digest of the request body, which is the same in all attempts with this key.
    pub(crate) body_digest: BodyDigest,
    /// State of the key's run.
    pub(crate) state: RecordState,
    /// The idempotency key.
    pub(crate) key: Bytes,
    /// Result of the run; empty unless it succeeded.
    pub(crate) result: Bytes,
}

impl Record {
    /// Creates a record to be written. The log sets its number and time of writing when it accepts it.
    pub(crate) fn new(
        key: Bytes,
        body_digest: BodyDigest,
        expires_at: UnixTime,
        state: RecordState,
        result: Bytes,
    ) -> Self {
        Record { number: 0, written_at: Duration::ZERO, expires_at, body_digest, state, key, result }
    }

    /// Length of the encoded record in bytes.
    pub(crate) fn encoded_len(&self) -> usize {
        HEADER_BYTES + self.key.len() + self.result.len()
    }

    /// Appends the encoded record to `output`.
    pub(crate) fn encode(&self, seed: u64, output: &mut BytesMut) {
        let payload = [&self.key[..], &self.result[..]].concat();
        let mut header = BytesMut::with_capacity(HEADER_BYTES);
        header.put_u64(self.number);
        header.put_u64(digest(seed, &self.key));
        header.put_u64(self.body_digest.0);
        header.put_u64(millis(self.expires_at));
        header.put_u64(millis(self.written_at));
        header.put_u16(self.state as u16);
        // The limits on keys and stored results are far below the range of these length fields.
        header.put_u16(u16::try_from(self.key.len()).unwrap_or(u16::MAX));
        header.put_u32(u32::try_from(self.result.len()).unwrap_or(u32::MAX));
        header.put_u32(checksum(seed, &payload));
        output.put_u32(RECORD_MAGIC);
        output.put_u32(checksum(seed, &header));
        output.put_slice(&header);
        output.put_slice(&payload);
    }
}

/// Header of a record. It identifies the key by its digest, so that a record with a damaged payload still
/// does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct RecordHeader {
    /// Number of the record in the sequence of all records.
    pub(crate) number: u64,
    /// Digest of the key, with the seed of the store.
    pub(crate) key_digest: u64,
    /// Time at which the record was accepted for writing.
    pub(crate) written_at: UnixTime,
    /// End of the key's idempotency window.
    pub(crate) expires_at: UnixTime,
    body_digest: BodyDigest,
    state: RecordState,
    key_len: usize,
    payload_len: usize,
    payload_checksum: u32,
}

impl RecordHeader {
    /// Decodes the header at the start of `bytes`; none if it is truncated or damaged or there is no header.
    pub(super) fn decode(seed: u64, bytes: &[u8]) -> Option<RecordHeader> {
        let mut header = bytes.get(..HEADER_BYTES)?;
        if header.get_u32() != RECORD_MAGIC || header.get_u32() != checksum(seed, header) {
            return None;
        }
        let number = header.get_u64();
        let key_digest = header.get_u64();
        let body_digest = BodyDigest(header.get_u64());
        let expires_at = Duration::from_millis(header.get_u64());
        let written_at = Duration::from_millis(header.get_u64());
        let state = RecordState::from_code(header.get_u16())?;
        let key_len = usize::from(header.get_u16());
        let payload_len = key_len.saturating_add(header.get_u32() as usize);
        let payload_checksum = header.get_u32();
        Some(RecordHeader {
            number,
            key_digest,
            written_at,
            expires_at,
            body_digest,
            state,
            key_len,
            payload_len,
            payload_checksum,
        })
    }

    /// Length of the whole record in bytes.
    pub(super) fn record_len(&self) -> usize {
        HEADER_BYTES.saturating_add(self.payload_len)
    }

    /// Decodes the whole record; none if its payload is truncated or damaged. `bytes` must begin with this
    /// header.
    pub(super) fn decode_payload(&self, seed: u64, bytes: &Bytes) -> Option<Record> {
        let payload = bytes.get(HEADER_BYTES..self.record_len())?;
        if checksum(seed, payload) != self.payload_checksum {
            return None;
        }
        let key_end = HEADER_BYTES + self.key_len;
        Some(Record {
            number: self.number,
            written_at: self.written_at,
            expires_at: self.expires_at,
            body_digest: self.body_digest,
            state: self.state,
            key: bytes.slice(HEADER_BYTES..key_end),
            result: bytes.slice(key_end..self.record_len()),
        })
    }
}

/// Checksum of `bytes`: the low half of a digest keyed with the seed.
fn checksum(seed: u64, bytes: &[u8]) -> u32 {
    digest(seed ^ CHECKSUM_SEED_MASK, bytes) as u32
}

#[cfg(test)]
mod tests;
