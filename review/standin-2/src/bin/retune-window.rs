//! A `book` has run when new settings lengthen the time in which it may come again. It comes again inside that time.

use review_standin_2::bench::Process;
use review_standin_2::client::{Answer, Connection, Try};
use review_standin_2::config::CaseFolder;
use review_standin_2::record::Record;
use review_standin_2::verdict::{run_case, Verdict};
use review_standin_2::{ops, sleep_ms, trouble, unix_ms, wait_until};

/// `services[].window` of `book` at the start, and from the new configuration on.
const WINDOW_MS: u64 = 6000;
const NEW_WINDOW_MS: u64 = 16_989;
/// When the configuration is replaced, and when the request comes again, after its first try.
const RELOAD_AT_MS: u64 = 2000;
const REPEAT_AT_MS: u64 = 10_000;

fn main() {
    run_case(case);
}

fn case(record: &Record) -> Result<Verdict, String> {
    let folder = CaseFolder::create("retune-window");
    let mut process = Process::new("vm", folder.path(), record);
    // Without the disruption the new settings are in force from the start.
    process.config.window_ms = if trouble() { WINDOW_MS } else { NEW_WINDOW_MS };
    let mut node = process.start("n1", "", record)?;
    node.wait_ready(20_000)?;
    let body = "booking run=50";
    let request = Try {
        class: "book",
        limit_ms: 5000,
        key: Some("5c0f6e1a2b3d4c59a8b7c6d5e4f30211".into()),
        body: body.into(),
    };

    let first_door = unix_ms();
    let first = send(&process, &request, "fe-1", record)?;
    if !matches!(first, Some(Answer::Served(_))) {
        return Err(format!("the first try was not served: {first:?}"));
    }
    sleep_ms((first_door + RELOAD_AT_MS).saturating_sub(unix_ms()));
    if trouble() {
        process.config.window_ms = NEW_WINDOW_MS;
        process.config.write(folder.path(), "n1.json");
        node.signal("HUP");
        let ops = process.config.ops;
        let taken =
            || ops::call(ops, "GET", "/ops/stats").is_some_and(|stats| stats.text.contains("conf_loaded 1"));
        if !wait_until(3000, taken) {
            return Err("the new configuration was not taken".into());
        }
        record.line(&format!("configuration taken, window={NEW_WINDOW_MS}"));
    }
    sleep_ms((first_door + REPEAT_AT_MS).saturating_sub(unix_ms()));
    let repeat_door = unix_ms();
    let second = send(&process, &request, "fe-2", record)?;

    let apart = repeat_door - first_door;
    if apart >= NEW_WINDOW_MS {
        return Err(format!("the repeat came {apart} ms after the first try"));
    }
    let runs = process.interpreter.runs_of(body).len();
    let text =
        format!("runs={runs}, tries {apart} ms apart, window {NEW_WINDOW_MS} ms, the repeat got {second:?}");
    Ok(if runs > 1 { Verdict::Broken(text) } else { Verdict::Held(text) })
}

fn send(process: &Process, request: &Try, name: &str, record: &Record) -> Result<Option<Answer>, String> {
    let mut connection = Connection::open(process.listen(), name, record)?;
    let id = connection.send(request).ok_or("the try could not be sent")?;
    Ok(connection.wait_answer(id, request.limit_ms + 200))
}
