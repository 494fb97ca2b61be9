//! The messages that the predecessor and the successor exchange, and their encoding.

use std::time::Duration;

use bytes::{Bytes, BytesMut};

use crate::clock::UnixTime;
use crate::hexadecimal;
use crate::line_codec::{self, Message, ProtocolError, MAX_BODY};
use crate::outcome::{BodyDigest, IdempotencyRecord, RunState, RESERVED_KEY_START};

/// The successor's report that it waits until it can serve.
pub(super) const STAND_BY: &[u8] = b"STANDBY\r\n";
/// The successor's request to take over.
pub(super) const TAKE_OVER: &[u8] = b"TAKE\r\n";
/// The successor's report that a further process has taken over from it.
pub(super) const SUPERSEDED: &[u8] = b"PASSED\r\n";

/// Time limit for the successor to send its first line after it connected. The predecessor also waits this long
/// after it failed to accept a connection.
pub(super) const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// The reserved key whose record states until when keys that were lost may come again.
const LOST_KEYS: &[u8] = &[RESERVED_KEY_START, b'l', b'o', b's', b't'];
/// Length from which a line of the successor is not read on, in bytes.
const MAX_LINE_BYTES: usize = 64;

// Positions of the fields in the predecessor's messages; field 0 is the kind.
const NUMBER_FIELD: usize = 1;
const EXPIRY_FIELD: usize = 2;
const STATE_FIELD: usize = 3;
const KEY_LENGTH_FIELD: usize = 4;

/// A message from the successor.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum SuccessorMessage {
    /// It runs, and waits until it can serve.
    StandBy,
    /// It listens and can serve.
    TakeOver,
    /// A further process has taken over from it, or it sent a line that this release does not know.
    Superseded,
}

/// Removes the next message of the successor from the input; none until the line is complete.
pub(super) fn decode_successor(input: &mut BytesMut) -> Option<SuccessorMessage> {
    let line_end = input.iter().position(|byte| *byte == b'\n');
    if line_end.is_none() && input.len() < MAX_LINE_BYTES {
        return None;
    }
    let line = input.split_to(line_end.map_or(input.len(), |end| end + 1));
    Some(match &line[..] {
        STAND_BY => SuccessorMessage::StandBy,
        TAKE_OVER => SuccessorMessage::TakeOver,
        _ => SuccessorMessage::Superseded,
    })
}

/// A message from the predecessor.
#[derive(Debug, PartialEq)]
pub(super) enum PredecessorMessage {
    /// The seed of body digests.
    DigestSeed(u64),
    /// The state of one key.
    Record(IdempotencyRecord),
    /// Keys were lost with an earlier process; the last of them has expired at this time.
    LostKeys { expire_at: UnixTime },
    /// The end of the table; later records report how runs ended.
    TableComplete,
}

/// Removes the next message from the input; none until the message is complete. The error contains the line
/// that could not be parsed.
pub(super) fn decode(input: &mut BytesMut) -> Result<Option<PredecessorMessage>, ProtocolError> {
    let Some(message) = line_codec::decode(input, |words| words.next() == Some(b"KEY"))? else {
        return Ok(None);
    };
    let decoded = match &message.field(0)[..] {
        b"SEED" => PredecessorMessage::DigestSeed(hexadecimal(&message)?),
        b"KEY" => match decode_record(&message)? {
            lost if lost.key == LOST_KEYS => PredecessorMessage::LostKeys { expire_at: lost.expires_at },
            record => PredecessorMessage::Record(record),
        },
        b"ALL" => PredecessorMessage::TableComplete,
        _ => return Err(message.protocol_error()),
    };
    Ok(Some(decoded))
}

/// The hexadecimal number in field 1: the digest seed of `SEED`, or the body digest of `KEY`.
fn hexadecimal(message: &Message) -> Result<u64, ProtocolError> {
    let digits = message.field(NUMBER_FIELD);
    let number = std::str::from_utf8(&digits).ok().and_then(hexadecimal::parse);
    number.ok_or_else(|| message.protocol_error())
}

fn decode_record(message: &Message) -> Result<IdempotencyRecord, ProtocolError> {
    let key_and_result = message.body.clone().unwrap_or_default();
    let key_length: usize = message.numeric_field(KEY_LENGTH_FIELD)?;
    if key_length > key_and_result.len() {
        return Err(message.protocol_error());
    }
    // Copied, so that the stored key does not keep the whole input buffer allocated.
    let key = Bytes::copy_from_slice(&key_and_result[..key_length]);
    let state = match &message.field(STATE_FIELD)[..] {
        b"open" => RunState::Pending,
        b"done" => RunState::Succeeded(Bytes::copy_from_slice(&key_and_result[key_length..])),
        b"failed" => RunState::Failed,
        b"free" => RunState::NeverStarted,
        _ => return Err(message.protocol_error()),
    };
    let expires_at = Duration::from_millis(message.numeric_field(EXPIRY_FIELD)?);
    Ok(IdempotencyRecord { key, body_digest: BodyDigest(hexadecimal(message)?), expires_at, state })
}

/// Appends a message to the output.
pub(super) fn encode(output: &mut BytesMut, message: &PredecessorMessage) {
    match message {
        PredecessorMessage::DigestSeed(seed) => {
            let seed = format!("{seed:x}");
            line_codec::encode(output, &[b"SEED", seed.as_bytes()], None);
        }
        PredecessorMessage::Record(record) => encode_record(output, record),
        PredecessorMessage::LostKeys { expire_at } => encode_record(output, &lost_keys_record(*expire_at)),
        PredecessorMessage::TableComplete => line_codec::encode(output, &[b"ALL"], None),
    }
}

/// The record that stands for lost keys. A successor of an earlier release takes it for that of a key that has failed,
/// which no client uses.
fn lost_keys_record(expire_at: UnixTime) -> IdempotencyRecord {
    IdempotencyRecord {
        key: Bytes::from_static(LOST_KEYS),
        body_digest: BodyDigest(0),
        expires_at: expire_at,
        state: RunState::Failed,
    }
}

fn encode_record(output: &mut BytesMut, record: &IdempotencyRecord) {
    let IdempotencyRecord { key, body_digest, expires_at, state } = record;
    let (word, result) = match state {
        RunState::Pending => ("open", &[][..]),
        RunState::Succeeded(result) if key.len() + result.len() <= MAX_BODY => ("done", &result[..]),
        // A result that is too long for a message is sent as a failure, so that the successor knows that the
        // key has run.
        RunState::Succeeded(_) | RunState::Failed => ("failed", &[][..]),
        RunState::NeverStarted => ("free", &[][..]),
    };
    let head = format!("{:x} {} {word} {}", body_digest.0, expires_at.as_millis(), key.len());
    line_codec::encode(output, &[b"KEY", head.as_bytes()], Some(&[key, result].concat()));
}
