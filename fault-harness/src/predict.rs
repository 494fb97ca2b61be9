//! Plays a scenario without sockets and without the program, in virtual time: the same models, the same front ends,
//! and a plain node in the program's place, which runs a little more than its cores hold and keeps a short line. Its
//! history is checked and worked out like any other. It says what to expect of a calm fleet; what the program decides
//! under overload it does not know, and faults on links it leaves out.

use std::cell::RefCell;
use std::cmp::Ordering;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use rand_chacha::ChaCha8Rng;

use crate::history::{Event, History, Kind, Observation, ProcessExit};
use crate::model::dependency::{Below, Ended};
use crate::model::frontend::{Answer, Front, Journey, Pin, Step};
use crate::model::interpreter::{Happened, Make, Vm, Work};
use crate::model::registry::Members;
use crate::model::Ms;
use crate::play_context::terms;
use crate::scenario::{Fault, Scenario, What};
use crate::schedule::{call_time, generator, schedule, At, Schedule, Stream};

/// The plain node runs so many for each core.
const RUNNING: f64 = 1.25;
/// So many for each core may stand in its line.
const LINE: usize = 6;
/// Who is refused is asked to stay away for so long.
const LATER: Ms = 250.0;
/// Nodes report so often.
const REPORTS: Ms = 300.0;

#[derive(Debug)]
enum ScheduledEvent {
    ClientRequest(usize),
    Go(usize),
    Overdue(u64),
    Strike(usize, bool),
    Back(usize),
    Report,
}

struct Item(Ms, u64, ScheduledEvent);

impl PartialEq for Item {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Item {}

impl PartialOrd for Item {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Item {
    fn cmp(&self, other: &Self) -> Ordering {
        other.0.total_cmp(&self.0).then(other.1.cmp(&self.1))
    }
}

/// What a key has come to at a plain node.
#[derive(Clone)]
enum Key {
    Runs(Vec<u64>),
    Done(String),
}

struct Node {
    vm: Vm,
    up: bool,
    still: bool,
    line: VecDeque<u64>,
    keys: HashMap<usize, Key>,
}

struct Try {
    n: usize,
    node: usize,
    due: Ms,
    open: bool,
    read: bool,
}

struct Traveller {
    journey: Journey,
    tries: u32,
}

/// The whole play.
struct Play<'a> {
    scenario: &'a Scenario,
    schedule: Schedule,
    now: Ms,
    queue: BinaryHeap<Item>,
    order: u64,
    nodes: Vec<Node>,
    fronts: Vec<Front>,
    travellers: HashMap<usize, Traveller>,
    went: HashMap<usize, usize>,
    tries: HashMap<u64, Try>,
    next: u64,
    below: Option<Below>,
    rng: ChaCha8Rng,
    members: RefCell<Members>,
    seen: Vec<Observation>,
}

/// Plays it and returns what would be seen.
pub fn predict(scenario: &Scenario, seed: Option<u64>) -> History {
    let seed = seed.unwrap_or(scenario.seed);
    let schedule = schedule(scenario, seed);
    let nodes = schedule.speeds.iter().map(|speed| Node {
        vm: Vm::new(Make::of(&scenario.fleet, *speed), 0.0, scenario.fleet.cold),
        up: true,
        still: false,
        line: VecDeque::new(),
        keys: HashMap::new(),
    });
    let fronts = schedule.fronts.iter().enumerate().map(|(i, front)| {
        let rng = generator(seed, Stream::Habits, i as u64);
        Front::new(&scenario.fronts, front.choose, front.heeds, scenario.fleet.nodes, rng)
    });
    let mut play = Play {
        nodes: nodes.collect(),
        fronts: fronts.collect(),
        scenario,
        now: -1e5,
        queue: BinaryHeap::new(),
        order: 0,
        travellers: HashMap::new(),
        went: HashMap::new(),
        tries: HashMap::new(),
        next: 1,
        below: scenario.below.as_ref().map(|below| Below::new(below.slots, below.queue)),
        rng: generator(seed, Stream::Calls, 0),
        members: RefCell::new(Members::new(scenario.fleet.nodes, scenario.members.lapse_s * 1000.0)),
        seen: Vec::new(),
        schedule,
    };
    play.report();
    play.now = 0.0;
    play.run();
    History { terms: terms(scenario, seed), seen: play.seen }
}

impl Play<'_> {
    fn at(&mut self, at: Ms, due: ScheduledEvent) {
        self.order += 1;
        self.queue.push(Item(at, self.order, due));
    }

    fn note(&mut self, what: Event) {
        self.seen.push(Observation { t: self.now, what });
    }

    fn run(&mut self) {
        for n in 0..self.schedule.requests.len() {
            self.at(self.schedule.requests[n].at, ScheduledEvent::ClientRequest(n));
        }
        for i in 0..self.schedule.strikes.len() {
            if let At::Time(at) = self.schedule.strikes[i].at {
                self.at(at + self.schedule.strikes[i].after, ScheduledEvent::Strike(i, true));
            }
        }
        self.at(0.0, ScheduledEvent::Report);
        let longest = self.scenario.classes.iter().map(|class| class.deadline_ms).max().unwrap_or(0) as f64;
        let end = self.scenario.seconds * 1000.0 + longest + 1000.0;
        loop {
            let nodes = self.nodes.iter().enumerate().filter_map(|(i, node)| Some((node.vm.next()?, i)));
            let node = nodes.min_by(|a, b| a.0.total_cmp(&b.0));
            let below = self.below.as_ref().and_then(Below::next);
            let item = self.queue.peek().map(|item| item.0);
            let next =
                [node.map(|(at, _)| at), below, item].into_iter().flatten().fold(f64::INFINITY, f64::min);
            if next > end {
                return;
            }
            self.now = next.max(self.now);
            if let Some((_, i)) = node.filter(|(at, _)| *at <= next) {
                let happened = self.nodes[i].vm.advance(self.now);
                self.tell(i, happened);
            } else if below.is_some_and(|at| at <= next) {
                let ended = self.below.as_mut().map(|below| below.advance(self.now)).unwrap_or_default();
                ended.into_iter().for_each(|end| self.called(end));
            } else if let Some(Item(_, _, due)) = self.queue.pop() {
                self.due(due);
            }
        }
    }

    fn due(&mut self, due: ScheduledEvent) {
        match due {
            ScheduledEvent::ClientRequest(n) => self.ask(n),
            ScheduledEvent::Go(n) => self.step(n, Journey::go),
            ScheduledEvent::Overdue(txn) => match self.tries.get_mut(&txn).filter(|taken| taken.open) {
                Some(taken) if taken.read => self.answer(txn, Kind::Failed, Answer::Failed),
                Some(taken) => {
                    taken.open = false;
                    let (n, node) = (taken.n, taken.node);
                    let happened = self.nodes[node].vm.unread(self.now, txn);
                    self.answered(n, node, Answer::Silent);
                    self.tell(node, happened);
                }
                None => {}
            },
            ScheduledEvent::Strike(i, begins) => self.strike(i, begins),
            ScheduledEvent::Back(node) => self.back(node),
            ScheduledEvent::Report => {
                self.report();
                self.at(self.now + REPORTS, ScheduledEvent::Report);
            }
        }
    }

    fn report(&mut self) {
        let now = self.now;
        for (i, node) in self.nodes.iter().enumerate() {
            if node.up && !node.still {
                self.members.borrow_mut().report(now, i, true);
            }
        }
    }

    fn ask(&mut self, n: usize) {
        let ask = self.schedule.requests[n].clone();
        self.note(Event::Asked { n, class: ask.class, repeats: ask.repeats });
        let first = ask.repeats.and_then(|first| self.went.get(&first).copied());
        let pin = Pin::of(ask.repeats.is_some(), first, self.scenario.load.repeat_at);
        let due = self.now + self.scenario.classes[ask.class].deadline_ms as f64;
        let journey = Journey::new(due, pin, &self.fronts[ask.front]);
        self.travellers.insert(n, Traveller { journey, tries: 0 });
        self.step(n, Journey::go);
    }

    fn step(&mut self, n: usize, next: impl FnOnce(&mut Journey, Ms, &mut Front, &[bool]) -> Step) {
        let front = self.schedule.requests[n].front;
        let listed =
            self.members.borrow_mut().listed_at(self.now, self.now - self.schedule.fronts[front].late);
        let Some(traveller) = self.travellers.get_mut(&n) else { return };
        match next(&mut traveller.journey, self.now, &mut self.fronts[front], &listed) {
            Step::Try(node) => {
                traveller.tries += 1;
                self.went.entry(n).or_insert(node);
                self.arrive(n, node);
            }
            Step::Wait(until) => self.at(until, ScheduledEvent::Go(n)),
            Step::Over(end) => {
                let tries = traveller.tries;
                self.travellers.remove(&n);
                self.note(Event::Over { n, end, tries });
            }
        }
    }

    fn answered(&mut self, n: usize, node: usize, answer: Answer) {
        self.step(n, |journey, now, front, listed| journey.answered(now, node, answer, front, listed));
    }

    /// A try comes to a node.
    fn arrive(&mut self, n: usize, node: usize) {
        if !self.nodes[node].up {
            return self.answered(n, node, Answer::Gone);
        }
        let txn = self.next;
        self.next += 1;
        let ask = &self.schedule.requests[n];
        let due = ask.at + self.scenario.classes[ask.class].deadline_ms as f64;
        self.tries.insert(txn, Try { n, node, due, open: true, read: false });
        self.at(due, ScheduledEvent::Overdue(txn));
        let happened = self.nodes[node].vm.read(self.now, txn, self.scenario.fleet.read_ms);
        self.tell(node, happened);
    }

    /// A try was read.
    fn read(&mut self, txn: u64) {
        let Some(taken) = self.tries.get_mut(&txn).filter(|taken| taken.open) else { return };
        taken.read = true;
        let (n, node, due) = (taken.n, taken.node, taken.due);
        let ask = &self.schedule.requests[n];
        let (key, kb, front) = (ask.repeats.unwrap_or(n), ask.kb, ask.front);
        let keyed = self.scenario.classes[ask.class].keyed;
        self.note(Event::Wrote { txn, n, node, front, due });
        let cores = self.scenario.fleet.cores as usize;
        let place = &mut self.nodes[node];
        place.vm.hold(self.now, txn, kb);
        let known = keyed.then(|| place.keys.get(&key).cloned()).flatten();
        match known {
            Some(Key::Done(result)) => {
                let poorer = result.ends_with(" poorer");
                self.answer(txn, Kind::Served(result), Answer::Served { poorer });
            }
            Some(Key::Runs(_)) => {
                if let Some(Key::Runs(joined)) = place.keys.get_mut(&key) {
                    joined.push(txn);
                }
            }
            None if place.line.len() >= LINE * cores => {
                let refused = Kind::Refused { later: Some(LATER), giveup: false };
                self.answer(txn, refused, Answer::Refused { later: Some(LATER), giveup: false });
            }
            None => {
                if keyed {
                    place.keys.insert(key, Key::Runs(Vec::new()));
                }
                place.line.push_back(txn);
            }
        }
        self.start(node);
    }

    /// Begins what waits, as long as there is room on the cores.
    fn start(&mut self, node: usize) {
        let most = (f64::from(self.scenario.fleet.cores) * RUNNING).ceil();
        while self.nodes[node].up && !self.nodes[node].still && self.nodes[node].vm.gauges(self.now)[1] < most
        {
            let Some(txn) = self.nodes[node].line.pop_front() else { return };
            let Some(taken) = self.tries.get(&txn).filter(|taken| taken.open) else { continue };
            let ask = &self.schedule.requests[taken.n];
            let work = Work { txn, work: ask.work, calls: self.scenario.classes[ask.class].calls };
            self.note(Event::Began { txn, node });
            let happened = self.nodes[node].vm.run(self.now, work);
            self.tell(node, happened);
        }
    }

    fn tell(&mut self, node: usize, happened: Vec<Happened>) {
        for what in happened {
            match what {
                Happened::Read(txn) => self.read(txn),
                Happened::Done(txn) => self.ended(node, txn, Some(format!("job {txn:016x}"))),
                Happened::Aborted(txn) => self.ended(node, txn, None),
                Happened::AtCall(txn) => self.call(node, txn),
                Happened::Fell(why) => {
                    self.note(Event::Fell { node, text: why.into() });
                    self.down(node, Some(2000.0));
                }
            }
        }
        if self.nodes[node].up {
            self.start(node);
        }
    }

    fn ended(&mut self, node: usize, txn: u64, result: Option<String>) {
        self.note(Event::Ended { txn, node, result: result.clone() });
        let Some(taken) = self.tries.get(&txn) else { return };
        let n = taken.n;
        let key = self.schedule.requests[n].repeats.unwrap_or(n);
        let joined = match (self.nodes[node].keys.remove(&key), &result) {
            (Some(Key::Runs(joined)), Some(result)) => {
                self.nodes[node].keys.insert(key, Key::Done(result.clone()));
                joined
            }
            (Some(Key::Runs(joined)), None) => joined,
            (Some(done), _) => {
                self.nodes[node].keys.insert(key, done);
                Vec::new()
            }
            (None, _) => Vec::new(),
        };
        for txn in joined.into_iter().chain([txn]) {
            match &result {
                Some(result) => {
                    self.answer(txn, Kind::Served(result.clone()), Answer::Served { poorer: false });
                }
                None => self.answer(txn, Kind::Failed, Answer::Failed),
            }
        }
    }

    fn call(&mut self, node: usize, txn: u64) {
        let Some(due) = self.tries.get(&txn).map(|taken| taken.due) else { return };
        let Some(shape) = &self.scenario.below else { return };
        let time = call_time(&mut self.rng, shape.work_ms, shape.cv);
        let now = self.now;
        if self.below.as_mut().is_some_and(|below| below.call(now, txn, time, due)) {
            self.note(Event::Called { txn, node });
        } else {
            self.called(Ended::Slow(txn));
        }
    }

    /// A call has ended; where it failed, the request goes on without it or fails.
    fn called(&mut self, end: Ended) {
        let (txn, done) = match end {
            Ended::Done(txn) => (txn, true),
            Ended::Slow(txn) => (txn, false),
        };
        let Some(taken) = self.tries.get(&txn) else { return };
        let node = taken.node;
        let skips = self.scenario.classes[self.schedule.requests[taken.n].class].skip_worth > 0.0;
        if !done && !skips {
            self.answer(txn, Kind::Failed, Answer::Failed);
        }
        let happened = self.nodes[node].vm.go_on(self.now, txn);
        self.tell(node, happened);
    }

    fn answer(&mut self, txn: u64, kind: Kind, answer: Answer) {
        let Some(taken) = self.tries.get_mut(&txn).filter(|taken| taken.open) else { return };
        taken.open = false;
        let (n, node) = (taken.n, taken.node);
        self.note(Event::Answered { txn, kind });
        let happened = self.nodes[node].vm.over(self.now, txn);
        self.answered(n, node, answer);
        self.tell(node, happened);
    }

    fn strike(&mut self, i: usize, begins: bool) {
        let strike = self.schedule.strikes[i].clone();
        let Fault { what, factor, for_s, down_s, .. } = strike.fault;
        let down = down_s.map(|s| s * 1000.0);
        if begins {
            let lasts = for_s.or(down_s).unwrap_or(0.0) * 1000.0;
            let text = format!("{what:?} {}", strike.whom.len()).to_lowercase();
            self.note(Event::Fault { text, until: self.now + lasts });
            if for_s.is_some() {
                self.at(self.now + lasts, ScheduledEvent::Strike(i, false));
            }
        }
        for node in strike.whom.iter().copied().filter(|_| what != What::Fronts) {
            match what {
                What::Kill | What::Leave if begins => self.down(node, down),
                What::Stop => {
                    self.nodes[node].still = begins;
                    self.note(Event::Still { node, still: begins });
                    let happened = self.nodes[node].vm.set_paused(self.now, begins);
                    self.tell(node, happened);
                }
                What::Slow => {
                    let happened = self.nodes[node].vm.advance(self.now);
                    self.nodes[node].vm.factor = if begins { factor } else { 1.0 };
                    self.tell(node, happened);
                }
                _ => {}
            }
        }
        match what {
            What::Below => {
                if let Some(below) = &mut self.below {
                    below.weaken(if begins { factor } else { 1.0 });
                }
            }
            What::Members => self.members.borrow_mut().deaf(self.now, begins),
            What::Fronts => strike.whom.iter().for_each(|front| self.fronts[*front].restart()),
            _ => {}
        }
    }

    fn down(&mut self, node: usize, back: Option<Ms>) {
        if !self.nodes[node].up {
            return;
        }
        self.note(Event::Down { node, way: ProcessExit::Killed });
        self.note(Event::Wiped { node });
        let make = Make::of(&self.scenario.fleet, self.schedule.speeds[node]);
        let now = self.now;
        let place = &mut self.nodes[node];
        (place.up, place.vm) = (false, Vm::new(make, now, true));
        place.line.clear();
        place.keys.clear();
        let lost: Vec<u64> = self
            .tries
            .iter()
            .filter(|(_, taken)| taken.open && taken.node == node)
            .map(|(txn, _)| *txn)
            .collect();
        for txn in lost {
            if let Some(taken) = self.tries.get_mut(&txn) {
                taken.open = false;
                let n = taken.n;
                self.answered(n, node, Answer::Gone);
            }
        }
        if let Some(back) = back {
            self.at(now + back, ScheduledEvent::Back(node));
        }
    }

    fn back(&mut self, node: usize) {
        let make = Make::of(&self.scenario.fleet, self.schedule.speeds[node]);
        self.nodes[node].vm = Vm::new(make, self.now, true);
        self.nodes[node].up = true;
        self.note(Event::Up { node, cold: true });
        self.report();
    }
}

#[cfg(test)]
mod tests;
