//! An open request and the phase that it is in. A phase carries what is known only in it: when a run started, when a
//! call was sent.

use crate::admission::priority::Priority;
use crate::admission::time::{Instant, Span};

/// A request fails when its call has failed this many times after the first.
const MAX_CALL_RETRIES: u32 = 2;

/// A request that has arrived and whose end was not reported yet.
#[derive(Debug)]
pub(crate) struct Request {
    /// Position of its class in the settings.
    pub(crate) class: usize,
    /// Its memory while it is queued, in kB.
    pub(crate) memory_kb: f64,
    /// When it reached the machine.
    pub(crate) arrived_at: Instant,
    /// When its latency objective ends.
    pub(crate) objective_deadline: Instant,
    /// When it has to be answered at the latest.
    pub(crate) deadline: Instant,
    /// Its cost hint over the mean of its class.
    pub(crate) relative_cost: f64,
    pub(crate) priority: Priority,
    /// Whether it may call the dependency.
    pub(crate) may_call: bool,
    /// Whether it needs no answer any more: it was answered, or its caller cancelled it.
    pub(crate) answer_settled: bool,
    pub(crate) phase: Phase,
}

/// What the server does with a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Phase {
    /// It waits for a run.
    Queued,
    /// It waits for the outcome of the request that it repeats.
    Coalesced,
    /// Its run is in progress and not blocked on a call (it may wait for I/O).
    Running(Run),
    /// Its run waits for a call to be started.
    AwaitingCall {
        run: Run,
        /// When the run reached the call.
        needed_at: Instant,
    },
    /// Its run waits for a call to return.
    Calling {
        run: Run,
        /// When the run reached the call.
        needed_at: Instant,
        /// When the call was started.
        sent_at: Instant,
    },
}

/// A run that has started and not ended.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Run {
    /// When it started. A run that the server reports without having been told to start it counts from the start of
    /// the clock.
    pub(crate) started_at: Instant,
    /// Time blocked on calls that have ended.
    pub(crate) time_blocked_on_calls: Span,
    pub(crate) failed_calls: FailedCalls,
}

/// The calls of one run that failed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct FailedCalls {
    count: u32,
    /// Whether one of them may have had its effect and must not have it twice.
    unrepeatable: bool,
}

impl FailedCalls {
    /// Adds a failed call; `repeatable` says whether the call may be made again.
    pub(crate) fn add(&mut self, repeatable: bool) {
        self.count += 1;
        self.unrepeatable |= !repeatable;
    }

    /// Whether a call has failed.
    pub(crate) fn any(self) -> bool {
        self.count > 0
    }

    /// Whether no further call may be made.
    pub(crate) fn exhausted(self) -> bool {
        self.unrepeatable || self.count > MAX_CALL_RETRIES
    }
}

impl Run {
    /// A run that starts now.
    pub(crate) fn started(now: Instant) -> Self {
        Run { started_at: now, ..Run::default() }
    }

    /// Time that the run has spent on a core.
    pub(crate) fn time_on_core(&self, now: Instant) -> Span {
        now - self.started_at - self.time_blocked_on_calls
    }

    /// The run after the call that it reached at `needed_at`.
    fn after_call(mut self, needed_at: Instant, now: Instant) -> Self {
        self.time_blocked_on_calls += now - needed_at;
        self
    }
}

impl Phase {
    /// The run, unless there is none.
    pub(crate) fn run(&self) -> Option<&Run> {
        match self {
            Phase::Queued | Phase::Coalesced => None,
            Phase::Running(run) | Phase::AwaitingCall { run, .. } | Phase::Calling { run, .. } => Some(run),
        }
    }
}

impl Request {
    /// Whether it waits for a run.
    pub(crate) fn is_queued(&self) -> bool {
        self.phase == Phase::Queued
    }

    /// Whether it waits for the outcome of another.
    pub(crate) fn is_coalesced(&self) -> bool {
        self.phase == Phase::Coalesced
    }

    /// Whether its run is in progress and not blocked on a call (it may wait for I/O).
    pub(crate) fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running(_))
    }

    /// Whether its run waits for a call to be started.
    pub(crate) fn is_awaiting_call(&self) -> bool {
        matches!(self.phase, Phase::AwaitingCall { .. })
    }

    /// Whether its call is in progress.
    pub(crate) fn is_calling(&self) -> bool {
        matches!(self.phase, Phase::Calling { .. })
    }

    /// Whether it is blocked on a call and uses no core.
    pub(crate) fn is_blocked_on_call(&self) -> bool {
        self.is_awaiting_call() || self.is_calling()
    }

    /// Whether a run of it has started and holds its memory.
    pub(crate) fn has_started(&self) -> bool {
        self.phase.run().is_some()
    }

    /// Starts its run.
    pub(crate) fn start_run(&mut self, now: Instant) {
        self.phase = Phase::Running(Run::started(now));
    }

    /// Its run has reached a call.
    pub(crate) fn need_call(&mut self, now: Instant) {
        let run = self.phase.run().copied().unwrap_or_default();
        self.phase = Phase::AwaitingCall { run, needed_at: now };
    }

    /// Starts the call that it waits for.
    pub(crate) fn send_call(&mut self, now: Instant) {
        if let Phase::AwaitingCall { run, needed_at } = self.phase {
            self.phase = Phase::Calling { run, needed_at, sent_at: now };
        }
    }

    /// Its run goes on, because its call has succeeded or is skipped.
    pub(crate) fn continue_run(&mut self, now: Instant) {
        if let Phase::AwaitingCall { run, needed_at } | Phase::Calling { run, needed_at, .. } = self.phase {
            self.phase = Phase::Running(run.after_call(needed_at, now));
        }
    }

    /// Its call has failed: it waits for another. `repeatable` says whether the call may be made again.
    pub(crate) fn fail_call(&mut self, repeatable: bool) {
        if let Phase::Calling { mut run, needed_at, .. } = self.phase {
            run.failed_calls.add(repeatable);
            self.phase = Phase::AwaitingCall { run, needed_at };
        }
    }
}

#[cfg(test)]
mod tests;
