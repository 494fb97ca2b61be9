//! Shared by the measuring examples: a JSON-RPC client and a stub interpreter.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use oakwind_fault_harness::clock::unix_now;

/// What a log line says once the node is healthy, in this release and in the ones before.
pub(crate) const HEALTHY: [&str; 2] = ["dispatcher: health changed: healthy=true", "health is good"];

/// One answered request: when it was sent, and how long its response took.
pub(crate) type Sample = (Instant, Duration);

/// Sends `count` requests of a class over one connection, at most `concurrency` of them outstanding at a time.
///
/// Ids and idempotency keys count up from `first_key + 1`; requests of the class `book` carry a key. Returns a sample for
/// each response, and how many requests were served.
pub(crate) fn send_requests(
    address: SocketAddr,
    class: &str,
    concurrency: usize,
    count: usize,
    first_key: usize,
) -> io::Result<(Vec<Sample>, usize)> {
    let stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let (mut output, mut input) = (stream.try_clone()?, BufReader::new(stream));
    let (mut sent, mut samples, mut served, mut line) = (Vec::new(), Vec::new(), 0, String::new());
    while samples.len() < count {
        while sent.len() < count && sent.len() - samples.len() < concurrency {
            let (id, received_at) = (sent.len() + 1, unix_now().as_millis());
            let (txn, key) = (first_key + id, first_key + id);
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
        samples.push((*sent_at, sent_at.elapsed()));
    }
    Ok((samples, served))
}

/// Serves one connection as a stub interpreter that completes every run at once with the given result.
pub(crate) fn run_stub_interpreter(listener: &TcpListener, result: &str) -> io::Result<()> {
    let (stream, _) = listener.accept()?;
    stream.set_nodelay(true)?;
    let (mut output, mut input) = (stream.try_clone()?, BufReader::new(stream));
    let (mut line, mut notice) = (String::new(), 0);
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
