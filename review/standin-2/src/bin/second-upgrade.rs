//! A node is upgraded while its process is silent, so that its keys are lost with it, and then upgraded once more.

use review_standin_2::bench::Process;
use review_standin_2::client::{Answer, Connection, Try};
use review_standin_2::config::CaseFolder;
use review_standin_2::node::Node;
use review_standin_2::record::Record;
use review_standin_2::verdict::{run_case, Verdict};
use review_standin_2::{sleep_ms, trouble, unix_ms, wait_until};

const WINDOW_MS: u64 = 16_989;
const KEYS: usize = 4;
/// The new process has this long to say yes; then the old one gets SIGTERM.
const SAY_YES_MS: u64 = 6000;
/// SIGKILL follows SIGTERM after the longest deadline, counted as 3 s, plus 0.7 s. `stop_ms` is the same.
const KILL_MS: u64 = 3700;
/// When the first process falls silent, after the bookings, and when the upgrade begins, after that.
const SILENT_AFTER_MS: u64 = 200;
const UPGRADE_AFTER_MS: u64 = 300;

fn main() {
    run_case(case);
}

fn case(record: &Record) -> Result<Verdict, String> {
    let folder = CaseFolder::create("second-upgrade");
    let mut first = Process::new("vm-1", folder.path(), record);
    first.config.stop_ms = KILL_MS;
    first.config.window_ms = WINDOW_MS;
    let mut first_node = first.start("first", "", record)?;
    first_node.wait_ready(20_000)?;

    let door = unix_ms();
    for number in 0..KEYS {
        let answer = send(&first, number, 3000, "fe-first", record)?;
        if !matches!(answer, Some(Answer::Served(_))) {
            return Err(format!("a first try was not served: {answer:?}"));
        }
    }
    sleep_ms(SILENT_AFTER_MS);
    if trouble() {
        first_node.signal("STOP");
    }
    sleep_ms(UPGRADE_AFTER_MS);
    let second = first.successor("vm-2", record);
    let mut second_node = upgrade(first_node, &second, "second", record)?;
    second_node.wait_ready(3000)?;
    let third = second.successor("vm-3", record);
    let third_node = upgrade(second_node, &third, "third", record)?;

    let mut answers = Vec::new();
    for number in 0..KEYS {
        answers.push(send(&third, number, 1500, "fe-repeat", record)?);
    }
    let apart = unix_ms() - door;
    if apart >= WINDOW_MS {
        return Err(format!("the repeats came {apart} ms after the first tries"));
    }
    drop(third_node);
    let runs_of = |number: usize| {
        let body = book(number, 0).body;
        [&first, &second, &third]
            .iter()
            .map(|process| process.interpreter.runs_of(&body).len())
            .sum::<usize>()
    };
    let runs: Vec<usize> = (0..KEYS).map(runs_of).collect();
    let text = format!(
        "runs of each booking: {runs:?}, the last repeat {apart} ms after the first try, answers {answers:?}"
    );
    Ok(if runs.iter().any(|runs| *runs > 1) { Verdict::Broken(text) } else { Verdict::Held(text) })
}

/// Upgrades a node as the platform does, and returns its new process. The old one has ended.
fn upgrade(mut old: Node, process: &Process, file: &str, record: &Record) -> Result<Node, String> {
    let mut new = process.start(file, "", record)?;
    if let Err(error) = new.wait_ready(SAY_YES_MS) {
        record.line(&error);
    }
    old.signal("TERM");
    if !wait_until(KILL_MS, || old.ended().is_some()) {
        old.kill();
    }
    Ok(new)
}

fn send(
    process: &Process,
    number: usize,
    limit_ms: u64,
    name: &str,
    record: &Record,
) -> Result<Option<Answer>, String> {
    let mut connection = Connection::open(process.listen(), name, record)?;
    let id = connection.send(&book(number, limit_ms)).ok_or("a try could not be sent")?;
    Ok(connection.wait_answer(id, limit_ms + 200))
}

fn book(number: usize, limit_ms: u64) -> Try {
    let key = format!("5c0f6e1a2b3d4c59a8b7c6d5e4f3000{number}");
    Try { class: "book", limit_ms, key: Some(key), body: format!("booking {number} run=20") }
}
