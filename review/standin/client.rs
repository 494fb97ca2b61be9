//! A stand-in for a front end: sends JSON-RPC requests and reads their answers.

use std::io::{self, BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::record::Record;

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// The answer to a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// A result.
    Served(String),
    /// An error, with its code.
    Error(i64),
}

/// What a front end saw of one try.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Seen {
    Answer(Answer),
    /// The connection was refused, or was closed before an answer.
    Closed,
    /// No answer came in time.
    Silence,
}

/// A connection to a node.
pub struct Client {
    input: BufReader<TcpStream>,
    next_id: u64,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Client { input: BufReader::new(stream), next_id: 1 })
    }

    /// Sends a booking and returns its txn. The body is the key.
    pub fn send_book(&mut self, key: &str, limit: Duration) -> io::Result<String> {
        let (id, txn) = (self.next_id, new_txn());
        self.next_id += 1;
        let line = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"book\",\"params\":{{\"txn\":\"{txn}\",\"door\":{},\"lb\":1,\
             \"team\":\"rychla-kolesa\",\"limit\":{},\"cpu\":350.00,\"ram\":28.5,\"standing\":0.5,\
             \"unique\":\"{key}\",\"content\":\"{}\"}}}}\n",
            unix_ms(),
            limit.as_millis(),
            to_base64(key.as_bytes()),
        );
        self.input.get_mut().write_all(line.as_bytes())?;
        Ok(txn)
    }

    /// Sends a health check and returns whether the answer is good.
    pub fn is_up(&mut self) -> bool {
        let sent = self.input.get_mut().write_all(b"{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"status\"}\n");
        sent.is_ok()
            && self
                .read_line(Instant::now() + Duration::from_secs(1))
                .is_ok_and(|line| line.contains("\"up\":true"))
    }

    /// Waits for the next answer, in any order of the requests.
    pub fn next_answer(&mut self, until: Instant) -> Seen {
        loop {
            let line = match self.read_line(until) {
                Ok(line) => line,
                Err(error) if is_timeout(&error) => return Seen::Silence,
                Err(_) => return Seen::Closed,
            };
            if line.contains("\"method\":\"draining\"") {
                continue;
            }
            return Seen::Answer(parse_answer(&line));
        }
    }

    fn read_line(&mut self, until: Instant) -> io::Result<String> {
        let mut line = String::new();
        loop {
            let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
            self.input.get_ref().set_read_timeout(Some(left))?;
            match self.input.read_line(&mut line) {
                Ok(0) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(_) if line.ends_with('\n') => return Ok(line),
                Ok(_) => return Err(ErrorKind::UnexpectedEof.into()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
    }
}

/// Sends a booking on a connection of its own and waits for its answer.
pub fn book(listen: SocketAddr, key: &str, limit: Duration, record: &Record) -> Seen {
    let Ok(mut client) = Client::connect(listen) else {
        record.line(&format!("front end: book {key}: connection refused"));
        return Seen::Closed;
    };
    let Ok(txn) = client.send_book(key, limit) else { return Seen::Closed };
    record.line(&format!("front end: book {key} sent, txn {txn}"));
    let seen = client.next_answer(Instant::now() + limit + Duration::from_millis(150));
    record.line(&format!("front end: book {key}, txn {txn}: {seen:?}"));
    seen
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

fn parse_answer(line: &str) -> Answer {
    if let Some((_, rest)) = line.split_once("\"content\":\"") {
        let content = rest.split('"').next().unwrap_or_default();
        return Answer::Served(String::from_utf8_lossy(&from_base64(content)).into_owned());
    }
    let code = line.split_once("\"code\":").map_or("", |(_, rest)| rest);
    let code: String = code.chars().take_while(|c| *c == '-' || c.is_ascii_digit()).collect();
    Answer::Error(code.parse().unwrap_or(0))
}

fn new_txn() -> String {
    static COUNT: AtomicU64 = AtomicU64::new(0);
    let count = COUNT.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", (unix_ms() as u64) << 20 | (count & 0xf_ffff))
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0, |word, byte| word << 8 | u32::from(*byte)) << (8 * (3 - chunk.len()));
        for position in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * position) & 63) as usize];
            text.push(if position <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

fn from_base64(text: &str) -> Vec<u8> {
    let mut bytes = Vec::new();
    let (mut word, mut bits) = (0_u32, 0);
    for value in text.bytes().filter_map(|byte| DIGITS.iter().position(|digit| *digit == byte)) {
        word = word << 6 | value as u32;
        bits += 6;
        if bits >= 8 {
            bits -= 8;
            bytes.push((word >> bits) as u8);
        }
    }
    bytes
}
