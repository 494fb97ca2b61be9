//! The dependency on a socket: calls of all nodes go to it, and its replies come back.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncWriteExt, BufReader, DuplexStream};
use tokio::sync::{mpsc, Notify};

use super::{command, interpreter::Interpreter, txn};
use crate::history::Event;
use crate::model::dependency::{CallEnd, Dependency};
use crate::play_context::PlayContext;
use crate::scenario::Dependency as Shape;
use crate::schedule::{call_time, generator, RandomStream};

/// Replies that wait on one connection.
const REPLIES: usize = 256;

struct Call {
    node: usize,
    txn: u64,
    interpreter: Rc<Interpreter>,
    reply: mpsc::Sender<String>,
}

/// The dependency that all nodes share.
pub struct Tier {
    context: Rc<PlayContext>,
    shape: Shape,
    model: RefCell<Dependency>,
    calls: RefCell<HashMap<u64, Call>>,
    next: Cell<u64>,
    rng: RefCell<ChaCha8Rng>,
    poke: Notify,
}

impl Tier {
    /// The tier of a scenario.
    pub fn new(context: Rc<PlayContext>, shape: Shape) -> Rc<Tier> {
        let (model, rng) =
            (Dependency::new(shape.slots, shape.queue), generator(context.seed, RandomStream::Calls, 0));
        Rc::new(Tier {
            context,
            shape,
            model: RefCell::new(model),
            calls: RefCell::default(),
            next: Cell::new(1),
            rng: RefCell::new(rng),
            poke: Notify::new(),
        })
    }

    /// Leaves it a part of its slots.
    pub fn weaken(&self, factor: f64) {
        self.model.borrow_mut().set_capacity_factor(factor);
        self.poke.notify_one();
    }

    /// Works on calls, for as long as the play.
    pub async fn work(self: Rc<Self>) {
        loop {
            let next = self.model.borrow().next().unwrap_or(f64::INFINITY);
            tokio::select! {
                () = self.context.clock.until(next) => {}
                () = self.poke.notified() => {}
            }
            let ended = self.model.borrow_mut().advance(self.context.now());
            for end in ended {
                let (id, done) = match end {
                    CallEnd::Completed(id) => (id, true),
                    CallEnd::TimedOut(id) => (id, false),
                };
                // A call that was given up is nobody's any more.
                let Some(call) = self.calls.borrow_mut().remove(&id) else { continue };
                let text = if done { format!("reply {id} to {:016x}", call.txn) } else { String::new() };
                let told = if done {
                    format!("{:016x} HIT {}\r\n{text}\r\n", call.txn, text.len())
                } else {
                    format!("{:016x} SLOW\r\n", call.txn)
                };
                if done {
                    call.interpreter.replied(call.txn, &text);
                }
                // The connection may have ended, and the call with it.
                let _ = call.reply.try_send(told);
            }
        }
    }

    /// Serves one connection of a node's.
    pub async fn serve(self: Rc<Self>, node: usize, interpreter: Rc<Interpreter>, stream: DuplexStream) {
        let (reader, mut writer) = tokio::io::split(stream);
        let mut input = BufReader::new(reader);
        let (reply, mut replies) = mpsc::channel::<String>(REPLIES);
        let mut mine = Vec::new();
        let listening = async {
            while let Some((words, body)) = command(&mut input).await {
                match (words[0].as_str(), txn(words.get(1)), &words[..]) {
                    ("GET", Some(id), [_, _, wait, _]) => {
                        let Ok(wait) = wait.parse::<f64>() else { return };
                        if let Some(call) = self.called(node, &interpreter, id, wait, &body, &reply) {
                            mine.push(call);
                        }
                    }
                    ("STOP", Some(id), _) => self.give_up(|call| call.node == node && call.txn == id),
                    _ => return,
                }
            }
        };
        let speaking = async {
            while let Some(text) = replies.recv().await {
                if writer.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
        };
        tokio::select! {
            () = listening => {}
            () = speaking => {}
        }
        // Closing a connection gives up every call on it.
        for call in mine {
            if self.calls.borrow_mut().remove(&call).is_some() {
                self.model.borrow_mut().cancel(call);
            }
        }
    }

    fn give_up(&self, meant: impl Fn(&Call) -> bool) {
        let ids: Vec<u64> =
            self.calls.borrow().iter().filter(|(_, call)| meant(call)).map(|(id, _)| *id).collect();
        for id in ids {
            self.calls.borrow_mut().remove(&id);
            self.model.borrow_mut().cancel(id);
        }
    }

    /// Takes a call on; its number, unless it is answered at once.
    fn called(
        &self,
        node: usize,
        interpreter: &Rc<Interpreter>,
        id: u64,
        wait: f64,
        body: &[u8],
        reply: &mpsc::Sender<String>,
    ) -> Option<u64> {
        if !interpreter.waits(id, body) {
            let _ = reply.try_send(format!("{id:016x} NOBODY\r\n"));
            return None;
        }
        self.give_up(|call| call.node == node && call.txn == id);
        let number = self.next.replace(self.next.get() + 1);
        let time = call_time(&mut self.rng.borrow_mut(), self.shape.work_ms, self.shape.cv);
        let now = self.context.now();
        if !self.model.borrow_mut().call(now, number, time, now + wait) {
            let _ = reply.try_send(format!("{id:016x} SHED\r\n"));
            return None;
        }
        self.context.note(Event::DependencyCalled { attempt: id, node });
        self.calls
            .borrow_mut()
            .insert(number, Call { node, txn: id, interpreter: interpreter.clone(), reply: reply.clone() });
        self.poke.notify_one();
        Some(number)
    }
}
