//! The interpreter of a node: it runs and pauses requests as its node commands, notifies the node of each outcome, and keeps
//! its notices over broken links.

mod link;

use std::cell::RefCell;
use std::collections::{HashMap, HashSet, VecDeque};
use std::rc::Rc;

use tokio::sync::{oneshot, watch, Notify};

use crate::history::Event;
use crate::model::interpreter::{InterpreterEvent, InterpreterModel, InterpreterSpec};
use crate::model::Ms;
use crate::play_context::PlayContext;
use crate::scenario::NodeEvent;
use crate::wire;

/// Notices that are kept for links to come.
const RETAINED_RUNS: usize = 4000;

struct State {
    vm: InterpreterModel,
    /// The incarnation of the node that it belongs to.
    incarnation: u64,
    started: Ms,
    notices: VecDeque<(u64, String)>,
    last: u64,
    began: HashMap<u64, Ms>,
    /// Replies of the dependency, until they are handed on.
    replies: HashMap<u64, String>,
    /// Runs that go on without their call.
    poorer: HashSet<u64>,
    /// Requests that are still to be read.
    unread: HashMap<u64, oneshot::Sender<()>>,
    up: bool,
}

impl State {
    /// One that starts now and has run nothing.
    fn fresh(vm: InterpreterModel, incarnation: u64, started: Ms) -> State {
        State {
            vm,
            incarnation,
            started,
            notices: VecDeque::new(),
            last: 0,
            began: HashMap::new(),
            replies: HashMap::new(),
            poorer: HashSet::new(),
            unread: HashMap::new(),
            up: true,
        }
    }
}

/// One node's interpreter.
pub struct Interpreter {
    context: Rc<PlayContext>,
    node: usize,
    state: RefCell<State>,
    /// Something has changed in what will happen next.
    poke: Notify,
    /// The number of the last notice.
    last_command: watch::Sender<u64>,
    /// The number of the current link; older ones have ended.
    link: watch::Sender<u64>,
    /// What it has died of; its node goes with it.
    fell: RefCell<Option<&'static str>>,
}

impl Interpreter {
    /// One that is up, and has been for long unless it is cold.
    pub fn new(context: Rc<PlayContext>, node: usize, cold: bool) -> Rc<Interpreter> {
        let state = State::fresh(Interpreter::make(&context, node, cold), 1, context.now());
        Rc::new(Interpreter {
            context,
            node,
            state: RefCell::new(state),
            poke: Notify::new(),
            last_command: watch::channel(0).0,
            link: watch::channel(0).0,
            fell: RefCell::new(None),
        })
    }

    fn make(context: &PlayContext, node: usize, cold: bool) -> InterpreterModel {
        InterpreterModel::new(
            InterpreterSpec::of(&context.scenario.fleet, context.schedule.speeds[node]),
            context.now(),
            cold,
        )
    }

    /// It ends, with its node; all that it ran is gone.
    pub fn end(&self) {
        {
            let mut state = self.state.borrow_mut();
            state.up = false;
            state.unread.clear();
            state.vm = Interpreter::make(&self.context, self.node, true);
        }
        self.link.send_modify(|link| *link += 1);
    }

    /// It starts with a new incarnation of its node, cold.
    pub fn start(&self) {
        {
            let mut state = self.state.borrow_mut();
            let incarnation = state.incarnation + 1;
            *state = State::fresh(
                Interpreter::make(&self.context, self.node, true),
                incarnation,
                self.context.now(),
            );
        }
        self.fell.borrow_mut().take();
        self.last_command.send_replace(0);
        self.poke.notify_one();
    }

    /// Whether it is cold.
    pub fn cold(&self) -> bool {
        self.state.borrow().vm.is_cold()
    }

    /// What it has died of, told once.
    pub fn fallen(&self) -> Option<&'static str> {
        self.fell.borrow_mut().take()
    }

    /// Pauses it, or resumes it.
    pub fn set_paused(&self, paused: bool) {
        self.change(|vm, now| vm.set_paused(now, paused));
    }

    /// Has a part of its speed from now on.
    pub fn slow(&self, factor: f64) {
        self.change(|vm, now| {
            let happened = vm.advance(now);
            vm.speed_factor = factor;
            happened
        });
    }

    /// A request has come to the node's machine: reading it takes the cores, and the node has it only then. What is
    /// returned tells when; it never does if the machine ends before.
    pub fn reads(&self, id: u64) -> oneshot::Receiver<()> {
        let (tell, read) = oneshot::channel();
        let work = self.context.scenario.fleet.read_ms;
        self.state.borrow_mut().unread.insert(id, tell);
        self.change(|vm, now| vm.start_reading(now, id, work));
        read
    }

    /// Nobody waits any more for a request that is still to be read.
    pub fn unread(&self, id: u64) {
        self.state.borrow_mut().unread.remove(&id);
        self.change(|vm, now| vm.cancel_reading(now, id));
    }

    /// Whether so much lies unread that no more connections are taken.
    pub fn is_overloaded(&self) -> bool {
        self.state.borrow().vm.is_overloaded()
    }

    /// A request was written to the node.
    pub fn holds(&self, id: u64, kb: f64) {
        self.change(|vm, now| {
            vm.admit_request(now, id, kb);
            Vec::new()
        });
    }

    /// A frontend opened a connection.
    pub fn connected(&self) {
        let work = self.context.scenario.fleet.connect_ms;
        self.change(|vm, now| vm.accept_connection(now, work));
    }

    /// A request is over for its caller.
    pub fn over(&self, id: u64) {
        self.change(|vm, now| vm.release_request(now, id));
    }

    /// Whether a run waits for its call with this body.
    pub fn waits(&self, id: u64, body: &[u8]) -> bool {
        let state = self.state.borrow();
        state.vm.is_at_call(id) && body == Interpreter::call_body(id, state.incarnation).as_bytes()
    }

    /// The dependency has replied; the node has to hand on just that.
    pub fn replied(&self, id: u64, reply: &str) {
        self.state.borrow_mut().replies.insert(id, reply.into());
    }

    fn call_body(id: u64, incarnation: u64) -> String {
        format!("call of {id:016x} in life {incarnation}")
    }

    fn change(&self, change: impl FnOnce(&mut InterpreterModel, Ms) -> Vec<InterpreterEvent>) {
        let happened = change(&mut self.state.borrow_mut().vm, self.context.now());
        self.handle(happened);
        self.poke.notify_one();
    }

    /// Lets its runs go on, for as long as the play.
    pub async fn work(self: Rc<Self>) {
        loop {
            let next = self.state.borrow().vm.next().unwrap_or(f64::INFINITY);
            tokio::select! {
                () = self.context.clock.until(next) => {}
                () = self.poke.notified() => {}
            }
            let happened = self.state.borrow_mut().vm.advance(self.context.now());
            self.handle(happened);
        }
    }

    fn handle(&self, happened: Vec<InterpreterEvent>) {
        for what in happened {
            match what {
                InterpreterEvent::RequestRead(id) => {
                    if let Some(tell) = self.state.borrow_mut().unread.remove(&id) {
                        // Its frontend may have given up.
                        let _ = tell.send(());
                    }
                }
                InterpreterEvent::Completed(id) => {
                    let result = {
                        let state = self.state.borrow();
                        let poorer = if state.poorer.contains(&id) { " poorer" } else { "" };
                        format!("job {id:016x} of n{} in life {}{poorer}", self.node + 1, state.incarnation)
                    };
                    self.ended(id, "done", Some(result));
                }
                InterpreterEvent::Aborted(id) => self.ended(id, "aborted", None),
                InterpreterEvent::CallStarted(id) => {
                    let incarnation = self.state.borrow().incarnation;
                    let body = Interpreter::call_body(id, incarnation);
                    self.notify(|notice| wire::await_call(notice, &format!("{id:016x}"), &body));
                }
                InterpreterEvent::Died(why) => {
                    self.context.note(Event::InterpreterDied { node: self.node, cause: why.into() });
                    *self.fell.borrow_mut() = Some(why);
                }
            }
        }
    }

    fn ended(&self, id: u64, end: &str, result: Option<String>) {
        let took = {
            let mut state = self.state.borrow_mut();
            state.poorer.remove(&id);
            state.replies.remove(&id);
            state.began.remove(&id).map_or(0.0, |began| self.context.now() - began)
        };
        self.context.note(Event::RunEnded { attempt: id, node: self.node, result: result.clone() });
        self.context.happened(self.node, NodeEvent::RunEnded);
        self.notify(|notice| {
            wire::value(
                notice,
                &format!("{id:016x}"),
                end,
                took as u64,
                result.as_deref().unwrap_or_default(),
            )
        });
    }

    fn notify(&self, text: impl FnOnce(u64) -> String) {
        let last = {
            let mut state = self.state.borrow_mut();
            state.last += 1;
            let notice = (state.last, text(state.last));
            state.notices.push_back(notice);
            if state.notices.len() > RETAINED_RUNS {
                state.notices.pop_front();
            }
            state.last
        };
        self.last_command.send_replace(last);
    }
}
