//! The byte format of the messages between nodes. A link begins, each way, with [`PREAMBLE`]; each message follows its
//! length and a checksum. Bytes that do not fit are an error, which ends the link; a message kind that only a later build
//! knows is skipped.

use bytes::{Buf, BufMut, BytesMut};
use oakwind_fleet::message::{Message, MESSAGE_KINDS};

use crate::outcome::digest;

/// What every link begins with, each way: the protocol and its version.
pub(crate) const PREAMBLE: &[u8; 8] = b"OAKPEER1";
/// The longest message in bytes: a page of a state transfer, or the longest result with its key.
const MAX_MESSAGE_BYTES: usize = 256 * 1024;
/// Bytes before a message: its length and its checksum.
const HEADER_BYTES: usize = 8;
/// The seed of the checksum; another version of the protocol has another.
const CHECKSUM_SEED: u64 = 1;

/// A message that was taken off a link.
#[derive(Debug, PartialEq)]
pub(crate) enum Decoded {
    /// A message.
    Message(Message),
    /// A message of a kind that only a later build knows.
    UnknownKind,
}

/// Why bytes are no message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum CodecError {
    /// The length is above the limit.
    #[error("a message of {0} bytes is too long")]
    TooLong(usize),
    /// The checksum is not that of the bytes.
    #[error("a message has a wrong checksum")]
    Checksum,
    /// The message does not say of which kind it is.
    #[error("a message has no kind")]
    MissingKind,
    /// The message does not have the fields of its kind.
    #[error("a message of kind {0} is malformed")]
    Malformed(u32),
}

/// Appends a message.
pub(crate) fn encode(output: &mut BytesMut, message: &Message) {
    // Every message can be serialized.
    let bytes = postcard::to_allocvec(message).unwrap_or_default();
    output.reserve(HEADER_BYTES + bytes.len());
    output.put_u32(u32::try_from(bytes.len()).unwrap_or(u32::MAX));
    output.put_u32(checksum(&bytes));
    output.put_slice(&bytes);
}

/// Takes the next message off the buffer, once it is there whole.
///
/// # Errors
///
/// If the bytes are no message. The buffer is of no more use then.
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
    // A later build may have added fields behind those that are known here.
    match postcard::take_from_bytes(&bytes) {
        Ok((message, _)) => Ok(Some(Decoded::Message(message))),
        Err(_) => Err(CodecError::Malformed(kind)),
    }
}

/// The low half of a digest.
fn checksum(bytes: &[u8]) -> u32 {
    digest(CHECKSUM_SEED, bytes) as u32
}

#[cfg(test)]
mod tests;
