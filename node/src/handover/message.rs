//! The lines that the two processes exchange.

use std::time::Duration;

use bytes::{Bytes, BytesMut};

use crate::hexadecimal;
use crate::line_codec::{self, Message, ProtocolError, MAX_BODY};
use crate::outcome::{BodyDigest, IdempotencyRecord, RunState};

/// The successor's request to take over.
pub(super) const TAKE_OVER: &[u8] = b"TAKE\r\n";
/// The successor has been succeeded itself.
pub(super) const SUPERSEDED: &[u8] = b"PASSED\r\n";

/// The successor has to send its first line this soon after it connected, and the predecessor its whole table this soon
/// after it was asked.
pub(super) const REPLY_TIMEOUT: Duration = Duration::from_secs(2);

/// The fields of the predecessor's messages, after their kind.
const NUMBER_FIELD: usize = 1;
const EXPIRY_FIELD: usize = 2;
const STATE_FIELD: usize = 3;
const KEY_LENGTH_FIELD: usize = 4;

/// What the predecessor sends.
#[derive(Debug, PartialEq)]
pub(super) enum PredecessorMessage {
    /// The seed of body digests.
    DigestSeed(u64),
    /// What is known of a key.
    Record(IdempotencyRecord),
    /// All keys have been sent.
    TableComplete,
}

/// Removes the next complete message from the input, if there is one. The error holds a line that is not understood.
pub(super) fn decode(input: &mut BytesMut) -> Result<Option<PredecessorMessage>, ProtocolError> {
    let Some(message) = line_codec::decode(input, |words| words.next() == Some(b"KEY"))? else {
        return Ok(None);
    };
    let decoded = match &message.field(0)[..] {
        b"SEED" => PredecessorMessage::DigestSeed(hexadecimal(&message)?),
        b"KEY" => PredecessorMessage::Record(decode_record(&message)?),
        b"ALL" => PredecessorMessage::TableComplete,
        _ => return Err(message.protocol_error()),
    };
    Ok(Some(decoded))
}

/// The hexadecimal number that follows the kind of a message: the seed, or the digest of a body.
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
    // What is stored outlives the buffer that it was read into.
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
        PredecessorMessage::TableComplete => line_codec::encode(output, &[b"ALL"], None),
    }
}

fn encode_record(output: &mut BytesMut, record: &IdempotencyRecord) {
    let IdempotencyRecord { key, body_digest, expires_at, state } = record;
    let (word, result) = match state {
        RunState::Pending => ("open", &[][..]),
        RunState::Succeeded(result) if key.len() + result.len() <= MAX_BODY => ("done", &result[..]),
        // The result is too long for a message, but that the key has run must be known.
        RunState::Succeeded(_) | RunState::Failed => ("failed", &[][..]),
        RunState::NeverStarted => ("free", &[][..]),
    };
    let head = format!("{:x} {} {word} {}", body_digest.0, expires_at.as_millis(), key.len());
    line_codec::encode(output, &[b"KEY", head.as_bytes()], Some(&[key, result].concat()));
}
