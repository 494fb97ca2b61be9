//! Frames as bytes: a word that begins every link, and before each frame its length and a check of it. What does not fit is
//! nonsense and ends the link; a kind that this build does not know is skipped.

use bytes::{Buf, BufMut, BytesMut};
use oakwind_fleet::message::{Message, MESSAGE_KINDS};

use crate::outcome::digest;

/// What every link begins with, each way: the protocol and its version.
pub const MAGIC: &[u8; 8] = b"OAKPEER1";
/// The longest frame: a page, or the longest result with its key.
const LONGEST: usize = 256 * 1024;
/// Bytes before a frame.
const HEAD: usize = 8;
/// The check's key; another version has another.
const CHECK: u64 = 1;

/// What was taken off a link.
#[derive(Debug, PartialEq)]
pub enum Taken {
    /// A frame.
    Message(Message),
    /// One of a later build.
    Later,
}

fn check(bytes: &[u8]) -> u32 {
    digest(CHECK, bytes) as u32
}

/// Appends a frame.
pub fn put(output: &mut BytesMut, frame: &Message) {
    // Everything in a frame can be written.
    let bytes = postcard::to_allocvec(frame).unwrap_or_default();
    output.reserve(HEAD + bytes.len());
    output.put_u32(u32::try_from(bytes.len()).unwrap_or(u32::MAX));
    output.put_u32(check(&bytes));
    output.put_slice(&bytes);
}

/// Takes the next whole frame off the buffer.
///
/// # Errors
///
/// What is wrong with it.
pub fn take(buffer: &mut BytesMut) -> Result<Option<Taken>, &'static str> {
    let Some(mut head) = buffer.get(..HEAD) else { return Ok(None) };
    let (length, sum) = (head.get_u32() as usize, head.get_u32());
    if length > LONGEST {
        return Err("a frame that is too long");
    }
    if buffer.len() < HEAD + length {
        buffer.reserve(HEAD + length - buffer.len());
        return Ok(None);
    }
    let bytes = buffer.split_to(HEAD + length).freeze().slice(HEAD..);
    if check(&bytes) != sum {
        return Err("a frame whose check is wrong");
    }
    let Ok((kind, _)) = postcard::take_from_bytes::<u32>(&bytes) else {
        return Err("a frame without a kind");
    };
    if kind >= MESSAGE_KINDS {
        return Ok(Some(Taken::Later));
    }
    // A later build may have put more behind it.
    match postcard::take_from_bytes(&bytes) {
        Ok((frame, _)) => Ok(Some(Taken::Message(frame))),
        Err(_) => Err("a frame that can't be read"),
    }
}

#[cfg(test)]
mod tests;
