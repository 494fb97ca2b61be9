//! Case 3: the interpreter goes silent for some seconds, and an upgrade begins meanwhile.

use std::collections::HashMap;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{book, Answer, Seen};
use crate::interpreter::{Interpreter, Runs, Silence};
use crate::node::{free_address, wait_for, wait_until_up, Node, Start};
use crate::record::Record;
use crate::Verdict;

const KEYS: usize = 4;
const RUN_TIME: Duration = Duration::from_millis(350);
const LIMIT: Duration = Duration::from_millis(5700);
/// How long the interpreter is silent; it begins after the first bookings were answered.
const SILENT_FOR: Duration = Duration::from_millis(9000);
/// When the second process is started, counted from then.
const UPGRADE_AFTER: Duration = Duration::from_millis(400);
/// How long the second process has to say that it can serve; then the first one gets SIGTERM.
const READY_WITHIN: Duration = Duration::from_secs(6);
/// The platform stops the first process this long after SIGTERM.
const STOP_MS: u64 = 3700;
/// When the bookings are repeated, counted from the first of them; all are written within 16,989 ms of the first tries.
const REPEAT_AFTER: Duration = Duration::from_millis(13_500);

pub fn run(trouble: bool, folder: &Path, record: &Arc<Record>) -> io::Result<Verdict> {
    let (runs, silence, listen) = (Runs::default(), Silence::default(), free_address()?);
    let start = |name, interpreter| -> io::Result<Node> {
        let vm = Interpreter::start(interpreter, RUN_TIME, &runs, record, &silence)?;
        let ops = free_address()?;
        Node::start(&Start { name, listen, ops, vm, stop_ms: STOP_MS, options: "", folder }, record)
    };
    let mut first = start("first process", "interpreter at the first address")?;
    if !wait_until_up(listen) || !first.is_ready() {
        return Ok(Verdict::NotRun("the first process did not come up"));
    }

    let began_at = Instant::now();
    let keys: Vec<String> = (1..=KEYS).map(|number| format!("{number:032x}")).collect();
    let mut results = HashMap::new();
    for key in &keys {
        let Seen::Answer(Answer::Served(result)) = book(listen, key, LIMIT, record) else {
            return Ok(Verdict::NotRun("a first booking was not served"));
        };
        results.insert(key.clone(), result);
    }

    let silent_from = Instant::now();
    if trouble {
        record.line("both addresses of the interpreter go silent");
        silence.begin(SILENT_FOR);
    }
    sleep_until(silent_from + UPGRADE_AFTER);
    let second = start("second process", "interpreter at the second address")?;
    let is_ready = wait_for(READY_WITHIN, || second.is_ready());
    record.line(&format!("platform: the second process is {}", if is_ready { "ready" } else { "not ready" }));
    first.signal("TERM")?;
    first.wait_for_end(Duration::from_millis(STOP_MS));
    drop(first);
    if !wait_until_up(listen) {
        return Ok(Verdict::NotRun("the second process did not come up"));
    }
    sleep_until(began_at + REPEAT_AFTER);

    let mut wrong = 0;
    for key in &keys {
        if let Seen::Answer(Answer::Served(result)) = book(listen, key, LIMIT, record) {
            wrong += u32::from(result != results[key]);
        }
    }
    drop(second);
    let runs = runs.lock().unwrap();
    let twice = keys.iter().filter(|key| runs.get(*key).is_some_and(|count| *count > 1)).count();
    record.line(&format!("of {KEYS} bookings, {twice} ran twice; repeats with another result: {wrong}"));
    Ok(if twice > 0 || wrong > 0 { Verdict::Broken } else { Verdict::Held })
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
