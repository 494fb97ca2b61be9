//! A connection from a frontend to a node, on which attempts are sent and answers received.

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

/// Maximum number of open attempts on a connection.
const MAX_OPEN_ATTEMPTS: usize = 32;
/// Maximum length of an answer, in bytes.
const MAX_ANSWER_BYTES: u64 = 64 * 1024;
/// Maximum number of characters of an unexpected line that are recorded in the history.
const MAX_RECORDED_CHARACTERS: usize = 200;
/// An attempt whose connection closes within this time after the attempt was written counts as crossing the
/// close, and is sent again, once.
const CROSSING_TOLERANCE: Ms = 50.0;

/// An attempt on a connection that has not been answered.
pub(super) struct OpenAttempt {
    pub(super) attempt: u64,
    written_at: Ms,
    /// Whether no other attempt was open on the connection when it was written.
    was_connection_idle: bool,
    /// Channel to the caller; none once the caller has stopped waiting.
    caller: Option<oneshot::Sender<AttemptOutcome>>,
}

impl OpenAttempt {
    pub(super) fn new(attempt: u64, written_at: Ms, caller: oneshot::Sender<AttemptOutcome>) -> OpenAttempt {
        OpenAttempt { attempt, written_at, was_connection_idle: false, caller: Some(caller) }
    }

    /// Reports the outcome to its caller.
    pub(super) fn end(self, outcome: AttemptOutcome) {
        if let Some(caller) = self.caller {
            // The caller may have stopped waiting.
            let _ = caller.send(outcome);
        }
    }
}

/// The answer to the attempt with this id on its connection.
struct Answer {
    id: u64,
    response: Response,
}

/// A connection to a node.
pub(super) struct Connection {
    pub(super) node: usize,
    /// Channel for lines to write; none once the connection is to close.
    pub(super) out: RefCell<Option<mpsc::Sender<String>>>,
    open: RefCell<BTreeMap<u64, OpenAttempt>>,
    /// Attempts that were answered on this connection, by their ids on the connection, to recognize a second
    /// answer.
    answered: RefCell<HashMap<u64, u64>>,
    /// Id of the next attempt on this connection.
    pub(super) next_id: Cell<u64>,
    /// Number of attempts that wait to be read by the machine of the node before they are written.
    pub(super) unread: Cell<usize>,
    pub(super) last_used: Cell<Ms>,
    /// Whether no new attempts may be sent on this connection.
    pub(super) is_draining: Cell<bool>,
}

impl Connection {
    /// Creates a connection on which the lines sent to `out` are written.
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

    /// Whether another attempt may be sent on this connection.
    pub(super) fn has_capacity(&self) -> bool {
        !self.is_draining.get() && self.open.borrow().len() + self.unread.get() < MAX_OPEN_ATTEMPTS
    }

    /// Whether no attempt is open or about to be written on this connection.
    pub(super) fn is_unused(&self) -> bool {
        self.open.borrow().is_empty() && self.unread.get() == 0
    }

    /// Closes the connection once all queued lines are written.
    pub(super) fn stop_writing(&self) {
        self.is_draining.set(true);
        self.out.take();
    }

    pub(super) fn add_open_attempt(&self, id: u64, mut open: OpenAttempt) {
        let mut all_open = self.open.borrow_mut();
        open.was_connection_idle = all_open.is_empty();
        self.last_used.set(open.written_at);
        all_open.insert(id, open);
    }

    /// Removes the caller of an attempt that stopped waiting. The attempt stays open, so that a late answer
    /// is recognized.
    pub(super) fn detach_caller(&self, id: u64) {
        if let Some(open) = self.open.borrow_mut().get_mut(&id) {
            open.caller = None;
        }
    }

    pub(super) fn take_open_attempts(&self) -> impl Iterator<Item = OpenAttempt> {
        self.open.take().into_values()
    }

    /// Writes lines and reads answers until either end closes the connection, then fails the open attempts.
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

    /// Fails the open attempts, except that one that crossed an idle close is sent again.
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
            // The caller of an attempt that crossed a close gets no outcome and sends it again.
            if loss != ConnectionLoss::CrossedClose {
                open.end(AttemptOutcome::ConnectionLost);
            }
        }
    }

    fn loss_of(&self, open: &OpenAttempt, now: Ms) -> ConnectionLoss {
        if self.answered.borrow().is_empty() {
            ConnectionLoss::NewConnection
        } else if open.was_connection_idle && now - open.written_at <= CROSSING_TOLERANCE {
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

/// Converts a message of the node to an answer; none if it is not an answer.
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
