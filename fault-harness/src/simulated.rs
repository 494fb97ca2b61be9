//! Simulations on sockets of all that a node talks to: the dependency, frontends with their clients, and its interpreter.
//! Each drives a model and speaks the platform's protocol.

pub mod dependency;
pub mod frontends;
pub mod interpreter;

use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

use crate::wire;

/// The longest line of a command, and the longest body, in bytes.
const MAX_COMMAND_BYTES: u64 = 256 * 1024;
/// What ends a line and a body.
const LINE_END: &str = "\r\n";
/// Transaction ids are hexadecimal.
const TXN_RADIX: u32 = 16;

/// A command to an interpreter, or to the dependency.
pub(crate) struct Command {
    /// Its line in words; there is at least one.
    words: Vec<String>,
    /// Its body, which is empty if its kind has none.
    body: Vec<u8>,
}

impl Command {
    /// Reads a command. None at the end of the input, and where it is malformed.
    pub(crate) async fn read(input: &mut (impl AsyncBufRead + Unpin)) -> Option<Command> {
        let mut line = String::new();
        let length = (&mut *input).take(MAX_COMMAND_BYTES).read_line(&mut line).await.ok()?;
        if length == 0 || !line.ends_with(LINE_END) {
            return None;
        }
        let words: Vec<&str> = line.trim_end().split(' ').collect();
        let body = match wire::body_length(&words) {
            Some(length) => read_body(input, length).await?,
            None => Vec::new(),
        };
        Some(Command { words: words.into_iter().map(String::from).collect(), body })
    }

    /// Its first word.
    pub(crate) fn name(&self) -> &str {
        &self.words[0]
    }

    /// A word after the name, counted from 0.
    pub(crate) fn argument(&self, position: usize) -> Option<&str> {
        self.words.get(position + 1).map(String::as_str)
    }

    pub(crate) fn argument_count(&self) -> usize {
        self.words.len() - 1
    }

    /// Its first argument as a transaction id.
    pub(crate) fn txn(&self) -> Option<u64> {
        u64::from_str_radix(self.argument(0)?, TXN_RADIX).ok()
    }
}

/// Reads a body and what ends it.
async fn read_body(input: &mut (impl AsyncBufRead + Unpin), length: usize) -> Option<Vec<u8>> {
    if length as u64 > MAX_COMMAND_BYTES {
        return None;
    }
    let mut body = vec![0; length + LINE_END.len()];
    input.read_exact(&mut body).await.ok()?;
    body.truncate(length);
    Some(body)
}

#[cfg(test)]
mod tests;
