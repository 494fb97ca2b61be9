//! The dependency on a socket: receives the calls of all nodes and sends the replies.

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

/// Maximum number of replies that wait to be written on one connection.
const REPLY_QUEUE: usize = 256;

/// Number of arguments of `GET`: transaction id, timeout, and length of the body.
const CALL_ARGUMENTS: usize = 3;

/// The connection on which a call came, and the interpreter of its node.
#[derive(Clone)]
struct Caller {
    node: usize,
    interpreter: Rc<Interpreter>,
    replies: mpsc::Sender<String>,
}

impl Caller {
    fn reply(&self, text: String) {
        // The connection may have ended; its calls are given up then.
        let _ = self.replies.try_send(text);
    }
}

/// A command that cannot be executed; the connection ends.
struct MalformedCommand;

/// A call that a node requests.
struct CallRequest<'a> {
    txn: u64,
    /// Time that the caller waits, in milliseconds.
    timeout: Ms,
    body: &'a [u8],
}

impl CallRequest<'_> {
    /// Parses the arguments of a `GET` command.
    fn parse(command: &Command) -> Result<CallRequest<'_>, MalformedCommand> {
        if command.argument_count() != CALL_ARGUMENTS {
            return Err(MalformedCommand);
        }
        let txn = command.txn().ok_or(MalformedCommand)?;
        let timeout = command.argument(1).and_then(|word| word.parse().ok()).ok_or(MalformedCommand)?;
        Ok(CallRequest { txn, timeout, body: &command.body })
    }
}

/// A call without a reply.
struct OpenCall {
    txn: u64,
    caller: Caller,
}

/// The simulated dependency, shared by all nodes.
pub struct Dependency {
    context: Rc<PlayContext>,
    settings: DependencySettings,
    model: RefCell<DependencyModel>,
    /// Open calls, by their ids in the model.
    calls: RefCell<HashMap<u64, OpenCall>>,
    next_call: Cell<u64>,
    rng: RefCell<ChaCha8Rng>,
    /// Signals that the time of the next event may have changed.
    changed: Notify,
}

impl Dependency {
    /// Creates the dependency of a scenario.
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

    /// Sets the fraction of the slots that may be used.
    pub fn set_capacity_factor(&self, factor: f64) {
        self.model.borrow_mut().set_capacity_factor(factor);
        self.changed.notify_one();
    }

    /// Advances the model in real time until the end of the play.
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
        // No caller waits for a call that was given up.
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

    /// Executes a command that came on the connection of `caller`, and adds a started call to `own_calls`.
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

    /// Gives up the call of a node for a transaction, if there is one.
    fn give_up(&self, node: usize, txn: u64) {
        let is_the_call = |call: &OpenCall| call.caller.node == node && call.txn == txn;
        let calls = self.calls.borrow();
        let numbers: Vec<u64> =
            calls.iter().filter(|(_, call)| is_the_call(call)).map(|(number, _)| *number).collect();
        drop(calls);
        for number in numbers {
            self.calls.borrow_mut().remove(&number);
            self.model.borrow_mut().cancel(number);
        }
    }

    /// Starts a call and returns its id in the model; none if the call is rejected at once.
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
