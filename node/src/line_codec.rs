//! Lines of words ending in CR LF, some followed by as many bytes as their last word says and a CR LF.

use std::io::{self, Write};

use bytes::{BufMut, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest line and longest body; what is longer is nonsense.
const MAX_LINE: usize = 16 * 1024;
pub const MAX_BODY: usize = 256 * 1024;
/// Bytes that may wait to be written before nothing more is taken on.
const MAX_UNWRITTEN: usize = 1024 * 1024;

/// What a peer sent that the protocol does not know.
#[derive(Debug)]
pub struct Nonsense(pub String);

impl From<Nonsense> for io::Error {
    fn from(nonsense: Nonsense) -> Self {
        io::Error::new(io::ErrorKind::InvalidData, nonsense.0)
    }
}

/// The error where a message has begun and does not end.
pub fn stalled() -> io::Error {
    Nonsense("a message without an end".into()).into()
}

/// A line's words and the bytes after it; all are slices of what was read.
#[derive(Debug, PartialEq)]
pub struct Message {
    line: Bytes,
    /// The bytes after the line, if its kind has any.
    pub body: Option<Bytes>,
}

impl Message {
    /// The word at a position.
    pub fn word(&self, position: usize) -> Bytes {
        let word = words(&self.line).nth(position).unwrap_or_default();
        self.line.slice_ref(word)
    }

    /// The number at a position.
    pub fn number<T: std::str::FromStr>(&self, position: usize) -> Result<T, Nonsense> {
        let word = self.word(position);
        number(&word).ok_or_else(|| self.nonsense())
    }

    /// The words from a position on, as numbers.
    pub fn numbers(&self, from: usize) -> Result<Vec<f64>, Nonsense> {
        words(&self.line).skip(from).map(|w| number(w).ok_or_else(|| self.nonsense())).collect()
    }

    /// This message as nonsense.
    pub fn nonsense(&self) -> Nonsense {
        Nonsense(format!(
            "not in the protocol: {:?}",
            &self.line[..self.line.len().min(80)].escape_ascii().to_string()
        ))
    }
}

fn words(line: &[u8]) -> impl Iterator<Item = &[u8]> {
    line.split(|b| *b == b' ')
}

fn number<T: std::str::FromStr>(word: &[u8]) -> Option<T> {
    std::str::from_utf8(word).ok()?.parse().ok()
}

/// Takes the next whole message off the buffer. `has_body` tells by its words whether bytes follow a line.
pub fn take(
    buffer: &mut BytesMut,
    has_body: impl FnOnce(&mut dyn Iterator<Item = &[u8]>) -> bool,
) -> Result<Option<Message>, Nonsense> {
    let Some(end) = buffer.iter().position(|b| *b == b'\n') else {
        return if buffer.len() > MAX_LINE {
            Err(Nonsense("a line without an end".into()))
        } else {
            Ok(None)
        };
    };
    let line = &buffer[..end];
    let Some(line) = line.strip_suffix(b"\r").filter(|l| l.len() <= MAX_LINE) else {
        return Err(Nonsense("a line that does not end in CR LF, or is too long".into()));
    };
    if !has_body(&mut words(line)) {
        let line = buffer.split_to(end + 1).freeze().slice(..end - 1);
        return Ok(Some(Message { line, body: None }));
    }
    let Some(length) = words(line).last().and_then(number::<usize>).filter(|l| *l <= MAX_BODY) else {
        return Err(Nonsense("a length that is none, or too long".into()));
    };
    let total = end + 1 + length + 2;
    if buffer.len() < total {
        buffer.reserve(total - buffer.len());
        return Ok(None);
    }
    if &buffer[total - 2..total] != b"\r\n" {
        return Err(Nonsense("bytes of another length than stated".into()));
    }
    let whole = buffer.split_to(total).freeze();
    let body = whole.slice(end + 1..total - 2);
    Ok(Some(Message { line: whole.slice(..end - 1), body: Some(body) }))
}

/// Writes a line of words, and the bytes that it announces.
pub fn put(output: &mut BytesMut, words: &[&[u8]], body: Option<&[u8]>) {
    for (i, word) in words.iter().enumerate() {
        if i > 0 {
            output.put_u8(b' ');
        }
        output.put_slice(word);
    }
    if let Some(body) = body {
        // Writing to memory does not fail.
        let _ = write!(output.writer(), " {}\r\n", body.len());
        output.put_slice(body);
    }
    output.put_slice(b"\r\n");
}

/// A link: what was read and not yet understood, and what is still to be written.
#[derive(Debug)]
pub struct Link {
    stream: TcpStream,
    /// What was read.
    pub input: BytesMut,
    /// What is to be written.
    pub output: BytesMut,
}

impl Link {
    /// A link on a new connection.
    pub fn new(stream: TcpStream) -> Self {
        Link { stream, input: BytesMut::with_capacity(64 * 1024), output: BytesMut::new() }
    }

    /// Whether nothing has come and the peer has not closed, as far as is known without waiting.
    pub fn silent(&self) -> bool {
        let nothing = self.stream.try_read(&mut [0]);
        self.input.is_empty() && nothing.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Room for more output.
    pub fn has_room(&self) -> bool {
        self.output.len() < MAX_UNWRITTEN
    }

    /// Reads and writes whatever is possible; returns once something was read, or all was written. Safe to
    /// cancel.
    pub async fn turn(&mut self) -> io::Result<()> {
        let Link { stream, input, output } = self;
        let (mut reader, mut writer) = stream.split();
        loop {
            input.reserve(16 * 1024);
            tokio::select! {
                read = reader.read_buf(input) => {
                    return if read? == 0 { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(()) };
                }
                written = writer.write_buf(output), if !output.is_empty() => {
                    if written? == 0 {
                        return Err(io::ErrorKind::WriteZero.into());
                    }
                }
            }
        }
    }
}

#[cfg(test)]
mod tests;
