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

/// A request that was written to a node, as the interpreter may be told of it.
#[derive(Debug, Clone, Copy)]
pub struct Written {
    /// The request.
    pub n: usize,
    /// The node.
    pub node: usize,
}

/// Called with the node, what it did, and how often it has by now.
type Listener = Box<dyn Fn(usize, NodeEvent, u64)>;

/// One play.
pub struct PlayContext {
    /// Its clock; everything in the play tells time by it.
    pub clock: Clock,
    /// When the load began, on that clock.
    pub begun: Cell<Ms>,
    /// The scenario.
    pub scenario: Scenario,
    /// What it came to.
    pub schedule: Schedule,
    /// The seed.
    pub seed: u64,
    /// A number that no other play of this process has.
    pub number: u32,
    seen: RefCell<Vec<Observation>>,
    written: RefCell<HashMap<u64, Written>>,
    counts: RefCell<HashMap<(usize, NodeEvent), u64>>,
    listener: RefCell<Option<Listener>>,
}

impl PlayContext {
    /// A play that begins now.
    pub fn new(scenario: Scenario, schedule: Schedule, seed: u64) -> Rc<PlayContext> {
        Rc::new(PlayContext {
            clock: Clock::begin(),
            begun: Cell::new(0.0),
            scenario,
            schedule,
            seed,
            number: unique_number(),
            seen: RefCell::default(),
            written: RefCell::default(),
            counts: RefCell::default(),
            listener: RefCell::default(),
        })
    }

    /// Now.
    pub fn now(&self) -> Ms {
        self.clock.now()
    }

    /// Keeps what was seen.
    pub fn note(&self, what: Event) {
        self.seen.borrow_mut().push(Observation { at: self.now(), event: what });
    }

    /// An attempt is about to be written.
    pub fn writes(&self, txn: u64, written: Written) {
        self.written.borrow_mut().insert(txn, written);
    }

    /// What is known of an attempt.
    pub fn written(&self, txn: u64) -> Option<Written> {
        self.written.borrow().get(&txn).copied()
    }

    /// Whom to tell of what nodes do.
    pub fn listen(&self, listener: impl Fn(usize, NodeEvent, u64) + 'static) {
        *self.listener.borrow_mut() = Some(Box::new(listener));
    }

    /// Ends the telling, and with it what the listener holds.
    pub fn deafen(&self) {
        self.listener.borrow_mut().take();
    }

    /// A node has done something.
    pub fn happened(&self, node: usize, what: NodeEvent) {
        let count = {
            let mut counts = self.counts.borrow_mut();
            let count = counts.entry((node, what)).or_default();
            *count += 1;
            *count
        };
        if let Some(listener) = &*self.listener.borrow() {
            listener(node, what, count);
        }
    }

    /// The body of a request: its number, work and class, which is all that the interpreter goes by.
    pub fn body(&self, n: usize) -> String {
        let ask = &self.schedule.requests[n];
        // Repeats carry the body of the request that they repeat.
        let n = ask.repeats.unwrap_or(n);
        format!("{n} {:.3} {}", ask.work, self.scenario.classes[ask.class].name)
    }

    /// The history so far; times count from when the load began.
    pub fn history(&self) -> History {
        let begun = self.begun.get();
        let mut seen = std::mem::take(&mut *self.seen.borrow_mut());
        for entry in &mut seen {
            entry.at -= begun;
            match &mut entry.event {
                Event::AttemptWritten { deadline: due, .. } => *due -= begun,
                Event::FaultInjected { until, .. } => *until -= begun,
                _ => {}
            }
        }
        History { parameters: terms(&self.scenario, self.seed), observations: seen }
    }
}

/// A number that nobody else in this process has got.
pub fn unique_number() -> u32 {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// The terms that a scenario is checked by.
pub fn terms(scenario: &Scenario, seed: u64) -> RuleParameters {
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
        slack: scenario.rules.slack_ms,
        drain_grace: crate::settings::DRAIN_GRACE_MS,
        descriptors: scenario.fleet.sockets,
        memory_kb: scenario.fleet.memory_mb * 1024,
        // A node that hears a higher priority gives way at once; it is heard within an interval.
        max_dual_active: scenario.fleet.vrrp.as_ref().map_or(0.0, |vrrp| 2.0 * vrrp.interval_ms as f64)
            + scenario.rules.slack_ms,
    }
}
