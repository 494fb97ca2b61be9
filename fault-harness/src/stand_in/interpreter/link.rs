//! The link between an interpreter and its node: commands come in, notices and answers go out.

use std::rc::Rc;

use tokio::io::{AsyncBufRead, AsyncWrite, AsyncWriteExt, BufReader, DuplexStream};
use tokio::sync::{mpsc, watch};

use super::super::{command, txn};
use super::Interpreter;
use crate::history::Event;
use crate::model::interpreter::RunRequest;
use crate::model::Ms;
use crate::scenario::NodeEvent;
use crate::wire;

/// Answers to commands that wait to be written.
const ANSWER_QUEUE: usize = 1024;
/// For how long an interpreter that was warm at the start says it has been up before the play.
const UP_BEFORE_PLAY: Ms = 60_000.0;

impl Interpreter {
    /// Serves one link, until the next one or its end.
    pub async fn serve(self: Rc<Self>, stream: DuplexStream) {
        if !self.state.borrow().up {
            return;
        }
        self.link.send_modify(|link| *link += 1);
        let mut link = self.link.subscribe();
        let mine = *link.borrow_and_update();
        let (reader, writer) = tokio::io::split(stream);
        let (answer_sender, answers) = mpsc::channel::<String>(ANSWER_QUEUE);
        let (resume_sender, resume_from) = watch::channel(None);
        tokio::select! {
            () = self.listen(BufReader::new(reader), answer_sender, resume_sender) => {}
            () = self.speak(writer, answers, resume_from) => {}
            _ = link.wait_for(|link| *link != mine) => {}
        }
    }

    /// Takes commands until the link ends or one is wrong. `CONNECT` says from which notice on the node wants them.
    async fn listen(
        &self,
        mut input: impl AsyncBufRead + Unpin,
        answers: mpsc::Sender<String>,
        resume_from: watch::Sender<Option<u64>>,
    ) {
        while let Some((words, body)) = command(&mut input).await {
            if let [word, number] = &words[..] {
                if word == "CONNECT" {
                    let _ = answers.send(self.banner()).await;
                    resume_from.send_replace(number.parse::<u64>().ok());
                    continue;
                }
            }
            let Some(answer) = self.execute(&words, &body) else { return };
            if !answer.is_empty() && answers.send(answer).await.is_err() {
                return;
            }
        }
    }

    fn banner(&self) -> String {
        let state = self.state.borrow();
        let up_for = self.context.now() - state.started;
        if state.vm.is_cold() {
            wire::banner(true, up_for as u64)
        } else {
            wire::banner(false, (up_for + UP_BEFORE_PLAY) as u64)
        }
    }

    /// Writes answers and notices, once the node has said from which notice on it wants them.
    async fn speak(
        &self,
        mut writer: impl AsyncWrite + Unpin,
        mut answers: mpsc::Receiver<String>,
        mut resume_from: watch::Receiver<Option<u64>>,
    ) {
        let Ok(Some(mut sent)) = resume_from.wait_for(Option::is_some).await.map(|number| *number) else {
            return;
        };
        let mut last_command = self.last_command.subscribe();
        loop {
            // The banner comes before the notices that follow it.
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
                changed = last_command.changed() => if changed.is_err() { return },
            }
        }
    }

    /// Appends the notices after this number, and returns the number of the last one.
    fn append_notices(&self, sent: u64, text: &mut String) -> u64 {
        let state = self.state.borrow();
        let new = state.notices.iter().filter(|(number, _)| *number > sent);
        new.for_each(|(_, notice)| text.push_str(notice));
        sent.max(state.last)
    }

    /// Executes a command; returns the answer, which may be empty, or none where the link is to end.
    fn execute(&self, words: &[String], body: &[u8]) -> Option<String> {
        let id = txn(words.get(1));
        match (words[0].as_str(), id) {
            ("TOP", _) => {
                let gauges = self.state.borrow().vm.gauges(self.context.now());
                return Some(wire::tops(words.get(1)?, &gauges.as_array()));
            }
            ("APPLY", Some(id)) => {
                if !self.apply(id, words.get(2)?, body) {
                    return Some(format!("ERROR APPLY {}\r\n", words[1]));
                }
            }
            ("BREAK", Some(id)) => self.change(|vm, now| vm.pause_run(now, id)),
            ("CONTINUE", Some(id)) => {
                self.change(|vm, now| if vm.is_at_call(id) { Vec::new() } else { vm.resume_run(now, id) });
            }
            ("RESOLVE", Some(id)) => self.resolve(id, body),
            ("STUB", Some(id)) => self.skip_call(id),
            _ => return None,
        }
        Some(String::new())
    }

    /// Resumes a run with the reply to its call.
    fn resolve(&self, id: u64, body: &[u8]) {
        // A command that crossed the end of its run resolves nothing.
        if !self.state.borrow().vm.is_at_call(id) {
            return;
        }
        let reply = self.state.borrow_mut().replies.remove(&id);
        if reply.as_ref().is_none_or(|reply| reply.as_bytes() != body) {
            let text = format!("the reply to the call of {id:016x} is not the one that came");
            self.context.note(Event::Corrupted { node: self.node, text });
        }
        self.change(|vm, now| vm.resume_run(now, id));
    }

    /// Resumes a run without its call; its result will be poorer.
    fn skip_call(&self, id: u64) {
        if self.state.borrow().vm.is_at_call(id) {
            self.state.borrow_mut().poorer.insert(id);
            self.change(|vm, now| vm.resume_run(now, id));
        }
    }

    /// Begins a run; false if no such request came here, or not with this class and body.
    fn apply(&self, id: u64, class: &str, body: &[u8]) -> bool {
        let written = self.context.written(id).filter(|written| written.node == self.node);
        let intact = written.filter(|written| {
            let request = &self.context.schedule.requests[written.n];
            self.context.scenario.classes[request.class].name == class
                && self.context.body(written.n).as_bytes() == body
        });
        let Some(written) = intact else {
            let text = format!("APPLY {id:016x} {class}: no such request came here, or its body is another");
            self.context.note(Event::Corrupted { node: self.node, text });
            return false;
        };
        if self.state.borrow().vm.has_run(id) {
            return true;
        }
        if !self.state.borrow().vm.has_request(id) {
            self.notify(|notice| wire::value(notice, &format!("{id:016x}"), "stale", 0, ""));
            return true;
        }
        let request = &self.context.schedule.requests[written.n];
        let work = RunRequest {
            attempt: id,
            work: request.work,
            calls_dependency: self.context.scenario.classes[request.class].calls_dependency,
        };
        self.state.borrow_mut().began.insert(id, self.context.now());
        self.context.note(Event::RunStarted { attempt: id, node: self.node });
        self.change(|vm, now| vm.start_run(now, work));
        self.context.happened(self.node, NodeEvent::RunStarted);
        true
    }
}
