//! The simulated interpreter of a node: it runs and pauses requests as the node commands, notifies the node
//! of each outcome, and retains its notices so that they survive a lost link.

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

/// Maximum number of notices that are retained for the next link.
const RETAINED_NOTICES: usize = 4000;

/// A numbered notice to the node.
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
    /// Incarnation of the node process that the interpreter belongs to.
    incarnation: u64,
    started_at: Ms,
    notices: VecDeque<Notice>,
    last_notice: u64,
    /// Start time of each open run.
    run_starts: HashMap<u64, Ms>,
    /// Replies of the dependency that the node has not forwarded yet.
    replies: HashMap<u64, String>,
    /// Runs that continue without their call.
    without_call: HashSet<u64>,
    /// Channels to the frontends that wait until their request is read.
    unread: HashMap<u64, Sender<()>>,
    is_up: bool,
}

impl State {
    /// Creates the state of an interpreter that starts now and has no runs.
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

/// The simulated interpreter of one node.
pub struct Interpreter {
    context: Rc<PlayContext>,
    node: usize,
    state: RefCell<State>,
    /// Signals that the time of the next event may have changed.
    changed: Notify,
    /// Number of the last notice; wakes the task that writes notices.
    last_notice: watch::Sender<u64>,
    /// Number of the current link; links with lower numbers must end.
    link: watch::Sender<u64>,
    /// Cause of death of the interpreter, until the harness has taken it to restart the node.
    cause_of_death: RefCell<Option<&'static str>>,
}

impl Interpreter {
    /// Creates an interpreter that is up. It is warm unless `cold` is set.
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

    /// Stops the interpreter together with its node; all runs are lost.
    pub fn stop(&self) {
        let model = Interpreter::model(&self.context, self.node, true);
        let mut state = self.state.borrow_mut();
        state.is_up = false;
        state.unread.clear();
        state.model = model;
        drop(state);
        self.link.send_modify(|link| *link += 1);
    }

    /// Starts the interpreter, cold, together with a new incarnation of its node.
    pub fn start(&self) {
        let model = Interpreter::model(&self.context, self.node, true);
        let incarnation = self.state.borrow().incarnation + 1;
        self.state.replace(State::new(model, incarnation, self.context.now()));
        self.cause_of_death.take();
        self.last_notice.send_replace(0);
        self.changed.notify_one();
    }

    /// Whether the interpreter was cold when it started.
    pub fn is_cold(&self) -> bool {
        self.state.borrow().model.is_cold()
    }

    /// The cause of death if the interpreter has died; each death is returned once.
    pub fn take_cause_of_death(&self) -> Option<&'static str> {
        self.cause_of_death.take()
    }

    /// Suspends or resumes the whole process.
    pub fn set_suspended(&self, suspended: bool) {
        self.update(|model, now| model.set_suspended(now, suspended));
    }

    /// Sets the fraction of the full speed that is available from now on.
    pub fn set_speed_factor(&self, factor: f64) {
        self.update(|model, now| {
            let events = model.advance(now);
            model.speed_factor = factor;
            events
        });
    }

    /// Starts to read a request, which takes time on the cores; the request is written to the node only after
    /// it is read. The receiver gets a message at that time; its sender is dropped if the interpreter stops
    /// before.
    pub fn read_request(&self, txn: u64) -> Receiver<()> {
        let (sender, receiver) = oneshot::channel();
        let work = self.context.scenario.fleet.read_ms;
        self.state.borrow_mut().unread.insert(txn, sender);
        self.update(|model, now| model.start_reading(now, txn, work));
        receiver
    }

    /// Cancels the reading of a request whose caller no longer waits.
    pub fn cancel_read(&self, txn: u64) {
        self.state.borrow_mut().unread.remove(&txn);
        self.update(|model, now| model.cancel_reading(now, txn));
    }

    /// Whether so many requests wait to be read that no more connections are accepted.
    pub fn is_read_queue_full(&self) -> bool {
        self.state.borrow().model.is_read_queue_full()
    }

    /// Registers a request that was written to the node, and the memory that it takes.
    pub fn hold_request(&self, txn: u64, memory_kb: f64) {
        self.update(|model, now| {
            model.register_request(now, txn, memory_kb);
            Vec::new()
        });
    }

    /// Takes up the work of accepting a connection that a frontend has opened.
    pub fn accept_connection(&self) {
        let work = self.context.scenario.fleet.connect_ms;
        self.update(|model, now| model.accept_connection(now, work));
    }

    /// Closes a request that was answered or whose caller no longer waits.
    pub fn close_request(&self, txn: u64) {
        self.update(|model, now| model.close_request(now, txn));
    }

    /// Whether a run waits for its call and `body` is the body of that call.
    pub fn expects_call(&self, txn: u64, body: &[u8]) -> bool {
        let state = self.state.borrow();
        state.model.is_at_call(txn) && body == Interpreter::call_body(txn, state.incarnation).as_bytes()
    }

    /// Records the reply of the dependency to a call, to check that the node forwards it unchanged.
    pub fn record_reply(&self, txn: u64, reply: &str) {
        self.state.borrow_mut().replies.insert(txn, reply.into());
    }

    fn call_body(txn: u64, incarnation: u64) -> String {
        format!("call of {txn:016x} in life {incarnation}")
    }

    /// Changes the model, handles the resulting events, and wakes the task that waits for the next event.
    fn update(&self, change: impl FnOnce(&mut InterpreterModel, Ms) -> Vec<InterpreterEvent>) {
        let events = change(&mut self.state.borrow_mut().model, self.context.now());
        self.handle(events);
        self.changed.notify_one();
    }

    /// Advances the model in real time until the end of the play.
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
            // The frontend may have stopped waiting.
            let _ = sender.send(());
        }
    }

    /// The result of a run; it is unique, so that the checker can tell which run made it.
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

    /// Adds a notice; `text` is called with its number.
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
