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

/// The longest answer, in bytes.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024;
/// An attempt that crosses a close within this is sent again, once.
const CROSSING_TOLERANCE: Ms = 50.0;

/// An attempt on a connection that is not answered yet.
pub(super) struct OpenAttempt {
    pub(super) txn: u64,
    pub(super) written_at: Ms,
    /// Nothing else was open when it was written.
    pub(super) was_alone: bool,
    pub(super) reply: Option<oneshot::Sender<AttemptOutcome>>,
}

/// A connection with a node.
pub(super) struct Connection {
    pub(super) node: usize,
    /// Lines to write; none once the connection is to end.
    pub(super) out: RefCell<Option<mpsc::Sender<String>>>,
    pub(super) open: RefCell<BTreeMap<u64, OpenAttempt>>,
    /// The attempts that were answered here by their ids on the connection, to recognize a second answer.
    pub(super) answered: RefCell<HashMap<u64, u64>>,
    /// The id of the next attempt.
    pub(super) next_id: Cell<u64>,
    /// Attempts on it that are still to be read.
    pub(super) unread: Cell<usize>,
    pub(super) last_used: Cell<Ms>,
    /// Nothing new is to be sent here.
    pub(super) is_draining: Cell<bool>,
}

impl Connection {
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
                match (&mut input).take(MAX_RESPONSE_BYTES).read_line(&mut line).await {
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
        self.is_draining.set(true);
        self.out.borrow_mut().take();
        let now = context.now();
        for open in std::mem::take(&mut *self.open.borrow_mut()).into_values() {
            interpreter.over(open.txn);
            let Some(reply) = open.reply else { continue };
            let answered = !self.answered.borrow().is_empty();
            let crossed = answered && open.was_alone && now - open.written_at <= CROSSING_TOLERANCE;
            let why = match (crossed, answered) {
                (true, _) => ConnectionLoss::CrossedClose,
                (false, true) => ConnectionLoss::UsedConnection,
                (false, false) => ConnectionLoss::NewConnection,
            };
            context.note(Event::ConnectionLost { attempt: open.txn, loss: why });
            if !crossed {
                // Its client may have stopped waiting.
                let _ = reply.send(AttemptOutcome::ConnectionLost);
            }
        }
    }

    fn receive(&self, context: &PlayContext, interpreter: &Interpreter, line: &str) {
        self.last_used.set(context.now());
        let (id, kind, answer) = match wire::parse_node_message(line) {
            NodeMessage::Draining => return self.is_draining.set(true),
            NodeMessage::Served(id, content) => {
                match BASE64.decode(&content).ok().and_then(|bytes| String::from_utf8(bytes).ok()) {
                    Some(result) => {
                        let poorer = result.ends_with(" poorer");
                        (id, Response::Served(result), AttemptOutcome::Served { degraded: poorer })
                    }
                    None => return self.record_stray(context, None, line),
                }
            }
            NodeMessage::Refused(id, later, giveup) => (
                id,
                Response::Rejected { retry_after: later, give_up: giveup },
                AttemptOutcome::Rejected { retry_after: later, give_up: giveup },
            ),
            NodeMessage::Failed(id) => (id, Response::Failed, AttemptOutcome::Failed),
            NodeMessage::Status(..) | NodeMessage::Noise => return self.record_stray(context, None, line),
        };
        let Some(open) = self.open.borrow_mut().remove(&id) else {
            let txn = self.answered.borrow().get(&id).copied();
            return self.record_stray(context, txn, line);
        };
        self.answered.borrow_mut().insert(id, open.txn);
        if matches!(kind, Response::Served(_)) {
            context.happened(self.node, NodeEvent::AttemptServed);
        }
        context.note(Event::AttemptAnswered { attempt: open.txn, response: kind });
        interpreter.over(open.txn);
        if let Some(reply) = open.reply {
            // Its client may have stopped waiting.
            let _ = reply.send(answer);
        }
    }

    fn record_stray(&self, context: &PlayContext, txn: Option<u64>, line: &str) {
        let text = line.chars().take(200).collect();
        context.note(Event::UnexpectedLine { node: self.node, attempt: txn, text });
    }
}
