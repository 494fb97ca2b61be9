//! A node stands still for some seconds, with its memory, while bookings that it has run come again in their window.

use review_standin_2::bench::Process;
use review_standin_2::client::{Answer, Connection, Try};
use review_standin_2::config::CaseFolder;
use review_standin_2::record::Record;
use review_standin_2::verdict::{run_case, Verdict};
use review_standin_2::{sleep_ms, trouble, unix_ms};

/// The class's deadline, and its window for repeats, which is as short as that.
const DEADLINE_MS: u64 = 9200;
/// How long a front end waits for a first try.
const FIRST_LIMIT_MS: u64 = 5000;
/// When the node stops, the bookings come again, and the node continues, after the first tries. The node stands still
/// for 9.35 s, inside the 5.3 to 25 s of the incident record.
const STOP_AT_MS: u64 = 8400;
const REPEAT_AT_MS: u64 = 9000;
const CONTINUE_AT_MS: u64 = 17_750;
const KEYS: usize = 3;

fn main() {
    run_case(case);
}

fn case(record: &Record) -> Result<Verdict, String> {
    let folder = CaseFolder::create("stall");
    let mut process = Process::new("vm", folder.path(), record);
    process.config.deadlines_ms = [DEADLINE_MS, DEADLINE_MS];
    process.config.window_ms = DEADLINE_MS;
    let mut node = process.start("n1", "", record)?;
    node.wait_ready(20_000)?;

    let started = unix_ms();
    let at = |ms: u64| sleep_ms((started + ms).saturating_sub(unix_ms()));
    let mut connection = Connection::open(process.listen(), "fe-1", record)?;
    let mut first = Vec::new();
    for number in 0..KEYS {
        first.push(connection.send(&book(number, FIRST_LIMIT_MS)).ok_or("a first try could not be sent")?);
    }
    let is_served = |id: &u64| matches!(connection.wait_answer(*id, FIRST_LIMIT_MS), Some(Answer::Served(_)));
    if !first.iter().all(is_served) {
        return Err("a first try was not served".into());
    }
    at(STOP_AT_MS);
    if trouble() {
        node.signal("STOP");
    }
    at(REPEAT_AT_MS);
    let mut repeats = Vec::new();
    for number in 0..KEYS {
        let mut connection = Connection::open(process.listen(), &format!("fe-2{number}"), record)?;
        let id = connection.send(&book(number, DEADLINE_MS)).ok_or("a repeat could not be sent")?;
        repeats.push((connection, id));
    }
    let last_door = unix_ms();
    if last_door >= started + DEADLINE_MS {
        return Err("the repeats came after the window".into());
    }
    at(CONTINUE_AT_MS);
    if trouble() {
        node.signal("CONT");
    }
    at(CONTINUE_AT_MS + 1500);

    let twice: Vec<usize> =
        (0..KEYS).filter(|number| process.interpreter.runs_of(&book(*number, 0).body).len() > 1).collect();
    let answers: Vec<_> = repeats.iter().map(|(connection, id)| connection.answers(*id)).collect();
    let refused = answers.iter().filter(|answers| answers.contains(&Answer::Refused)).count();
    let text =
        format!("run twice: {twice:?}, refused though they had run: {refused}, the repeats got {answers:?}");
    Ok(if twice.is_empty() { Verdict::Held(text) } else { Verdict::Broken(text) })
}

fn book(number: usize, limit_ms: u64) -> Try {
    let key = format!("5c0f6e1a2b3d4c59a8b7c6d5e4f3000{number}");
    Try { class: "book", limit_ms, key: Some(key), body: format!("booking {number} run=50") }
}
