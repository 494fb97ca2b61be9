//! The plain node: it reads attempts, queues and runs them, and answers.

use std::collections::{HashMap, VecDeque};

use super::event_queue::ScheduledEvent;
use super::Prediction;
use crate::history::{Event, Response};
use crate::model::dependency::CallEnd;
use crate::model::frontend::AttemptOutcome;
use crate::model::interpreter::{InterpreterEvent, InterpreterModel, RunRequest};
use crate::model::Ms;
use crate::schedule::call_time;

/// Runs at a time, for each core.
const RUNS_PER_CORE: f64 = 1.25;
/// Attempts that may be queued, for each core.
const QUEUE_PER_CORE: usize = 6;
/// How long a frontend is asked to stay away with a rejection.
const RETRY_AFTER: Ms = 250.0;
/// A node whose interpreter died is restarted after this.
const RESTART_DELAY: Ms = 2000.0;

/// What is known of an idempotency key at a node.
#[derive(Clone)]
pub(super) enum KeyState {
    /// It runs; these attempts wait for the result as well.
    Running(Vec<u64>),
    /// It has run, with this result.
    Done(String),
}

/// A node.
pub(super) struct Node {
    pub(super) vm: InterpreterModel,
    pub(super) is_up: bool,
    pub(super) is_paused: bool,
    /// Attempts that wait for a core.
    pub(super) queue: VecDeque<u64>,
    pub(super) keys: HashMap<usize, KeyState>,
}

impl Node {
    /// A node that is up.
    pub(super) fn new(vm: InterpreterModel) -> Node {
        Node { vm, is_up: true, is_paused: false, queue: VecDeque::new(), keys: HashMap::new() }
    }
}

/// An attempt at a node.
pub(super) struct Attempt {
    pub(super) request: usize,
    pub(super) node: usize,
    pub(super) deadline: Ms,
    /// Whether its caller still waits.
    pub(super) is_open: bool,
    pub(super) is_read: bool,
}

impl Prediction<'_> {
    /// An attempt comes to a node.
    pub(super) fn arrive(&mut self, request: usize, node: usize) {
        if !self.nodes[node].is_up {
            return self.attempt_over(request, node, AttemptOutcome::ConnectionLost);
        }
        let id = self.next_attempt;
        self.next_attempt += 1;
        let sent = &self.schedule.requests[request];
        let deadline = sent.at + self.scenario.classes[sent.class].deadline_ms as f64;
        let attempt = Attempt { request, node, deadline, is_open: true, is_read: false };
        self.attempts.insert(id, attempt);
        self.queue.schedule(deadline, ScheduledEvent::AttemptTimeout(id));
        let happened = self.nodes[node].vm.start_reading(self.now, id, self.scenario.fleet.read_ms);
        self.take_in(node, happened);
    }

    /// The caller of an attempt stops waiting.
    pub(super) fn time_out(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get_mut(&id).filter(|attempt| attempt.is_open) else { return };
        if attempt.is_read {
            return self.answer(id, Response::Failed, AttemptOutcome::Failed);
        }
        attempt.is_open = false;
        let (request, node) = (attempt.request, attempt.node);
        let happened = self.nodes[node].vm.cancel_reading(self.now, id);
        self.attempt_over(request, node, AttemptOutcome::TimedOut);
        self.take_in(node, happened);
    }

    /// An attempt was read: it is answered, joins a run of its key, is queued or rejected.
    fn read(&mut self, id: u64) {
        let Some(attempt) = self.attempts.get_mut(&id).filter(|attempt| attempt.is_open) else { return };
        attempt.is_read = true;
        let (request, node, deadline) = (attempt.request, attempt.node, attempt.deadline);
        let sent = &self.schedule.requests[request];
        let (key, memory_kb, frontend) = (sent.repeats.unwrap_or(request), sent.memory_kb, sent.frontend);
        let is_keyed = self.scenario.classes[sent.class].idempotency_key;
        self.note(Event::AttemptWritten { attempt: id, request, node, frontend, deadline });
        self.nodes[node].vm.admit_request(self.now, id, memory_kb);
        let known = if is_keyed { self.nodes[node].keys.get_mut(&key) } else { None };
        match known {
            Some(KeyState::Done(result)) => {
                let result = result.clone();
                let poorer = result.ends_with(" poorer");
                self.answer(id, Response::Served(result), AttemptOutcome::Served { degraded: poorer });
            }
            Some(KeyState::Running(waiting)) => waiting.push(id),
            None => self.enqueue(id, node, is_keyed.then_some(key)),
        }
        self.start(node);
    }

    /// Queues an attempt, or rejects it where the queue is full.
    fn enqueue(&mut self, id: u64, node: usize, key: Option<usize>) {
        let capacity = QUEUE_PER_CORE * self.scenario.fleet.cores as usize;
        let place = &mut self.nodes[node];
        if place.queue.len() >= capacity {
            let rejected = Response::Rejected { retry_after: Some(RETRY_AFTER), give_up: false };
            let answer = AttemptOutcome::Rejected { retry_after: Some(RETRY_AFTER), give_up: false };
            return self.answer(id, rejected, answer);
        }
        if let Some(key) = key {
            place.keys.insert(key, KeyState::Running(Vec::new()));
        }
        place.queue.push_back(id);
    }

    /// Starts queued attempts as long as there is capacity on the cores.
    fn start(&mut self, node: usize) {
        while self.has_capacity(node) {
            let Some(id) = self.nodes[node].queue.pop_front() else { return };
            let Some(attempt) = self.attempts.get(&id).filter(|attempt| attempt.is_open) else { continue };
            let sent = &self.schedule.requests[attempt.request];
            let work = RunRequest {
                attempt: id,
                work: sent.work,
                calls_dependency: self.scenario.classes[sent.class].calls_dependency,
            };
            self.note(Event::RunStarted { attempt: id, node });
            let happened = self.nodes[node].vm.start_run(self.now, work);
            self.take_in(node, happened);
        }
    }

    fn has_capacity(&self, node: usize) -> bool {
        let most = (f64::from(self.scenario.fleet.cores) * RUNS_PER_CORE).ceil();
        let node = &self.nodes[node];
        node.is_up && !node.is_paused && node.vm.gauges(self.now).runnable < most
    }

    /// Takes in what happened at the interpreter of a node.
    pub(super) fn take_in(&mut self, node: usize, happened: Vec<InterpreterEvent>) {
        for what in happened {
            match what {
                InterpreterEvent::RequestRead(id) => self.read(id),
                InterpreterEvent::Completed(id) => self.run_over(node, id, Some(format!("job {id:016x}"))),
                InterpreterEvent::Aborted(id) => self.run_over(node, id, None),
                InterpreterEvent::CallStarted(id) => self.call(node, id),
                InterpreterEvent::Died(why) => {
                    self.note(Event::InterpreterDied { node, cause: why.into() });
                    self.take_down(node, Some(RESTART_DELAY));
                }
            }
        }
        if self.nodes[node].is_up {
            self.start(node);
        }
    }

    /// A run is over: its attempt is answered, and all that joined it.
    fn run_over(&mut self, node: usize, id: u64, result: Option<String>) {
        self.note(Event::RunEnded { attempt: id, node, result: result.clone() });
        let Some(attempt) = self.attempts.get(&id) else { return };
        let request = attempt.request;
        let key = self.schedule.requests[request].repeats.unwrap_or(request);
        let joined = self.finish_key(node, key, result.as_ref());
        for id in joined.into_iter().chain([id]) {
            match &result {
                Some(result) => {
                    self.answer(
                        id,
                        Response::Served(result.clone()),
                        AttemptOutcome::Served { degraded: false },
                    );
                }
                None => self.answer(id, Response::Failed, AttemptOutcome::Failed),
            }
        }
    }

    /// Keeps the result of a key's run, if there is one, and returns the attempts that joined the run.
    fn finish_key(&mut self, node: usize, key: usize, result: Option<&String>) -> Vec<u64> {
        let keys = &mut self.nodes[node].keys;
        match keys.remove(&key) {
            Some(KeyState::Running(joined)) => {
                if let Some(result) = result {
                    keys.insert(key, KeyState::Done(result.clone()));
                }
                joined
            }
            Some(done) => {
                keys.insert(key, done);
                Vec::new()
            }
            None => Vec::new(),
        }
    }

    /// A run calls the dependency.
    fn call(&mut self, node: usize, id: u64) {
        let Some(deadline) = self.attempts.get(&id).map(|attempt| attempt.deadline) else { return };
        let Some(shape) = &self.scenario.dependency else { return };
        let time = call_time(&mut self.rng, shape.work_ms, shape.cv);
        let now = self.now;
        if self.dependency.as_mut().is_some_and(|dependency| dependency.call(now, id, time, deadline)) {
            self.note(Event::DependencyCalled { attempt: id, node });
        } else {
            self.call_over(CallEnd::TimedOut(id));
        }
    }

    /// A call is over; where it failed, the run goes on without it or the request fails.
    pub(super) fn call_over(&mut self, end: CallEnd) {
        let (id, is_done) = match end {
            CallEnd::Completed(id) => (id, true),
            CallEnd::TimedOut(id) => (id, false),
        };
        let Some(attempt) = self.attempts.get(&id) else { return };
        let node = attempt.node;
        let class = &self.scenario.classes[self.schedule.requests[attempt.request].class];
        if !is_done && class.skip_weight <= 0.0 {
            self.answer(id, Response::Failed, AttemptOutcome::Failed);
        }
        let happened = self.nodes[node].vm.resume_run(self.now, id);
        self.take_in(node, happened);
    }

    /// Answers an attempt whose caller still waits.
    fn answer(&mut self, id: u64, kind: Response, answer: AttemptOutcome) {
        let Some(attempt) = self.attempts.get_mut(&id).filter(|attempt| attempt.is_open) else { return };
        attempt.is_open = false;
        let (request, node) = (attempt.request, attempt.node);
        self.note(Event::AttemptAnswered { attempt: id, response: kind });
        let happened = self.nodes[node].vm.release_request(self.now, id);
        self.attempt_over(request, node, answer);
        self.take_in(node, happened);
    }
}
