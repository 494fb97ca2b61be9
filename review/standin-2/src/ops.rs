//! Calls to the operators' address: HTTP/1.1, one call per connection.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The answer to a call.
pub struct Answer {
    pub status: u16,
    pub text: String,
}

impl Answer {
    /// 2xx means yes.
    pub fn is_yes(&self) -> bool {
        (200..300).contains(&self.status)
    }
}

/// Makes a call; none if there is no answer within a second.
pub fn call(address: SocketAddr, method: &str, path: &str) -> Option<Answer> {
    let second = Duration::from_secs(1);
    let mut stream = TcpStream::connect_timeout(&address, second).ok()?;
    stream.set_read_timeout(Some(second)).ok()?;
    write!(stream, "{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n").ok()?;
    let mut text = String::new();
    stream.read_to_string(&mut text).ok()?;
    let status = text.split(' ').nth(1)?.parse().ok()?;
    Some(Answer { status, text })
}
