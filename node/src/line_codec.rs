//! The line protocol of the interpreter, the index and the upgrade handover.
//!
//! A message is one line of fields, separated by single spaces and ended by CR LF. Some kinds of message
//! carry a body: their last field is its length in bytes, and the body follows, ended by CR LF as well. The
//! length of lines and bodies is limited, so that a faulty peer can't exhaust the memory.

use std::io::{self, Write};
use std::str::FromStr;

use bytes::{BufMut, Bytes, BytesMut};
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Maximum length of a line, in bytes.
const MAX_LINE_BYTES: usize = 16 * 1024;
/// Maximum length of a body, in bytes.
pub(crate) const MAX_BODY: usize = 256 * 1024;
/// Number of unwritten bytes from which no more commands are accepted.
const MAX_UNWRITTEN_BYTES: usize = 1024 * 1024;
/// Initial capacity of a connection's read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 64 * 1024;
/// Free space that is kept in the read buffer for each read, in bytes.
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of bytes of an unknown line that an error message quotes.
const MAX_QUOTED_BYTES: usize = 80;
/// Ends a line and a body.
const CRLF: &[u8] = b"\r\n";

/// A violation of the protocol by a peer.
#[derive(Debug, Error)]
pub(crate) enum ProtocolError {
    /// More than [`MAX_LINE_BYTES`] arrived without a line end.
    #[error("line has no end after {MAX_LINE_BYTES} bytes")]
    UnterminatedLine,
    /// A line ends in LF alone, or is longer than [`MAX_LINE_BYTES`].
    #[error("line does not end in CR LF, or is longer than {MAX_LINE_BYTES} bytes")]
    MalformedLine,
    /// The last field of a line with a body is not a number, or is over [`MAX_BODY`].
    #[error("body length is not a number up to {MAX_BODY}")]
    BadLength,
    /// The body is not followed by CR LF at the length that its line states.
    #[error("body does not have the length that its line states")]
    LengthMismatch,
    /// A message began and was not complete in time.
    #[error("message not complete in time")]
    Incomplete,
    /// The line is not a message of the protocol.
    #[error("unexpected message: \"{0}\"")]
    Unexpected(String),
}

impl From<ProtocolError> for io::Error {
    fn from(error: ProtocolError) -> Self {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}

/// A decoded message, whose line and body are slices of the read buffer.
#[derive(Debug, PartialEq)]
pub(crate) struct Message {
    line: Bytes,
    /// The body, for kinds of message that carry one.
    pub(crate) body: Option<Bytes>,
}

impl Message {
    /// The field at a position, from 0; empty if the line has fewer fields.
    pub(crate) fn field(&self, position: usize) -> Bytes {
        let field = fields(&self.line).nth(position).unwrap_or_default();
        self.line.slice_ref(field)
    }

    /// The field at a position as a number.
    ///
    /// # Errors
    ///
    /// If the field is missing or is not a number of this type.
    pub(crate) fn numeric_field<T: FromStr>(&self, position: usize) -> Result<T, ProtocolError> {
        parse_number(&self.field(position)).ok_or_else(|| self.protocol_error())
    }

    /// All fields from a position on as numbers.
    ///
    /// # Errors
    ///
    /// If one of the fields is not a number.
    pub(crate) fn numeric_fields(&self, from: usize) -> Result<Vec<f64>, ProtocolError> {
        fields(&self.line)
            .skip(from)
            .map(|field| parse_number(field).ok_or_else(|| self.protocol_error()))
            .collect()
    }

    /// The error that reports this message as unexpected.
    pub(crate) fn protocol_error(&self) -> ProtocolError {
        let shown = &self.line[..self.line.len().min(MAX_QUOTED_BYTES)];
        ProtocolError::Unexpected(shown.escape_ascii().to_string())
    }
}

fn fields(line: &[u8]) -> impl Iterator<Item = &[u8]> {
    line.split(|byte| *byte == b' ')
}

fn parse_number<T: FromStr>(field: &[u8]) -> Option<T> {
    std::str::from_utf8(field).ok()?.parse().ok()
}

/// Removes the next complete message from the buffer and returns it; none while the message is incomplete.
/// `has_body` decides by the fields of a line whether a body follows.
///
/// # Errors
///
/// If the buffer does not begin with a message of the protocol. The connection can no longer be used then.
pub(crate) fn decode(
    buffer: &mut BytesMut,
    has_body: impl FnOnce(&mut dyn Iterator<Item = &[u8]>) -> bool,
) -> Result<Option<Message>, ProtocolError> {
    let Some(line_end) = buffer.iter().position(|byte| *byte == b'\n') else {
        let too_long = buffer.len() > MAX_LINE_BYTES;
        return if too_long { Err(ProtocolError::UnterminatedLine) } else { Ok(None) };
    };
    let line = &buffer[..line_end];
    let Some(line) = line.strip_suffix(b"\r").filter(|line| line.len() <= MAX_LINE_BYTES) else {
        return Err(ProtocolError::MalformedLine);
    };
    if !has_body(&mut fields(line)) {
        let line = buffer.split_to(line_end + 1).freeze().slice(..line_end - 1);
        return Ok(Some(Message { line, body: None }));
    }
    let length = fields(line).last().and_then(parse_number::<usize>);
    let length = length.filter(|length| *length <= MAX_BODY).ok_or(ProtocolError::BadLength)?;
    decode_body(buffer, line_end, length)
}

/// Completes [`decode`] for a message with a body of this length.
fn decode_body(
    buffer: &mut BytesMut,
    line_end: usize,
    length: usize,
) -> Result<Option<Message>, ProtocolError> {
    let body_start = line_end + 1;
    let body_end = body_start + length;
    let message_end = body_end + CRLF.len();
    if buffer.len() < message_end {
        buffer.reserve(message_end - buffer.len());
        return Ok(None);
    }
    if &buffer[body_end..message_end] != CRLF {
        return Err(ProtocolError::LengthMismatch);
    }
    let message = buffer.split_to(message_end).freeze();
    let body = message.slice(body_start..body_end);
    Ok(Some(Message { line: message.slice(..line_end - 1), body: Some(body) }))
}

/// Appends a message with these fields. If there is a body, its length is added as the last field.
pub(crate) fn encode(output: &mut BytesMut, fields: &[&[u8]], body: Option<&[u8]>) {
    for (position, field) in fields.iter().enumerate() {
        if position > 0 {
            output.put_u8(b' ');
        }
        output.put_slice(field);
    }
    if let Some(body) = body {
        // Writing to memory does not fail.
        let _ = write!(output.writer(), " {}\r\n", body.len());
        output.put_slice(body);
    }
    output.put_slice(CRLF);
}

/// A connection with a read buffer and a write buffer.
#[derive(Debug)]
pub(crate) struct LineConnection {
    stream: TcpStream,
    /// Bytes that were read but not decoded yet.
    pub(crate) input: BytesMut,
    /// Bytes that are still to be written.
    pub(crate) output: BytesMut,
}

impl LineConnection {
    /// Wraps a new connection.
    pub(crate) fn new(stream: TcpStream) -> Self {
        LineConnection { stream, input: BytesMut::with_capacity(READ_BUFFER_BYTES), output: BytesMut::new() }
    }

    /// Whether the connection is open and has no unread input, as far as can be told without waiting.
    pub(crate) fn is_idle(&self) -> bool {
        let read = self.stream.try_read(&mut [0]);
        self.input.is_empty() && read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Whether the output is short enough to accept more messages.
    pub(crate) fn has_write_capacity(&self) -> bool {
        self.output.len() < MAX_UNWRITTEN_BYTES
    }

    /// Reads and writes until input was read. Cancelling the future loses no bytes.
    ///
    /// # Errors
    ///
    /// If the connection fails, or the peer has closed it.
    pub(crate) async fn transfer(&mut self) -> io::Result<()> {
        let LineConnection { stream, input, output } = self;
        let (mut reader, mut writer) = stream.split();
        loop {
            input.reserve(READ_CHUNK_BYTES);
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
