//! A uwsgi client: one packet with its body on a connection, and the answer in HTTP.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::time::Duration;

use crate::record::Record;
use crate::unix_ms;

/// A request that was sent.
pub struct Sent {
    stream: TcpStream,
    name: String,
    record: Record,
    /// When its last byte was written, in Unix milliseconds.
    pub written_at: u64,
}

/// Sends a request with these variables and this body.
pub fn send(
    address: SocketAddr,
    name: &str,
    variables: &[(&str, String)],
    body: &str,
    record: &Record,
) -> Result<Sent, String> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))
        .map_err(|error| format!("{name}: not connected: {error}"))?;
    let length = [("CONTENT_LENGTH", body.len().to_string())];
    let mut block = Vec::new();
    for (variable, value) in variables.iter().chain(&length) {
        for text in [variable.as_bytes(), value.as_bytes()] {
            block.extend_from_slice(&(text.len() as u16).to_le_bytes());
            block.extend_from_slice(text);
        }
    }
    let mut packet = vec![0];
    packet.extend_from_slice(&(block.len() as u16).to_le_bytes());
    packet.push(0);
    packet.extend_from_slice(&block);
    packet.extend_from_slice(body.as_bytes());
    stream.write_all(&packet).map_err(|error| format!("{name}: not written: {error}"))?;
    record.line(&format!("{name} -> uwsgi {variables:?} body={body}"));
    Ok(Sent { stream, name: name.to_string(), record: record.clone(), written_at: unix_ms() })
}

impl Sent {
    /// Waits for the answer, and returns its status and body; none if it does not come within `ms` milliseconds.
    pub fn wait_answer(&mut self, ms: u64) -> Option<(u16, String)> {
        self.stream.set_read_timeout(Some(Duration::from_millis(ms.max(1)))).ok()?;
        let mut text = String::new();
        let read = self.stream.read_to_string(&mut text);
        self.record.line(&format!("{} <- {read:?} {text:?}", self.name));
        let status = text.split(' ').nth(1)?.parse().ok()?;
        let body = text.split("\r\n\r\n").nth(1).unwrap_or_default().to_string();
        Some((status, body))
    }
}

/// Writes an operators' file with which a node listens for uwsgi clients, with the keys of `deploy/uwsgi.toml`.
pub fn write_file(listen: SocketAddr, folder: &Path) -> PathBuf {
    let path = folder.join("uwsgi.toml");
    std::fs::write(&path, format!("listen = \"{listen}\"\nruns = []\ncalls = []\n"))
        .expect("the file can be written");
    path
}
