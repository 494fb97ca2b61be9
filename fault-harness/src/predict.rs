//! Predicts a play in virtual time, without sockets and without the real node process: the same models and
//! frontends, with a simple node in place of the real one, which runs slightly more requests than it has
//! cores and keeps a short queue. The history is checked and evaluated like that of a play. A prediction
//! shows what to expect of a fleet without overload: it does not model the decisions of the real node under
//! overload, and it leaves out faults on links.

mod clients;
mod event_queue;
mod faults;
mod server;

use std::collections::{BTreeMap, HashMap};

use rand_chacha::ChaCha8Rng;

use crate::history::{Event, History, Observation, RuleParameters};
use crate::model::dependency::Dependency;
use crate::model::frontend::Frontend;
use crate::model::interpreter::{InterpreterModel, InterpreterSpec};
use crate::model::registry::Registry;
use crate::model::{ms_of_seconds, Ms};
use crate::scenario::Scenario;
use crate::schedule::{generator, schedule, InjectionTime, RandomStream, Schedule};
use clients::OpenRequest;
use event_queue::{EventQueue, ScheduledEvent};
use server::{Attempt, Node};

/// Interval between the heartbeats of a node.
const HEARTBEAT_INTERVAL: Ms = 300.0;
/// Time of the first heartbeat of all nodes: long before the load, so that every frontend has them on its
/// list.
const FIRST_HEARTBEAT: Ms = -1e5;
/// Time for which the prediction continues after the longest deadline of the last requests.
const MARGIN_AFTER_DEADLINES: Ms = 1000.0;

/// The time of the next event of an interpreter, and the node of that interpreter.
#[derive(Clone, Copy)]
struct NextInterpreterEvent {
    at: Ms,
    node: usize,
}

/// A prediction in progress.
struct Prediction<'a> {
    scenario: &'a Scenario,
    schedule: Schedule,
    now: Ms,
    queue: EventQueue,
    nodes: Vec<Node>,
    frontends: Vec<Frontend>,
    open_requests: HashMap<usize, OpenRequest>,
    /// Node to which each request was first sent, by position of the request.
    first_nodes: HashMap<usize, usize>,
    attempts: BTreeMap<u64, Attempt>,
    next_attempt: u64,
    dependency: Option<Dependency>,
    rng: ChaCha8Rng,
    registry: Registry,
    observations: Vec<Observation>,
}

/// Predicts the play of a scenario and returns its history. The seed of the scenario is used if none is
/// given.
pub fn predict(scenario: &Scenario, seed: Option<u64>) -> History {
    let seed = seed.unwrap_or(scenario.seed);
    let mut prediction = Prediction::new(scenario, seed);
    prediction.send_heartbeats();
    prediction.now = 0.0;
    prediction.run();
    History { parameters: RuleParameters::of(scenario, seed), observations: prediction.observations }
}

impl<'a> Prediction<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let schedule = schedule(scenario, seed);
        let nodes = schedule.speeds.iter().map(|speed| {
            let spec = InterpreterSpec::of(&scenario.fleet, *speed);
            Node::new(InterpreterModel::new(spec, 0.0, scenario.fleet.cold))
        });
        let frontends = schedule.frontends.iter().enumerate().map(|(position, profile)| {
            let rng = generator(seed, RandomStream::Frontends, position as u64);
            Frontend::new(
                &scenario.frontends,
                profile.load_balancing,
                profile.honours_rejection_hints,
                scenario.fleet.nodes,
                rng,
            )
        });
        Prediction {
            nodes: nodes.collect(),
            frontends: frontends.collect(),
            scenario,
            now: FIRST_HEARTBEAT,
            queue: EventQueue::default(),
            open_requests: HashMap::new(),
            first_nodes: HashMap::new(),
            attempts: BTreeMap::new(),
            next_attempt: 1,
            dependency: scenario
                .dependency
                .as_ref()
                .map(|settings| Dependency::new(settings.slots, settings.queue)),
            rng: generator(seed, RandomStream::Calls, 0),
            registry: Registry::new(
                scenario.fleet.nodes,
                ms_of_seconds(scenario.registry.heartbeat_timeout_s),
            ),
            observations: Vec::new(),
            schedule,
        }
    }

    fn note(&mut self, event: Event) {
        self.observations.push(Observation { at: self.now, event });
    }

    fn run(&mut self) {
        self.schedule_all();
        let longest = self.scenario.classes.iter().map(|class| class.deadline_ms).max().unwrap_or(0) as f64;
        let end = ms_of_seconds(self.scenario.seconds) + longest + MARGIN_AFTER_DEADLINES;
        while self.advance(end) {}
    }

    /// Schedules all requests, all faults that start at a given time, and the first heartbeat of the load.
    fn schedule_all(&mut self) {
        for (position, request) in self.schedule.requests.iter().enumerate() {
            self.queue.schedule(request.at, ScheduledEvent::ClientRequest(position));
        }
        for (position, injection) in self.schedule.injections.iter().enumerate() {
            if let InjectionTime::Time(at) = injection.at {
                self.queue.schedule(at + injection.delay, ScheduledEvent::FaultStart(position));
            }
        }
        self.queue.schedule(0.0, ScheduledEvent::Heartbeat);
    }

    /// Advances the time to the next event of an interpreter, the dependency or the queue, and handles it.
    /// Returns false if there is none before `end`.
    fn advance(&mut self, end: Ms) -> bool {
        let interpreter = self.next_interpreter_event();
        let call = self.dependency.as_ref().and_then(Dependency::next_event_at);
        let candidates = [interpreter.map(|next| next.at), call, self.queue.next_at()];
        let next = candidates.into_iter().flatten().fold(f64::INFINITY, f64::min);
        if next > end {
            return false;
        }
        self.now = next.max(self.now);
        if let Some(first) = interpreter.filter(|first| first.at <= next) {
            let events = self.nodes[first.node].interpreter.advance(self.now);
            self.handle_interpreter_events(first.node, events);
        } else if call.is_some_and(|at| at <= next) {
            let dependency = self.dependency.as_mut();
            let ended = dependency.map(|dependency| dependency.advance(self.now)).unwrap_or_default();
            ended.into_iter().for_each(|end| self.end_call(end));
        } else if let Some(event) = self.queue.pop() {
            self.handle(event);
        }
        true
    }

    /// The next event of all interpreters; of several at the same time, that of the first node.
    fn next_interpreter_event(&self) -> Option<NextInterpreterEvent> {
        let nodes = self.nodes.iter().enumerate();
        let next = nodes.filter_map(|(node, state)| {
            Some(NextInterpreterEvent { at: state.interpreter.next_event_at()?, node })
        });
        next.min_by(|one, other| one.at.total_cmp(&other.at))
    }

    fn handle(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::ClientRequest(request) => self.send(request),
            ScheduledEvent::BackoffElapsed(request) => self.proceed_after_backoff(request),
            ScheduledEvent::AttemptTimeout(attempt) => self.time_out(attempt),
            ScheduledEvent::FaultStart(position) => self.begin_fault(position),
            ScheduledEvent::FaultEnd(position) => self.set_fault(position, false),
            ScheduledEvent::NodeRestart(node) => self.restart(node),
            ScheduledEvent::Heartbeat => {
                self.send_heartbeats();
                self.queue.schedule(self.now + HEARTBEAT_INTERVAL, ScheduledEvent::Heartbeat);
            }
        }
    }

    /// Sends the heartbeats of all nodes that are up and not paused to the registry.
    fn send_heartbeats(&mut self) {
        for (position, node) in self.nodes.iter().enumerate() {
            if node.is_up && !node.is_paused {
                self.registry.on_heartbeat(self.now, position, true);
            }
        }
    }
}

#[cfg(test)]
mod tests;
