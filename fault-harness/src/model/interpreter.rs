//! An interpreter with cores of its own, which all runs share; past a certain concurrency less is done in total. A fresh
//! one is slow and warms up. A run can be paused and keeps its memory. The interpreter dies of too much concurrency or
//! memory, as the platform's rules say.

mod gauges;
mod load_history;
mod run;
mod spec;

use std::collections::{BTreeMap, VecDeque};

use super::{Ms, EPSILON_MS};
use load_history::{Load, LoadHistory, LoadMetric};
use run::{OpenRequest, OverheadTask, Run, RunState};

pub use gauges::Gauges;
pub use run::RunRequest;
pub use spec::InterpreterSpec;

/// Averaging window of the concurrency that is compared with the limit ("in the mean of 2 s", the platform's rule).
const OVERLOAD_WINDOW: Ms = 2000.0;
/// Overhead tasks that may be queued, for each core; while there are more, no connection is accepted. The platform's
/// machines hold as many unread requests.
const MAX_OVERHEAD_TASKS_PER_CORE: f64 = 128.0;
/// Averaging window of the busy fraction of the cores that is reported.
const CPU_BUSY_WINDOW: Ms = 500.0;
/// An unstarted request's memory counts only this long after it was written; a run's counts from its start.
const MEMORY_ACCOUNTING_DELAY: Ms = 100.0;
/// While it warms up, its speed is recomputed this often.
const WARMING_STEP: Ms = 25.0;
/// The mean number of runs on the cores, for each core, over which a warm interpreter dies ("No fall-over" among the
/// platform's rules; `fallMultiple` in a node's settings). The limit rises linearly from 1 (no warm-up) to this (warm).
pub const MAX_MEAN_RUNS_PER_CORE: f64 = 8.0;

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

/// The interpreter.
#[derive(Debug, Clone)]
pub struct InterpreterModel {
    spec: InterpreterSpec,
    /// When it started, if cold; one that has been up for long has none.
    cold_since: Option<Ms>,
    /// The fraction of the speed that a fault leaves.
    pub speed_factor: f64,
    is_suspended: bool,
    /// The time up to which work is done.
    advanced_to: Ms,
    runs: BTreeMap<u64, Run>,
    /// Reading and connecting, which share the cores with the runs: one for each core at a time, the others wait.
    overhead_tasks: VecDeque<OverheadTask>,
    requests: BTreeMap<u64, OpenRequest>,
    /// How many runs shared the cores, and how much of the cores was busy.
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
            is_suspended: false,
            advanced_to: now,
            runs: BTreeMap::new(),
            overhead_tasks: VecDeque::new(),
            requests: BTreeMap::new(),
            load: LoadHistory::new(now),
            is_dead: false,
        }
    }

    /// Whether it was cold when it started.
    pub fn is_cold(&self) -> bool {
        self.cold_since.is_some()
    }

    /// Suspends the whole process, or lets it go on. While it is suspended, time passes and nothing is done.
    pub fn set_suspended(&mut self, now: Ms, suspended: bool) -> Vec<InterpreterEvent> {
        let events = self.advance(now);
        self.is_suspended = suspended;
        events
    }

    /// A request was written to the node.
    pub fn register_request(&mut self, now: Ms, attempt: u64, memory_kb: f64) {
        self.requests.insert(attempt, OpenRequest { memory_kb, counts_from: now + MEMORY_ACCOUNTING_DELAY });
    }

    /// A request is over for its caller: answered or cancelled. A run that is paused or waits for its call ends with it; one
    /// that shares the cores goes on.
    pub fn close_request(&mut self, now: Ms, attempt: u64) -> Vec<InterpreterEvent> {
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

    /// Whether a request has a run that is not over: it shares the cores, is paused or waits for its call.
    pub fn has_open_run(&self, attempt: u64) -> bool {
        self.runs.contains_key(&attempt)
    }

    /// Starts to run a request that was registered.
    pub fn start_run(&mut self, now: Ms, request: RunRequest) -> Vec<InterpreterEvent> {
        let events = self.advance(now);
        let half = request.work / 2.0;
        let call_at = request.calls_dependency.then_some(half);
        let run = Run { remaining: request.work, call_at, state: RunState::Running };
        // A second start of an open run is ignored: it keeps the progress that it has made.
        self.runs.entry(request.attempt).or_insert(run);
        self.record_load();
        events
    }

    /// An attempt has come and is to be read, which takes `work`; it is not known before.
    pub fn start_reading(&mut self, now: Ms, attempt: u64, work: Ms) -> Vec<InterpreterEvent> {
        self.add_overhead_task(now, OverheadTask { remaining: work, reads: Some(attempt) })
    }

    /// A new connection has come; to accept it takes `work`.
    pub fn accept_connection(&mut self, now: Ms, work: Ms) -> Vec<InterpreterEvent> {
        self.add_overhead_task(now, OverheadTask { remaining: work, reads: None })
    }

    fn add_overhead_task(&mut self, now: Ms, task: OverheadTask) -> Vec<InterpreterEvent> {
        let mut events = self.advance(now);
        if task.remaining > 0.0 {
            self.overhead_tasks.push_back(task);
            self.record_load();
        } else {
            events.extend(task.reads.map(InterpreterEvent::RequestRead));
        }
        events
    }

    /// An attempt that may not have been read yet is not to be read any more.
    pub fn cancel_reading(&mut self, now: Ms, attempt: u64) -> Vec<InterpreterEvent> {
        let events = self.advance(now);
        self.overhead_tasks.retain(|task| task.reads != Some(attempt));
        self.record_load();
        events
    }

    /// Whether so many overhead tasks are queued, requests to read above all, that no more connections are accepted.
    pub fn is_read_queue_full(&self) -> bool {
        self.overhead_tasks.len() as f64 > MAX_OVERHEAD_TASKS_PER_CORE * self.spec.cores
    }

    /// Overhead tasks that share the cores: one for each core at most.
    fn active_overhead_tasks(&self) -> usize {
        self.overhead_tasks.len().min(self.spec.cores.ceil() as usize)
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
            cpu_busy: self.load.mean(now, CPU_BUSY_WINDOW, LoadMetric::CpuBusy),
            runnable: self.runnable_tasks() as f64,
            memory_used: self.memory_kb(now) / self.spec.memory_kb,
        }
    }

    /// Its speed now, as a fraction of a core of speed 1.
    pub fn speed(&self, now: Ms) -> f64 {
        if self.is_suspended {
            return 0.0;
        }
        self.spec.speed * self.speed_factor * self.warm_fraction(now)
    }

    /// The fraction of its speed that it has by its warm-up.
    fn warm_fraction(&self, now: Ms) -> f64 {
        self.cold_since.map_or(1.0, |since| self.spec.warm_fraction(now - since))
    }

    /// Time of the next internal event, if nothing is changed until then.
    pub fn next_event_at(&self) -> Option<Ms> {
        if self.is_suspended || self.is_dead {
            return None;
        }
        let rate = self.rate(self.advanced_to);
        let runs = self.runs.values().filter(|run| run.is_running());
        let overhead_tasks =
            self.overhead_tasks.iter().take(self.active_overhead_tasks()).map(|task| task.remaining);
        let remaining = runs.map(|run| run.remaining - run.call_at.unwrap_or(0.0)).chain(overhead_tasks);
        let least = remaining.fold(f64::INFINITY, f64::min);
        if !least.is_finite() || rate <= 0.0 {
            return None;
        }
        // At least a tolerance ahead, so that time always moves on.
        let ends = self.advanced_to + (least / rate).max(EPSILON_MS);
        let is_warming = self.cold_since.is_some_and(|since| self.advanced_to - since < self.spec.warm_ms);
        Some(if is_warming { ends.min(self.advanced_to + WARMING_STEP) } else { ends })
    }

    /// Lets time pass, and returns what happened.
    pub fn advance(&mut self, now: Ms) -> Vec<InterpreterEvent> {
        let mut events = Vec::new();
        while let Some(next) = self.next_event_at().filter(|next| *next <= now) {
            self.work_until(next, &mut events);
        }
        self.work_until(now.max(self.advanced_to), &mut events);
        if let Some(cause) = self.cause_of_death().filter(|_| !self.is_dead) {
            self.is_dead = true;
            events.push(InterpreterEvent::Died(cause));
        }
        events
    }

    fn work_until(&mut self, until: Ms, events: &mut Vec<InterpreterEvent>) {
        // While it warms up, the speed half way is the mean.
        let halfway = self.advanced_to + (until - self.advanced_to) / 2.0;
        let done = (until - self.advanced_to) * self.rate(halfway);
        self.advanced_to = until;
        let before = self.runnable_tasks();
        self.work_on_overhead_tasks(done, events);
        self.work_on_runs(done, events);
        if self.runnable_tasks() != before {
            self.record_load();
        }
    }

    fn work_on_overhead_tasks(&mut self, done: Ms, events: &mut Vec<InterpreterEvent>) {
        let busy = self.active_overhead_tasks();
        self.overhead_tasks.iter_mut().take(busy).for_each(|task| task.remaining -= done);
        let finished = self.overhead_tasks.iter().filter(|task| task.remaining <= EPSILON_MS);
        events.extend(finished.filter_map(|task| task.reads).map(InterpreterEvent::RequestRead));
        self.overhead_tasks.retain(|task| task.remaining > EPSILON_MS);
    }

    fn work_on_runs(&mut self, done: Ms, events: &mut Vec<InterpreterEvent>) {
        let requests = &self.requests;
        self.runs.retain(|attempt, run| {
            if !run.is_running() {
                return true;
            }
            run.remaining -= done;
            if run.call_at.is_some_and(|at| run.remaining <= at + EPSILON_MS) {
                if requests.contains_key(attempt) {
                    run.state = RunState::WaitingForCall;
                    events.push(InterpreterEvent::CallStarted(*attempt));
                    return true;
                }
                events.push(InterpreterEvent::Aborted(*attempt));
                return false;
            }
            let is_complete = run.remaining <= EPSILON_MS;
            if is_complete {
                events.push(InterpreterEvent::Completed(*attempt));
            }
            !is_complete
        });
    }

    fn running(&self) -> usize {
        self.runs.values().filter(|run| run.is_running()).count()
    }

    /// Runs and overhead tasks that are running, sharing the cores.
    fn runnable_tasks(&self) -> usize {
        self.running() + self.active_overhead_tasks()
    }

    /// What each runnable task gets done in a millisecond: processor sharing, with efficiency falling linearly from 1 at the
    /// onset of thrashing to `thrash_efficiency` at twice that concurrency, where it stays.
    fn rate(&self, now: Ms) -> f64 {
        let concurrency = self.runnable_tasks() as f64 / self.spec.cores;
        let excess = ((concurrency - self.spec.thrash_onset_per_core) / self.spec.thrash_onset_per_core)
            .clamp(0.0, 1.0);
        let efficiency = 1.0 - (1.0 - self.spec.thrash_efficiency) * excess;
        self.speed(now) * efficiency * (1.0 / concurrency.max(1.0))
    }

    fn memory_kb(&self, now: Ms) -> f64 {
        let requests = self.requests.iter().map(|(attempt, request)| {
            if self.has_open_run(*attempt) {
                request.memory_kb * self.spec.run_factor
            } else if request.counts_from <= now {
                request.memory_kb
            } else {
                0.0
            }
        });
        requests.sum()
    }

    /// Notes how many are runnable from now on.
    fn record_load(&mut self) {
        let cpu_busy = (self.runnable_tasks() as f64 / self.spec.cores).min(1.0);
        let load = Load { runs: self.running() as f64, cpu_busy };
        // The longer of the two averaging windows.
        self.load.record(self.advanced_to, load, OVERLOAD_WINDOW);
    }

    fn cause_of_death(&self) -> Option<&'static str> {
        let max_runs =
            self.spec.cores * (1.0 + (MAX_MEAN_RUNS_PER_CORE - 1.0) * self.warm_fraction(self.advanced_to));
        if self.load.mean(self.advanced_to, OVERLOAD_WINDOW, LoadMetric::Runs) > max_runs {
            return Some("too many on its cores");
        }
        (self.memory_kb(self.advanced_to) > self.spec.memory_kb).then_some("out of memory")
    }
}

#[cfg(test)]
mod tests;
