//! The simple node of a prediction: it reads attempts, queues and runs them, and answers.

use std::collections::{HashMap, VecDeque};

use super::event_queue::ScheduledEvent;
use super::Prediction;
use crate::history::{Event, Response};
use crate::model::dependency::CallEnd;
use crate::model::frontend::AttemptOutcome;
use crate::model::interpreter::{InterpreterEvent, InterpreterModel, RunRequest};
use crate::model::Ms;
use crate::schedule::{call_time, ClientRequest};

/// Maximum number of concurrent runs, for each core.
const RUNS_PER_CORE: f64 = 1.25;
/// Maximum number of queued attempts, for each core.
const QUEUE_PER_CORE: usize = 6;
/// Time for which a rejection asks the frontend to avoid the node (Retry-After).
const RETRY_AFTER: Ms = 250.0;
/// Delay before the restart of a node whose interpreter died.
const RESTART_DELAY: Ms = 2000.0;

/// State of an idempotency key at a node.
#[derive(Clone)]
pub(super) enum KeyState {
    /// A request with the key is queued or runs; holds the ids of the attempts that wait for the same result.
    Running(Vec<u64>),
    /// A request with the key has run; holds its result.
    Done(String),
}

/// The state of a node.
pub(super) struct Node {
    pub(super) interpreter: InterpreterModel,
    pub(super) is_up: bool,
    pub(super) is_paused: bool,
    /// Ids of the attempts that wait for a core.
    pub(super) queue: VecDeque<u64>,
    /// Idempotency keys, as positions of the original requests.
    pub(super) keys: HashMap<usize, KeyState>,
}

impl Node {
    /// Creates a node that is up.
    pub(super) fn new(interpreter: InterpreterModel) -> Node {
        Node { interpreter, is_up: true, is_paused: false, queue: VecDeque::new(), keys: HashMap::new() }
    }
}

/// An attempt that was sent to a node.
pub(super) struct Attempt {
    pub(super) request: usize,
    pub(super) node: usize,
    pub(super) deadline: Ms,
    /// Whether its caller still waits for the outcome.
    pub(super) is_open: bool,
    pub(super) is_read: bool,
}

impl Prediction<'_> {
    /// Handles the arrival of an attempt at a node, which fails at once if the node is down.
    pub(super) fn arrive(&mut self, request: usize, node: usize) {
        if !self.nodes[node].is_up {
            return self.end_attempt(request, node, AttemptOutcome::ConnectionLost);
        }
        let id = self.next_attempt;
        self.next_attempt += 1;
        let sent = &self.schedule.requests[request];
        let deadline = sent.at + self.scenario.classes[sent.class].deadline_ms as f64;
        let attempt = Attempt { request, node, deadline, is_open: true, is_read: false };
        self.attempts.insert(id, attempt);
        self.queue.schedule(deadline, ScheduledEvent::AttemptTimeout(id));
        let events = self.nodes[node].interpreter.start_reading(self.now, id, self.scenario.fleet.read_ms);
        self.handle_interpreter_events(node, events);
    }

    /// Returns the attempt if its caller still waits.
    fn open_attempt(&mut self, id: u64) -> Option<&mut Attempt> {
        self.attempts.get_mut(&id).filter(|attempt| attempt.is_open)
    }

    /// Handles the deadline of an attempt, at which its caller stops waiting.
    pub(super) fn time_out(&mut self, id: u64) {
        let Some(attempt) = self.open_attempt(id) else { return };
        if attempt.is_read {
            return self.answer(id, Response::Failed);
        }
        attempt.is_open = false;
        let Attempt { request, node, .. } = *attempt;
        let events = self.nodes[node].interpreter.cancel_reading(self.now, id);
        self.end_attempt(request, node, AttemptOutcome::TimedOut);
        self.handle_interpreter_events(node, events);
    }

    /// Handles an attempt that was read: it is answered, waits for a run of its key, is queued or is
    /// rejected.
    fn on_read(&mut self, id: u64) {
        let Some(attempt) = self.open_attempt(id) else { return };
        attempt.is_read = true;
        let Attempt { request, node, deadline, .. } = *attempt;
        let ClientRequest { class, frontend, memory_kb, repeats, .. } = self.schedule.requests[request];
        self.note(Event::AttemptWritten { attempt: id, request, node, frontend, deadline });
        self.nodes[node].interpreter.register_request(self.now, id, memory_kb);
        let has_key = self.scenario.classes[class].idempotency_key;
        let key = has_key.then_some(repeats.unwrap_or(request));
        match key.and_then(|key| self.nodes[node].keys.get_mut(&key)) {
            Some(KeyState::Done(result)) => {
                let response = Response::Served(result.clone());
                self.answer(id, response);
            }
            Some(KeyState::Running(joined)) => joined.push(id),
            None => self.enqueue(id, node, key),
        }
        self.start_queued(node);
    }

    /// Queues an attempt, or rejects it if the queue is full.
    fn enqueue(&mut self, id: u64, node: usize, key: Option<usize>) {
        let capacity = QUEUE_PER_CORE * self.scenario.fleet.cores as usize;
        let state = &mut self.nodes[node];
        if state.queue.len() >= capacity {
            let rejected = Response::Rejected { retry_after: Some(RETRY_AFTER), give_up: false };
            return self.answer(id, rejected);
        }
        if let Some(key) = key {
            state.keys.insert(key, KeyState::Running(Vec::new()));
        }
        state.queue.push_back(id);
    }

    /// Starts queued attempts while there is capacity on the cores, and skips those whose caller has stopped
    /// waiting.
    fn start_queued(&mut self, node: usize) {
        while self.has_capacity(node) {
            let Some(id) = self.nodes[node].queue.pop_front() else { return };
            let Some(request) = self.open_attempt(id).map(|attempt| attempt.request) else { continue };
            let sent = &self.schedule.requests[request];
            let calls_dependency = self.scenario.classes[sent.class].calls_dependency;
            let run = RunRequest { attempt: id, work: sent.work, calls_dependency };
            self.note(Event::RunStarted { attempt: id, node });
            let events = self.nodes[node].interpreter.start_run(self.now, run);
            self.handle_interpreter_events(node, events);
        }
    }

    fn has_capacity(&self, node: usize) -> bool {
        let max_runs = (f64::from(self.scenario.fleet.cores) * RUNS_PER_CORE).ceil();
        let state = &self.nodes[node];
        state.is_up && !state.is_paused && state.interpreter.gauges(self.now).runnable < max_runs
    }

    /// Handles the events of the interpreter of a node.
    pub(super) fn handle_interpreter_events(&mut self, node: usize, events: Vec<InterpreterEvent>) {
        for event in events {
            match event {
                InterpreterEvent::RequestRead(id) => self.on_read(id),
                InterpreterEvent::Completed(id) => self.end_run(node, id, Some(format!("job {id:016x}"))),
                InterpreterEvent::Aborted(id) => self.end_run(node, id, None),
                InterpreterEvent::CallStarted(id) => self.call_dependency(node, id),
                InterpreterEvent::Died(cause) => {
                    self.note(Event::InterpreterDied { node, cause: cause.into() });
                    self.take_down(node, Some(RESTART_DELAY));
                }
            }
        }
        if self.nodes[node].is_up {
            self.start_queued(node);
        }
    }

    /// Handles the end of a run: answers its attempt, and all that waited for the result.
    fn end_run(&mut self, node: usize, id: u64, result: Option<String>) {
        self.note(Event::RunEnded { attempt: id, node, result: result.clone() });
        let Some(attempt) = self.attempts.get(&id) else { return };
        let request = attempt.request;
        let key = self.schedule.requests[request].repeats.unwrap_or(request);
        let joined = self.finish_key(node, key, result.as_ref());
        let response = result.map_or(Response::Failed, Response::Served);
        for id in joined.into_iter().chain([id]) {
            self.answer(id, response.clone());
        }
    }

    /// Stores the result of the run of a key, if there is one, and returns the attempts that waited for it.
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

    /// Starts the call of a run; a call that the dependency rejects counts as timed out.
    fn call_dependency(&mut self, node: usize, id: u64) {
        let Some(deadline) = self.attempts.get(&id).map(|attempt| attempt.deadline) else { return };
        let Some(settings) = &self.scenario.dependency else { return };
        let Some(dependency) = &mut self.dependency else { return };
        let time = call_time(&mut self.rng, settings.work_ms, settings.cv);
        if dependency.try_call(self.now, id, time, deadline) {
            self.note(Event::DependencyCalled { attempt: id, node });
        } else {
            self.end_call(CallEnd::TimedOut(id));
        }
    }

    /// Handles the end of a call. The run continues, unless the call failed and the class gives no weight to
    /// results without it: then the request fails.
    pub(super) fn end_call(&mut self, end: CallEnd) {
        let (CallEnd::Completed(id) | CallEnd::TimedOut(id)) = end;
        let Some(attempt) = self.attempts.get(&id) else { return };
        let node = attempt.node;
        let class = &self.scenario.classes[self.schedule.requests[attempt.request].class];
        if matches!(end, CallEnd::TimedOut(_)) && class.skip_weight <= 0.0 {
            self.answer(id, Response::Failed);
        }
        let events = self.nodes[node].interpreter.resume_run(self.now, id);
        self.handle_interpreter_events(node, events);
    }

    /// Answers an attempt if its caller still waits.
    fn answer(&mut self, id: u64, response: Response) {
        let Some(attempt) = self.open_attempt(id) else { return };
        attempt.is_open = false;
        let Attempt { request, node, .. } = *attempt;
        let outcome = response.outcome();
        self.note(Event::AttemptAnswered { attempt: id, response });
        let events = self.nodes[node].interpreter.close_request(self.now, id);
        self.end_attempt(request, node, outcome);
        self.handle_interpreter_events(node, events);
    }
}
