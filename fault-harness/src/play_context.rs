//! What all parts of a play share: its clock, its schedule, the history so far, and the listener for what nodes do.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};

use crate::clock::Clock;
use crate::history::{ClassParameters, Event, History, Observation, RuleParameters};
use crate::model::Ms;
use crate::scenario::{NodeEvent, Scenario};
use crate::schedule::Schedule;

/// Memory is configured in MB and sampled in KB.
const KB_PER_MB: u64 = 1024;

/// An attempt that was written to a node.
#[derive(Debug, Clone, Copy)]
pub struct WrittenAttempt {
    /// The request.
    pub request: usize,
    /// The node.
    pub node: usize,
}

/// An event of a node, and how often it has occurred there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Occurrence {
    /// The node.
    pub node: usize,
    /// What it did.
    pub event: NodeEvent,
    /// How often it has done that by now.
    pub count: u64,
}

/// Events of a node, to be counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct EventKey {
    node: usize,
    event: NodeEvent,
}

type Listener = Box<dyn Fn(Occurrence)>;

/// One play.
pub struct PlayContext {
    /// Its clock; everything in the play tells time by it.
    pub clock: Clock,
    /// When the load began, on that clock.
    pub load_start: Cell<Ms>,
    /// The scenario.
    pub scenario: Scenario,
    /// The schedule drawn from the scenario and the seed.
    pub schedule: Schedule,
    /// The seed.
    pub seed: u64,
    /// A number that no other play of this process has.
    pub number: u32,
    observations: RefCell<Vec<Observation>>,
    attempts: RefCell<HashMap<u64, WrittenAttempt>>,
    event_counts: RefCell<HashMap<EventKey, u64>>,
    listener: RefCell<Option<Listener>>,
}

impl PlayContext {
    /// A play that begins now.
    pub fn new(scenario: Scenario, schedule: Schedule, seed: u64) -> Rc<PlayContext> {
        Rc::new(PlayContext {
            clock: Clock::begin(),
            load_start: Cell::new(0.0),
            scenario,
            schedule,
            seed,
            number: unique_number(),
            observations: RefCell::default(),
            attempts: RefCell::default(),
            event_counts: RefCell::default(),
            listener: RefCell::default(),
        })
    }

    /// The time on the play's clock.
    pub fn now(&self) -> Ms {
        self.clock.now()
    }

    /// Adds an event to the history.
    pub fn note(&self, event: Event) {
        self.observations.borrow_mut().push(Observation { at: self.now(), event });
    }

    /// Records an attempt that is about to be written.
    pub fn record_attempt(&self, txn: u64, attempt: WrittenAttempt) {
        self.attempts.borrow_mut().insert(txn, attempt);
    }

    /// An attempt that was written.
    pub fn attempt(&self, txn: u64) -> Option<WrittenAttempt> {
        self.attempts.borrow().get(&txn).copied()
    }

    /// Sets the listener for events of nodes.
    pub fn set_listener(&self, listener: impl Fn(Occurrence) + 'static) {
        *self.listener.borrow_mut() = Some(Box::new(listener));
    }

    /// Removes the listener, and with it all that it holds.
    pub fn remove_listener(&self) {
        self.listener.borrow_mut().take();
    }

    /// Counts an event of a node and calls the listener.
    pub fn record_event(&self, node: usize, event: NodeEvent) {
        let count = self.count(EventKey { node, event });
        if let Some(listener) = &*self.listener.borrow() {
            listener(Occurrence { node, event, count });
        }
    }

    fn count(&self, key: EventKey) -> u64 {
        let mut counts = self.event_counts.borrow_mut();
        let count = counts.entry(key).or_default();
        *count += 1;
        *count
    }

    /// The body of a request: its number, work and class, which is all that the interpreter goes by.
    pub fn body(&self, request: usize) -> String {
        let scheduled = &self.schedule.requests[request];
        // Repeats carry the body of the request that they repeat.
        let original = scheduled.repeats.unwrap_or(request);
        format!("{original} {:.3} {}", scheduled.work, self.scenario.classes[scheduled.class].name)
    }

    /// Takes the history so far; times count from when the load began.
    pub fn take_history(&self) -> History {
        let load_start = self.load_start.get();
        let mut observations = self.observations.take();
        for observation in &mut observations {
            observation.at -= load_start;
            match &mut observation.event {
                Event::AttemptWritten { deadline, .. } => *deadline -= load_start,
                Event::FaultInjected { until, .. } => *until -= load_start,
                _ => {}
            }
        }
        History { parameters: rule_parameters(&self.scenario, self.seed), observations }
    }
}

/// A number that nobody else in this process has got.
pub fn unique_number() -> u32 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// The parameters that a play of a scenario is checked by.
pub fn rule_parameters(scenario: &Scenario, seed: u64) -> RuleParameters {
    let classes = scenario.classes.iter().map(|class| ClassParameters {
        name: class.name.clone(),
        latency_objective: class.latency_objective_ms as f64,
        deadline: class.deadline_ms as f64,
        idempotency_window: if class.idempotency_key { class.idempotency_window_ms as f64 } else { 0.0 },
        weight: class.weight * class.work_ms,
        late_weight: class.late_weight,
        skip_weight: class.skip_weight,
    });
    RuleParameters {
        scenario: scenario.name.clone(),
        seed,
        seconds: scenario.seconds,
        nodes: scenario.fleet.nodes,
        classes: classes.collect(),
        run_once_per: scenario.rules.run_once_per,
        timing_tolerance: scenario.rules.slack_ms,
        drain_grace: crate::settings::DRAIN_GRACE_MS,
        descriptors: scenario.fleet.sockets,
        memory_kb: scenario.fleet.memory_mb * KB_PER_MB,
        // A node that hears a higher priority gives way at once; it is heard within an interval.
        max_dual_active: scenario.fleet.vrrp.as_ref().map_or(0.0, |vrrp| 2.0 * vrrp.interval_ms as f64)
            + scenario.rules.slack_ms,
    }
}
