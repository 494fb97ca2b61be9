//! The part of HTTP/1.1 that the admin interface and the uwsgi protocol need: heads of requests and complete
//! responses.

use bytes::Bytes;

/// Maximum length of a head, in bytes.
pub(crate) const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of header fields in a head.
pub(crate) const MAX_HEADER_FIELDS: usize = 64;

/// The protocol version in the status line of responses.
const VERSION: &str = "HTTP/1.1";

/// The status of a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Status {
    /// The status code.
    pub(crate) code: u16,
    /// The reason phrase.
    pub(crate) reason: &'static str,
}

impl Status {
    /// The request was served.
    pub(crate) const OK: Status = Status::new(200, "OK");
    /// The request is malformed.
    pub(crate) const BAD_REQUEST: Status = Status::new(400, "Bad Request");
    /// The path does not exist.
    pub(crate) const NOT_FOUND: Status = Status::new(404, "Not Found");
    /// The path does not support the method.
    pub(crate) const METHOD_NOT_ALLOWED: Status = Status::new(405, "Method Not Allowed");
    /// The request was not complete in time.
    pub(crate) const REQUEST_TIMEOUT: Status = Status::new(408, "Request Timeout");
    /// The request is too long.
    pub(crate) const CONTENT_TOO_LARGE: Status = Status::new(413, "Content Too Large");
    /// The head of the request is too long.
    pub(crate) const HEADER_FIELDS_TOO_LARGE: Status = Status::new(431, "Request Header Fields Too Large");
    /// The request failed.
    pub(crate) const INTERNAL_SERVER_ERROR: Status = Status::new(500, "Internal Server Error");
    /// The request can't be served at present.
    pub(crate) const SERVICE_UNAVAILABLE: Status = Status::new(503, "Service Unavailable");
    /// The request was not served by its deadline.
    pub(crate) const GATEWAY_TIMEOUT: Status = Status::new(504, "Gateway Timeout");

    const fn new(code: u16, reason: &'static str) -> Self {
        Status { code, reason }
    }
}

/// The request line of a call to the admin interface.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Call {
    /// HTTP method.
    pub(crate) method: String,
    /// The path, without the query.
    pub(crate) path: String,
}

/// Decodes the head of a call; none while it is incomplete.
///
/// # Errors
///
/// If the input is not the head of an HTTP request, or has more than [`MAX_HEADER_FIELDS`] header fields.
pub(crate) fn parse_call(input: &[u8]) -> Result<Option<Call>, httparse::Error> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    if request.parse(input)?.is_partial() {
        return Ok(None);
    }
    let target = request.path.unwrap_or_default();
    let path = target.split_once('?').map_or(target, |(path, _)| path);
    Ok(Some(Call { method: request.method.unwrap_or_default().to_string(), path: path.to_string() }))
}

/// Encodes a response that announces the close of the connection. Each of the header `fields` ends in CR LF.
pub(crate) fn response(status: Status, fields: &str, body: &[u8]) -> Bytes {
    let Status { code, reason } = status;
    let length = body.len();
    let head =
        format!("{VERSION} {code} {reason}\r\nContent-Length: {length}\r\n{fields}Connection: close\r\n\r\n");
    [head.as_bytes(), body].concat().into()
}

#[cfg(test)]
mod tests;
