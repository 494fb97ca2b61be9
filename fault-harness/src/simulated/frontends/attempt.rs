//! Attempts of a frontend: each is read by the machine of the node, written to the node, and then answered or
//! cancelled.

use std::rc::Rc;

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use tokio::sync::{mpsc, oneshot};

use super::connection::{Connection, OpenAttempt};
use super::Frontend;
use crate::history::Event;
use crate::model::frontend::{AttemptOutcome, MIN_TIME_FOR_ATTEMPT};
use crate::model::Ms;
use crate::play_context::WrittenAttempt;
use crate::scenario::NodeEvent;
use crate::wire;

/// Time for which the caller still listens after the latest answer that counts, to distinguish a late answer
/// from none.
const LISTEN_MARGIN: Ms = 100.0;
/// First id of the attempts of a play.
const FIRST_ATTEMPT_ID: u64 = 1 << 40;
/// Minimum time limit that is written to a node, in milliseconds.
const MIN_TIME_LIMIT: Ms = 1.0;
/// Minimum cost hint that is written to a node, in milliseconds.
const MIN_COST_HINT: Ms = 0.01;

/// An attempt to be sent.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    pub(super) id: u64,
    pub(super) request: usize,
    /// Time at which its caller stops waiting.
    pub(super) deadline: Ms,
}

impl Frontend {
    /// Returns an id that is unique among the attempts of the play.
    pub(super) fn next_attempt_id(&self) -> u64 {
        let count = &self.shared.attempts;
        FIRST_ATTEMPT_ID + count.replace(count.get() + 1)
    }

    /// Writes an attempt and waits for its outcome. Returns none if the attempt crossed the close of an idle
    /// connection.
    pub(super) async fn send(&self, connection: &Rc<Connection>, attempt: Attempt) -> Option<AttemptOutcome> {
        let context = &self.context;
        let id = connection.next_id.replace(connection.next_id.get() + 1);
        let received_at = context.now();
        if let Some(outcome) = self.wait_until_read(connection, attempt).await {
            return Some(outcome);
        }
        let line = self.request_line(id, attempt, received_at);
        let out = connection.out.borrow().clone()?;
        let (sender, mut outcome) = oneshot::channel();
        connection.add_open_attempt(id, OpenAttempt::new(attempt.id, context.now(), sender));
        self.record_written(connection, attempt);
        // If the connection has ended meanwhile, its closing delivers the outcome.
        let _ = out.send(line).await;
        let listen_until = attempt.deadline + context.scenario.rules.slack_ms + LISTEN_MARGIN;
        tokio::select! {
            biased;
            outcome = &mut outcome => outcome.ok(),
            () = context.clock.until(listen_until) => {
                self.cancel(connection, id, attempt, &out);
                Some(AttemptOutcome::TimedOut)
            }
        }
    }

    fn record_written(&self, connection: &Connection, attempt: Attempt) {
        let context = &self.context;
        let node = connection.node;
        let Attempt { id, request, deadline } = attempt;
        context.record_attempt(id, WrittenAttempt { request, node });
        context.note(Event::AttemptWritten { attempt: id, request, node, frontend: self.number, deadline });
        let memory_kb = context.schedule.requests[request].memory_kb;
        self.shared.nodes[node].interpreter.hold_request(id, memory_kb);
        context.record_event(node, NodeEvent::AttemptWritten);
    }

    /// Waits until the machine of the node has read an attempt. Returns an outcome if the attempt is not to
    /// be written.
    async fn wait_until_read(&self, connection: &Connection, attempt: Attempt) -> Option<AttemptOutcome> {
        let context = &self.context;
        let interpreter = &self.shared.nodes[connection.node].interpreter;
        if context.scenario.fleet.read_ms <= 0.0 {
            return None;
        }
        connection.unread.set(connection.unread.get() + 1);
        let is_read = tokio::select! {
            biased;
            read = interpreter.read_request(attempt.id) => Some(read.is_ok()),
            () = context.clock.until(attempt.deadline) => None,
        };
        connection.unread.set(connection.unread.get() - 1);
        match is_read {
            // An attempt whose client no longer waits for an answer is not written.
            Some(true) if context.now() + MIN_TIME_FOR_ATTEMPT >= attempt.deadline => {
                Some(AttemptOutcome::TimedOut)
            }
            Some(true) => None,
            Some(false) => Some(AttemptOutcome::ConnectionLost),
            None => {
                interpreter.cancel_read(attempt.id);
                Some(AttemptOutcome::TimedOut)
            }
        }
    }

    /// The request line of an attempt that has this id on its connection.
    fn request_line(&self, id: u64, attempt: Attempt, received_at: Ms) -> String {
        let context = &self.context;
        let request = &context.schedule.requests[attempt.request];
        let class = &context.scenario.classes[request.class];
        // A repeat carries the key of the request that it repeats.
        let key_owner = request.repeats.unwrap_or(attempt.request);
        let key = class.idempotency_key.then(|| format!("{key_owner:032x}"));
        let line = wire::Request {
            id,
            txn: &format!("{:016x}", attempt.id),
            class: &class.name,
            received_at: context.clock.unix_ms(received_at),
            frontend: self.number,
            tenant: &request.tenant,
            time_limit_ms: (attempt.deadline - received_at).max(MIN_TIME_LIMIT) as u64,
            cost_hint_ms: request.cost_hint.max(MIN_COST_HINT),
            memory_kb: request.memory_kb,
            idempotency_key: key.as_deref(),
            content: &BASE64.encode(context.body(attempt.request)),
        };
        line.to_string()
    }

    /// Cancels an attempt: notifies the node that its caller no longer waits.
    fn cancel(&self, connection: &Connection, id: u64, attempt: Attempt, out: &mpsc::Sender<String>) {
        self.context.note(Event::AttemptCancelled { attempt: attempt.id });
        self.shared.nodes[connection.node].interpreter.close_request(attempt.id);
        connection.detach_caller(id);
        // The send fails if the connection has ended; the node then needs no notification.
        let _ = out.try_send(wire::withdraw(id));
    }
}
