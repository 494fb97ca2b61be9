//! A node is silent for some seconds while a booking that it has run comes again, over uwsgi and inside its window.

use review_standin_2::bench::Process;
use review_standin_2::config::CaseFolder;
use review_standin_2::record::Record;
use review_standin_2::uwsgi::{send, write_file, Sent};
use review_standin_2::verdict::{run_case, Verdict};
use review_standin_2::{free_address, sleep_ms, trouble, unix_ms};

/// The window for repeats and the deadline of `book`.
const WINDOW_MS: u64 = 16_989;
const DEADLINE_MS: u64 = 5700;
/// When the node falls silent and when the booking comes again, before the end of the window; and how long the node is
/// silent, inside the 5.3 to 25 s of the incident record.
const SILENT_BEFORE_END_MS: u64 = 1500;
const REPEAT_BEFORE_END_MS: u64 = 1000;
const SILENCE_MS: u64 = 5400;

const BODY: &str = "booking run=50";

fn main() {
    run_case(case);
}

fn case(record: &Record) -> Result<Verdict, String> {
    let folder = CaseFolder::create("uwsgi-stall");
    let process = Process::new("vm", folder.path(), record);
    let listen = free_address();
    let file = write_file(listen, folder.path());
    let mut node = process.start("n1", &format!("--uwsgi {}", file.display()), record)?;
    node.wait_ready(20_000)?;

    let book = |name: &str| -> Result<Sent, String> {
        let variables = [
            ("PATH_INFO", "/book".to_string()),
            ("HTTP_IDEMPOTENCY_KEY", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211".to_string()),
            ("HTTP_X_TENANT", "rychla-kolesa".to_string()),
            ("HTTP_X_DEADLINE", (unix_ms() + DEADLINE_MS).to_string()),
        ];
        send(listen, name, &variables, BODY, record)
    };
    let started = unix_ms();
    let mut first = book("client-1")?;
    let answer = first.wait_answer(DEADLINE_MS);
    if !matches!(answer, Some((200, _))) {
        return Err(format!("the first try was not served: {answer:?}"));
    }
    let at = |ms: u64| sleep_ms((started + ms).saturating_sub(unix_ms()));
    at(WINDOW_MS - SILENT_BEFORE_END_MS);
    if trouble() {
        node.signal("STOP");
    }
    at(WINDOW_MS - REPEAT_BEFORE_END_MS);
    let mut repeat = book("client-2")?;
    // The first try came to the machine no earlier than `started`.
    let apart = repeat.written_at - started;
    if apart >= WINDOW_MS {
        return Err(format!("the repeat was written {apart} ms after the first try"));
    }
    at(WINDOW_MS - SILENT_BEFORE_END_MS + SILENCE_MS);
    if trouble() {
        node.signal("CONT");
    }
    let answer = repeat.wait_answer(DEADLINE_MS);
    let runs = process.interpreter.runs_of(BODY).len();
    let text =
        format!("runs={runs}, tries {apart} ms apart, window {WINDOW_MS} ms, the repeat got {answer:?}");
    Ok(if runs > 1 { Verdict::Broken(text) } else { Verdict::Held(text) })
}
