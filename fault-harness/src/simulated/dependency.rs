//! The dependency on a socket: the calls of all nodes come in, and its replies go out.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncWriteExt, BufReader, DuplexStream};
use tokio::sync::{mpsc, Notify};

use super::{interpreter::Interpreter, Command};
use crate::history::Event;
use crate::model::dependency::{CallEnd, Dependency as DependencyModel};
use crate::model::Ms;
use crate::play_context::PlayContext;
use crate::scenario::Dependency as DependencySettings;
use crate::schedule::{call_time, generator, RandomStream};

/// Replies that wait to be written on one connection.
const REPLY_QUEUE: usize = 256;

/// The arguments of `GET`: the transaction, the timeout, and the length of the body.
const CALL_ARGUMENTS: usize = 3;

/// A connection of a node, as its calls know it.
#[derive(Clone)]
struct Caller {
    node: usize,
    interpreter: Rc<Interpreter>,
    replies: mpsc::Sender<String>,
}

impl Caller {
    fn reply(&self, text: String) {
        // The connection may have ended, and its calls with it.
        let _ = self.replies.try_send(text);
    }
}

/// A command that cannot be executed, at which the connection ends.
struct MalformedCommand;

/// A call that is to be made.
struct CallRequest<'a> {
    txn: u64,
    /// How long the caller waits.
    timeout: Ms,
    body: &'a [u8],
}

impl CallRequest<'_> {
    /// The call that a command asks for.
    fn parse(command: &Command) -> Result<CallRequest<'_>, MalformedCommand> {
        if command.argument_count() != CALL_ARGUMENTS {
            return Err(MalformedCommand);
        }
        let txn = command.txn().ok_or(MalformedCommand)?;
        let timeout = command.argument(1).and_then(|word| word.parse().ok()).ok_or(MalformedCommand)?;
        Ok(CallRequest { txn, timeout, body: &command.body })
    }
}

/// A call that has no reply yet.
struct OpenCall {
    txn: u64,
    caller: Caller,
}

/// The dependency that all nodes share.
pub struct Dependency {
    context: Rc<PlayContext>,
    settings: DependencySettings,
    model: RefCell<DependencyModel>,
    /// Open calls by their numbers in the model.
    calls: RefCell<HashMap<u64, OpenCall>>,
    next_call: Cell<u64>,
    rng: RefCell<ChaCha8Rng>,
    /// Something has changed in what will happen next.
    changed: Notify,
}

impl Dependency {
    /// The dependency of a scenario.
    pub fn new(context: Rc<PlayContext>, settings: DependencySettings) -> Rc<Dependency> {
        let model = DependencyModel::new(settings.slots, settings.queue);
        let rng = generator(context.seed, RandomStream::Calls, 0);
        Rc::new(Dependency {
            context,
            settings,
            model: RefCell::new(model),
            calls: RefCell::default(),
            next_call: Cell::new(1),
            rng: RefCell::new(rng),
            changed: Notify::new(),
        })
    }

    /// Leaves it a fraction of its slots.
    pub fn set_capacity_factor(&self, factor: f64) {
        self.model.borrow_mut().set_capacity_factor(factor);
        self.changed.notify_one();
    }

    /// Works on calls, for as long as the play.
    pub async fn work(self: Rc<Self>) {
        loop {
            let next = self.model.borrow().next_event_at().unwrap_or(f64::INFINITY);
            tokio::select! {
                () = self.context.clock.until(next) => {}
                () = self.changed.notified() => {}
            }
            let ended = self.model.borrow_mut().advance(self.context.now());
            for end in ended {
                self.on_ended(end);
            }
        }
    }

    fn on_ended(&self, end: CallEnd) {
        let (number, is_done) = match end {
            CallEnd::Completed(number) => (number, true),
            CallEnd::TimedOut(number) => (number, false),
        };
        // Nobody waits for a call that was given up.
        let Some(call) = self.calls.borrow_mut().remove(&number) else { return };
        if is_done {
            let body = format!("reply {number} to {:016x}", call.txn);
            call.caller.interpreter.record_reply(call.txn, &body);
            call.caller.reply(format!("{:016x} HIT {}\r\n{body}\r\n", call.txn, body.len()));
        } else {
            call.caller.reply(format!("{:016x} SLOW\r\n", call.txn));
        }
    }

    /// Serves one connection of a node.
    pub async fn serve(self: Rc<Self>, node: usize, interpreter: Rc<Interpreter>, stream: DuplexStream) {
        let (reader, mut writer) = tokio::io::split(stream);
        let mut input = BufReader::new(reader);
        let (sender, mut replies) = mpsc::channel::<String>(REPLY_QUEUE);
        let caller = Caller { node, interpreter, replies: sender };
        let mut own_calls = Vec::new();
        let reading = async {
            while let Some(command) = Command::read(&mut input).await {
                if self.execute(&command, &caller, &mut own_calls).is_err() {
                    return;
                }
            }
        };
        let writing = async {
            while let Some(text) = replies.recv().await {
                if writer.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
        };
        tokio::select! {
            () = reading => {}
            () = writing => {}
        }
        // Closing a connection gives up every call on it.
        for number in own_calls {
            if self.calls.borrow_mut().remove(&number).is_some() {
                self.model.borrow_mut().cancel(number);
            }
        }
    }

    /// Executes a command.
    fn execute(
        &self,
        command: &Command,
        caller: &Caller,
        own_calls: &mut Vec<u64>,
    ) -> Result<(), MalformedCommand> {
        match command.name() {
            "GET" => own_calls.extend(self.call(&CallRequest::parse(command)?, caller)),
            "STOP" => self.give_up(caller.node, command.txn().ok_or(MalformedCommand)?),
            _ => return Err(MalformedCommand),
        }
        Ok(())
    }

    /// Gives up a node's call for a transaction, if there is one.
    fn give_up(&self, node: usize, txn: u64) {
        let is_meant = |call: &OpenCall| call.caller.node == node && call.txn == txn;
        let calls = self.calls.borrow();
        let numbers: Vec<u64> =
            calls.iter().filter(|(_, call)| is_meant(call)).map(|(number, _)| *number).collect();
        drop(calls);
        for number in numbers {
            self.calls.borrow_mut().remove(&number);
            self.model.borrow_mut().cancel(number);
        }
    }

    /// Begins a call and returns its number, unless it is answered at once.
    fn call(&self, request: &CallRequest, caller: &Caller) -> Option<u64> {
        let CallRequest { txn, timeout, body } = *request;
        if !caller.interpreter.expects_call(txn, body) {
            caller.reply(format!("{txn:016x} NOBODY\r\n"));
            return None;
        }
        self.give_up(caller.node, txn);
        let number = self.next_call.replace(self.next_call.get() + 1);
        let work = call_time(&mut self.rng.borrow_mut(), self.settings.work_ms, self.settings.cv);
        let now = self.context.now();
        if !self.model.borrow_mut().try_call(now, number, work, now + timeout) {
            caller.reply(format!("{txn:016x} SHED\r\n"));
            return None;
        }
        self.context.note(Event::DependencyCalled { attempt: txn, node: caller.node });
        self.calls.borrow_mut().insert(number, OpenCall { txn, caller: caller.clone() });
        self.changed.notify_one();
        Some(number)
    }
}
