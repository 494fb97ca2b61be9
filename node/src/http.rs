//! The HTTP that is spoken beside the main protocols: heads of calls, and whole responses.

use bytes::Bytes;

/// Longest head, and the most fields in it.
pub const MAX_HEAD: usize = 16 * 1024;
/// The most fields of a head.
pub const MAX_FIELDS: usize = 64;

/// The method and the path of a call whose head is whole; nothing while it is not.
pub fn call(input: &[u8]) -> Result<Option<(String, String)>, httparse::Error> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut request = httparse::Request::new(&mut fields);
    if request.parse(input)?.is_partial() {
        return Ok(None);
    }
    let target = request.path.unwrap_or_default();
    let path = target.split_once('?').map_or(target, |(path, _)| path);
    Ok(Some((request.method.unwrap_or_default().to_string(), path.to_string())))
}

/// A response after which the connection ends; `fields` each end in CR LF.
pub fn response(status: u16, reason: &str, fields: &str, body: &[u8]) -> Bytes {
    let length = body.len();
    let head = format!(
        "HTTP/1.1 {status} {reason}\r\nContent-Length: {length}\r\n{fields}Connection: close\r\n\r\n"
    );
    [head.as_bytes(), body].concat().into()
}

#[cfg(test)]
mod tests;
