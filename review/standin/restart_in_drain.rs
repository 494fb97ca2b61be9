//! Case 1: a node with a result store is restarted while it drains, and repeats arrive.

use std::collections::HashMap;
use std::io;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{book, Answer, Seen};
use crate::interpreter::{Interpreter, Runs, Silence};
use crate::node::{free_address, wait_until_up, Node, Start};
use crate::record::Record;
use crate::Verdict;

const KEYS: usize = 4;
const RUN_TIME: Duration = Duration::from_millis(350);
const LIMIT: Duration = Duration::from_millis(5700);
/// The platform stops the process this long after SIGTERM.
const STOP_MS: u64 = 3200;
/// When the next process is started, counted from SIGTERM: within the drain.
const RESTART_AFTER: Duration = Duration::from_millis(500);
/// How long repeats arrive, counted from SIGTERM. All are written within 16,989 ms of the first tries.
const REPEATS_FOR: Duration = Duration::from_secs(7);

pub fn run(trouble: bool, folder: &Path, record: &Arc<Record>) -> io::Result<Verdict> {
    let store = folder.join("store");
    std::fs::create_dir(&store)?;
    let remembered = folder.join("remembered.toml");
    std::fs::write(&remembered, format!("folder = '{}'\nfile_mb = 64\nbatch = 1024\n", store.display()))?;
    let options = format!("--remembered '{}'", remembered.display());
    let (runs, listen) = (Runs::default(), free_address()?);
    let start = |name, interpreter| -> io::Result<Node> {
        let vm = Interpreter::start(interpreter, RUN_TIME, &runs, record, &Silence::default())?;
        let ops = free_address()?;
        Node::start(&Start { name, listen, ops, vm, stop_ms: STOP_MS, options: &options, folder }, record)
    };
    let mut first = start("first process", "interpreter of the first process")?;
    if !wait_until_up(listen) {
        return Ok(Verdict::NotRun("the first process did not come up"));
    }

    // Bookings, each of which is answered.
    let keys: Vec<String> = (1..=KEYS).map(|number| format!("{number:032x}")).collect();
    let mut results = HashMap::new();
    for key in &keys {
        let Seen::Answer(Answer::Served(result)) = book(listen, key, LIMIT, record) else {
            return Ok(Verdict::NotRun("a first booking was not served"));
        };
        results.insert(key.clone(), result);
    }

    first.signal("TERM")?;
    let noticed_at = Instant::now();
    if trouble {
        thread::sleep(RESTART_AFTER);
        if first.has_ended() {
            return Ok(Verdict::NotRun("the first process had ended before it was restarted"));
        }
    } else if !first.wait_for_end(Duration::from_millis(STOP_MS)) {
        return Ok(Verdict::NotRun("the first process did not end by itself"));
    }
    let second = start("second process", "interpreter of the second process")?;

    // Repeats, one at a time, each on a connection of its own.
    let (mut refused, mut wrong) = (0, 0);
    for key in keys.iter().cycle() {
        if noticed_at.elapsed() > REPEATS_FOR {
            break;
        }
        match book(listen, key, LIMIT, record) {
            Seen::Answer(Answer::Served(result)) => wrong += u32::from(result != results[key]),
            Seen::Answer(Answer::Error(-32011)) => refused += 1,
            Seen::Answer(Answer::Error(_)) | Seen::Closed | Seen::Silence => {}
        }
        thread::sleep(Duration::from_millis(200));
    }
    drop((first, second));
    let runs = runs.lock().unwrap();
    let twice = keys.iter().filter(|key| runs.get(*key).is_some_and(|count| *count > 1)).count();
    record.line(&format!(
        "of {KEYS} completed bookings, {twice} ran again; repeats with another result: {wrong}; repeats refused: {refused}"
    ));
    Ok(if twice > 0 || wrong > 0 { Verdict::Broken } else { Verdict::Held })
}
