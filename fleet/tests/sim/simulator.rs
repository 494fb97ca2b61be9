//! A discrete-event simulator of nodes, links and disks in virtual time, which records its observations of
//! the nodes.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use crate::common::{config, name};
use crate::machine::{DiskContents, Machine, Scheduled, SimEvent};
use crate::observed::{Observed, ObservedAttempt, ObservedRun, SendingInterval};
use oakwind_fleet::claims::coordinator::{AttemptId, ClaimOutcome, RunRequest};
use oakwind_fleet::envelope::ReceivedMessage;
use oakwind_fleet::ids::{Incarnation, LinkId, NodeId};
use oakwind_fleet::membership::config::MembershipConfig;
use oakwind_fleet::message::{Message, ReplicaRecord};
use oakwind_fleet::recovery::staleness::StatePosition;
use oakwind_fleet::replica_node::{
    Action, Event, Notification, ReplicaNode, RestoredState, Settings, TICK_INTERVAL,
};
use oakwind_fleet::replication::key_state::{Key, RunResult};
use oakwind_fleet::replication::replica_table::StoredRecord;
use oakwind_fleet::Time;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub(crate) const WINDOW: Duration = Duration::from_secs(3);
const CLIENT_TIMEOUT: Duration = Duration::from_millis(1500);

pub(crate) fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// The faults and the delay of the links.
#[derive(Clone)]
pub(crate) struct LinkQuality {
    /// Probability that a message is lost, and that a delivered one is delayed by another second.
    loss: f64,
    /// Probability that a message is delivered twice.
    duplication: f64,
    /// Bounds of the random delay in milliseconds.
    delay_ms: RangeInclusive<u64>,
}

pub(crate) struct Sim {
    pub(crate) now: Time,
    /// Number of events that have been scheduled.
    pub(crate) scheduled_count: u64,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) queue: BinaryHeap<Reverse<Scheduled>>,
    pub(crate) machines: Vec<Machine>,
    pub(crate) index: HashMap<NodeId, usize>,
    /// The configuration with which nodes start.
    pub(crate) config: Arc<MembershipConfig>,
    pub(crate) zones: usize,
    pub(crate) link_quality: LinkQuality,
    /// The zones that are disconnected from the others, each with the time at which it is reconnected.
    pub(crate) partitioned: BTreeMap<usize, Time>,
    pub(crate) observed: Observed,
    pub(crate) last_attempt: u64,
}

impl Sim {
    pub(crate) fn new(
        seed: u64,
        nodes: usize,
        zones: usize,
        durable: bool,
        link_quality: LinkQuality,
    ) -> Sim {
        let all: Vec<usize> = (0..nodes).collect();
        let mut sim = Sim {
            now: Duration::ZERO,
            scheduled_count: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            machines: Vec::new(),
            index: (0..nodes + 10).map(|n| (NodeId::of(&name(n)), n)).collect(),
            config: config(1, &all, zones, WINDOW),
            zones,
            link_quality,
            partitioned: BTreeMap::new(),
            observed: Observed::default(),
            last_attempt: 0,
        };
        for _ in 0..nodes + 10 {
            let (disk, backup) = (DiskContents::default(), DiskContents::default());
            sim.machines.push(Machine {
                replica: None,
                process: 0,
                suspended_until: Time::ZERO,
                disk,
                backup,
                is_durable: durable,
            });
        }
        all.into_iter().for_each(|node| sim.start(node));
        sim
    }

    /// Schedules an event for a node and its current process.
    pub(crate) fn schedule(&mut self, at: Time, node: usize, sim_event: SimEvent) {
        self.scheduled_count += 1;
        let process = self.machines[node].process;
        self.queue.push(Reverse(Scheduled { at, number: self.scheduled_count, node, process, sim_event }));
    }

    pub(crate) fn start(&mut self, node: usize) {
        let (now, config) = (self.now, self.config.clone());
        let machine = &mut self.machines[node];
        if machine.replica.is_some() {
            return;
        }
        machine.process += 1;
        let first = machine.process == 1;
        let records = machine.disk.records.values().filter(|(_, expires_at)| *expires_at > now);
        let records = records.map(|(stored, expires_at)| {
            let retain_ms = (*expires_at - now).as_millis() as u64 + 1;
            let record = ReplicaRecord { retain_ms, ..stored.record.clone() };
            StoredRecord { record, ..stored.clone() }
        });
        let unknown = StatePosition { incarnation: Incarnation(0), uptime_seconds: 0 };
        let position = machine.disk.position.unwrap_or(unknown);
        let restored = RestoredState { records: records.collect(), position };
        let settings = Settings {
            name: name(node),
            incarnation: Incarnation(machine.process),
            seed: node as u64,
            max_table_bytes: 32 << 20,
            transfer_bytes_per_s: 16 << 20,
            probe_period: ms(500),
            restored: (machine.is_durable || first).then_some(restored),
            is_durable: machine.is_durable,
        };
        let replica = ReplicaNode::new(settings, config, now);
        machine.disk.position = Some(replica.position());
        machine.replica = Some(replica);
        self.schedule(now, node, SimEvent::Tick);
    }

    fn zone(&self, node: usize) -> usize {
        node % self.zones
    }

    fn is_partitioned(&self, a: usize, b: usize) -> bool {
        let (a, b) = (self.zone(a), self.zone(b));
        a != b && (self.partitioned.contains_key(&a) || self.partitioned.contains_key(&b))
    }

    /// Sends a message over a link, subject to the faults of the link. `to_process` is the destination
    /// process; `None` is the current one.
    fn transmit(&mut self, from: usize, to: usize, to_process: Option<u64>, message: Message) {
        self.observed.messages += 1;
        if matches!(message, Message::Page(_)) {
            let interval = SendingInterval { node: from, tenth_of_second: self.now.as_millis() / 100 };
            *self.observed.pages.entry(interval).or_default() += 1;
        }
        if self.is_partitioned(from, to) || self.rng.random::<f64>() < self.link_quality.loss {
            return;
        }
        let delay_ms = self.link_quality.delay_ms.clone();
        let link = LinkId((self.machines[from].process << 16) | (from as u64 + 1));
        let incarnation = Incarnation(self.machines[from].process);
        let copies = if self.rng.random::<f64>() < self.link_quality.duplication { 2 } else { 1 };
        for _ in 0..copies {
            let mut delay = ms(self.rng.random_range(delay_ms.clone()));
            if self.rng.random::<f64>() < self.link_quality.loss {
                delay += ms(1000);
            }
            let at = self.now + delay;
            if self.machines[to].replica.is_none() {
                let node = NodeId::of(&name(to));
                self.schedule(at, from, SimEvent::Event(Event::PeerUnreachable(node)));
                return;
            }
            self.scheduled_count += 1;
            let event = Event::MessageReceived(ReceivedMessage {
                link,
                from: NodeId::of(&name(from)),
                incarnation,
                message: message.clone(),
            });
            let process = to_process.unwrap_or(self.machines[to].process);
            let (number, sim_event) = (self.scheduled_count, SimEvent::Event(event));
            self.queue.push(Reverse(Scheduled { at, number, node: to, process, sim_event }));
        }
    }

    /// Passes an event to a node and carries out the actions that it returns.
    fn handle_event(&mut self, node: usize, event: Event) {
        let mut out = Vec::new();
        let Some(replica) = &mut self.machines[node].replica else { return };
        replica.handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send(to, message) => {
                    if let Some(to) = self.index.get(&to).copied() {
                        self.transmit(node, to, None, message);
                    }
                }
                Action::Respond(link, message) => {
                    self.transmit(node, (link.0 & 0xffff) as usize - 1, Some(link.0 >> 16), message);
                }
                Action::NotifyAttempt(attempt, outcome) => self.observe_outcome(node, attempt, outcome),
                Action::Store { sequence, key, record } => {
                    let records = &mut self.machines[node].disk.records;
                    match record {
                        Some(stored) => {
                            let expires_at = self.now + ms(stored.record.retain_ms);
                            records.insert(key, (stored, expires_at));
                        }
                        None => drop(records.remove(&key)),
                    }
                    let at = self.now + ms(self.rng.random_range(0..3));
                    self.schedule(at, node, SimEvent::Event(Event::StoreFinished { sequence, stored: true }));
                }
                Action::SendHello => self.send_hello(node),
                Action::Notify(Notification::DuplicateRun(_)) => self.observed.duplicate_runs += 1,
                Action::Notify(Notification::StaleState { .. }) => {
                    self.observed.stale_states += 1;
                    // The node discards the stale state on its disk.
                    self.machines[node].disk = DiskContents::default();
                }
                Action::Notify(_) | Action::SetPermissions(_) => {}
            }
        }
    }

    /// Sends the hello of a node to every other member, after a start or a change of its configurations.
    fn send_hello(&mut self, node: usize) {
        let Some(replica) = &self.machines[node].replica else { return };
        let hellos: Vec<(usize, Message)> = replica
            .configs()
            .all_members()
            .into_iter()
            .filter(|to| *to != replica.id())
            .map(|to| (self.index[&to], Message::Hello(replica.hello(to))))
            .collect();
        hellos.into_iter().for_each(|(to, hello)| self.transmit(node, to, None, hello));
    }

    /// Records the outcome of a claim and checks it against the earlier observations.
    fn observe_outcome(&mut self, node: usize, attempt: AttemptId, outcome: ClaimOutcome) {
        let Some(observed) = self.observed.attempts.get_mut(&attempt.0) else { return };
        let key = observed.key;
        let name = match &outcome {
            ClaimOutcome::Granted => "granted",
            ClaimOutcome::Rejected(reason) => {
                if observed.has_run {
                    self.observed.violations.push(format!(
                        "attempt {} at key {key} was rejected after its run: {reason:?}",
                        attempt.0
                    ));
                }
                &format!("rejected {reason:?}")
            }
            ClaimOutcome::AwaitingRemoteRun => "running elsewhere",
            ClaimOutcome::RemoteResult(RunResult::Succeeded(result)) => {
                let expected = format!("job of {key}");
                if *result != expected.as_bytes() || !self.observed.runs.contains_key(&key) {
                    self.observed
                        .violations
                        .push(format!("key {key} has a remote result that no run returned"));
                }
                "remote result"
            }
            ClaimOutcome::RemoteResult(RunResult::Failed) => "remote failure",
            ClaimOutcome::BodyMismatch => "body mismatch",
            ClaimOutcome::Unknown => "unknown",
            ClaimOutcome::StoredByQuorum(true) => "replicated",
            ClaimOutcome::StoredByQuorum(false) => "not replicated",
        };
        *self.observed.outcomes.entry(name.to_string()).or_default() += 1;
        if outcome == ClaimOutcome::Granted {
            observed.has_run = true;
            let runs = self.observed.runs.entry(key).or_default();
            if let Some(previous) = runs.last() {
                self.observed.violations.push(format!(
                    "key {key} runs for attempt {} on node {node} at {:?}, but ran for attempt {} at {:?}",
                    attempt.0, self.now, previous.attempt.0, previous.at
                ));
            }
            runs.push(ObservedRun { at: self.now, attempt });
            let run_ends_at = self.now + ms(self.rng.random_range(5..80));
            self.schedule(run_ends_at, node, SimEvent::EndRun(attempt));
        }
    }

    /// Runs the simulation until this time.
    pub(crate) fn play(&mut self, until: Time) {
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at > until {
                break;
            }
            let Some(Reverse(scheduled)) = self.queue.pop() else { break };
            self.now = scheduled.at;
            self.deliver(scheduled);
        }
        self.now = until;
    }

    /// Delivers an event. An event for a process that has exited is dropped, and one for a suspended process
    /// is postponed.
    fn deliver(&mut self, scheduled: Scheduled) {
        let Scheduled { at, node, process, .. } = scheduled;
        let machine = &self.machines[node];
        if !scheduled.sim_event.is_for_machine() && (machine.process != process || machine.replica.is_none())
        {
            return;
        }
        if machine.suspended_until > at && !scheduled.sim_event.reaches_suspended_process() {
            // The process receives the event when it resumes.
            let at = machine.suspended_until;
            return self.queue.push(Reverse(Scheduled { at, ..scheduled }));
        }
        self.handle(at, node, scheduled.sim_event);
    }

    fn handle(&mut self, at: Time, node: usize, sim_event: SimEvent) {
        let machine = &mut self.machines[node];
        match sim_event {
            SimEvent::Tick => self.tick(node),
            SimEvent::Event(event) => self.handle_event(node, event),
            SimEvent::Attempt(key) => self.start_attempt(node, key),
            SimEvent::EndRun(attempt) => {
                let key = self.observed.attempts[&attempt.0].key;
                let result = RunResult::Succeeded(Key::from(format!("job of {key}")));
                self.handle_event(node, Event::RunCompleted(attempt, result));
            }
            SimEvent::Kill { down, disk } => {
                machine.kill(disk);
                self.schedule(at + down, node, SimEvent::Start);
            }
            SimEvent::Start => {
                self.start(node);
                self.send_hello(node);
            }
            SimEvent::Suspend(duration) => machine.suspended_until = at + duration,
            SimEvent::Partition { zone, until } => {
                if until > at {
                    self.partitioned.insert(zone, until);
                    self.schedule(until, node, SimEvent::Partition { zone, until });
                } else {
                    self.partitioned.remove(&zone);
                }
            }
            SimEvent::Propose(config) => self.handle_event(node, Event::ConfigProposed(config)),
            SimEvent::BackUpDisk => machine.backup = machine.disk.clone(),
        }
    }

    fn tick(&mut self, node: usize) {
        self.handle_event(node, Event::Tick);
        let machine = &mut self.machines[node];
        machine.disk.position = machine.replica.as_ref().map(ReplicaNode::position);
        if machine.replica.is_some() {
            self.schedule(self.now + TICK_INTERVAL, node, SimEvent::Tick);
        }
    }

    fn start_attempt(&mut self, node: usize, key: usize) {
        self.last_attempt += 1;
        let attempt = self.last_attempt;
        self.observed.attempts.insert(attempt, ObservedAttempt { key, has_run: false });
        let request = RunRequest {
            attempt: AttemptId(attempt),
            key: Key::from(format!("key {key}")),
            body_digest: 1,
            window_ends_at: self.now + WINDOW,
            received_at: self.now,
            received_unix_ms: self.now.as_millis() as u64,
            deadline: self.now + CLIENT_TIMEOUT,
        };
        self.handle_event(node, Event::RunRequested(request));
    }

    /// Schedules one to three attempts at each of these keys on random nodes. The attempts at a key are
    /// within 1.5 s, half of its idempotency window, from a random time between `from` and `from + over`.
    pub(crate) fn load(&mut self, keys: std::ops::Range<usize>, from: Time, over: Duration, nodes: usize) {
        for key in keys {
            let base = from + over.mul_f64(self.rng.random());
            for _ in 0..self.rng.random_range(1..=3) {
                let later = ms(self.rng.random_range(0..1500));
                let node = self.rng.random_range(0..nodes);
                self.schedule(base + later, node, SimEvent::Attempt(key));
            }
        }
    }
}

pub(crate) const RELIABLE: LinkQuality = LinkQuality { loss: 0.0, duplication: 0.0, delay_ms: 1..=3 };
pub(crate) const UNRELIABLE: LinkQuality = LinkQuality { loss: 0.01, duplication: 0.02, delay_ms: 1..=40 };
