//! Model of an interpreter whose cores are shared by all its runs. Beyond a certain concurrency its total
//! throughput falls. A cold interpreter is slow and warms up over time. A run can be paused, and it keeps its
//! memory while paused. Too high a concurrency or memory use kills the interpreter, as the rules of the
//! platform define.

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

/// Averaging window of the concurrency that is compared with the limit ("in the mean of 2 s" in the rules of
/// the platform).
const OVERLOAD_WINDOW: Ms = 2000.0;
/// Maximum number of queued overhead tasks for each core; while there are more, no connection is accepted.
/// The machines of the platform hold as many unread requests.
const MAX_OVERHEAD_TASKS_PER_CORE: f64 = 128.0;
/// Averaging window of the reported busy fraction of the cores.
const CPU_BUSY_WINDOW: Ms = 500.0;
/// The memory of a request that has not started to run counts only from this long after it was written; that
/// of a run counts from its start.
const MEMORY_ACCOUNTING_DELAY: Ms = 100.0;
/// Interval at which the speed is recomputed while the interpreter warms up.
const WARMING_STEP: Ms = 25.0;
/// Mean number of runs on the cores, for each core, above which a warm interpreter dies (rule "No fall-over"
/// of the platform; `fallMultiple` in the settings of a node). The limit rises linearly from 1 at the start
/// of the warm-up to this value at its end.
pub const MAX_MEAN_RUNS_PER_CORE: f64 = 8.0;

/// An event in an interpreter. The numbers are ids of attempts.
#[derive(Debug, Clone, PartialEq)]
pub enum InterpreterEvent {
    /// The request of an attempt was read completely.
    RequestRead(u64),
    /// A run has done all its work.
    Completed(u64),
    /// A run ended without a result: its request was over when it was to pause, to wait or to make its call.
    Aborted(u64),
    /// A run has reached its call of the dependency and waits for the reply.
    CallStarted(u64),
    /// The interpreter died; holds the cause.
    Died(&'static str),
}

/// The state of an interpreter, advanced in virtual time.
#[derive(Debug, Clone)]
pub struct InterpreterModel {
    spec: InterpreterSpec,
    /// Time of a cold start; none if the interpreter was warm from the beginning.
    cold_since: Option<Ms>,
    /// Fraction of the speed that a fault leaves; 1 without a fault.
    pub speed_factor: f64,
    is_suspended: bool,
    /// Time up to which the work has been computed.
    advanced_to: Ms,
    runs: BTreeMap<u64, Run>,
    /// Tasks of reading requests and accepting connections, which share the cores with the runs. As many
    /// tasks as there are cores are worked on at a time; the others wait.
    overhead_tasks: VecDeque<OverheadTask>,
    requests: BTreeMap<u64, OpenRequest>,
    /// Number of runs on the cores and busy fraction of the cores, over time.
    load: LoadHistory,
    is_dead: bool,
}

impl InterpreterModel {
    /// Creates an interpreter that starts now, with nothing to run.
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

    /// Whether the interpreter was cold when it started.
    pub fn is_cold(&self) -> bool {
        self.cold_since.is_some()
    }

    /// Suspends or resumes the whole process. While it is suspended, time passes but no work is done.
    pub fn set_suspended(&mut self, now: Ms, suspended: bool) -> Vec<InterpreterEvent> {
        let events = self.advance(now);
        self.is_suspended = suspended;
        events
    }

    /// Registers a request that was written to the node and uses `memory_kb` of memory while it is held.
    pub fn register_request(&mut self, now: Ms, attempt: u64, memory_kb: f64) {
        self.requests.insert(attempt, OpenRequest { memory_kb, counts_from: now + MEMORY_ACCOUNTING_DELAY });
    }

    /// Closes a request that was answered or cancelled. Its run is aborted if it is paused or waits for its
    /// call; one that is on the cores continues.
    pub fn close_request(&mut self, now: Ms, attempt: u64) -> Vec<InterpreterEvent> {
        let mut events = self.advance(now);
        self.requests.remove(&attempt);
        if self.runs.get(&attempt).is_some_and(|run| !run.is_running()) {
            self.runs.remove(&attempt);
            events.push(InterpreterEvent::Aborted(attempt));
        }
        events
    }

    /// Whether a request is registered and not closed.
    pub fn has_request(&self, attempt: u64) -> bool {
        self.requests.contains_key(&attempt)
    }

    /// Whether a request has a run that has not ended: it is on the cores, paused or waiting for its call.
    pub fn has_open_run(&self, attempt: u64) -> bool {
        self.runs.contains_key(&attempt)
    }

    /// Starts the run of a registered request.
    pub fn start_run(&mut self, now: Ms, request: RunRequest) -> Vec<InterpreterEvent> {
        let events = self.advance(now);
        let half = request.work / 2.0;
        let call_at = request.calls_dependency.then_some(half);
        let run = Run { remaining: request.work, call_at, state: RunState::Running };
        // A second start of an open run is ignored, so that the run keeps its progress.
        self.runs.entry(request.attempt).or_insert(run);
        self.record_load();
        events
    }

    /// Starts to read the request of an attempt, which takes `work`. The request is not registered before it
    /// is read.
    pub fn start_reading(&mut self, now: Ms, attempt: u64, work: Ms) -> Vec<InterpreterEvent> {
        self.add_overhead_task(now, OverheadTask { remaining: work, reads: Some(attempt) })
    }

    /// Accepts a new connection, which takes `work`.
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

    /// Cancels the reading of an attempt, if it has not been read yet.
    pub fn cancel_reading(&mut self, now: Ms, attempt: u64) -> Vec<InterpreterEvent> {
        let events = self.advance(now);
        self.overhead_tasks.retain(|task| task.reads != Some(attempt));
        self.record_load();
        events
    }

    /// Whether the queue of overhead tasks, most of them requests to read, is so long that no more
    /// connections are accepted.
    pub fn is_read_queue_full(&self) -> bool {
        self.overhead_tasks.len() as f64 > MAX_OVERHEAD_TASKS_PER_CORE * self.spec.cores
    }

    /// Number of overhead tasks that are worked on: one for each core at most.
    fn active_overhead_tasks(&self) -> usize {
        self.overhead_tasks.len().min(self.spec.cores.ceil() as usize)
    }

    /// Pauses a run, or aborts it if its request is closed.
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

    /// Resumes a run that is paused or waits for its call.
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

    /// Whether a run waits for the reply to its call.
    pub fn is_at_call(&self, attempt: u64) -> bool {
        self.runs.get(&attempt).is_some_and(|run| run.state == RunState::WaitingForCall)
    }

    /// The load that the interpreter reports to its node.
    pub fn gauges(&self, now: Ms) -> Gauges {
        Gauges {
            cpu_busy: self.load.mean(now, CPU_BUSY_WINDOW, LoadMetric::CpuBusy),
            runnable: self.runnable_tasks() as f64,
            memory_used: self.memory_kb(now) / self.spec.memory_kb,
        }
    }

    /// Current speed of a core, as a fraction of a core of speed 1.
    pub fn speed(&self, now: Ms) -> f64 {
        if self.is_suspended {
            return 0.0;
        }
        self.spec.speed * self.speed_factor * self.warm_fraction(now)
    }

    /// Fraction of the full speed that the warm-up has reached.
    fn warm_fraction(&self, now: Ms) -> f64 {
        self.cold_since.map_or(1.0, |since| self.spec.warm_fraction(now - since))
    }

    /// Time of the next internal event, if the state is not changed from outside before.
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
        // At least one tolerance ahead, so that time always advances.
        let ends = self.advanced_to + (least / rate).max(EPSILON_MS);
        let is_warming = self.cold_since.is_some_and(|since| self.advanced_to - since < self.spec.warm_ms);
        Some(if is_warming { ends.min(self.advanced_to + WARMING_STEP) } else { ends })
    }

    /// Advances the time to `now` and returns the events up to then.
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
        // During the warm-up the speed is linear in time, so the speed half way is the mean of the interval.
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

    /// Number of runs and overhead tasks that share the cores.
    fn runnable_tasks(&self) -> usize {
        self.running() + self.active_overhead_tasks()
    }

    /// Work that each runnable task gets done per millisecond: processor sharing, with an efficiency that
    /// falls linearly from 1 at the onset of thrashing to `thrash_efficiency` at twice that concurrency and
    /// stays there.
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

    /// Records the load from now on.
    fn record_load(&mut self) {
        let cpu_busy = (self.runnable_tasks() as f64 / self.spec.cores).min(1.0);
        let load = Load { runs: self.running() as f64, cpu_busy };
        // `OVERLOAD_WINDOW` is the longer of the two averaging windows.
        self.load.record(self.advanced_to, load, OVERLOAD_WINDOW);
    }

    fn cause_of_death(&self) -> Option<&'static str> {
        let max_runs =
            self.spec.cores * (1.0 + (MAX_MEAN_RUNS_PER_CORE - 1.0) * self.warm_fraction(self.advanced_to));
        if self.load.mean(self.advanced_to, OVERLOAD_WINDOW, LoadMetric::Runs) > max_runs {
            return Some("too many runs on its cores");
        }
        (self.memory_kb(self.advanced_to) > self.spec.memory_kb).then_some("out of memory")
    }
}

#[cfg(test)]
mod tests;
