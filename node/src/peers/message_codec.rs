//! The byte format of the messages between nodes. In each direction a link begins with [`PREAMBLE`]; a header
//! with length and checksum precedes each message. Bytes that violate the format are an error, which closes
//! the link. A message of a kind that this release does not know is skipped, as a newer release may have
//! added it.

use bytes::{Buf, BufMut, BytesMut};
use oakwind_fleet::message::{Message, MESSAGE_KINDS};

use crate::outcome::digest;

/// First bytes of a link in each direction: the name of the protocol and its version.
pub(crate) const PREAMBLE: &[u8; 8] = b"OAKPEER1";
/// The longest message in bytes: a page of a state transfer, or the longest result with its key.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// Length of the header before a message: its length and its checksum, four bytes each.
const HEADER_BYTES: usize = 8;
/// The seed of the checksum. Each version of the protocol has its own.
const CHECKSUM_SEED: u64 = 1;

/// The outcome of decoding one message.
#[derive(Debug, PartialEq)]
pub(crate) enum Decoded {
    /// A message of a known kind.
    Message(Message),
    /// A message of a kind that a newer release has added; it is skipped.
    UnknownKind,
}

/// Why the received bytes cannot be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CodecError {
    /// The length is above the limit.
    #[error("message of {0} bytes exceeds the limit of {MAX_MESSAGE_BYTES} bytes")]
    TooLong(usize),
    /// The checksum in the header does not match the bytes of the message.
    #[error("message checksum mismatch")]
    Checksum,
    /// The message does not begin with the number of its kind.
    #[error("message does not begin with a valid kind")]
    MissingKind,
    /// The fields of a message of this kind cannot be decoded.
    #[error("message of kind {0} is malformed")]
    Malformed(u32),
}

/// Appends a message with its header to the output.
pub(crate) fn encode(output: &mut BytesMut, message: &Message) {
    // Serialization to memory does not fail for any message.
    let bytes = postcard::to_allocvec(message).unwrap_or_default();
    output.reserve(HEADER_BYTES + bytes.len());
    output.put_u32(u32::try_from(bytes.len()).unwrap_or(u32::MAX));
    output.put_u32(checksum(&bytes));
    output.put_slice(&bytes);
}

/// Removes the next message from the buffer; none until the message is complete.
///
/// # Errors
///
/// If the bytes violate the format. The position of the next message is unknown then, so the link must be
/// closed.
pub(crate) fn decode(buffer: &mut BytesMut) -> Result<Option<Decoded>, CodecError> {
    let Some(mut header) = buffer.get(..HEADER_BYTES) else { return Ok(None) };
    let length = header.get_u32() as usize;
    let expected_checksum = header.get_u32();
    if length > MAX_MESSAGE_BYTES {
        return Err(CodecError::TooLong(length));
    }
    if buffer.len() < HEADER_BYTES + length {
        buffer.reserve(HEADER_BYTES + length - buffer.len());
        return Ok(None);
    }
    let bytes = buffer.split_to(HEADER_BYTES + length).freeze().slice(HEADER_BYTES..);
    if checksum(&bytes) != expected_checksum {
        return Err(CodecError::Checksum);
    }
    let Ok((kind, _)) = postcard::take_from_bytes::<u32>(&bytes) else {
        return Err(CodecError::MissingKind);
    };
    if kind >= MESSAGE_KINDS {
        return Ok(Some(Decoded::UnknownKind));
    }
    // Trailing bytes are ignored: a newer release may have appended fields to the message.
    match postcard::take_from_bytes(&bytes) {
        Ok((message, _)) => Ok(Some(Decoded::Message(message))),
        Err(_) => Err(CodecError::Malformed(kind)),
    }
}

/// The checksum of a message: the lower 32 bits of the seeded digest.
fn checksum(bytes: &[u8]) -> u32 {
    digest(CHECKSUM_SEED, bytes) as u32
}

#[cfg(test)]
mod tests;
