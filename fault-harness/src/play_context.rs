//! State shared by all parts of a play: its clock, its schedule, the history so far, and the listener for
//! node events.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};

use crate::clock::Clock;
use crate::history::{Event, History, Observation, RuleParameters};
use crate::model::Ms;
use crate::scenario::{NodeEvent, Scenario};
use crate::schedule::Schedule;

/// An attempt that a frontend has written to a node.
#[derive(Debug, Clone, Copy)]
pub struct WrittenAttempt {
    /// Position of the request in the schedule.
    pub request: usize,
    /// Position of the node.
    pub node: usize,
}

/// An event of a node and the number of times it has occurred on that node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Occurrence {
    /// Position of the node.
    pub node: usize,
    /// The kind of event.
    pub event: NodeEvent,
    /// The number of occurrences on this node, including this one.
    pub count: u64,
}

/// Key of the event counters.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct EventKey {
    node: usize,
    event: NodeEvent,
}

type Listener = Box<dyn Fn(Occurrence)>;

/// The shared state of one play.
pub struct PlayContext {
    /// The clock that all times of the play refer to.
    pub clock: Clock,
    /// When the load starts, on `clock`; 0 until all nodes are ready.
    pub load_start: Cell<Ms>,
    /// The scenario that is played.
    pub scenario: Scenario,
    /// The schedule drawn from the scenario and the seed.
    pub schedule: Schedule,
    /// The seed of all random numbers of the play.
    pub seed: u64,
    /// A number that is unique among the plays of this process.
    pub number: u32,
    observations: RefCell<Vec<Observation>>,
    attempts: RefCell<HashMap<u64, WrittenAttempt>>,
    event_counts: RefCell<HashMap<EventKey, u64>>,
    listener: RefCell<Option<Listener>>,
}

impl PlayContext {
    /// Creates the state of a play and starts its clock.
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

    /// The current time on the play's clock.
    pub fn now(&self) -> Ms {
        self.clock.now()
    }

    /// Adds an event to the history, at the current time.
    pub fn note(&self, event: Event) {
        self.observations.borrow_mut().push(Observation { at: self.now(), event });
    }

    /// Records an attempt that is about to be written to a node.
    pub fn record_attempt(&self, txn: u64, attempt: WrittenAttempt) {
        self.attempts.borrow_mut().insert(txn, attempt);
    }

    /// The recorded attempt with this transaction id.
    pub fn attempt(&self, txn: u64) -> Option<WrittenAttempt> {
        self.attempts.borrow().get(&txn).copied()
    }

    /// Sets the listener that is called for every node event.
    pub fn set_listener(&self, listener: impl Fn(Occurrence) + 'static) {
        *self.listener.borrow_mut() = Some(Box::new(listener));
    }

    /// Removes the listener and drops everything that it holds.
    pub fn remove_listener(&self) {
        self.listener.borrow_mut().take();
    }

    /// Counts an event of a node and notifies the listener.
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

    /// The body of a request: its position, work and class, which are all that the simulated interpreter
    /// uses.
    pub fn body(&self, request: usize) -> String {
        let scheduled = &self.schedule.requests[request];
        // A repeat has the same body as the request that it repeats.
        let original = scheduled.repeats.unwrap_or(request);
        format!("{original} {:.3} {}", scheduled.work, self.scenario.classes[scheduled.class].name)
    }

    /// Takes the history so far, with times converted to milliseconds since the start of the load.
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
        History { parameters: RuleParameters::of(&self.scenario, self.seed), observations }
    }
}

/// Returns a number that is unique within this process.
pub fn unique_number() -> u32 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}
