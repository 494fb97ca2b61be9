//! A front end: JSON-RPC 2.0 over TCP, one message per line.

use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::record::Record;
use crate::{unix_ms, wait_until};

/// A final answer, by the protocol page's table.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// A result, with its content as text.
    Served(String),
    /// An error with the code -32011: this try never ran.
    Refused,
    /// Any other error.
    Failed(i64),
}

/// A try of a request.
#[derive(Debug, Clone)]
pub struct Try {
    pub class: &'static str,
    /// How long the front end waits, in milliseconds from now.
    pub limit_ms: u64,
    pub key: Option<String>,
    pub body: String,
}

/// Counts all tries of the process, so that no `txn` comes twice.
static TRIES: AtomicU64 = AtomicU64::new(0);

/// What the reader of a connection has received.
#[derive(Default)]
struct Received {
    answers: Vec<(u64, u64, Answer)>,
    ended_at: Option<u64>,
}

/// A connection of a front end.
pub struct Connection {
    stream: TcpStream,
    name: String,
    next_id: u64,
    received: Arc<Mutex<Received>>,
    record: Record,
}

impl Connection {
    /// Connects; the name is for the record.
    pub fn open(address: SocketAddr, name: &str, record: &Record) -> Result<Connection, String> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(2))
            .map_err(|error| format!("{name}: not connected: {error}"))?;
        stream.set_nodelay(true).map_err(|error| error.to_string())?;
        let received = Arc::new(Mutex::new(Received::default()));
        let reader = stream.try_clone().map_err(|error| error.to_string())?;
        let (sink, name, log) = (received.clone(), name.to_string(), record.clone());
        let reader_name = name.clone();
        std::thread::spawn(move || read_lines(reader, &reader_name, &sink, &log));
        Ok(Connection { stream, name, next_id: 1, received, record: record.clone() })
    }

    /// Takes the next id and the bytes of a try, without the line's end.
    pub fn encode(&mut self, request: &Try) -> (u64, String) {
        let id = self.next_id;
        self.next_id += 1;
        let txn = TRIES.fetch_add(1, Ordering::Relaxed) + (unix_ms() << 20);
        let Try { class, limit_ms, key, body } = request;
        let unique = key.as_ref().map_or(String::new(), |key| format!(r#","unique":"{key}""#));
        let line = format!(
            r#"{{"jsonrpc":"2.0","id":{id},"method":"{class}","params":{{"txn":"{txn:016x}","door":{},"lb":1,"team":"rychla-kolesa","limit":{limit_ms},"cpu":50.0,"ram":24.5,"standing":0.5{unique},"content":"{}"}}}}"#,
            unix_ms(),
            base64(body.as_bytes())
        );
        self.record.line(&format!(
            "{} -> id={id} txn={txn:016x} {class} key={} limit={limit_ms} body={body}",
            self.name,
            key.as_deref().unwrap_or("-")
        ));
        (id, line)
    }

    /// Writes bytes as they are; false if the connection does not take them.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        let written = self.stream.write_all(bytes);
        if let Err(error) = &written {
            self.record.line(&format!("{}: write failed: {error}", self.name));
        }
        written.is_ok()
    }

    /// Sends a try and returns its id; none if the connection does not take it.
    pub fn send(&mut self, request: &Try) -> Option<u64> {
        let (id, line) = self.encode(request);
        self.write(format!("{line}\n").as_bytes()).then_some(id)
    }

    /// The answers to a request so far.
    pub fn answers(&self, id: u64) -> Vec<Answer> {
        let received = self.received.lock().expect("received");
        received.answers.iter().filter(|(_, of, _)| *of == id).map(|(_, _, answer)| answer.clone()).collect()
    }

    /// When the first answer to a request came, in Unix milliseconds.
    pub fn answered_at(&self, id: u64) -> Option<u64> {
        let received = self.received.lock().expect("received");
        received.answers.iter().find(|(_, of, _)| *of == id).map(|(at, _, _)| *at)
    }

    /// Waits for the answer to a request; none if it does not come within `ms` milliseconds.
    pub fn wait_answer(&self, id: u64, ms: u64) -> Option<Answer> {
        wait_until(ms, || !self.answers(id).is_empty() || self.has_ended());
        self.answers(id).first().cloned()
    }

    /// Whether the node has ended the connection.
    pub fn has_ended(&self) -> bool {
        self.received.lock().expect("received").ended_at.is_some()
    }

    /// When the node has ended the connection, in Unix milliseconds.
    pub fn ended_at(&self) -> Option<u64> {
        self.received.lock().expect("received").ended_at
    }

    /// Closes the connection.
    pub fn close(&self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.close();
    }
}

fn read_lines(stream: TcpStream, name: &str, sink: &Mutex<Received>, record: &Record) {
    for line in BufReader::new(stream).lines() {
        let Ok(line) = line else { break };
        record.line(&format!("{name} <- {line}"));
        let mut received = sink.lock().expect("received");
        // A notification, or an error that names no request, is an answer to none.
        if let Some((id, answer)) = parse_answer(&line) {
            received.answers.push((unix_ms(), id, answer));
        }
    }
    record.line(&format!("{name}: connection ended"));
    sink.lock().expect("received").ended_at = Some(unix_ms());
}

/// The id and the answer of a response; none for notifications and responses without an id.
fn parse_answer(line: &str) -> Option<(u64, Answer)> {
    let id = number_after(line, "\"id\":")?;
    if line.contains("\"error\":") {
        let code = number_after(line, "\"code\":")?;
        let answer = if code == -32011 { Answer::Refused } else { Answer::Failed(code) };
        return Some((id as u64, answer));
    }
    let content = line.split("\"content\":\"").nth(1).and_then(|rest| rest.split('"').next());
    Some((id as u64, Answer::Served(content.map_or_else(|| line.to_string(), unbase64))))
}

fn number_after(line: &str, name: &str) -> Option<i64> {
    let rest = line.split(name).nth(1)?;
    let end = rest.find(|c: char| c != '-' && !c.is_ascii_digit()).unwrap_or(rest.len());
    rest[..end].parse().ok()
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let block =
            chunk.iter().enumerate().fold(0_u32, |block, (i, byte)| block | u32::from(*byte) << (16 - 8 * i));
        for i in 0..4 {
            let digit = DIGITS[(block >> (18 - 6 * i)) as usize & 63];
            text.push(if i <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

fn unbase64(text: &str) -> String {
    let digits: Vec<u32> = text
        .bytes()
        .filter_map(|byte| DIGITS.iter().position(|digit| *digit == byte))
        .map(|i| i as u32)
        .collect();
    let mut bytes = Vec::new();
    for chunk in digits.chunks(4) {
        let block = chunk.iter().enumerate().fold(0_u32, |block, (i, digit)| block | digit << (18 - 6 * i));
        bytes.extend_from_slice(&block.to_be_bytes()[1..chunk.len()]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
