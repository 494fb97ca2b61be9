//! Stand-ins on sockets for all that a node talks to. Each drives a model and speaks the platform's protocol.

pub mod dependency;
pub mod frontends;
pub mod interpreter;

use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

use crate::wire;

/// The longest line of a link, and the longest body.
const MAX_RESPONSE_BYTES: u64 = 256 * 1024;

/// A command or a call: its words, and its body if its kind has one. None at the end, and where it is none.
pub(crate) async fn command(input: &mut (impl AsyncBufRead + Unpin)) -> Option<(Vec<String>, Vec<u8>)> {
    let mut line = String::new();
    let length = (&mut *input).take(MAX_RESPONSE_BYTES).read_line(&mut line).await.ok()?;
    if length == 0 || !line.ends_with("\r\n") {
        return None;
    }
    let words: Vec<String> = line.trim_end().split(' ').map(String::from).collect();
    let named: Vec<&str> = words.iter().map(String::as_str).collect();
    let Some(length) = wire::body_length(&named) else { return Some((words, Vec::new())) };
    if length as u64 > MAX_RESPONSE_BYTES {
        return None;
    }
    let mut body = vec![0; length + 2];
    input.read_exact(&mut body).await.ok()?;
    body.truncate(length);
    Some((words, body))
}

/// The id in a word.
pub(crate) fn txn(word: Option<&String>) -> Option<u64> {
    u64::from_str_radix(word?, 16).ok()
}
