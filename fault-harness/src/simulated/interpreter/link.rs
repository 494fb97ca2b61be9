//! The link between an interpreter and its node: receives commands, and sends answers and notices.

use std::rc::Rc;

use tokio::io::{AsyncBufRead, AsyncWrite, AsyncWriteExt, BufReader, DuplexStream};
use tokio::sync::{mpsc, watch};

use super::super::Command;
use super::Interpreter;
use crate::history::Event;
use crate::model::interpreter::RunRequest;
use crate::model::Ms;
use crate::play_context::WrittenAttempt;
use crate::scenario::NodeEvent;
use crate::wire;

/// Maximum number of answers that wait to be written.
const ANSWER_QUEUE: usize = 1024;
/// Uptime before the play that the banner of an initially warm interpreter claims.
const UP_BEFORE_PLAY: Ms = 60_000.0;

impl Interpreter {
    /// Serves one link until it ends or the next one begins.
    pub async fn serve(self: Rc<Self>, stream: DuplexStream) {
        if !self.state.borrow().is_up {
            return;
        }
        self.link.send_modify(|link| *link += 1);
        let mut link = self.link.subscribe();
        let own_link = *link.borrow_and_update();
        let (reader, writer) = tokio::io::split(stream);
        let (answer_sender, answers) = mpsc::channel::<String>(ANSWER_QUEUE);
        let (resume_sender, resume_from) = watch::channel(None);
        tokio::select! {
            () = self.read_commands(BufReader::new(reader), answer_sender, resume_sender) => {}
            () = self.write_notices(writer, answers, resume_from) => {}
            _ = link.wait_for(|link| *link != own_link) => {}
        }
    }

    /// Executes commands until the link ends or a command is malformed. `CONNECT` carries the number of the
    /// notice after which the node wants notices.
    async fn read_commands(
        &self,
        mut input: impl AsyncBufRead + Unpin,
        answers: mpsc::Sender<String>,
        resume_from: watch::Sender<Option<u64>>,
    ) {
        while let Some(command) = Command::read(&mut input).await {
            if command.name() == "CONNECT" && command.argument_count() == 1 {
                // If the receiver is gone, the link is ending anyway.
                let _ = answers.send(self.banner()).await;
                let notice = command.argument(0).and_then(|number| number.parse().ok());
                resume_from.send_replace(notice);
                continue;
            }
            let Some(answer) = self.execute(&command) else { return };
            if !answer.is_empty() && answers.send(answer).await.is_err() {
                return;
            }
        }
    }

    fn banner(&self) -> String {
        let state = self.state.borrow();
        let up_for = self.context.now() - state.started_at;
        if state.model.is_cold() {
            wire::banner(true, up_for as u64)
        } else {
            wire::banner(false, (up_for + UP_BEFORE_PLAY) as u64)
        }
    }

    /// Writes answers and notices, once the node has said after which notice it wants to resume.
    async fn write_notices(
        &self,
        mut writer: impl AsyncWrite + Unpin,
        mut answers: mpsc::Receiver<String>,
        mut resume_from: watch::Receiver<Option<u64>>,
    ) {
        let Ok(Some(mut sent)) = resume_from.wait_for(Option::is_some).await.map(|number| *number) else {
            return;
        };
        let mut last_notice = self.last_notice.subscribe();
        loop {
            // Pending answers go first, since the banner must precede the notices.
            let mut text = String::new();
            while let Ok(answer) = answers.try_recv() {
                text.push_str(&answer);
            }
            sent = self.append_notices(sent, &mut text);
            if !text.is_empty() && writer.write_all(text.as_bytes()).await.is_err() {
                return;
            }
            tokio::select! {
                answer = answers.recv() => {
                    let Some(answer) = answer else { return };
                    if writer.write_all(answer.as_bytes()).await.is_err() {
                        return;
                    }
                }
                changed = last_notice.changed() => if changed.is_err() { return },
            }
        }
    }

    /// Appends the notices after number `sent`, and returns the number of the last notice.
    fn append_notices(&self, sent: u64, text: &mut String) -> u64 {
        let state = self.state.borrow();
        for notice in state.notices.iter().filter(|notice| notice.number > sent) {
            text.push_str(&notice.text);
        }
        sent.max(state.last_notice)
    }

    /// Executes a command. Returns the answer, which may be empty, or none if the command is malformed.
    fn execute(&self, command: &Command) -> Option<String> {
        if command.name() == "TOP" {
            let gauges = self.state.borrow().model.gauges(self.context.now());
            return Some(wire::tops(command.argument(0)?, &gauges.as_array()));
        }
        let txn = command.txn()?;
        match command.name() {
            "APPLY" => return self.apply(txn, command),
            "BREAK" => self.update(|model, now| model.pause_run(now, txn)),
            "CONTINUE" => self.resume(txn),
            "RESOLVE" => self.resolve(txn, &command.body),
            "STUB" => self.skip_call(txn),
            _ => return None,
        }
        Some(String::new())
    }

    /// Resumes a paused run. A run that waits for its call continues to wait.
    fn resume(&self, txn: u64) {
        self.update(|model, now| if model.is_at_call(txn) { Vec::new() } else { model.resume_run(now, txn) });
    }

    /// Resumes a run with the reply to its call.
    fn resolve(&self, txn: u64, body: &[u8]) {
        // The command crossed the end of its run, so there is nothing to resume.
        if !self.state.borrow().model.is_at_call(txn) {
            return;
        }
        let reply = self.state.borrow_mut().replies.remove(&txn);
        if reply.as_ref().is_none_or(|reply| reply.as_bytes() != body) {
            let text = format!("the reply to the call of {txn:016x} differs from what the dependency sent");
            self.context.note(Event::Corrupted { node: self.node, text });
        }
        self.update(|model, now| model.resume_run(now, txn));
    }

    /// Resumes a run without its call; its result is marked as degraded.
    fn skip_call(&self, txn: u64) {
        if self.state.borrow().model.is_at_call(txn) {
            self.state.borrow_mut().without_call.insert(txn);
            self.update(|model, now| model.resume_run(now, txn));
        }
    }

    /// Starts a run. The answer is an error if no such request was written to the node, or it has another
    /// class or body.
    fn apply(&self, txn: u64, command: &Command) -> Option<String> {
        let class = command.argument(1)?;
        let attempt = self.context.attempt(txn).filter(|attempt| attempt.node == self.node);
        let Some(attempt) = attempt.filter(|attempt| self.is_intact(*attempt, class, &command.body)) else {
            let text = format!(
                "APPLY {txn:016x} {class}: no request with this id, class and body was written to the node"
            );
            self.context.note(Event::Corrupted { node: self.node, text });
            return Some(format!("ERROR APPLY {}\r\n", command.argument(0)?));
        };
        if self.state.borrow().model.has_open_run(txn) {
            return Some(String::new());
        }
        if self.state.borrow().model.has_request(txn) {
            self.begin_run(txn, attempt);
        } else {
            self.notify(|notice| wire::value(notice, &format!("{txn:016x}"), "stale", 0, ""));
        }
        Some(String::new())
    }

    /// Whether the class and body are those of the request as it was written.
    fn is_intact(&self, attempt: WrittenAttempt, class: &str, body: &[u8]) -> bool {
        let request = &self.context.schedule.requests[attempt.request];
        self.context.scenario.classes[request.class].name == class
            && self.context.body(attempt.request).as_bytes() == body
    }

    fn begin_run(&self, txn: u64, attempt: WrittenAttempt) {
        let request = &self.context.schedule.requests[attempt.request];
        let class = &self.context.scenario.classes[request.class];
        let work = RunRequest { attempt: txn, work: request.work, calls_dependency: class.calls_dependency };
        self.state.borrow_mut().run_starts.insert(txn, self.context.now());
        self.context.note(Event::RunStarted { attempt: txn, node: self.node });
        self.update(|model, now| model.start_run(now, work));
        self.context.record_event(self.node, NodeEvent::RunStarted);
    }
}
