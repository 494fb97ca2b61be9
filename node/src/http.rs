//! The HTTP/1.1 that is spoken beside the main protocols: heads of calls, and complete responses.

use bytes::Bytes;

/// Longest head, in bytes.
pub(crate) const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Most header fields in a head.
pub(crate) const MAX_HEADER_FIELDS: usize = 64;

/// The request line of a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Call {
    /// The method.
    pub(crate) method: String,
    /// The path, without the query.
    pub(crate) path: String,
}

/// Decodes the head of a call; none while it is incomplete.
///
/// # Errors
///
/// Where the input is no HTTP head, or one with more than [`MAX_HEADER_FIELDS`].
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

/// A response after which the connection is closed. Each of the header `fields` ends in CR LF.
pub(crate) fn response(status: u16, reason: &str, fields: &str, body: &[u8]) -> Bytes {
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Length: {length}\r\n{fields}Connection: close\r\n\r\n"
    );
    [head.as_bytes(), body].concat().into()
}

#[cfg(test)]
mod tests;
