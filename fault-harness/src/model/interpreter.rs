//! An interpreter with cores of its own, which all runs share; past a certain concurrency less is done in total. A fresh
//! one is slow and warms up. A run can be paused and keeps its memory. The interpreter dies of too much concurrency or
//! memory, as the platform's rules say.

mod load_history;
mod spec;

use std::collections::{BTreeMap, VecDeque};

use super::{Ms, MOMENT};
use load_history::{Gauge, LoadHistory};

pub use spec::InterpreterSpec;

/// The concurrency that kills is a mean over so long.
const OVERLOAD_FOR: Ms = 2000.0;
/// Chores that may be queued, for each core; while there are more, no connection is accepted.
const BACKLOG: f64 = 128.0;
/// How busy the cores are is a mean over so long.
const BUSY_SPAN: Ms = 500.0;
/// A request counts against the memory so long after it was written, or from its run.
const UNCOUNTED: Ms = 100.0;
/// While it warms up, its speed is recomputed this often.
const WARMING_STEP: Ms = 25.0;
/// A mean concurrency over this many times the cores, when warm, kills it.
pub const FALL_MULTIPLE: f64 = 8.0;

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
    remaining: Ms,
    /// What is left once the call is made; none after it, or without one.
    call_at: Option<Ms>,
    stage: Stage,
}

#[derive(Debug, Clone, Copy)]
struct Held {
    kb: f64,
    counts_from: Ms,
}

/// Work beside the runs: reading a request, or a new connection.
#[derive(Debug, Clone, Copy)]
struct Chore {
    remaining: Ms,
    /// The request that is read.
    reads: Option<u64>,
}

/// What has happened in an interpreter.
#[derive(Debug, Clone, PartialEq)]
pub enum InterpreterEvent {
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
pub struct InterpreterModel {
    spec: InterpreterSpec,
    /// When it started, if cold; one that was up for long has none.
    cold_since: Option<Ms>,
    /// The fraction of the speed that a fault leaves.
    pub factor: f64,
    is_paused: bool,
    at: Ms,
    runs: BTreeMap<u64, Run>,
    /// Reading and connecting, which share the cores with the runs: one a core at a time, the others wait.
    chores: VecDeque<Chore>,
    held: BTreeMap<u64, Held>,
    /// How many were on the cores, and how much of the cores was busy.
    load: LoadHistory,
    fallen: bool,
}

impl InterpreterModel {
    /// One that starts now.
    pub fn new(spec: InterpreterSpec, now: Ms, cold: bool) -> InterpreterModel {
        InterpreterModel {
            spec,
            cold_since: cold.then_some(now),
            factor: 1.0,
            is_paused: false,
            at: now,
            runs: BTreeMap::new(),
            chores: VecDeque::new(),
            held: BTreeMap::new(),
            load: LoadHistory::new(now),
            fallen: false,
        }
    }

    /// Whether it was cold when it started.
    pub fn cold(&self) -> bool {
        self.cold_since.is_some()
    }

    /// Pauses it, or resumes it. While it is paused, time passes and nothing is done.
    pub fn set_paused(&mut self, now: Ms, paused: bool) -> Vec<InterpreterEvent> {
        let happened = self.advance(now);
        self.is_paused = paused;
        happened
    }

    /// A request was written to the node.
    pub fn hold(&mut self, now: Ms, txn: u64, kb: f64) {
        self.held.insert(txn, Held { kb, counts_from: now + UNCOUNTED });
    }

    /// A request is over for its caller: answered or cancelled. What is paused or waits for its call ends with it.
    pub fn over(&mut self, now: Ms, txn: u64) -> Vec<InterpreterEvent> {
        let mut happened = self.advance(now);
        self.held.remove(&txn);
        if self.runs.get(&txn).is_some_and(|run| run.stage != Stage::Running) {
            self.runs.remove(&txn);
            happened.push(InterpreterEvent::Aborted(txn));
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
    pub fn run(&mut self, now: Ms, work: Work) -> Vec<InterpreterEvent> {
        let happened = self.advance(now);
        let half = work.work / 2.0;
        let run = Run { remaining: work.work, call_at: work.calls.then_some(half), stage: Stage::Running };
        self.runs.entry(work.txn).or_insert(run);
        self.record_load();
        happened
    }

    /// A request has come and is to be read, which takes so much work; it is not known before.
    pub fn read(&mut self, now: Ms, txn: u64, work: Ms) -> Vec<InterpreterEvent> {
        self.chore(now, Chore { remaining: work, reads: Some(txn) })
    }

    /// A new connection takes so much work.
    pub fn connect(&mut self, now: Ms, work: Ms) -> Vec<InterpreterEvent> {
        self.chore(now, Chore { remaining: work, reads: None })
    }

    fn chore(&mut self, now: Ms, chore: Chore) -> Vec<InterpreterEvent> {
        let mut happened = self.advance(now);
        if chore.remaining > 0.0 {
            self.chores.push_back(chore);
            self.record_load();
        } else {
            happened.extend(chore.reads.map(InterpreterEvent::Read));
        }
        happened
    }

    /// A request that may not have been read yet is not to be read any more.
    pub fn unread(&mut self, now: Ms, txn: u64) -> Vec<InterpreterEvent> {
        let happened = self.advance(now);
        self.chores.retain(|chore| chore.reads != Some(txn));
        self.record_load();
        happened
    }

    /// Whether so much lies unread that no more connections are taken.
    pub fn is_overloaded(&self) -> bool {
        self.chores.len() as f64 > BACKLOG * self.spec.cores
    }

    /// Chores that are on the cores.
    fn busy_chores(&self) -> usize {
        self.chores.len().min(self.spec.cores.ceil() as usize)
    }

    /// Pauses a run; one whose request is over ends.
    pub fn pause(&mut self, now: Ms, txn: u64) -> Vec<InterpreterEvent> {
        let mut happened = self.advance(now);
        let over = !self.holds(txn);
        match self.runs.get_mut(&txn) {
            Some(run) if run.stage == Stage::Running && over => {
                self.runs.remove(&txn);
                happened.push(InterpreterEvent::Aborted(txn));
            }
            Some(run) if run.stage == Stage::Running => run.stage = Stage::Paused,
            _ => {}
        }
        self.record_load();
        happened
    }

    /// Takes a paused run up again, or one that waits for its call.
    pub fn go_on(&mut self, now: Ms, txn: u64) -> Vec<InterpreterEvent> {
        let happened = self.advance(now);
        if let Some(run) = self.runs.get_mut(&txn) {
            if run.stage == Stage::AtCall {
                run.call_at = None;
            }
            run.stage = Stage::Running;
        }
        self.record_load();
        happened
    }

    /// Whether a run waits for its call.
    pub fn at_call(&self, txn: u64) -> bool {
        self.runs.get(&txn).is_some_and(|run| run.stage == Stage::AtCall)
    }

    /// Gauges: the busy part of the cores of late, what wants a core now, the part of the memory in use.
    pub fn gauges(&self, now: Ms) -> [f64; 3] {
        let busy = self.load.mean(now, BUSY_SPAN, Gauge::Busy);
        [busy, self.on_cores() as f64, self.memory(now) / self.spec.memory_kb]
    }

    /// Its speed now, as a part of a core of speed 1.
    pub fn speed(&self, now: Ms) -> f64 {
        if self.is_paused {
            return 0.0;
        }
        self.spec.speed
            * self.factor
            * self.cold_since.map_or(1.0, |since| self.spec.warm_fraction(now - since))
    }

    /// When something will happen if nothing is done until then.
    pub fn next(&self) -> Option<Ms> {
        if self.is_paused || self.fallen {
            return None;
        }
        let rate = self.rate();
        let runs = self.runs.values().filter(|run| run.stage == Stage::Running);
        let chores = self.chores.iter().take(self.busy_chores()).map(|chore| chore.remaining);
        let remaining = runs.map(|run| run.remaining - run.call_at.unwrap_or(0.0)).chain(chores);
        let least = remaining.fold(f64::INFINITY, f64::min);
        if !least.is_finite() || rate <= 0.0 {
            return None;
        }
        let ends = self.at + (least / rate).max(MOMENT);
        let warming = self.cold_since.is_some_and(|since| self.at - since < self.spec.warm_ms);
        Some(if warming { ends.min(self.at + WARMING_STEP) } else { ends })
    }

    /// Lets time pass, and returns what happened.
    pub fn advance(&mut self, now: Ms) -> Vec<InterpreterEvent> {
        let mut happened = Vec::new();
        while let Some(next) = self.next().filter(|next| *next <= now) {
            self.work_until(next, &mut happened);
        }
        self.work_until(now.max(self.at), &mut happened);
        if let Some(why) = self.cause_of_death().filter(|_| !self.fallen) {
            self.fallen = true;
            happened.push(InterpreterEvent::Fell(why));
        }
        happened
    }

    fn work_until(&mut self, until: Ms, happened: &mut Vec<InterpreterEvent>) {
        // While it warms up, the speed half way is the mean.
        let half = InterpreterModel::middle(self.at, until);
        let done = (until - self.at) * self.rate_at(half);
        self.at = until;
        let before = self.on_cores();
        let busy = self.busy_chores();
        self.chores.iter_mut().take(busy).for_each(|chore| chore.remaining -= done);
        let over = self.chores.iter().filter(|chore| chore.remaining <= MOMENT);
        happened.extend(over.filter_map(|chore| chore.reads).map(InterpreterEvent::Read));
        self.chores.retain(|chore| chore.remaining > MOMENT);
        let mut ended = Vec::new();
        for (txn, run) in self.runs.iter_mut().filter(|(_, run)| run.stage == Stage::Running) {
            run.remaining -= done;
            if run.call_at.is_some_and(|at| run.remaining <= at + MOMENT) {
                if self.held.contains_key(txn) {
                    run.stage = Stage::AtCall;
                    happened.push(InterpreterEvent::AtCall(*txn));
                } else {
                    ended.push(*txn);
                    happened.push(InterpreterEvent::Aborted(*txn));
                }
            } else if run.remaining <= MOMENT {
                ended.push(*txn);
                happened.push(InterpreterEvent::Done(*txn));
            }
        }
        for txn in ended {
            self.runs.remove(&txn);
        }
        if self.on_cores() != before {
            self.record_load();
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
        let concurrency = self.on_cores() as f64 / self.spec.cores;
        let over = ((concurrency - self.spec.thrash_at) / self.spec.thrash_at).clamp(0.0, 1.0);
        let left = 1.0 - (1.0 - self.spec.thrash) * over;
        self.speed(now) * left * (1.0 / concurrency.max(1.0))
    }

    fn memory(&self, now: Ms) -> f64 {
        let held =
            self.held.iter().filter(|(txn, held)| held.counts_from <= now || self.runs.contains_key(txn));
        held.map(
            |(txn, held)| if self.runs.contains_key(txn) { held.kb * self.spec.run_factor } else { held.kb },
        )
        .sum()
    }

    /// Notes how many are on the cores from now on.
    fn record_load(&mut self) {
        let runs = self.runs.values().filter(|run| run.stage == Stage::Running).count() as f64;
        let busy = (self.on_cores() as f64 / self.spec.cores).min(1.0);
        self.load.record(self.at, runs, busy, OVERLOAD_FOR);
    }

    fn cause_of_death(&self) -> Option<&'static str> {
        let share = self.cold_since.map_or(1.0, |since| self.spec.warm_fraction(self.at - since));
        let most = self.spec.cores * (1.0 + (FALL_MULTIPLE - 1.0) * share);
        if self.load.mean(self.at, OVERLOAD_FOR, Gauge::Runs) > most {
            return Some("too many on its cores");
        }
        (self.memory(self.at) > self.spec.memory_kb).then_some("out of memory")
    }
}

#[cfg(test)]
mod tests;
