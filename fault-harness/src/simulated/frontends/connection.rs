//! A connection between a frontend and a node: attempts go out, answers come in.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, DuplexStream};
use tokio::sync::{mpsc, oneshot};

use super::Interpreter;
use crate::history::{ConnectionLoss, Event, Response};
use crate::model::frontend::AttemptOutcome;
use crate::model::Ms;
use crate::play_context::PlayContext;
use crate::scenario::NodeEvent;
use crate::wire::{self, NodeMessage};

/// Attempts that may be open on a connection.
const MAX_OPEN_ATTEMPTS: usize = 32;
/// The longest answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1024;
/// Characters of an unexpected line that the history keeps.
const MAX_RECORDED_CHARACTERS: usize = 200;
/// An attempt that crosses a close within this is sent again, once.
const CROSSING_TOLERANCE: Ms = 50.0;

/// An attempt on a connection that is not answered yet.
pub(super) struct OpenAttempt {
    pub(super) attempt: u64,
    written_at: Ms,
    /// Nothing else was open on the connection when it was written.
    is_only_one: bool,
    /// The caller; none once it has stopped waiting.
    caller: Option<oneshot::Sender<AttemptOutcome>>,
}

impl OpenAttempt {
    pub(super) fn new(attempt: u64, written_at: Ms, caller: oneshot::Sender<AttemptOutcome>) -> OpenAttempt {
        OpenAttempt { attempt, written_at, is_only_one: false, caller: Some(caller) }
    }

    /// Tells its caller the outcome.
    pub(super) fn end(self, outcome: AttemptOutcome) {
        if let Some(caller) = self.caller {
            // It may have stopped waiting.
            let _ = caller.send(outcome);
        }
    }
}

/// The answer to the attempt that has this id on its connection.
struct Answer {
    id: u64,
    response: Response,
}

/// A connection with a node.
pub(super) struct Connection {
    pub(super) node: usize,
    /// Lines to write; none once the connection is to end.
    pub(super) out: RefCell<Option<mpsc::Sender<String>>>,
    open: RefCell<BTreeMap<u64, OpenAttempt>>,
    /// The attempts that were answered here by their ids on the connection, to recognize a second answer.
    answered: RefCell<HashMap<u64, u64>>,
    /// The id of the next attempt.
    pub(super) next_id: Cell<u64>,
    /// Attempts on it that are still to be read.
    pub(super) unread: Cell<usize>,
    pub(super) last_used: Cell<Ms>,
    /// Nothing new is to be sent here.
    pub(super) is_draining: Cell<bool>,
}

impl Connection {
    /// A connection on which the lines of `out` are written.
    pub(super) fn new(node: usize, out: mpsc::Sender<String>, now: Ms) -> Rc<Connection> {
        Rc::new(Connection {
            node,
            out: RefCell::new(Some(out)),
            open: RefCell::default(),
            answered: RefCell::default(),
            next_id: Cell::new(1),
            unread: Cell::new(0),
            last_used: Cell::new(now),
            is_draining: Cell::new(false),
        })
    }

    /// Whether another attempt may be sent on it.
    pub(super) fn has_capacity(&self) -> bool {
        !self.is_draining.get() && self.open.borrow().len() + self.unread.get() < MAX_OPEN_ATTEMPTS
    }

    /// Whether no attempt is open on it, or about to be.
    pub(super) fn is_unused(&self) -> bool {
        self.open.borrow().is_empty() && self.unread.get() == 0
    }

    /// Ends it as soon as all lines are written.
    pub(super) fn stop_writing(&self) {
        self.is_draining.set(true);
        self.out.take();
    }

    pub(super) fn add_open_attempt(&self, id: u64, mut open: OpenAttempt) {
        let mut all_open = self.open.borrow_mut();
        open.is_only_one = all_open.is_empty();
        self.last_used.set(open.written_at);
        all_open.insert(id, open);
    }

    /// Keeps an attempt open whose caller no longer waits, to recognize its answer.
    pub(super) fn detach_caller(&self, id: u64) {
        if let Some(open) = self.open.borrow_mut().get_mut(&id) {
            open.caller = None;
        }
    }

    pub(super) fn take_open_attempts(&self) -> impl Iterator<Item = OpenAttempt> {
        self.open.take().into_values()
    }

    /// Writes lines and reads answers until either end closes, then fails what is still open.
    pub(super) async fn run(
        self: Rc<Self>,
        context: Rc<PlayContext>,
        interpreter: Rc<Interpreter>,
        stream: DuplexStream,
        mut lines: mpsc::Receiver<String>,
    ) {
        let (reader, mut writer) = tokio::io::split(stream);
        let mut input = BufReader::new(reader);
        let writing = async {
            while let Some(line) = lines.recv().await {
                if writer.write_all(line.as_bytes()).await.is_err() {
                    break;
                }
            }
        };
        let reading = async {
            loop {
                let mut line = String::new();
                match (&mut input).take(MAX_ANSWER_BYTES).read_line(&mut line).await {
                    Ok(length) if length > 0 => self.receive(&context, &interpreter, line.trim_end()),
                    _ => return,
                }
            }
        };
        tokio::select! {
            () = writing => {}
            () = reading => {}
        }
        self.close(&context, &interpreter);
    }

    /// Fails what is still open; what crossed an idle close is to be sent again.
    fn close(&self, context: &PlayContext, interpreter: &Interpreter) {
        self.stop_writing();
        let now = context.now();
        for open in self.take_open_attempts() {
            interpreter.close_request(open.attempt);
            if open.caller.is_none() {
                continue;
            }
            let loss = self.loss_of(&open, now);
            context.note(Event::ConnectionLost { attempt: open.attempt, loss });
            // One that crossed a close ends without an outcome.
            if loss != ConnectionLoss::CrossedClose {
                open.end(AttemptOutcome::ConnectionLost);
            }
        }
    }

    fn loss_of(&self, open: &OpenAttempt, now: Ms) -> ConnectionLoss {
        if self.answered.borrow().is_empty() {
            ConnectionLoss::NewConnection
        } else if open.is_only_one && now - open.written_at <= CROSSING_TOLERANCE {
            ConnectionLoss::CrossedClose
        } else {
            ConnectionLoss::UsedConnection
        }
    }

    fn receive(&self, context: &PlayContext, interpreter: &Interpreter, line: &str) {
        self.last_used.set(context.now());
        let message = wire::parse_node_message(line);
        if message == NodeMessage::Draining {
            return self.is_draining.set(true);
        }
        let Some(answer) = answer_of(message) else { return self.record_unexpected(context, None, line) };
        let Some(open) = self.open.borrow_mut().remove(&answer.id) else {
            let attempt = self.answered.borrow().get(&answer.id).copied();
            return self.record_unexpected(context, attempt, line);
        };
        self.answered.borrow_mut().insert(answer.id, open.attempt);
        if matches!(answer.response, Response::Served(_)) {
            context.record_event(self.node, NodeEvent::AttemptServed);
        }
        let outcome = answer.response.outcome();
        context.note(Event::AttemptAnswered { attempt: open.attempt, response: answer.response });
        interpreter.close_request(open.attempt);
        open.end(outcome);
    }

    fn record_unexpected(&self, context: &PlayContext, attempt: Option<u64>, line: &str) {
        let text = line.chars().take(MAX_RECORDED_CHARACTERS).collect();
        context.note(Event::UnexpectedLine { node: self.node, attempt, text });
    }
}

/// The answer that a message is, if it is one.
fn answer_of(message: NodeMessage) -> Option<Answer> {
    match message {
        NodeMessage::Served { id, content } => {
            let result = String::from_utf8(BASE64.decode(content).ok()?).ok()?;
            Some(Answer { id, response: Response::Served(result) })
        }
        NodeMessage::Rejected { id, retry_after, give_up } => {
            Some(Answer { id, response: Response::Rejected { retry_after, give_up } })
        }
        NodeMessage::Failed { id } => Some(Answer { id, response: Response::Failed }),
        NodeMessage::Status { .. } | NodeMessage::Draining | NodeMessage::Unrecognized => None,
    }
}
