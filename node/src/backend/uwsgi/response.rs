//! Reads the HTTP response of a uwsgi server.

use std::io;
use std::num::ParseIntError;
use std::ops::RangeInclusive;
use std::str::Utf8Error;

use bytes::{Bytes, BytesMut};
use thiserror::Error;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use crate::http::{Status, MAX_HEADER_FIELDS, MAX_HEAD_BYTES};

/// Longest body of a response, in bytes.
const MAX_BODY_BYTES: usize = 256 * 1024;
/// The status codes of a result.
const SUCCESS_CODES: RangeInclusive<u16> = 200..=299;
/// With Retry-After: the server did not start.
const SERVICE_UNAVAILABLE: u16 = Status::SERVICE_UNAVAILABLE.code;
/// The time ran out at the server.
const GATEWAY_TIMEOUT: u16 = Status::GATEWAY_TIMEOUT.code;
/// Initial capacity of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Why a response can't be used.
#[derive(Debug, Error)]
pub(super) enum ResponseError {
    /// The head is no HTTP.
    #[error("{0}")]
    Malformed(#[from] httparse::Error),
    /// The head is longer than [`MAX_HEAD_BYTES`].
    #[error("head longer than {MAX_HEAD_BYTES} bytes")]
    HeadTooLong,
    /// uwsgi servers use no transfer encoding.
    #[error("Transfer-Encoding is not supported")]
    TransferEncoding,
    /// The stated length is no text.
    #[error("Content-Length: {0}")]
    LengthNotText(#[from] Utf8Error),
    /// The stated length is no number.
    #[error("Content-Length: {0}")]
    LengthNotNumber(#[from] ParseIntError),
    /// The stated length is over [`MAX_BODY_BYTES`].
    #[error("Content-Length: {0} is over {MAX_BODY_BYTES}")]
    BodyTooLong(usize),
    /// A result does not state its length, so that a complete one looks like one that was cut off.
    #[error("result without Content-Length")]
    LengthMissing,
}

impl From<ResponseError> for io::Error {
    fn from(error: ResponseError) -> Self {
        io::Error::new(io::ErrorKind::InvalidData, error)
    }
}

/// How an exchange with a server ended.
#[derive(Debug, PartialEq)]
pub(super) enum ServerOutcome {
    /// The server responded with 2xx and this body.
    Succeeded(Bytes),
    /// The server responded that it did not start.
    Rejected,
    /// The time ran out, here or at the server.
    TimedOut,
    /// The server failed, or its response was malformed.
    Failed,
    /// The connection broke before the response was complete.
    CutOff,
    /// No server could be connected to.
    Unreachable,
}

/// What the head of a response says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ResponseHead {
    /// Bytes of the head itself.
    pub(super) size: usize,
    pub(super) status: u16,
    /// Bytes of the body, where they are stated.
    pub(super) content_length: Option<usize>,
    /// Whether there is a Retry-After.
    pub(super) has_retry_after: bool,
}

/// Reads a response to its end.
pub(super) async fn read_response(stream: &mut TcpStream) -> io::Result<ServerOutcome> {
    let mut input = BytesMut::with_capacity(READ_BUFFER_BYTES);
    let head = loop {
        if let Some(head) = parse_head(&input)? {
            break head;
        }
        if input.len() > MAX_HEAD_BYTES {
            return Err(ResponseError::HeadTooLong.into());
        }
        read_more(stream, &mut input).await?;
    };
    let _ = input.split_to(head.size);
    let length = match head.content_length {
        None if is_success(head.status) => return Err(ResponseError::LengthMissing.into()),
        length => length.unwrap_or(0),
    };
    while input.len() < length {
        read_more(stream, &mut input).await?;
    }
    input.truncate(length);
    Ok(match head.status {
        status if is_success(status) => ServerOutcome::Succeeded(input.freeze()),
        SERVICE_UNAVAILABLE if head.has_retry_after => ServerOutcome::Rejected,
        GATEWAY_TIMEOUT => ServerOutcome::TimedOut,
        _ => ServerOutcome::Failed,
    })
}

async fn read_more(stream: &mut TcpStream, input: &mut BytesMut) -> io::Result<()> {
    if stream.read_buf(input).await? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(())
}

fn is_success(status: u16) -> bool {
    SUCCESS_CODES.contains(&status)
}

/// Decodes the head of a response; none while it is incomplete.
pub(super) fn parse_head(input: &[u8]) -> Result<Option<ResponseHead>, ResponseError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut response = httparse::Response::new(&mut fields);
    let size = match response.parse(input)? {
        httparse::Status::Complete(size) => size,
        httparse::Status::Partial => return Ok(None),
    };
    let field = |name: &str| response.headers.iter().find(|field| field.name.eq_ignore_ascii_case(name));
    if field("Transfer-Encoding").is_some() {
        return Err(ResponseError::TransferEncoding);
    }
    let content_length = field("Content-Length").map(|field| parse_length(field.value)).transpose()?;
    Ok(Some(ResponseHead {
        size,
        status: response.code.unwrap_or(0),
        content_length,
        has_retry_after: field("Retry-After").is_some(),
    }))
}

fn parse_length(value: &[u8]) -> Result<usize, ResponseError> {
    let length = std::str::from_utf8(value)?.trim().parse()?;
    if length > MAX_BODY_BYTES {
        return Err(ResponseError::BodyTooLong(length));
    }
    Ok(length)
}

#[cfg(test)]
mod tests;
