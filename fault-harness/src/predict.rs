//! Plays a scenario without sockets and without the program, in virtual time: the same models, the same frontends, and a
//! plain node in the program's place, which runs a little more than its cores hold and keeps a short queue. Its history is
//! checked and evaluated like any other. It says what to expect of a calm fleet; what the program decides under overload it
//! does not know, and faults on links it leaves out.

mod clients;
mod event_queue;
mod faults;
mod server;

use std::collections::{BTreeMap, HashMap};

use rand_chacha::ChaCha8Rng;

use crate::history::{Event, History, Observation};
use crate::model::dependency::Dependency;
use crate::model::frontend::Frontend;
use crate::model::interpreter::{InterpreterModel, InterpreterSpec};
use crate::model::registry::Registry;
use crate::model::Ms;
use crate::play_context::terms;
use crate::scenario::Scenario;
use crate::schedule::{generator, schedule, InjectionTime, RandomStream, Schedule};
use clients::OpenRequest;
use event_queue::{EventQueue, ScheduledEvent};
use server::{Attempt, Node};

/// Between two reports of a node.
const REPORT_INTERVAL: Ms = 300.0;
/// When nodes report first: before the load, so that every frontend has them on its list.
const FIRST_REPORT: Ms = -1e5;
/// After the load, the prediction goes on until the longest deadline is over, and this.
const PAUSE_AFTER_DEADLINES: Ms = 1000.0;

/// A prediction in progress.
struct Prediction<'a> {
    scenario: &'a Scenario,
    schedule: Schedule,
    now: Ms,
    queue: EventQueue,
    nodes: Vec<Node>,
    frontends: Vec<Frontend>,
    open_requests: HashMap<usize, OpenRequest>,
    /// The node that each request went to first.
    first_nodes: HashMap<usize, usize>,
    attempts: BTreeMap<u64, Attempt>,
    next_attempt: u64,
    dependency: Option<Dependency>,
    rng: ChaCha8Rng,
    members: Registry,
    observations: Vec<Observation>,
}

/// Plays a scenario in virtual time and returns what would be seen.
pub fn predict(scenario: &Scenario, seed: Option<u64>) -> History {
    let seed = seed.unwrap_or(scenario.seed);
    let mut prediction = Prediction::new(scenario, seed);
    prediction.report();
    prediction.now = 0.0;
    prediction.run();
    History { parameters: terms(scenario, seed), observations: prediction.observations }
}

impl<'a> Prediction<'a> {
    fn new(scenario: &'a Scenario, seed: u64) -> Self {
        let schedule = schedule(scenario, seed);
        let nodes = schedule.speeds.iter().map(|speed| {
            let make = InterpreterSpec::of(&scenario.fleet, *speed);
            Node::new(InterpreterModel::new(make, 0.0, scenario.fleet.cold))
        });
        let frontends = schedule.frontends.iter().enumerate().map(|(position, front)| {
            let rng = generator(seed, RandomStream::Frontends, position as u64);
            Frontend::new(
                &scenario.frontends,
                front.load_balancing,
                front.honours_retry_after,
                scenario.fleet.nodes,
                rng,
            )
        });
        Prediction {
            nodes: nodes.collect(),
            frontends: frontends.collect(),
            scenario,
            now: FIRST_REPORT,
            queue: EventQueue::default(),
            open_requests: HashMap::new(),
            first_nodes: HashMap::new(),
            attempts: BTreeMap::new(),
            next_attempt: 1,
            dependency: scenario.dependency.as_ref().map(|below| Dependency::new(below.slots, below.queue)),
            rng: generator(seed, RandomStream::Calls, 0),
            members: Registry::new(scenario.fleet.nodes, scenario.registry.heartbeat_timeout_s * 1000.0),
            observations: Vec::new(),
            schedule,
        }
    }

    fn note(&mut self, what: Event) {
        self.observations.push(Observation { at: self.now, event: what });
    }

    fn run(&mut self) {
        self.schedule_all();
        let longest = self.scenario.classes.iter().map(|class| class.deadline_ms).max().unwrap_or(0) as f64;
        let end = self.scenario.seconds * 1000.0 + longest + PAUSE_AFTER_DEADLINES;
        while self.advance(end) {}
    }

    /// Schedules all requests, all faults that have a time, and the first report.
    fn schedule_all(&mut self) {
        for (position, request) in self.schedule.requests.iter().enumerate() {
            self.queue.schedule(request.at, ScheduledEvent::ClientRequest(position));
        }
        for (position, injection) in self.schedule.injections.iter().enumerate() {
            if let InjectionTime::Time(at) = injection.at {
                self.queue.schedule(at + injection.delay, ScheduledEvent::FaultStart(position));
            }
        }
        self.queue.schedule(0.0, ScheduledEvent::Report);
    }

    /// Lets time pass until the next thing happens at a node, in the dependency or in the queue, and takes it in. Returns
    /// whether the end was not reached.
    fn advance(&mut self, end: Ms) -> bool {
        let nodes = self.nodes.iter().enumerate();
        let nodes = nodes.filter_map(|(position, node)| Some((node.vm.next()?, position)));
        let node = nodes.min_by(|a, b| a.0.total_cmp(&b.0));
        let call = self.dependency.as_ref().and_then(Dependency::next);
        let candidates = [node.map(|(at, _)| at), call, self.queue.next_at()];
        let next = candidates.into_iter().flatten().fold(f64::INFINITY, f64::min);
        if next > end {
            return false;
        }
        self.now = next.max(self.now);
        if let Some((_, position)) = node.filter(|(at, _)| *at <= next) {
            let happened = self.nodes[position].vm.advance(self.now);
            self.take_in(position, happened);
        } else if call.is_some_and(|at| at <= next) {
            let dependency = self.dependency.as_mut();
            let ended = dependency.map(|dependency| dependency.advance(self.now)).unwrap_or_default();
            ended.into_iter().for_each(|end| self.call_over(end));
        } else if let Some(event) = self.queue.pop() {
            self.handle(event);
        }
        true
    }

    fn handle(&mut self, event: ScheduledEvent) {
        match event {
            ScheduledEvent::ClientRequest(request) => self.send(request),
            ScheduledEvent::Resume(request) => self.resume(request),
            ScheduledEvent::AttemptTimeout(attempt) => self.time_out(attempt),
            ScheduledEvent::FaultStart(position) => self.begin_fault(position),
            ScheduledEvent::FaultEnd(position) => self.set_fault(position, false),
            ScheduledEvent::NodeRestart(node) => self.restart(node),
            ScheduledEvent::Report => {
                self.report();
                self.queue.schedule(self.now + REPORT_INTERVAL, ScheduledEvent::Report);
            }
        }
    }

    /// All nodes that are up report to the membership service.
    fn report(&mut self) {
        for (position, node) in self.nodes.iter().enumerate() {
            if node.is_up && !node.is_paused {
                self.members.on_heartbeat(self.now, position, true);
            }
        }
    }
}

#[cfg(test)]
mod tests;
