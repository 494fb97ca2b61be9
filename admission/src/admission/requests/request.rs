//! An open request and its phase. Each phase carries the data that exists only in it, such as when a run or a
//! call started.

use crate::admission::priority::Priority;
use crate::admission::time::{Instant, Span};

/// Maximum number of retries of a failed call. When the last retry has failed, the request fails.
const MAX_CALL_RETRIES: u32 = 2;

/// A request that has arrived and whose end has not been reported yet.
#[derive(Debug)]
pub(crate) struct Request {
    /// Position of the request's class in the settings.
    pub(crate) class: usize,
    /// Memory of the request while it is queued, in kB.
    pub(crate) memory_kb: f64,
    /// When the request reached the machine.
    pub(crate) arrived_at: Instant,
    /// Latest time at which an answer meets the latency objective.
    pub(crate) objective_deadline: Instant,
    /// Latest time at which the request must be answered.
    pub(crate) deadline: Instant,
    /// Ratio of the request's cost hint to the mean of its class, within bounds; 1 without a hint.
    pub(crate) relative_cost: f64,
    pub(crate) priority: Priority,
    /// Whether the request may call the dependency.
    pub(crate) may_call: bool,
    /// Whether the request needs no answer any more: it was answered, or its caller cancelled it.
    pub(crate) answer_settled: bool,
    pub(crate) phase: Phase,
}

/// Phase of a request on the server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Phase {
    /// The request waits for a run.
    Queued,
    /// The request waits for the outcome of the attempt that it repeats.
    Coalesced,
    /// The run is in progress and not blocked on a call; it may wait for I/O.
    Running(Run),
    /// The run waits for a call to be started.
    AwaitingCall {
        run: Run,
        /// When the run reached the call.
        needed_at: Instant,
    },
    /// The run waits for a call to return.
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
    /// When the run started; zero on the server's clock if the server reports a run that this module did not
    /// start.
    pub(crate) started_at: Instant,
    /// Total time blocked on calls that have ended.
    pub(crate) time_blocked_on_calls: Span,
    pub(crate) failed_calls: FailedCalls,
}

/// Failed calls of one run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct FailedCalls {
    count: u32,
    /// Whether one of the failed calls may have taken effect and must not be repeated.
    unrepeatable: bool,
}

impl FailedCalls {
    /// Adds a failed call; `repeatable` says whether the call may be made again.
    pub(crate) fn add(&mut self, repeatable: bool) {
        self.count += 1;
        self.unrepeatable |= !repeatable;
    }

    /// Whether any call has failed.
    pub(crate) fn any(self) -> bool {
        self.count > 0
    }

    /// Whether no further call may be made.
    pub(crate) fn exhausted(self) -> bool {
        self.unrepeatable || self.count > MAX_CALL_RETRIES
    }
}

impl Run {
    /// Creates a run that starts now.
    pub(crate) fn started(now: Instant) -> Self {
        Run { started_at: now, ..Run::default() }
    }

    /// Time that the run has spent on a core, without its time blocked on calls.
    pub(crate) fn time_on_core(&self, now: Instant) -> Span {
        now - self.started_at - self.time_blocked_on_calls
    }

    /// Returns the run as it continues after the call that it reached at `needed_at`.
    fn after_call(mut self, needed_at: Instant, now: Instant) -> Self {
        self.time_blocked_on_calls += now - needed_at;
        self
    }
}

impl Phase {
    /// The run in progress; `None` in the phases without one.
    pub(crate) fn run(&self) -> Option<&Run> {
        match self {
            Phase::Queued | Phase::Coalesced => None,
            Phase::Running(run) | Phase::AwaitingCall { run, .. } | Phase::Calling { run, .. } => Some(run),
        }
    }
}

impl Request {
    /// Whether the request waits for a run.
    pub(crate) fn is_queued(&self) -> bool {
        self.phase == Phase::Queued
    }

    /// Whether the request waits for the outcome of another attempt.
    pub(crate) fn is_coalesced(&self) -> bool {
        self.phase == Phase::Coalesced
    }

    /// Whether the run is in progress and not blocked on a call; it may wait for I/O.
    pub(crate) fn is_running(&self) -> bool {
        matches!(self.phase, Phase::Running(_))
    }

    /// Whether the run waits for a call to be started.
    pub(crate) fn is_awaiting_call(&self) -> bool {
        matches!(self.phase, Phase::AwaitingCall { .. })
    }

    /// Whether a call of the run is in progress.
    pub(crate) fn is_calling(&self) -> bool {
        matches!(self.phase, Phase::Calling { .. })
    }

    /// Whether the run is blocked on a call and uses no core.
    pub(crate) fn is_blocked_on_call(&self) -> bool {
        self.is_awaiting_call() || self.is_calling()
    }

    /// Whether a run has started and holds its memory.
    pub(crate) fn has_started(&self) -> bool {
        self.phase.run().is_some()
    }

    /// Enters the phase of a run that starts now.
    pub(crate) fn start_run(&mut self, now: Instant) {
        self.phase = Phase::Running(Run::started(now));
    }

    /// Records that the run has reached a call.
    pub(crate) fn need_call(&mut self, now: Instant) {
        let run = self.phase.run().copied().unwrap_or_default();
        self.phase = Phase::AwaitingCall { run, needed_at: now };
    }

    /// Starts the call that the run waits for.
    pub(crate) fn send_call(&mut self, now: Instant) {
        if let Phase::AwaitingCall { run, needed_at } = self.phase {
            self.phase = Phase::Calling { run, needed_at, sent_at: now };
        }
    }

    /// Resumes the run because its call has succeeded or is skipped.
    pub(crate) fn continue_run(&mut self, now: Instant) {
        if let Phase::AwaitingCall { run, needed_at } | Phase::Calling { run, needed_at, .. } = self.phase {
            self.phase = Phase::Running(run.after_call(needed_at, now));
        }
    }

    /// Records a failed call; the run waits for another one. `repeatable` says whether the call may be made
    /// again.
    pub(crate) fn fail_call(&mut self, repeatable: bool) {
        if let Phase::Calling { mut run, needed_at, .. } = self.phase {
            run.failed_calls.add(repeatable);
            self.phase = Phase::AwaitingCall { run, needed_at };
        }
    }
}

#[cfg(test)]
mod tests;
