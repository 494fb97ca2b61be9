//! A minimal node that replaces the program and breaks one rule on purpose. It verifies that the checker
//! finds violations in a real play over sockets, and not only in histories constructed by tests.

mod connections;
mod fault;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use serde::Deserialize;
use serde_json::{json, Value};
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

use crate::wire;
use fault::Fault;

/// The fault occurs once in this many opportunities.
const FAULT_PERIOD: u64 = 5;
/// The error code of a request whose run failed.
const RUN_FAILED: i64 = -32000;

/// An error that prevents a mutant from serving, or stops it.
#[derive(Debug, Error)]
pub enum MutantError {
    /// The value of `--mutant` names no fault.
    #[error("unknown mutant fault: {0:?}")]
    UnknownFault(String),
    /// The configuration cannot be read.
    #[error("{}: {source}", path.display())]
    Config {
        /// The path of the configuration file.
        path: PathBuf,
        /// The error of reading or parsing it.
        source: io::Error,
    },
    /// A socket cannot be opened, or the connection with the interpreter has ended.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// The part of a node's configuration file that a mutant uses.
#[derive(Debug, Clone, Deserialize)]
struct Config {
    name: String,
    listen: SocketAddr,
    /// The address of the interpreter.
    vm: SocketAddr,
    /// The address of the registry, which receives the heartbeats.
    members: SocketAddr,
}

impl Config {
    fn read(path: &Path) -> Result<Config, MutantError> {
        let read = || -> io::Result<Config> { Ok(serde_json::from_str(&std::fs::read_to_string(path)?)?) };
        read().map_err(|source| MutantError::Config { path: path.to_path_buf(), source })
    }
}

/// Runs a mutant until its process is killed. `fault` names the rule that it breaks; an empty name means
/// none.
///
/// # Errors
///
/// If the name is unknown, the configuration cannot be read, or the connection with the interpreter ends.
pub fn serve(config: &Path, fault: &str) -> Result<(), MutantError> {
    let fault = Fault::named(fault).ok_or_else(|| MutantError::UnknownFault(fault.into()))?;
    let config = Config::read(config)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(runtime.block_on(LocalSet::new().run_until(connections::serve(fault, config)))?)
}

/// An attempt that has not been answered yet.
struct OpenAttempt {
    id: u64,
    key: Option<String>,
    answers: mpsc::Sender<String>,
}

impl OpenAttempt {
    /// Queues an answer. It is dropped if the client has disconnected or its queue is full.
    fn answer(&self, answer: &Value) {
        let _ = self.answers.try_send(response(self.id, answer));
    }

    fn answer_result(&self, result: &str) {
        self.answer(&json!({"result": {"content": BASE64.encode(result)}}));
    }

    fn answer_failed(&self) {
        self.answer(&json!({"error": {"code": RUN_FAILED, "message": "failed"}}));
    }

    fn answer_rejected(&self) {
        self.answer(&json!({"error": {"code": wire::REJECTED, "message": "not now"}}));
    }
}

/// The state of an idempotency key.
#[derive(Default)]
struct KeyState {
    /// The stored result; absent until a run of the key has succeeded.
    result: Option<String>,
    /// Attempts that wait for the result.
    waiting: Vec<OpenAttempt>,
}

/// The interpreter's report of a finished run.
struct FinishedRun {
    txn: String,
    succeeded: bool,
    result: String,
}

/// The state of a mutant, apart from its connections.
struct Mutant {
    fault: Fault,
    /// The queue of commands for the interpreter.
    commands: mpsc::Sender<String>,
    open: RefCell<HashMap<String, OpenAttempt>>,
    keys: RefCell<HashMap<String, KeyState>>,
    /// How often the fault could have occurred.
    opportunities: Cell<u64>,
    previous_result: RefCell<String>,
}

impl Mutant {
    fn new(fault: Fault, commands: mpsc::Sender<String>) -> Rc<Mutant> {
        Rc::new(Mutant {
            fault,
            commands,
            open: RefCell::default(),
            keys: RefCell::default(),
            opportunities: Cell::new(0),
            previous_result: RefCell::default(),
        })
    }

    /// Counts an opportunity for this fault and returns whether the fault occurs this time.
    fn occurs(&self, fault: Fault) -> bool {
        self.fault == fault
            && self.opportunities.replace(self.opportunities.get() + 1) % FAULT_PERIOD == FAULT_PERIOD - 1
    }

    fn handle_request(&self, id: u64, class: &str, params: &Value, answers: &mpsc::Sender<String>) {
        let text = |key: &str| params[key].as_str().unwrap_or_default().to_string();
        let txn = text("txn");
        let key = params["unique"].as_str().map(String::from);
        let attempt = OpenAttempt { id, key, answers: answers.clone() };
        let Some(attempt) = self.join_earlier_run(attempt) else { return };
        let body = BASE64.decode(text("content")).unwrap_or_default();
        let mut body = String::from_utf8_lossy(&body).into_owned();
        if self.occurs(Fault::ChangesBodies) {
            body.push(' ');
        }
        self.open.borrow_mut().insert(txn.clone(), attempt);
        self.send_command(format!("APPLY {txn} {class} {}\r\n{body}\r\n", body.len()));
    }

    /// Answers an attempt whose key has a result, or queues it if a run of the key is open. Returns the
    /// attempt if it has to run.
    fn join_earlier_run(&self, attempt: OpenAttempt) -> Option<OpenAttempt> {
        if self.fault == Fault::DuplicateRun {
            return Some(attempt);
        }
        let Some(key) = attempt.key.clone() else { return Some(attempt) };
        let mut keys = self.keys.borrow_mut();
        let Some(known) = keys.get_mut(&key) else {
            keys.insert(key, KeyState::default());
            return Some(attempt);
        };
        match &known.result {
            Some(result) => attempt.answer_result(result),
            None => known.waiting.push(attempt),
        }
        None
    }

    fn send_command(&self, text: String) {
        // A command is dropped if the queue is full. The attempt then stays unanswered, which the checker
        // reports.
        let _ = self.commands.try_send(text);
    }

    fn handle_finished_run(&self, run: FinishedRun) {
        let Some(attempt) = self.open.borrow_mut().remove(&run.txn) else { return };
        let result = Some(&run.result).filter(|_| run.succeeded);
        if let (Some(key), Some(result)) = (&attempt.key, result) {
            self.store_result(key, result);
        }
        let previous = self.previous_result.replace(run.result.clone());
        if self.occurs(Fault::LosesAnswers) {
            return;
        }
        if self.occurs(Fault::RefusesWhatRan) {
            return attempt.answer_rejected();
        }
        if self.occurs(Fault::MixesResults) {
            return attempt.answer_result(&previous);
        }
        let answers = if self.occurs(Fault::DuplicateAnswer) { 2 } else { 1 };
        for _ in 0..answers {
            match result {
                Some(result) => attempt.answer_result(result),
                None => attempt.answer_failed(),
            }
        }
    }

    /// Stores the result of a key and answers the attempts that wait for it.
    fn store_result(&self, key: &str, result: &str) {
        let mut keys = self.keys.borrow_mut();
        let Some(known) = keys.get_mut(key) else { return };
        known.result = Some(result.into());
        for attempt in known.waiting.drain(..) {
            attempt.answer_result(result);
        }
    }
}

/// Formats a JSON-RPC response with these members as a line.
fn response(id: u64, members: &Value) -> String {
    let mut message = json!({"jsonrpc": "2.0", "id": id});
    for (key, value) in members.as_object().into_iter().flatten() {
        message[key] = value.clone();
    }
    format!("{message}\n")
}
