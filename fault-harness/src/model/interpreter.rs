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
const OVERLOAD_SPAN: Ms = 2000.0;
/// Chores that may be queued, for each core; while there are more, no connection is accepted.
const MAX_CHORES_PER_CORE: f64 = 128.0;
/// How busy the cores are is a mean over so long.
const BUSY_SPAN: Ms = 500.0;
/// A request counts against the memory so long after it was written, or from the start of its run.
const UNCOUNTED: Ms = 100.0;
/// While it warms up, its speed is recomputed this often.
const WARMING_STEP: Ms = 25.0;
/// A mean concurrency over this many times the cores, when warm, kills it.
pub const FALL_MULTIPLE: f64 = 8.0;

/// A request to run.
#[derive(Debug, Clone, Copy)]
pub struct RunRequest {
    /// Its attempt.
    pub attempt: u64,
    /// Work on a core of speed 1.
    pub work: Ms,
    /// Whether it calls the dependency half way through.
    pub calls_dependency: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum RunState {
    /// On the cores.
    Running,
    /// Off them, with its progress.
    Paused,
    /// It waits for its call.
    WaitingForCall,
}

#[derive(Debug, Clone)]
struct Run {
    remaining: Ms,
    /// The work that remains when the call is made; none after it, or without one.
    call_at: Option<Ms>,
    state: RunState,
}

impl Run {
    fn is_running(&self) -> bool {
        self.state == RunState::Running
    }
}

/// A request that was written to the node and is not over.
#[derive(Debug, Clone, Copy)]
struct OpenRequest {
    memory_kb: f64,
    /// From when on it counts against the memory.
    counts_from: Ms,
}

/// Work beside the runs: reading a request, or a new connection.
#[derive(Debug, Clone, Copy)]
struct Chore {
    remaining: Ms,
    /// The attempt that is read.
    reads: Option<u64>,
}

/// What has happened in an interpreter.
#[derive(Debug, Clone, PartialEq)]
pub enum InterpreterEvent {
    /// An attempt was read.
    RequestRead(u64),
    /// A run is complete.
    Completed(u64),
    /// A run was stopped, or came to its call when its request was over.
    Aborted(u64),
    /// A run waits for its call.
    CallStarted(u64),
    /// The interpreter has died, of this.
    Died(&'static str),
}

/// What an interpreter reports of itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Gauges {
    /// The fraction of the cores that was busy of late.
    pub cpu_busy: f64,
    /// How many runs and chores are on the cores.
    pub runnable: f64,
    /// The fraction of the memory in use.
    pub memory_used: f64,
}

impl Gauges {
    /// All of them, in the order of the interpreter's protocol.
    pub fn as_array(&self) -> [f64; 3] {
        [self.cpu_busy, self.runnable, self.memory_used]
    }
}

/// The interpreter.
#[derive(Debug, Clone)]
pub struct InterpreterModel {
    spec: InterpreterSpec,
    /// When it started, if cold; one that has been up for long has none.
    cold_since: Option<Ms>,
    /// The fraction of the speed that a fault leaves.
    pub speed_factor: f64,
    is_paused: bool,
    at: Ms,
    runs: BTreeMap<u64, Run>,
    /// Reading and connecting, which share the cores with the runs: one a core at a time, the others wait.
    chores: VecDeque<Chore>,
    requests: BTreeMap<u64, OpenRequest>,
    /// How many were on the cores, and how much of the cores was busy.
    load: LoadHistory,
    is_dead: bool,
}

impl InterpreterModel {
    /// One that starts now.
    pub fn new(spec: InterpreterSpec, now: Ms, is_cold: bool) -> InterpreterModel {
        InterpreterModel {
            spec,
            cold_since: is_cold.then_some(now),
            speed_factor: 1.0,
            is_paused: false,
            at: now,
            runs: BTreeMap::new(),
            chores: VecDeque::new(),
            requests: BTreeMap::new(),
            load: LoadHistory::new(now),
            is_dead: false,
        }
    }

    /// Whether it was cold when it started.
    pub fn is_cold(&self) -> bool {
        self.cold_since.is_some()
    }

    /// Pauses it, or resumes it. While it is paused, time passes and nothing is done.
    pub fn set_paused(&mut self, now: Ms, paused: bool) -> Vec<InterpreterEvent> {
        let events = self.advance(now);
        self.is_paused = paused;
        events
    }

    /// A request was written to the node.
    pub fn admit_request(&mut self, now: Ms, attempt: u64, memory_kb: f64) {
        self.requests.insert(attempt, OpenRequest { memory_kb, counts_from: now + UNCOUNTED });
    }

    /// A request is over for its caller: answered or cancelled. What is paused or waits for its call ends with it.
    pub fn release_request(&mut self, now: Ms, attempt: u64) -> Vec<InterpreterEvent> {
        let mut events = self.advance(now);
        self.requests.remove(&attempt);
        if self.runs.get(&attempt).is_some_and(|run| !run.is_running()) {
            self.runs.remove(&attempt);
            events.push(InterpreterEvent::Aborted(attempt));
        }
        events
    }

    /// Whether a request is known and not over.
    pub fn has_request(&self, attempt: u64) -> bool {
        self.requests.contains_key(&attempt)
    }

    /// Whether a request runs, is paused or waits for its call.
    pub fn has_run(&self, attempt: u64) -> bool {
        self.runs.contains_key(&attempt)
    }

    /// Starts to run a request that was admitted.
    pub fn start_run(&mut self, now: Ms, request: RunRequest) -> Vec<InterpreterEvent> {
        let events = self.advance(now);
        let half = request.work / 2.0;
        let call_at = request.calls_dependency.then_some(half);
        let run = Run { remaining: request.work, call_at, state: RunState::Running };
        self.runs.entry(request.attempt).or_insert(run);
        self.record_load();
        events
    }

    /// An attempt has come and is to be read, which takes so much work; it is not known before.
    pub fn start_reading(&mut self, now: Ms, attempt: u64, work: Ms) -> Vec<InterpreterEvent> {
        self.add_chore(now, Chore { remaining: work, reads: Some(attempt) })
    }

    /// A new connection takes so much work.
    pub fn accept_connection(&mut self, now: Ms, work: Ms) -> Vec<InterpreterEvent> {
        self.add_chore(now, Chore { remaining: work, reads: None })
    }

    fn add_chore(&mut self, now: Ms, chore: Chore) -> Vec<InterpreterEvent> {
        let mut events = self.advance(now);
        if chore.remaining > 0.0 {
            self.chores.push_back(chore);
            self.record_load();
        } else {
            events.extend(chore.reads.map(InterpreterEvent::RequestRead));
        }
        events
    }

    /// An attempt that may not have been read yet is not to be read any more.
    pub fn cancel_reading(&mut self, now: Ms, attempt: u64) -> Vec<InterpreterEvent> {
        let events = self.advance(now);
        self.chores.retain(|chore| chore.reads != Some(attempt));
        self.record_load();
        events
    }

    /// Whether so much is still to be read that no more connections are accepted.
    pub fn is_overloaded(&self) -> bool {
        self.chores.len() as f64 > MAX_CHORES_PER_CORE * self.spec.cores
    }

    /// Chores that are on the cores.
    fn busy_chores(&self) -> usize {
        self.chores.len().min(self.spec.cores.ceil() as usize)
    }

    /// Pauses a run; one whose request is over ends.
    pub fn pause_run(&mut self, now: Ms, attempt: u64) -> Vec<InterpreterEvent> {
        let mut events = self.advance(now);
        let is_over = !self.has_request(attempt);
        match self.runs.get_mut(&attempt) {
            Some(run) if run.is_running() && is_over => {
                self.runs.remove(&attempt);
                events.push(InterpreterEvent::Aborted(attempt));
            }
            Some(run) if run.is_running() => run.state = RunState::Paused,
            _ => {}
        }
        self.record_load();
        events
    }

    /// Resumes a paused run, or one that waits for its call.
    pub fn resume_run(&mut self, now: Ms, attempt: u64) -> Vec<InterpreterEvent> {
        let events = self.advance(now);
        if let Some(run) = self.runs.get_mut(&attempt) {
            if run.state == RunState::WaitingForCall {
                run.call_at = None;
            }
            run.state = RunState::Running;
        }
        self.record_load();
        events
    }

    /// Whether a run waits for its call.
    pub fn is_at_call(&self, attempt: u64) -> bool {
        self.runs.get(&attempt).is_some_and(|run| run.state == RunState::WaitingForCall)
    }

    /// What it reports of itself.
    pub fn gauges(&self, now: Ms) -> Gauges {
        Gauges {
            cpu_busy: self.load.mean(now, BUSY_SPAN, Gauge::Busy),
            runnable: self.on_cores() as f64,
            memory_used: self.memory_kb(now) / self.spec.memory_kb,
        }
    }

    /// Its speed now, as a fraction of a core of speed 1.
    pub fn speed(&self, now: Ms) -> f64 {
        if self.is_paused {
            return 0.0;
        }
        self.spec.speed * self.speed_factor * self.warm_fraction(now)
    }

    /// The fraction of its speed that it has by its warm-up.
    fn warm_fraction(&self, now: Ms) -> f64 {
        self.cold_since.map_or(1.0, |since| self.spec.warm_fraction(now - since))
    }

    /// When something will happen if nothing is done until then.
    pub fn next(&self) -> Option<Ms> {
        if self.is_paused || self.is_dead {
            return None;
        }
        let rate = self.rate(self.at);
        let runs = self.runs.values().filter(|run| run.is_running());
        let chores = self.chores.iter().take(self.busy_chores()).map(|chore| chore.remaining);
        let remaining = runs.map(|run| run.remaining - run.call_at.unwrap_or(0.0)).chain(chores);
        let least = remaining.fold(f64::INFINITY, f64::min);
        if !least.is_finite() || rate <= 0.0 {
            return None;
        }
        let ends = self.at + (least / rate).max(MOMENT);
        let is_warming = self.cold_since.is_some_and(|since| self.at - since < self.spec.warm_ms);
        Some(if is_warming { ends.min(self.at + WARMING_STEP) } else { ends })
    }

    /// Lets time pass, and returns what happened.
    pub fn advance(&mut self, now: Ms) -> Vec<InterpreterEvent> {
        let mut events = Vec::new();
        while let Some(next) = self.next().filter(|next| *next <= now) {
            self.work_until(next, &mut events);
        }
        self.work_until(now.max(self.at), &mut events);
        if let Some(cause) = self.cause_of_death().filter(|_| !self.is_dead) {
            self.is_dead = true;
            events.push(InterpreterEvent::Died(cause));
        }
        events
    }

    fn work_until(&mut self, until: Ms, events: &mut Vec<InterpreterEvent>) {
        // While it warms up, the speed half way is the mean.
        let halfway = self.at + (until - self.at) / 2.0;
        let done = (until - self.at) * self.rate(halfway);
        self.at = until;
        let before = self.on_cores();
        self.work_on_chores(done, events);
        self.work_on_runs(done, events);
        if self.on_cores() != before {
            self.record_load();
        }
    }

    fn work_on_chores(&mut self, done: Ms, events: &mut Vec<InterpreterEvent>) {
        let busy = self.busy_chores();
        self.chores.iter_mut().take(busy).for_each(|chore| chore.remaining -= done);
        let finished = self.chores.iter().filter(|chore| chore.remaining <= MOMENT);
        events.extend(finished.filter_map(|chore| chore.reads).map(InterpreterEvent::RequestRead));
        self.chores.retain(|chore| chore.remaining > MOMENT);
    }

    fn work_on_runs(&mut self, done: Ms, events: &mut Vec<InterpreterEvent>) {
        let requests = &self.requests;
        self.runs.retain(|attempt, run| {
            if !run.is_running() {
                return true;
            }
            run.remaining -= done;
            if run.call_at.is_some_and(|at| run.remaining <= at + MOMENT) {
                if requests.contains_key(attempt) {
                    run.state = RunState::WaitingForCall;
                    events.push(InterpreterEvent::CallStarted(*attempt));
                    return true;
                }
                events.push(InterpreterEvent::Aborted(*attempt));
                return false;
            }
            let is_complete = run.remaining <= MOMENT;
            if is_complete {
                events.push(InterpreterEvent::Completed(*attempt));
            }
            !is_complete
        });
    }

    fn running(&self) -> usize {
        self.runs.values().filter(|run| run.is_running()).count()
    }

    fn on_cores(&self) -> usize {
        self.running() + self.busy_chores()
    }

    /// What each run or chore on the cores gets done in a millisecond.
    fn rate(&self, now: Ms) -> f64 {
        let concurrency = self.on_cores() as f64 / self.spec.cores;
        let excess = ((concurrency - self.spec.thrash_at) / self.spec.thrash_at).clamp(0.0, 1.0);
        let efficiency = 1.0 - (1.0 - self.spec.thrash) * excess;
        self.speed(now) * efficiency * (1.0 / concurrency.max(1.0))
    }

    fn memory_kb(&self, now: Ms) -> f64 {
        let requests = self.requests.iter().map(|(attempt, request)| {
            if self.has_run(*attempt) {
                request.memory_kb * self.spec.run_factor
            } else if request.counts_from <= now {
                request.memory_kb
            } else {
                0.0
            }
        });
        requests.sum()
    }

    /// Notes how many are on the cores from now on.
    fn record_load(&mut self) {
        let busy = (self.on_cores() as f64 / self.spec.cores).min(1.0);
        self.load.record(self.at, self.running() as f64, busy, OVERLOAD_SPAN);
    }

    fn cause_of_death(&self) -> Option<&'static str> {
        let max_runs = self.spec.cores * (1.0 + (FALL_MULTIPLE - 1.0) * self.warm_fraction(self.at));
        if self.load.mean(self.at, OVERLOAD_SPAN, Gauge::Runs) > max_runs {
            return Some("too many on its cores");
        }
        (self.memory_kb(self.at) > self.spec.memory_kb).then_some("out of memory")
    }
}

#[cfg(test)]
mod tests;
