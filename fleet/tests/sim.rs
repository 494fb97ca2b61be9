//! Fleets of the decisions in virtual time: up to 300 nodes, thousands of keys, and faults drawn by a seed. A failing seed
//! is printed; `OAKWIND_SIM_SEED` plays one again, `OAKWIND_SIM_SEEDS` plays so many from there on.

mod lists;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use lists::{list, name};
use oakwind_fleet::claim_coordinator::{AttemptId, ClaimOutcome, RunRequest};
use oakwind_fleet::key_state::{ClaimId, Key, RunResult};
use oakwind_fleet::membership_config::{MembershipConfig, NodeId};
use oakwind_fleet::message::{Message, ReplicaRecord};
use oakwind_fleet::replica_node::{Action, Event, Notification, ReplicaNode, RestoredState, Settings, TICK};
use oakwind_fleet::staleness::StatePosition;
use oakwind_fleet::Time;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

const WINDOW: Duration = Duration::from_secs(3);
const PATIENCE: Duration = Duration::from_millis(1500);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

enum What {
    Tick,
    Event(Event),
    /// A try of a key comes.
    Try(usize),
    /// The run of a token is over.
    RunOver(AttemptId),
    Kill {
        down: Duration,
        disk: Disk,
    },
    Start,
    Sleep(Duration),
    Cut {
        zone: usize,
        until: Time,
    },
    Offer(Arc<MembershipConfig>),
    /// Its disk is copied.
    Copy,
}

/// What a node that was killed finds on its disk, if it has one.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Disk {
    RestoredState,
    Lost,
    /// A copy that was made a while ago.
    Old,
}

/// What is on a disk: what was kept of each key, until when that is of use, and where it ends.
#[derive(Debug, Clone, Default)]
struct Written {
    keys: BTreeMap<Key, (Option<ClaimId>, ReplicaRecord, Time)>,
    until: Option<StatePosition>,
}

struct Happening {
    at: Time,
    number: u64,
    node: usize,
    /// Which process of the node it is meant for; others never hear of it.
    process: u64,
    what: What,
}

impl PartialEq for Happening {
    fn eq(&self, other: &Self) -> bool {
        self.number == other.number
    }
}
impl Eq for Happening {}
impl PartialOrd for Happening {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Happening {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

struct Machine {
    fleet: Option<ReplicaNode>,
    process: u64,
    asleep_until: Time,
    disk: Written,
    copy: Written,
    durable: bool,
}

/// What is odd on the links.
#[derive(Clone, Copy)]
struct Weather {
    loss: f64,
    double: f64,
    delay: (u64, u64),
}

#[derive(Debug, Default)]
struct Seen {
    runs: HashMap<usize, Vec<(Time, u64)>>,
    /// Tries by token: the key, and whether it has run.
    tries: BTreeMap<u64, (usize, bool)>,
    ended: BTreeMap<String, usize>,
    wrong: Vec<String>,
    conflicts: usize,
    outdated: usize,
    frames: u64,
    /// Pages that a node gave, by tenth of a second.
    pages: HashMap<(usize, u128), u64>,
}

struct Sim {
    now: Time,
    number: u64,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<Happening>>,
    machines: Vec<Machine>,
    index: HashMap<NodeId, usize>,
    list: Arc<MembershipConfig>,
    zones: usize,
    weather: Weather,
    /// Zones that are cut off, until then.
    cut: BTreeMap<usize, Time>,
    seen: Seen,
    tokens: u64,
}

impl Sim {
    fn new(seed: u64, nodes: usize, zones: usize, durable: bool, weather: Weather) -> Sim {
        let all: Vec<usize> = (0..nodes).collect();
        let mut sim = Sim {
            now: Duration::ZERO,
            number: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            machines: Vec::new(),
            index: (0..nodes + 10).map(|n| (NodeId::of(&name(n)), n)).collect(),
            list: list(1, &all, zones, WINDOW),
            zones,
            weather,
            cut: BTreeMap::new(),
            seen: Seen::default(),
            tokens: 0,
        };
        for _ in 0..nodes + 10 {
            let (disk, copy) = (Written::default(), Written::default());
            sim.machines.push(Machine {
                fleet: None,
                process: 0,
                asleep_until: Time::ZERO,
                disk,
                copy,
                durable,
            });
        }
        all.into_iter().for_each(|node| sim.start(node));
        sim
    }

    fn at(&mut self, at: Time, node: usize, what: What) {
        self.number += 1;
        let process = self.machines[node].process;
        self.queue.push(Reverse(Happening { at, number: self.number, node, process, what }));
    }

    fn start(&mut self, node: usize) {
        let (now, list) = (self.now, self.list.clone());
        let machine = &mut self.machines[node];
        if machine.fleet.is_some() {
            return;
        }
        machine.process += 1;
        let first = machine.process == 1;
        let records = machine.disk.keys.values().filter(|(.., until)| *until > now);
        let records = records.map(|(vote, copied, until)| {
            let keep_ms = (*until - now).as_millis() as u64 + 1;
            (*vote, ReplicaRecord { keep_ms, ..copied.clone() })
        });
        let until = machine.disk.until.unwrap_or(StatePosition { incarnation: 0, seconds: 0 });
        let kept = RestoredState { records: records.collect(), until };
        let settings = Settings {
            name: name(node),
            incarnation: machine.process,
            seed: node as u64,
            bytes: 32 << 20,
            bytes_per_s: 16 << 20,
            probe: ms(500),
            kept: (machine.durable || first).then_some(kept),
            durable: machine.durable,
        };
        let fleet = ReplicaNode::new(settings, list, now);
        machine.disk.until = Some(fleet.mark());
        machine.fleet = Some(fleet);
        self.at(now, node, What::Tick);
    }

    fn zone(&self, node: usize) -> usize {
        node % self.zones
    }

    fn apart(&self, a: usize, b: usize) -> bool {
        let (a, b) = (self.zone(a), self.zone(b));
        a != b && (self.cut.contains_key(&a) || self.cut.contains_key(&b))
    }

    fn carry(&mut self, from: usize, to: usize, to_process: Option<u64>, frame: Message) {
        self.seen.frames += 1;
        if matches!(frame, Message::Page(_)) {
            *self.seen.pages.entry((from, self.now.as_millis() / 100)).or_default() += 1;
        }
        if self.apart(from, to) || self.rng.random::<f64>() < self.weather.loss {
            return;
        }
        let (low, high) = self.weather.delay;
        let link = (self.machines[from].process << 16) | (from as u64 + 1);
        let incarnation = self.machines[from].process;
        let copies = if self.rng.random::<f64>() < self.weather.double { 2 } else { 1 };
        for _ in 0..copies {
            let mut delay = ms(self.rng.random_range(low..=high));
            if self.rng.random::<f64>() < self.weather.loss {
                delay += ms(1000);
            }
            let at = self.now + delay;
            if self.machines[to].fleet.is_none() {
                let node = NodeId::of(&name(to));
                self.at(at, from, What::Event(Event::Unreached(node)));
                return;
            }
            self.number += 1;
            let event =
                Event::Heard { link, from: NodeId::of(&name(from)), incarnation, frame: frame.clone() };
            let process = to_process.unwrap_or(self.machines[to].process);
            let (number, what) = (self.number, What::Event(event));
            self.queue.push(Reverse(Happening { at, number, node: to, process, what }));
        }
    }

    fn event(&mut self, node: usize, event: Event) {
        let mut out = Vec::new();
        let Some(fleet) = &mut self.machines[node].fleet else { return };
        fleet.handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send(to, frame) => {
                    if let Some(to) = self.index.get(&to).copied() {
                        self.carry(node, to, None, frame);
                    }
                }
                Action::Answer(link, frame) => {
                    self.carry(node, (link & 0xffff) as usize - 1, Some(link >> 16), frame);
                }
                Action::Tell(token, said) => self.told(node, token, said),
                Action::Store(number, change, vote) => {
                    let keys = &mut self.machines[node].disk.keys;
                    match change.now {
                        Some(copied) => {
                            let until = self.now + ms(copied.keep_ms);
                            keys.insert(change.key, (vote, copied, until));
                        }
                        None => drop(keys.remove(&change.key)),
                    }
                    let at = self.now + ms(self.rng.random_range(0..3));
                    self.at(at, node, What::Event(Event::Stored(number, true)));
                }
                Action::Greet => self.greet(node),
                Action::Notify(Notification::Conflict(..)) => self.seen.conflicts += 1,
                Action::Notify(Notification::Outdated(..)) => {
                    self.seen.outdated += 1;
                    // What is on its disk counts no more.
                    self.machines[node].disk = Written::default();
                }
                Action::Notify(_) | Action::Allow(_) => {}
            }
        }
    }

    /// Who has just started, or has other lists, greets everyone.
    fn greet(&mut self, node: usize) {
        let Some(fleet) = &self.machines[node].fleet else { return };
        let hellos: Vec<(usize, Message)> = fleet
            .lists()
            .everyone()
            .into_iter()
            .filter(|to| *to != fleet.me())
            .map(|to| (self.index[&to], Message::Hello(fleet.hello(to))))
            .collect();
        hellos.into_iter().for_each(|(to, hello)| self.carry(node, to, None, hello));
    }

    fn told(&mut self, node: usize, token: AttemptId, said: ClaimOutcome) {
        let Some((key, ran)) = self.seen.tries.get_mut(&token.0) else { return };
        let key = *key;
        let name = match &said {
            ClaimOutcome::Granted => "granted",
            ClaimOutcome::Rejected(why) => {
                if *ran {
                    self.seen
                        .wrong
                        .push(format!("token {} of key {key} ran and is turned away: {why:?}", token.0));
                }
                &format!("turned {why:?}")
            }
            ClaimOutcome::RunningElsewhere => "elsewhere",
            ClaimOutcome::RemoteOutcome(RunResult::Succeeded(result)) => {
                let made = format!("job of {key}");
                if *result != made.as_bytes() || !self.seen.runs.contains_key(&key) {
                    self.seen.wrong.push(format!("key {key} got a result that no run made"));
                }
                "became"
            }
            ClaimOutcome::RemoteOutcome(RunResult::Failed) => "failed",
            ClaimOutcome::BodyMismatch => "mismatch",
            ClaimOutcome::Unknown => "unknown",
            ClaimOutcome::Replicated(true) => "held",
            ClaimOutcome::Replicated(false) => "unheld",
        };
        *self.seen.ended.entry(name.to_string()).or_default() += 1;
        if said == ClaimOutcome::Granted {
            *ran = true;
            let runs = self.seen.runs.entry(key).or_default();
            if let Some((first, by)) = runs.last() {
                self.seen.wrong.push(format!(
                    "key {key} runs by token {} at {node} at {:?}, and did by {by} at {first:?}",
                    token.0, self.now
                ));
            }
            runs.push((self.now, token.0));
            let over = self.now + ms(self.rng.random_range(5..80));
            self.at(over, node, What::RunOver(token));
        }
    }

    fn play(&mut self, until: Time) {
        while let Some(Reverse(next)) = self.queue.peek() {
            if next.at > until {
                break;
            }
            let Some(Reverse(Happening { at, node, process, what, number })) = self.queue.pop() else {
                break;
            };
            self.now = at;
            let machine = &mut self.machines[node];
            let own = matches!(
                what,
                What::Kill { .. }
                    | What::Start
                    | What::Cut { .. }
                    | What::Offer(_)
                    | What::Try(_)
                    | What::Copy
            );
            if !own && (machine.process != process || machine.fleet.is_none()) {
                continue;
            }
            if machine.asleep_until > at
                && !matches!(what, What::Kill { .. } | What::Cut { .. } | What::Start)
            {
                // It finds all that when it wakes up.
                let at = machine.asleep_until;
                self.queue.push(Reverse(Happening { at, number, node, process, what }));
                continue;
            }
            match what {
                What::Tick => {
                    self.event(node, Event::Tick);
                    let machine = &mut self.machines[node];
                    machine.disk.until = machine.fleet.as_ref().map(ReplicaNode::mark);
                    if self.machines[node].fleet.is_some() {
                        let first = self.now;
                        self.at(first + TICK, node, What::Tick);
                    }
                }
                What::Event(event) => self.event(node, event),
                What::Try(key) => self.try_key(node, key),
                What::RunOver(token) => {
                    let key = self.seen.tries[&token.0].0;
                    let fate = RunResult::Succeeded(Key::from(format!("job of {key}")));
                    self.event(node, Event::Ended(token, fate));
                }
                What::Kill { down, disk } => {
                    machine.fleet = None;
                    machine.asleep_until = Time::ZERO;
                    match disk {
                        Disk::RestoredState => {}
                        Disk::Lost => {
                            machine.disk = Written::default();
                            // Its disk is gone with what was on it: it can't know what it had granted.
                            machine.durable = false;
                        }
                        Disk::Old => machine.disk = std::mem::take(&mut machine.copy),
                    }
                    self.at(at + down, node, What::Start);
                }
                What::Start => {
                    self.start(node);
                    self.greet(node);
                }
                What::Sleep(duration) => machine.asleep_until = at + duration,
                What::Cut { zone, until } => {
                    if until > at {
                        self.cut.insert(zone, until);
                        self.at(until, node, What::Cut { zone, until });
                    } else {
                        self.cut.remove(&zone);
                    }
                }
                What::Offer(list) => self.event(node, Event::Membership(list)),
                What::Copy => machine.copy = machine.disk.clone(),
            }
        }
        self.now = until;
    }

    fn try_key(&mut self, node: usize, key: usize) {
        self.tokens += 1;
        let token = self.tokens;
        self.seen.tries.insert(token, (key, false));
        let wanted = RunRequest {
            token: AttemptId(token),
            key: Key::from(format!("key {key}")),
            body: 1,
            until: self.now + WINDOW,
            received_at: (self.now, self.now.as_millis() as u64),
            deadline: self.now + PATIENCE,
        };
        self.event(node, Event::Want(wanted));
    }

    /// Spreads keys over a stretch of time, each with up to three tries at any nodes, all within its window.
    fn load(&mut self, keys: std::ops::Range<usize>, from: Time, over: Duration, nodes: usize) {
        for key in keys {
            let at = from + over.mul_f64(self.rng.random());
            for _ in 0..self.rng.random_range(1..=3) {
                let later = ms(self.rng.random_range(0..1500));
                let node = self.rng.random_range(0..nodes);
                self.at(at + later, node, What::Try(key));
            }
        }
    }
}

const FINE: Weather = Weather { loss: 0.0, double: 0.0, delay: (1, 3) };
const FOUL: Weather = Weather { loss: 0.01, double: 0.02, delay: (1, 40) };

fn seeds(usual: u64) -> std::ops::Range<u64> {
    let set = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let first = set("OAKWIND_SIM_SEED").unwrap_or(1);
    first..first + set("OAKWIND_SIM_SEEDS").unwrap_or(usual)
}

/// Random faults for some seconds, then calm. Returns what was seen.
fn faults(seed: u64, nodes: usize, keys: usize, durable: bool) -> Seen {
    let zones = 3;
    let mut sim = Sim::new(seed, nodes, zones, durable, FOUL);
    sim.play(ms(3000));
    let (from, over) = (ms(3000), ms(12_000));
    sim.load(0..keys, from, over, nodes);
    for _ in 0..(nodes / 4).min(24) {
        let node = sim.rng.random_range(0..nodes);
        let at = from + over.mul_f64(sim.rng.random());
        let disk = [Disk::RestoredState, Disk::Lost, Disk::Old][sim.rng.random_range(0..3)];
        let down = ms(sim.rng.random_range(50..2000));
        if disk == Disk::Old && durable {
            let made = at.saturating_sub(ms(sim.rng.random_range(3500..9000)));
            sim.at(made, node, What::Copy);
        }
        sim.at(at, node, What::Kill { down, disk });
    }
    for _ in 0..(nodes / 8).min(12) {
        let node = sim.rng.random_range(0..nodes);
        let at = from + over.mul_f64(sim.rng.random());
        let slept = ms(sim.rng.random_range(500..4000));
        sim.at(at, node, What::Sleep(slept));
    }
    for _ in 0..2 {
        let zone = sim.rng.random_range(0..zones);
        let at = from + over.mul_f64(sim.rng.random());
        let until = at + ms(sim.rng.random_range(500..3000));
        sim.at(at, 0, What::Cut { zone, until });
    }
    // One node goes and one comes, told to everyone at different times.
    let next: Vec<usize> = (0..nodes + 1).filter(|n| *n != 1).collect();
    let next = list(2, &next, zones, WINDOW);
    let mut told: Vec<usize> = (0..nodes).filter(|n| *n != 1).collect();
    told.shuffle(&mut sim.rng);
    for node in told {
        let at = from + ms(4000) + ms(sim.rng.random_range(0..3000));
        sim.at(at, node, What::Offer(next.clone()));
    }
    sim.at(from + ms(5000), nodes, What::Start);
    sim.play(from + ms(4500));
    sim.list = next;
    sim.play(from + over + ms(6000));
    // In the calm after it bookings run again, everywhere.
    sim.weather = FINE;
    sim.play(from + over + ms(16_000));
    let in_trouble = std::mem::take(&mut sim.seen.ended);
    let now = sim.now;
    sim.load(keys..keys + 200, now, ms(1000), nodes);
    sim.play(now + ms(5000));
    let calm = std::mem::replace(&mut sim.seen.ended, in_trouble);
    // Tries at the node that is off the list are turned away.
    if calm.get("granted").is_none_or(|granted| *granted < 180) {
        let first =
            (0..nodes).find(|n| sim.machines[*n].fleet.as_ref().is_some_and(|fleet| !fleet.is_level()));
        sim.seen.wrong.push(format!("of 200 bookings in the calm after: {calm:?}; not level: {first:?}"));
    }
    sim.seen
}

fn hold(seed: u64, seen: &Seen) {
    println!(
        "seed {seed}: {:?}, {} frames, {} conflicts, {} old copies noticed",
        seen.ended, seen.frames, seen.conflicts, seen.outdated
    );
    assert!(seen.wrong.is_empty(), "OAKWIND_SIM_SEED={seed}: {:#?}", &seen.wrong[..seen.wrong.len().min(10)]);
}

#[test]
fn twelve_nodes_with_random_faults_run_no_key_twice() {
    for seed in seeds(12) {
        hold(seed, &faults(seed, 12, 1500, seed % 2 == 0));
    }
}

#[test]
fn three_hundred_nodes_with_random_faults_run_no_key_twice() {
    for seed in seeds(1) {
        hold(seed, &faults(seed, 300, 10_000, false));
    }
}

#[test]
fn the_cost_of_knowing_the_members_stays_flat() {
    let mut costs = Vec::new();
    for nodes in [3, 12, 100, 300] {
        let mut sim = Sim::new(1, nodes, 3, false, FINE);
        sim.play(ms(10_000));
        let before = sim.seen.frames;
        sim.play(ms(30_000));
        let each = (sim.seen.frames - before) as f64 / 20.0 / nodes as f64;
        println!("{nodes} nodes: {each:.2} frames a second and node");
        costs.push(each);
    }
    assert!(costs.iter().all(|cost| *cost < 4.5), "a probe and its answer twice a second: {costs:?}");
}

#[test]
fn a_silent_node_is_lost_to_all_and_a_fleet_of_any_size_learns_it_in_bounded_time() {
    for nodes in [12, 100, 300] {
        let mut sim = Sim::new(1, nodes, 1, false, FINE);
        sim.play(ms(8000));
        sim.machines[0].fleet = None;
        sim.play(ms(20_000));
        let think: BTreeSet<u64> =
            sim.machines.iter().filter_map(|m| m.fleet.as_ref()).map(|fleet| fleet.counts().lost).collect();
        assert_eq!(think, [1].into(), "{nodes} nodes");
    }
}

/// How a fleet came back of which seven in ten lost all they knew in the same moment.
#[derive(Debug)]
struct Back {
    /// Until the last of them had heard all that were there.
    caught_up: Duration,
    /// Until the last of them could vote for every key.
    sound: Duration,
    /// The most pages that a node gave within a tenth of a second, and in all.
    busiest: u64,
    given: u64,
}

fn back(seed: u64, nodes: usize) -> Back {
    let mut sim = Sim::new(seed, nodes, 3, true, FINE);
    sim.play(ms(4000));
    let keys = nodes * 30;
    sim.load(0..keys, ms(4000), ms(2500), nodes);
    sim.play(ms(8000));
    let mut struck: Vec<usize> = (0..nodes).collect();
    struck.shuffle(&mut sim.rng);
    struck.truncate(nodes * 7 / 10);
    let (down, at) = (ms(500), sim.now);
    struck.iter().for_each(|node| sim.at(at, *node, What::Kill { down, disk: Disk::Lost }));
    let up = at + down;
    sim.play(up + ms(1));
    sim.seen.pages.clear();
    let (mut caught_up, mut sound) = (None, None);
    while sound.is_none() && sim.now < up + ms(30_000) {
        let next = sim.now + ms(10);
        sim.play(next);
        let all = |holds: fn(&ReplicaNode) -> bool| {
            struck.iter().all(|node| sim.machines[*node].fleet.as_ref().is_some_and(holds))
        };
        caught_up = caught_up.or(all(|fleet| fleet.behind() == 0).then(|| sim.now - up));
        sound = sound.or(all(ReplicaNode::is_sound).then(|| sim.now - up));
    }
    assert!(sim.seen.wrong.is_empty(), "{:#?}", sim.seen.wrong);
    let given =
        |node: usize| sim.seen.pages.iter().filter(|((from, _), _)| *from == node).map(|(_, n)| n).sum();
    Back {
        caught_up: caught_up.unwrap_or(ms(30_000)),
        sound: sound.unwrap_or(ms(30_000)),
        busiest: sim.seen.pages.values().copied().max().unwrap_or(0),
        given: (0..nodes).map(given).max().unwrap_or(0),
    }
}

#[test]
fn the_way_back_of_seven_in_ten_takes_a_window_and_no_donor_is_overrun_whatever_the_size() {
    let sizes = [12, 50, 300];
    let backs: Vec<Back> = sizes.iter().map(|nodes| back(1, *nodes)).collect();
    for (nodes, Back { caught_up, sound, busiest, given }) in sizes.iter().zip(&backs) {
        println!(
            "nodes,{nodes},caught up ms,{},sound ms,{},most pages in 100 ms,{busiest},pages in all,{given}",
            caught_up.as_millis(),
            sound.as_millis()
        );
    }
    let (small, large) = (&backs[0], &backs[sizes.len() - 1]);
    assert!(large.sound < small.sound.mul_f64(1.15), "{backs:?}");
    assert!(backs.iter().all(|back| back.caught_up < ms(2000)), "{backs:?}");
    assert!(backs.iter().all(|back| back.busiest <= 160), "{backs:?}");
}
