//! Simulations, on sockets, of all peers of a node: the dependency, the frontends with their clients, and the
//! interpreter of the node. Each drives a model and speaks the protocol of the platform.

pub mod dependency;
pub mod frontends;
pub mod interpreter;

use tokio::io::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};

use crate::wire;

/// Maximum length of the line of a command, and of its body, in bytes.
const MAX_COMMAND_BYTES: u64 = 256 * 1024;
/// Terminator of a line and of a body.
const LINE_END: &str = "\r\n";
/// Radix of transaction ids.
const TXN_RADIX: u32 = 16;

/// A command that a node sends to its interpreter or to the dependency.
pub(crate) struct Command {
    /// The words of its line; at least one.
    words: Vec<String>,
    /// The body; empty if commands of this kind have none.
    body: Vec<u8>,
}

impl Command {
    /// Reads a command. Returns none at the end of the input, or if the command is malformed.
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

    /// The name of the command, which is its first word.
    pub(crate) fn name(&self) -> &str {
        &self.words[0]
    }

    /// The argument at this position, from 0.
    pub(crate) fn argument(&self, position: usize) -> Option<&str> {
        self.words.get(position + 1).map(String::as_str)
    }

    pub(crate) fn argument_count(&self) -> usize {
        self.words.len() - 1
    }

    /// The first argument, as a transaction id.
    pub(crate) fn txn(&self) -> Option<u64> {
        u64::from_str_radix(self.argument(0)?, TXN_RADIX).ok()
    }
}

/// Reads a body and its terminator.
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
