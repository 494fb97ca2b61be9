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

/// Maximum length of a response body, in bytes.
const MAX_BODY_BYTES: usize = 256 * 1024;
/// Status codes of a successful response.
const SUCCESS_CODES: RangeInclusive<u16> = 200..=299;
/// Status code that, together with Retry-After, means that the server did not start the request.
const SERVICE_UNAVAILABLE: u16 = Status::SERVICE_UNAVAILABLE.code;
/// Status code of a request that timed out at the server.
const GATEWAY_TIMEOUT: u16 = Status::GATEWAY_TIMEOUT.code;
/// Initial capacity of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Why a response can't be used.
#[derive(Debug, Error)]
pub(super) enum ResponseError {
    /// The head is not valid HTTP.
    #[error("response head is not valid HTTP: {0}")]
    Malformed(#[from] httparse::Error),
    /// The head is longer than [`MAX_HEAD_BYTES`].
    #[error("response head is longer than {MAX_HEAD_BYTES} bytes")]
    HeadTooLong,
    /// The response uses a transfer encoding, which uwsgi servers are not expected to do.
    #[error("Transfer-Encoding is not supported")]
    TransferEncoding,
    /// The value of Content-Length is not UTF-8.
    #[error("Content-Length is not UTF-8: {0}")]
    LengthNotText(#[from] Utf8Error),
    /// The value of Content-Length is not a number.
    #[error("Content-Length is not a number: {0}")]
    LengthNotNumber(#[from] ParseIntError),
    /// The value of Content-Length is over [`MAX_BODY_BYTES`].
    #[error("Content-Length {0} is over the limit of {MAX_BODY_BYTES} bytes")]
    BodyTooLong(usize),
    /// A successful response has no Content-Length, so that a complete body can't be distinguished from a
    /// truncated one.
    #[error("successful response has no Content-Length")]
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
    /// The server responded that it did not start the request.
    Rejected,
    /// The request timed out, here or at the server.
    TimedOut,
    /// The server failed, or its response was malformed.
    Failed,
    /// The connection broke before the response was complete.
    CutOff,
    /// No server could be connected to.
    Unreachable,
}

/// The decoded head of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct ResponseHead {
    /// Length of the head, in bytes.
    pub(super) size: usize,
    pub(super) status: u16,
    /// Value of Content-Length, in bytes; none if the field is absent.
    pub(super) content_length: Option<usize>,
    /// Whether the response has a Retry-After field.
    pub(super) has_retry_after: bool,
}

/// Reads a complete response and classifies it by its status.
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
