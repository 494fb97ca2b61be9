//! Case 2: a process goes silent for some seconds, and an upgrade begins meanwhile.

use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{book, Client, Seen};
use crate::interpreter::{Interpreter, Runs, Silence};
use crate::node::{free_address, wait_for, wait_until_up, Node, Start};
use crate::record::Record;
use crate::Verdict;

const KEYS: usize = 12;
const RUN_TIME: Duration = Duration::from_millis(350);
/// How long a front end waits for the first try, and for each further one. All end within the deadline of the class.
const FIRST_LIMIT: Duration = Duration::from_millis(3000);
const FURTHER_LIMIT: Duration = Duration::from_millis(700);
const FURTHER_TRIES: usize = 3;
/// When the process goes silent, counted from the first tries, and for how long.
const SILENT_AFTER: Duration = Duration::from_millis(150);
const SILENT_FOR: Duration = Duration::from_millis(6000);
/// When the second process is started, counted from the first tries.
const UPGRADE_AFTER: Duration = Duration::from_millis(400);
/// How long the second process has to say that it can serve; then the first one gets SIGTERM.
const READY_WITHIN: Duration = Duration::from_secs(6);
/// The platform stops the first process this long after SIGTERM.
const STOP_MS: u64 = 3700;

pub fn run(trouble: bool, folder: &Path, record: &Arc<Record>) -> io::Result<Verdict> {
    let (runs, listen) = (Runs::default(), free_address()?);
    let start = |name, interpreter| -> io::Result<Node> {
        let vm = Interpreter::start(interpreter, RUN_TIME, &runs, record, &Silence::default())?;
        let ops = free_address()?;
        Node::start(&Start { name, listen, ops, vm, stop_ms: STOP_MS, options: "", folder }, record)
    };
    let mut first = start("first process", "interpreter at the first address")?;
    if !wait_until_up(listen) || !first.is_ready() {
        return Ok(Verdict::NotRun("the first process did not come up"));
    }

    let began_at = Instant::now();
    let keys: Vec<String> = (1..=KEYS).map(|number| format!("{number:032x}")).collect();
    let mut front_end = Client::connect(listen)?;
    for key in &keys {
        let txn = front_end.send_book(key, FIRST_LIMIT)?;
        record.line(&format!("front end: first try of book {key} sent, txn {txn}"));
    }
    sleep_until(began_at + SILENT_AFTER);
    if trouble {
        first.signal("STOP")?;
    }
    sleep_until(began_at + UPGRADE_AFTER);
    let second = start("second process", "interpreter at the second address")?;

    // The front end gives the first tries up when their time is over, and closes its connection.
    let answers = thread::spawn(move || {
        let until = began_at + FIRST_LIMIT + Duration::from_millis(150);
        let mut seen = Vec::new();
        while seen.len() < KEYS {
            let next = front_end.next_answer(until);
            let is_last = !matches!(next, Seen::Answer(_));
            seen.push(next);
            if is_last {
                break;
            }
        }
        seen
    });

    // The platform: SIGTERM to the first process once the second can serve, or when its time is over.
    let ready = wait_for(READY_WITHIN, || second.is_ready());
    record.line(&format!("platform: the second process is {}", if ready { "ready" } else { "not ready" }));
    first.signal("TERM")?;

    for seen in answers.join().unwrap_or_default() {
        record.line(&format!("front end: first tries: {seen:?}"));
    }
    sleep_until(began_at + FIRST_LIMIT + Duration::from_millis(150));
    record.line("front end: each booking is tried again");
    let tries: Vec<_> = keys
        .iter()
        .map(|key| {
            let (key, record) = (key.clone(), record.clone());
            thread::spawn(move || try_again(listen, &key, &record))
        })
        .collect();
    if trouble {
        sleep_until(began_at + SILENT_AFTER + SILENT_FOR);
        first.signal("CONT")?;
    }
    for further_tries in tries {
        let _ = further_tries.join();
    }
    first.wait_for_end(Duration::from_millis(STOP_MS));
    drop((first, second));

    let runs = runs.lock().unwrap();
    let ran = keys.iter().filter(|key| runs.contains_key(*key)).count();
    let twice = keys.iter().filter(|key| runs.get(*key).is_some_and(|count| *count > 1)).count();
    record.line(&format!("of {KEYS} bookings, {ran} ran, and {twice} of these ran twice"));
    Ok(match (ran, twice) {
        (0, _) => Verdict::NotRun("no booking ran"),
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    })
}

/// Tries a booking again, each time on a connection of its own, until there is an answer.
fn try_again(listen: SocketAddr, key: &str, record: &Record) {
    for _ in 0..FURTHER_TRIES {
        if matches!(book(listen, key, FURTHER_LIMIT, record), Seen::Answer(_)) {
            return;
        }
    }
}

fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}
