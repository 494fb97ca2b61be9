//! A front end writes one of its requests slowly, while another one is open on the same connection.

use review_standin_2::bench::Process;
use review_standin_2::client::{Connection, Try};
use review_standin_2::config::CaseFolder;
use review_standin_2::record::Record;
use review_standin_2::verdict::{run_case, Verdict};
use review_standin_2::{sleep_ms, trouble, unix_ms};

/// The pieces of the request that is written slowly, and the time between two of them.
const PIECES: usize = 8;
const SLOW_INTERVAL_MS: u64 = 400;
const INTERVAL_MS: u64 = 20;
const LIMIT_MS: u64 = 5500;
/// The slack of the site, and that of the rules on sockets.
const SLACK_MS: u64 = 100 + 50;
/// A request that crosses a close within this time is sent again by the front end.
const CROSSING_MS: u64 = 50;

/// A request whose last byte was written to the connection.
struct Written {
    id: u64,
    door: u64,
    complete_at: u64,
}

fn main() {
    run_case(case);
}

fn case(record: &Record) -> Result<Verdict, String> {
    let folder = CaseFolder::create("slow-writer");
    let process = Process::new("vm", folder.path(), record);
    let mut node = process.start("n1", "", record)?;
    node.wait_ready(20_000)?;

    let mut connection = Connection::open(process.listen(), "fe", record)?;
    let mut written = Vec::new();
    written.push(write_slowly(&mut connection, &book(1, 4500), 1, 0, record)?);
    sleep_ms(100);
    let interval = if trouble() { SLOW_INTERVAL_MS } else { INTERVAL_MS };
    written.push(write_slowly(&mut connection, &book(2, 50), PIECES, interval, record)?);
    sleep_ms(100);
    written.push(write_slowly(&mut connection, &book(3, 50), 1, 0, record)?);

    let last_due = written.iter().map(|request| request.door + LIMIT_MS + SLACK_MS).max().unwrap_or_default();
    while unix_ms() < last_due && !connection.has_ended() {
        sleep_ms(10);
    }
    let ended_at = connection.ended_at();
    let mut lost = Vec::new();
    for request in &written {
        let crossed = ended_at.is_some_and(|at| at <= request.complete_at + CROSSING_MS);
        let due = request.door + LIMIT_MS + SLACK_MS;
        let in_time = connection.answered_at(request.id).is_some_and(|at| at <= due);
        if !in_time && !crossed {
            lost.push(request.id);
        }
    }
    let text = format!("requests written whole={} without an answer in time: ids {lost:?}", written.len());
    Ok(if lost.is_empty() { Verdict::Held(text) } else { Verdict::Broken(text) })
}

/// Writes a request in pieces.
fn write_slowly(
    connection: &mut Connection,
    request: &Try,
    pieces: usize,
    interval_ms: u64,
    record: &Record,
) -> Result<Written, String> {
    let door = unix_ms();
    let (id, line) = connection.encode(request);
    let line = format!("{line}\n").into_bytes();
    let length = line.len().div_ceil(pieces);
    for (number, piece) in line.chunks(length).enumerate() {
        if number > 0 {
            sleep_ms(interval_ms);
        }
        if !connection.write(piece) {
            return Err(format!("the connection did not take the request {id}"));
        }
    }
    record.line(&format!("fe: last byte of id={id} written"));
    Ok(Written { id, door, complete_at: unix_ms() })
}

fn book(number: usize, run_ms: u64) -> Try {
    let key = format!("5c0f6e1a2b3d4c59a8b7c6d5e4f3000{number}");
    Try { class: "book", limit_ms: LIMIT_MS, key: Some(key), body: format!("booking {number} run={run_ms}") }
}
