//! An interpreter with cores of its own. All that runs shares them; past a crowd less is done in total. A fresh one
//! is slow and warms up. What runs can be paused and keeps its memory. It dies of too much on its cores or in its
//! memory, as the platform's rules say.

use std::collections::{BTreeMap, VecDeque};

use super::{Ms, MOMENT};
use crate::scenario::Fleet;

/// The crowd that kills is a mean over so long.
const OVERLOAD_FOR: Ms = 2000.0;
/// Chores that may wait, for each core; while there are more, nobody gets a connection.
const BACKLOG: f64 = 128.0;
/// How busy the cores are is a mean over so long.
const BUSY_SPAN: Ms = 500.0;
/// A request counts against the memory so long after it was written, or from its run.
const UNCOUNTED: Ms = 100.0;
/// While it warms up, its speed is taken anew this often.
const WARMING_STEP: Ms = 25.0;
/// More on the cores than this many times the cores, when warm, in the mean, is death.
pub const FALL_MULTIPLE: f64 = 8.0;

/// What it is made of.
#[derive(Debug, Clone)]
pub struct Make {
    /// Cores.
    pub cores: f64,
    /// Speed of each when warm.
    pub speed: f64,
    /// The part of it that a fresh one has.
    pub warm_from: f64,
    /// When it is warm.
    pub warm_ms: Ms,
    /// Past so many on the cores, for each core, less is done in total.
    pub thrash_at: f64,
    /// What is left of it at twice that crowd.
    pub thrash: f64,
    /// Memory.
    pub memory_kb: f64,
    /// Memory of a running request, as a multiple of one held.
    pub run_factor: f64,
}

impl Make {
    /// An interpreter of a fleet, whose cores have this speed.
    pub fn of(fleet: &Fleet, speed: f64) -> Make {
        Make {
            cores: f64::from(fleet.cores),
            speed,
            warm_from: fleet.warm_from,
            warm_ms: fleet.warm_s * 1000.0,
            thrash_at: fleet.thrash_at,
            thrash: fleet.thrash,
            memory_kb: fleet.memory_kb,
            run_factor: fleet.run_factor,
        }
    }

    /// The part of its speed that one has so long after a cold start.
    pub fn warm_fraction(&self, after: Ms) -> f64 {
        if after >= self.warm_ms {
            return 1.0;
        }
        self.warm_from + (1.0 - self.warm_from) * (after / self.warm_ms).max(0.0)
    }
}

/// One request to run.
#[derive(Debug, Clone, Copy)]
pub struct Work {
    /// Its id.
    pub txn: u64,
    /// Work on a core of speed 1.
    pub work: Ms,
    /// Whether it makes a call half way through.
    pub calls: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Stage {
    /// On the cores.
    Running,
    /// Off them, with its progress.
    Paused,
    /// It waits for its call.
    AtCall,
}

#[derive(Debug, Clone)]
struct Run {
    left: Ms,
    /// What is left once the call is made; none after it, or without one.
    call_at: Option<Ms>,
    stage: Stage,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    kb: f64,
    counts_from: Ms,
}

/// How many ran on the cores and how much of them was busy from `at` on, and the sums of both over all time before.
/// The sums make a mean over a stretch cheap, however much happened in it.
#[derive(Debug, Clone, Copy)]
struct Reading {
    at: Ms,
    values: [f64; 2],
    sums: [f64; 2],
}

impl Reading {
    fn sum(&self, which: usize, until: Ms) -> f64 {
        self.sums[which] + self.values[which] * (until - self.at)
    }
}

/// Positions in a reading.
const RUNS: usize = 0;
const BUSY: usize = 1;

/// Work beside the runs: reading a request, or a new connection.
#[derive(Debug, Clone, Copy)]
struct Chore {
    left: Ms,
    /// The request that is read.
    reads: Option<u64>,
}

/// What has happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Happened {
    /// A request was read.
    Read(u64),
    /// A run is over.
    Done(u64),
    /// A run was stopped, or came to a call when its request was over.
    Aborted(u64),
    /// A run waits for its call.
    AtCall(u64),
    /// It has died.
    Fell(&'static str),
}

/// The interpreter.
#[derive(Debug, Clone)]
pub struct Vm {
    make: Make,
    /// When it started, if cold; one that was up for long has none.
    cold_since: Option<Ms>,
    /// A fault's part of the speed.
    pub factor: f64,
    still: bool,
    at: Ms,
    runs: BTreeMap<u64, Run>,
    /// Reading and connecting, which share the cores with the runs: one a core at a time, the others wait.
    chores: VecDeque<Chore>,
    held: BTreeMap<u64, Held>,
    /// How many were on the cores, and how much of the cores was busy, from when on.
    concurrency: VecDeque<Reading>,
    fallen: bool,
}

impl Vm {
    /// One that starts now.
    pub fn new(make: Make, now: Ms, cold: bool) -> Vm {
        Vm {
            make,
            cold_since: cold.then_some(now),
            factor: 1.0,
            still: false,
            at: now,
            runs: BTreeMap::new(),
            chores: VecDeque::new(),
            held: BTreeMap::new(),
            concurrency: VecDeque::from([Reading { at: now, values: [0.0; 2], sums: [0.0; 2] }]),
            fallen: false,
        }
    }

    /// Whether it was cold when it started.
    pub fn cold(&self) -> bool {
        self.cold_since.is_some()
    }

    /// Stands still, or goes on. Time passes and nothing is done.
    pub fn set_paused(&mut self, now: Ms, still: bool) -> Vec<Happened> {
        let happened = self.advance(now);
        self.still = still;
        happened
    }

    /// A request was written to the node.
    pub fn hold(&mut self, now: Ms, txn: u64, kb: f64) {
        self.held.insert(txn, Held { kb, counts_from: now + UNCOUNTED });
    }

    /// A request is over for its caller: answered or given up. What is paused or waits for its call ends with it.
    pub fn over(&mut self, now: Ms, txn: u64) -> Vec<Happened> {
        let mut happened = self.advance(now);
        self.held.remove(&txn);
        if self.runs.get(&txn).is_some_and(|run| run.stage != Stage::Running) {
            self.runs.remove(&txn);
            happened.push(Happened::Aborted(txn));
        }
        happened
    }

    /// Whether a request is known and not over.
    pub fn holds(&self, txn: u64) -> bool {
        self.held.contains_key(&txn)
    }

    /// Whether a request runs, is paused or waits for its call.
    pub fn runs(&self, txn: u64) -> bool {
        self.runs.contains_key(&txn)
    }

    /// Begins to run a request, which is held.
    pub fn run(&mut self, now: Ms, work: Work) -> Vec<Happened> {
        let happened = self.advance(now);
        let half = work.work / 2.0;
        let run = Run { left: work.work, call_at: work.calls.then_some(half), stage: Stage::Running };
        self.runs.entry(work.txn).or_insert(run);
        self.count();
        happened
    }

    /// A request has come and is to be read, which takes so much work; it is not known before.
    pub fn read(&mut self, now: Ms, txn: u64, work: Ms) -> Vec<Happened> {
        self.chore(now, Chore { left: work, reads: Some(txn) })
    }

    /// A new connection takes so much work.
    pub fn connect(&mut self, now: Ms, work: Ms) -> Vec<Happened> {
        self.chore(now, Chore { left: work, reads: None })
    }

    fn chore(&mut self, now: Ms, chore: Chore) -> Vec<Happened> {
        let mut happened = self.advance(now);
        if chore.left > 0.0 {
            self.chores.push_back(chore);
            self.count();
        } else {
            happened.extend(chore.reads.map(Happened::Read));
        }
        happened
    }

    /// A request that may not have been read yet is not to be read any more.
    pub fn unread(&mut self, now: Ms, txn: u64) -> Vec<Happened> {
        let happened = self.advance(now);
        self.chores.retain(|chore| chore.reads != Some(txn));
        self.count();
        happened
    }

    /// Whether so much lies unread that no more connections are taken.
    pub fn is_overloaded(&self) -> bool {
        self.chores.len() as f64 > BACKLOG * self.make.cores
    }

    /// Chores that are on the cores.
    fn busy_chores(&self) -> usize {
        self.chores.len().min(self.make.cores.ceil() as usize)
    }

    /// Pauses a run; one whose request is over ends.
    pub fn pause(&mut self, now: Ms, txn: u64) -> Vec<Happened> {
        let mut happened = self.advance(now);
        let over = !self.holds(txn);
        match self.runs.get_mut(&txn) {
            Some(run) if run.stage == Stage::Running && over => {
                self.runs.remove(&txn);
                happened.push(Happened::Aborted(txn));
            }
            Some(run) if run.stage == Stage::Running => run.stage = Stage::Paused,
            _ => {}
        }
        self.count();
        happened
    }

    /// Takes a paused run up again, or one that waits for its call.
    pub fn go_on(&mut self, now: Ms, txn: u64) -> Vec<Happened> {
        let happened = self.advance(now);
        if let Some(run) = self.runs.get_mut(&txn) {
            if run.stage == Stage::AtCall {
                run.call_at = None;
            }
            run.stage = Stage::Running;
        }
        self.count();
        happened
    }

    /// Whether a run waits for its call.
    pub fn at_call(&self, txn: u64) -> bool {
        self.runs.get(&txn).is_some_and(|run| run.stage == Stage::AtCall)
    }

    /// Gauges: the busy part of the cores of late, what wants a core now, the part of the memory in use.
    pub fn gauges(&self, now: Ms) -> [f64; 3] {
        let busy = self.mean(now, BUSY_SPAN, BUSY);
        [busy, self.on_cores() as f64, self.memory(now) / self.make.memory_kb]
    }

    /// Its speed now, as a part of a core of speed 1.
    pub fn speed(&self, now: Ms) -> f64 {
        if self.still {
            return 0.0;
        }
        self.make.speed
            * self.factor
            * self.cold_since.map_or(1.0, |since| self.make.warm_fraction(now - since))
    }

    /// When something will happen if nothing is done until then.
    pub fn next(&self) -> Option<Ms> {
        if self.still || self.fallen {
            return None;
        }
        let rate = self.rate();
        let runs = self.runs.values().filter(|run| run.stage == Stage::Running);
        let chores = self.chores.iter().take(self.busy_chores()).map(|chore| chore.left);
        let lefts = runs.map(|run| run.left - run.call_at.unwrap_or(0.0)).chain(chores);
        let least = lefts.fold(f64::INFINITY, f64::min);
        if !least.is_finite() || rate <= 0.0 {
            return None;
        }
        let ends = self.at + (least / rate).max(MOMENT);
        let warming = self.cold_since.is_some_and(|since| self.at - since < self.make.warm_ms);
        Some(if warming { ends.min(self.at + WARMING_STEP) } else { ends })
    }

    /// Lets time pass, and tells what happened.
    pub fn advance(&mut self, now: Ms) -> Vec<Happened> {
        let mut happened = Vec::new();
        while let Some(next) = self.next().filter(|next| *next <= now) {
            self.work_until(next, &mut happened);
        }
        self.work_until(now.max(self.at), &mut happened);
        if let Some(why) = self.falls().filter(|_| !self.fallen) {
            self.fallen = true;
            happened.push(Happened::Fell(why));
        }
        happened
    }

    fn work_until(&mut self, until: Ms, happened: &mut Vec<Happened>) {
        // While it warms up, the speed half way is the mean.
        let half = Vm::middle(self.at, until);
        let done = (until - self.at) * self.rate_at(half);
        self.at = until;
        let before = self.on_cores();
        let busy = self.busy_chores();
        self.chores.iter_mut().take(busy).for_each(|chore| chore.left -= done);
        let over = self.chores.iter().filter(|chore| chore.left <= MOMENT);
        happened.extend(over.filter_map(|chore| chore.reads).map(Happened::Read));
        self.chores.retain(|chore| chore.left > MOMENT);
        let mut ended = Vec::new();
        for (txn, run) in self.runs.iter_mut().filter(|(_, run)| run.stage == Stage::Running) {
            run.left -= done;
            if run.call_at.is_some_and(|at| run.left <= at + MOMENT) {
                if self.held.contains_key(txn) {
                    run.stage = Stage::AtCall;
                    happened.push(Happened::AtCall(*txn));
                } else {
                    ended.push(*txn);
                    happened.push(Happened::Aborted(*txn));
                }
            } else if run.left <= MOMENT {
                ended.push(*txn);
                happened.push(Happened::Done(*txn));
            }
        }
        for txn in ended {
            self.runs.remove(&txn);
        }
        if self.on_cores() != before {
            self.count();
        }
    }

    fn middle(from: Ms, to: Ms) -> Ms {
        from + (to - from) / 2.0
    }

    fn on_cores(&self) -> usize {
        self.runs.values().filter(|run| run.stage == Stage::Running).count() + self.busy_chores()
    }

    /// What each on the cores gets done in a millisecond.
    fn rate(&self) -> f64 {
        self.rate_at(self.at)
    }

    fn rate_at(&self, now: Ms) -> f64 {
        let concurrency = self.on_cores() as f64 / self.make.cores;
        let over = ((concurrency - self.make.thrash_at) / self.make.thrash_at).clamp(0.0, 1.0);
        let left = 1.0 - (1.0 - self.make.thrash) * over;
        self.speed(now) * left * (1.0 / concurrency.max(1.0))
    }

    fn memory(&self, now: Ms) -> f64 {
        let held =
            self.held.iter().filter(|(txn, held)| held.counts_from <= now || self.runs.contains_key(txn));
        held.map(
            |(txn, held)| if self.runs.contains_key(txn) { held.kb * self.make.run_factor } else { held.kb },
        )
        .sum()
    }

    /// Notes how many are on the cores from now on.
    fn count(&mut self) {
        let runs = self.runs.values().filter(|run| run.stage == Stage::Running).count() as f64;
        let busy = (self.on_cores() as f64 / self.make.cores).min(1.0);
        let sums = self
            .concurrency
            .back()
            .map_or([0.0; 2], |last| [RUNS, BUSY].map(|which| last.sum(which, self.at)));
        self.concurrency.push_back(Reading { at: self.at, values: [runs, busy], sums });
        let old = self.at - OVERLOAD_FOR;
        while self.concurrency.get(1).is_some_and(|second| second.at <= old) {
            self.concurrency.pop_front();
        }
    }

    /// The mean of a reading over the last stretch.
    fn mean(&self, now: Ms, over: Ms, which: usize) -> f64 {
        let until = |at: Ms| {
            let after = self.concurrency.partition_point(|reading| reading.at <= at);
            // Before the first reading there was nothing.
            after
                .checked_sub(1)
                .and_then(|i| self.concurrency.get(i))
                .map_or(0.0, |reading| reading.sum(which, at))
        };
        (until(now) - until(now - over)) / over
    }

    fn falls(&self) -> Option<&'static str> {
        let share = self.cold_since.map_or(1.0, |since| self.make.warm_fraction(self.at - since));
        let most = self.make.cores * (1.0 + (FALL_MULTIPLE - 1.0) * share);
        if self.mean(self.at, OVERLOAD_FOR, RUNS) > most {
            return Some("too many on its cores");
        }
        (self.memory(self.at) > self.make.memory_kb).then_some("out of memory")
    }
}

#[cfg(test)]
mod tests;
