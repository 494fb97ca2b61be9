//! Nodes replicate keys. A booking that runs at one node of a fleet comes to a second node, which has just got the notice to leave.

use review_standin_2::client::Connection;
use review_standin_2::config::CaseFolder;
use review_standin_2::fleet::{book, members, start, wait_until_booking, write_file};
use review_standin_2::record::Record;
use review_standin_2::verdict::{run_case, Verdict};
use review_standin_2::{sleep_ms, trouble, unix_ms};

/// `stop_ms`: SIGKILL follows SIGTERM after this time.
const STOP_MS: u64 = 3200;
/// The run of the booking, and how long the front ends wait for its two tries.
const RUN_MS: u64 = 4500;
const FIRST_LIMIT_MS: u64 = 5600;
const SECOND_LIMIT_MS: u64 = 5300;
const SLACK_MS: u64 = 100 + 50;

fn main() {
    run_case(case);
}

fn case(record: &Record) -> Result<Verdict, String> {
    let folder = CaseFolder::create("fleet-drain");
    let mut fleet = members(&["a", "b", "c"], folder.path(), record);
    let mut files = Vec::new();
    for member in &fleet {
        files.push(write_file(member, &fleet, |other| other.peer_address, folder.path()));
    }
    for (member, file) in fleet.iter_mut().zip(&files) {
        member.process.config.stop_ms = STOP_MS;
        start(member, file, record)?;
    }
    wait_until_booking(&mut fleet, record)?;
    record.line("every node books");

    let mut at_a = Connection::open(fleet[0].process.listen(), "fe-a", record)?;
    let first = at_a.send(&book("key-1", RUN_MS, FIRST_LIMIT_MS)).ok_or("the first try could not be sent")?;
    sleep_ms(200);
    let leaving = fleet[1].node.as_mut().ok_or("no node b")?;
    if trouble() {
        leaving.signal("TERM");
    }
    let stop_at = unix_ms() + STOP_MS;
    // Front ends learn of the notice a second or two late.
    sleep_ms(300);
    let mut at_b = Connection::open(fleet[1].process.listen(), "fe-b", record)?;
    let second =
        at_b.send(&book("key-1", RUN_MS, SECOND_LIMIT_MS)).ok_or("the second try could not be sent")?;
    let due = unix_ms() + SECOND_LIMIT_MS + SLACK_MS;
    let leaving = fleet[1].node.as_mut().ok_or("no node b")?;
    while unix_ms() < due && at_b.answers(second).is_empty() {
        if trouble() && unix_ms() >= stop_at {
            leaving.kill();
            break;
        }
        sleep_ms(5);
    }
    sleep_ms(200);
    let answers = at_b.answers(second);
    let text =
        format!("the try that node b read got {answers:?}, the one at node a {:?}", at_a.answers(first));
    Ok(if answers.is_empty() { Verdict::Broken(text) } else { Verdict::Held(text) })
}
