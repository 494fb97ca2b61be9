//! While a node is upgraded in place, bookings that it has run come again with little time left.

use review_standin_2::bench::Process;
use review_standin_2::client::{Answer, Connection, Try};
use review_standin_2::config::CaseFolder;
use review_standin_2::record::Record;
use review_standin_2::verdict::{run_case, Verdict};
use review_standin_2::{ops, sleep_ms, trouble, unix_ms};

/// The bookings that have run, and the tries that they come again with.
const KEYS: usize = 40;
const REPEAT_LIMIT_MS: u64 = 100;
/// Between two repeats.
const INTERVAL_MS: u64 = 4;
/// For how long repeats are sent after the second process is ready, or without one.
const AFTER_MS: u64 = 300;
const WITHOUT_MS: u64 = 1000;

fn main() {
    run_case(case);
}

fn case(record: &Record) -> Result<Verdict, String> {
    let folder = CaseFolder::create("upgrade-refusal");
    let process = Process::new("n1", folder.path(), record);
    let mut old = process.start("n1-old", "", record)?;
    old.wait_ready(20_000)?;
    // Another node of the fleet, to which front ends go on after a refusal.
    let other_folder = CaseFolder::create("upgrade-refusal-n2");
    let mut other = Process::new("n2", other_folder.path(), record);
    other.config.name = "n2".into();
    let mut other_node = other.start("n2", "", record)?;
    other_node.wait_ready(20_000)?;

    book_first(&process, record)?;
    let successor = process.successor("n1-new", record);
    let mut new = None;
    let mut until = unix_ms() + WITHOUT_MS;
    if trouble() {
        new = Some(successor.start("n1-new", "", record)?);
        until = unix_ms() + 6000;
    }
    let mut repeats = Vec::new();
    let mut is_ready = !trouble();
    while unix_ms() < until {
        let number = repeats.len() % KEYS;
        if let Ok(mut connection) =
            Connection::open(process.listen(), &format!("fe-{}", repeats.len()), record)
        {
            if let Some(id) = connection.send(&book(number, REPEAT_LIMIT_MS)) {
                repeats.push((number, connection, id));
            }
        }
        sleep_ms(INTERVAL_MS);
        let ready =
            || ops::call(successor.config.ops, "GET", "/ops/readiness").is_some_and(|answer| answer.is_yes());
        if !is_ready && repeats.len() % 4 == 0 && ready() {
            record.line("node n1-new ready");
            is_ready = true;
            until = unix_ms() + AFTER_MS;
        }
    }
    if !is_ready {
        return Err("the second process was not ready in 6 s".into());
    }
    sleep_ms(300);
    let verdict = judge(&repeats, &[&process, &successor], &other, record);
    drop(new);
    verdict
}

/// Runs every booking at the node that is upgraded later.
fn book_first(process: &Process, record: &Record) -> Result<(), String> {
    let mut connection = Connection::open(process.listen(), "fe-first", record)?;
    for number in 0..KEYS {
        let id = connection.send(&book(number, 3000)).ok_or("a first try could not be sent")?;
        let answer = connection.wait_answer(id, 3200);
        if !matches!(answer, Some(Answer::Served(_))) {
            return Err(format!("a first try was not served: {answer:?}"));
        }
    }
    Ok(())
}

/// The rule is broken if a repeat was refused. What a front end may do then is done once: the booking goes to the next
/// node of its list.
fn judge(
    repeats: &[(usize, Connection, u64)],
    upgraded: &[&Process],
    other: &Process,
    record: &Record,
) -> Result<Verdict, String> {
    let of = |wanted: fn(&Answer) -> bool| {
        let is_wanted =
            |(_, connection, id): &&(usize, Connection, u64)| connection.answers(*id).iter().any(wanted);
        repeats.iter().filter(is_wanted).collect::<Vec<_>>()
    };
    let served = of(|answer| matches!(answer, Answer::Served(_))).len();
    let refused = of(|answer| *answer == Answer::Refused);
    let mut text = format!("repeats={} served={served} refused={}", repeats.len(), refused.len());
    let Some((number, ..)) = refused.first() else { return Ok(Verdict::Held(text)) };
    let mut connection = Connection::open(other.listen(), "fe-elsewhere", record)?;
    let id = connection.send(&book(*number, 2000)).ok_or("the next node takes no try")?;
    connection.wait_answer(id, 2200);
    let body = book(*number, 0).body;
    let here: usize = upgraded.iter().map(|process| process.interpreter.runs_of(&body).len()).sum();
    let elsewhere = other.interpreter.runs_of(&body).len();
    text += &format!("; after the refusal booking {number} has run {here} times at n1 and {elsewhere} at n2");
    Ok(Verdict::Broken(text))
}

fn book(number: usize, limit_ms: u64) -> Try {
    let key = format!("5c0f6e1a2b3d4c59a8b7c6d5e4f3{number:04}");
    Try { class: "book", limit_ms, key: Some(key), body: format!("booking {number} run=2") }
}
