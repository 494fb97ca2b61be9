//! The interpreter of a node: it runs and pauses requests as its node commands, notifies the node of each outcome, and keeps
//! its notices over broken links.

mod link;

use std::cell::RefCell;
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;

use tokio::sync::oneshot::{self, Receiver, Sender};
use tokio::sync::{watch, Notify};

use crate::history::{Event, DEGRADED_SUFFIX};
use crate::model::interpreter::{InterpreterEvent, InterpreterModel, InterpreterSpec};
use crate::model::Ms;
use crate::play_context::PlayContext;
use crate::scenario::NodeEvent;
use crate::wire;

/// Notices that are kept for links to come.
const RETAINED_NOTICES: usize = 4000;

/// A notice to the node.
struct Notice {
    number: u64,
    text: String,
}

/// How a run ended.
enum RunEnd {
    Done(String),
    Aborted,
}

struct State {
    model: InterpreterModel,
    /// The incarnation of the node that it belongs to.
    incarnation: u64,
    started_at: Ms,
    notices: VecDeque<Notice>,
    last_notice: u64,
    /// When each run began.
    run_starts: HashMap<u64, Ms>,
    /// Replies of the dependency, until the node hands them on.
    replies: HashMap<u64, String>,
    /// Runs that go on without their call.
    without_call: HashSet<u64>,
    /// Frontends that wait until their request is read.
    unread: HashMap<u64, Sender<()>>,
    is_up: bool,
}

impl State {
    /// The state of an interpreter that starts now and has run nothing.
    fn new(model: InterpreterModel, incarnation: u64, started_at: Ms) -> State {
        State {
            model,
            incarnation,
            started_at,
            notices: VecDeque::new(),
            last_notice: 0,
            run_starts: HashMap::new(),
            replies: HashMap::new(),
            without_call: HashSet::new(),
            unread: HashMap::new(),
            is_up: true,
        }
    }
}

/// One node's interpreter.
pub struct Interpreter {
    context: Rc<PlayContext>,
    node: usize,
    state: RefCell<State>,
    /// Something has changed in what will happen next.
    changed: Notify,
    /// The number of the last notice.
    last_notice: watch::Sender<u64>,
    /// The number of the current link; older ones have ended.
    link: watch::Sender<u64>,
    /// Why it has died; its node is restarted with it.
    cause_of_death: RefCell<Option<&'static str>>,
}

impl Interpreter {
    /// An interpreter that is up, and has been for long unless it is cold.
    pub fn new(context: Rc<PlayContext>, node: usize, cold: bool) -> Rc<Interpreter> {
        let state = State::new(Interpreter::model(&context, node, cold), 1, context.now());
        Rc::new(Interpreter {
            context,
            node,
            state: RefCell::new(state),
            changed: Notify::new(),
            last_notice: watch::channel(0).0,
            link: watch::channel(0).0,
            cause_of_death: RefCell::new(None),
        })
    }

    fn model(context: &PlayContext, node: usize, cold: bool) -> InterpreterModel {
        let spec = InterpreterSpec::of(&context.scenario.fleet, context.schedule.speeds[node]);
        InterpreterModel::new(spec, context.now(), cold)
    }

    /// Stops with its node; all that it ran is lost.
    pub fn stop(&self) {
        let model = Interpreter::model(&self.context, self.node, true);
        let mut state = self.state.borrow_mut();
        state.is_up = false;
        state.unread.clear();
        state.model = model;
        drop(state);
        self.link.send_modify(|link| *link += 1);
    }

    /// Starts with a new incarnation of its node, cold.
    pub fn start(&self) {
        let model = Interpreter::model(&self.context, self.node, true);
        let incarnation = self.state.borrow().incarnation + 1;
        self.state.replace(State::new(model, incarnation, self.context.now()));
        self.cause_of_death.take();
        self.last_notice.send_replace(0);
        self.changed.notify_one();
    }

    /// Whether it is cold.
    pub fn is_cold(&self) -> bool {
        self.state.borrow().model.is_cold()
    }

    /// Why it has died, returned once.
    pub fn take_cause_of_death(&self) -> Option<&'static str> {
        self.cause_of_death.take()
    }

    /// Suspends the whole process, or lets it go on.
    pub fn set_suspended(&self, suspended: bool) {
        self.update(|model, now| model.set_suspended(now, suspended));
    }

    /// Sets the fraction of its speed that it has from now on.
    pub fn set_speed_factor(&self, factor: f64) {
        self.update(|model, now| {
            let events = model.advance(now);
            model.speed_factor = factor;
            events
        });
    }

    /// Begins to read a request, which takes the cores; the node has it only once it is read. The receiver gets a
    /// message then; its sender is dropped if the interpreter stops before.
    pub fn read_request(&self, txn: u64) -> Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let work = self.context.scenario.fleet.read_ms;
        self.state.borrow_mut().unread.insert(txn, sender);
        self.update(|model, now| model.start_reading(now, txn, work));
        receiver
    }

    /// Gives up reading a request that nobody waits for any more.
    pub fn cancel_read(&self, txn: u64) {
        self.state.borrow_mut().unread.remove(&txn);
        self.update(|model, now| model.cancel_reading(now, txn));
    }

    /// Whether so much is queued to be read that no more connections are accepted.
    pub fn is_read_queue_full(&self) -> bool {
        self.state.borrow().model.is_read_queue_full()
    }

    /// Holds a request that was written to the node.
    pub fn hold_request(&self, txn: u64, memory_kb: f64) {
        self.update(|model, now| {
            model.register_request(now, txn, memory_kb);
            Vec::new()
        });
    }

    /// Does the work of a connection that a frontend has opened.
    pub fn accept_connection(&self) {
        let work = self.context.scenario.fleet.connect_ms;
        self.update(|model, now| model.accept_connection(now, work));
    }

    /// Closes a request whose caller no longer waits.
    pub fn close_request(&self, txn: u64) {
        self.update(|model, now| model.close_request(now, txn));
    }

    /// Whether a run waits for its call with this body.
    pub fn expects_call(&self, txn: u64, body: &[u8]) -> bool {
        let state = self.state.borrow();
        state.model.is_at_call(txn) && body == Interpreter::call_body(txn, state.incarnation).as_bytes()
    }

    /// Records the dependency's reply; the node has to hand on just that.
    pub fn record_reply(&self, txn: u64, reply: &str) {
        self.state.borrow_mut().replies.insert(txn, reply.into());
    }

    fn call_body(txn: u64, incarnation: u64) -> String {
        format!("call of {txn:016x} in life {incarnation}")
    }

    /// Changes the model and handles what comes of it.
    fn update(&self, change: impl FnOnce(&mut InterpreterModel, Ms) -> Vec<InterpreterEvent>) {
        let events = change(&mut self.state.borrow_mut().model, self.context.now());
        self.handle(events);
        self.changed.notify_one();
    }

    /// Works on its runs, for as long as the play.
    pub async fn work(self: Rc<Self>) {
        loop {
            let next = self.state.borrow().model.next_event_at().unwrap_or(f64::INFINITY);
            tokio::select! {
                () = self.context.clock.until(next) => {}
                () = self.changed.notified() => {}
            }
            let events = self.state.borrow_mut().model.advance(self.context.now());
            self.handle(events);
        }
    }

    fn handle(&self, events: Vec<InterpreterEvent>) {
        for event in events {
            match event {
                InterpreterEvent::RequestRead(txn) => self.on_read(txn),
                InterpreterEvent::Completed(txn) => {
                    let result = self.result_of(txn);
                    self.on_run_ended(txn, RunEnd::Done(result));
                }
                InterpreterEvent::Aborted(txn) => self.on_run_ended(txn, RunEnd::Aborted),
                InterpreterEvent::CallStarted(txn) => {
                    let incarnation = self.state.borrow().incarnation;
                    let body = Interpreter::call_body(txn, incarnation);
                    self.notify(|notice| wire::await_call(notice, &format!("{txn:016x}"), &body));
                }
                InterpreterEvent::Died(cause) => {
                    self.context.note(Event::InterpreterDied { node: self.node, cause: cause.into() });
                    self.cause_of_death.replace(Some(cause));
                }
            }
        }
    }

    fn on_read(&self, txn: u64) {
        if let Some(sender) = self.state.borrow_mut().unread.remove(&txn) {
            // Its frontend may have given up.
            let _ = sender.send(());
        }
    }

    /// The result of a run, which no other run has.
    fn result_of(&self, txn: u64) -> String {
        let state = self.state.borrow();
        let suffix = if state.without_call.contains(&txn) { DEGRADED_SUFFIX } else { "" };
        format!("job {txn:016x} of n{} in life {}{suffix}", self.node + 1, state.incarnation)
    }

    fn on_run_ended(&self, txn: u64, end: RunEnd) {
        let duration = {
            let mut state = self.state.borrow_mut();
            state.without_call.remove(&txn);
            state.replies.remove(&txn);
            let started_at = state.run_starts.remove(&txn);
            started_at.map_or(0.0, |started_at| self.context.now() - started_at)
        };
        let (word, result) = match end {
            RunEnd::Done(result) => ("done", Some(result)),
            RunEnd::Aborted => ("aborted", None),
        };
        let body = result.clone().unwrap_or_default();
        self.context.note(Event::RunEnded { attempt: txn, node: self.node, result });
        self.context.record_event(self.node, NodeEvent::RunEnded);
        self.notify(|notice| wire::value(notice, &format!("{txn:016x}"), word, duration as u64, &body));
    }

    /// Adds a notice; the text is made with its number.
    fn notify(&self, text: impl FnOnce(u64) -> String) {
        let mut state = self.state.borrow_mut();
        let number = state.last_notice + 1;
        state.last_notice = number;
        state.notices.push_back(Notice { number, text: text(number) });
        if state.notices.len() > RETAINED_NOTICES {
            state.notices.pop_front();
        }
        drop(state);
        self.last_notice.send_replace(number);
    }
}
