//! A JSON-RPC client and a stub interpreter, shared by the examples that measure.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use oakwind_fault_harness::clock::unix_now;

/// Texts of the log line that reports a healthy node, in this and earlier releases.
pub(crate) const HEALTHY: [&str; 2] = ["dispatcher: health changed: healthy=true", "health is good"];

/// The times of one request and its response.
pub(crate) struct Sample {
    /// Time at which the request was sent.
    pub(crate) sent_at: Instant,
    /// Time at which the response was received.
    answered_at: Instant,
}

impl Sample {
    /// Time from sending the request to receiving the response.
    pub(crate) fn latency(&self) -> Duration {
        self.answered_at - self.sent_at
    }
}

/// The responses to a series of requests.
pub(crate) struct Answers {
    /// One sample per request, in the order of the responses.
    pub(crate) samples: Vec<Sample>,
    /// Number of requests that were served; the others got an error.
    pub(crate) served: usize,
}

/// Sends `count` requests of a class over one connection, with at most `concurrency` of them outstanding, and returns
/// the responses.
///
/// Transaction ids count up from `first_key + 1`. Requests of the class `book` carry an idempotency key, which is the
/// same number.
pub(crate) fn send_requests(
    address: SocketAddr,
    class: &str,
    concurrency: usize,
    count: usize,
    first_key: usize,
) -> io::Result<Answers> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    let mut sent = Vec::new();
    let mut samples = Vec::new();
    let mut served = 0;
    let mut line = String::new();
    while samples.len() < count {
        while sent.len() < count && sent.len() - samples.len() < concurrency {
            let id = sent.len() + 1;
            let received_at = unix_now().as_millis();
            let key = first_key + id;
            let txn = key;
            let unique = if class == "book" { format!(r#""unique":"{key:032x}","#) } else { String::new() };
            let request = format!(
                r#"{{"jsonrpc":"2.0","id":{id},"method":"{class}","params":{{"txn":"{txn:x}","door":{received_at},"lb":1,"limit":100000,"cpu":1.5,"ram":2.5,{unique}"content":"Ym9keQ=="}}}}"#
            );
            sent.push(Instant::now());
            output.write_all(request.as_bytes())?;
            output.write_all(b"\n")?;
        }
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let id = line.split("\"id\":").nth(1).and_then(|rest| rest.split(',').next()?.parse::<usize>().ok());
        let Some(sent_at) = id.and_then(|id| sent.get(id - 1)) else { continue };
        served += usize::from(line.contains("\"result\""));
        samples.push(Sample { sent_at: *sent_at, answered_at: Instant::now() });
    }
    Ok(Answers { samples, served })
}

/// Serves one connection as a stub interpreter that completes every run immediately with the given result.
pub(crate) fn run_stub_interpreter(listener: &TcpListener, result: &str) -> io::Result<()> {
    let (stream, _) = listener.accept()?;
    stream.set_nodelay(true)?;
    let mut output = stream.try_clone()?;
    let mut input = BufReader::new(stream);
    let mut line = String::new();
    let mut notice = 0;
    loop {
        line.clear();
        if input.read_line(&mut line)? == 0 {
            return Ok(());
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        let reply = match words[..] {
            ["CONNECT", ..] => oakwind_fault_harness::wire::banner(false, 100_000),
            ["TOP", tag] => oakwind_fault_harness::wire::tops(tag, &[0.5, 1.0, 0.1, 3.0]),
            ["APPLY", id, _, length] => {
                io::copy(&mut input.by_ref().take(length.parse().unwrap_or(0) + 2), &mut io::sink())?;
                notice += 1;
                oakwind_fault_harness::wire::value(notice, id, "done", 1, result)
            }
            _ => continue,
        };
        output.write_all(reply.as_bytes())?;
    }
}
