//! Calls to the dependency: how many requests may be blocked on a call, whether an arrival that may call is
//! admitted, and how ended calls change the limits.
//!
//! Requests that are blocked on a call use no core and do not count towards the concurrency limit. Their
//! number has a limit of its own: a run that may call starts only while fewer requests of the same or a
//! higher priority are blocked on calls than this limit.

pub(crate) mod history;
pub(crate) mod limit;

use crate::admission::constants::RATE_WINDOW;
use crate::admission::context::Context;
use crate::admission::requests::request::Request;
use crate::admission::time::{Instant, Span};
use crate::interface::{Dependency, Outcome};
use history::{is_slow, CallHistory};
use limit::{CallEnd, CallLimit};

/// Maximum number of requests blocked on calls, per core, while calls are quick: one whose call is in
/// progress, and one that was running on the core and has reached its call.
const MAX_BLOCKED_ON_CALLS_PER_CORE: f64 = 2.0;

/// A call that has ended.
pub(crate) struct EndedCall {
    pub(crate) outcome: Outcome,
    /// Time since the call was started.
    pub(crate) duration: Span,
    /// Time from when the run reached the call to the end of the call: the wait before the call was started
    /// plus its duration.
    pub(crate) time_blocked: Span,
    /// The latency objective of the request.
    pub(crate) objective: Span,
}

/// State of all calls to the dependency.
#[derive(Debug)]
pub(crate) struct DependencyCalls {
    limit: CallLimit,
    history: CallHistory,
    /// End of the throttling of arrivals that may call. They are throttled when the number of requests
    /// blocked on calls reaches its limit.
    throttled_until: Instant,
}

impl DependencyCalls {
    pub(crate) fn new(dependency: &Dependency, now: Instant) -> Self {
        DependencyCalls {
            limit: CallLimit::new(dependency, now),
            history: CallHistory::default(),
            throttled_until: Instant::DISTANT_PAST,
        }
    }

    /// Applies new settings of the dependency.
    pub(crate) fn reconfigure(&mut self, dependency: &Dependency) {
        self.limit.reconfigure(dependency);
    }

    /// Ends the throttling of arrivals that may call.
    pub(crate) fn reset(&mut self) {
        self.throttled_until = Instant::DISTANT_PAST;
    }

    /// Drops the records of calls that ended more than [`RATE_WINDOW`] ago.
    pub(crate) fn drop_expired(&mut self, now: Instant) {
        self.history.drop_expired(now);
    }

    /// The limit of concurrent calls.
    pub(crate) fn limit(&self) -> &CallLimit {
        &self.limit
    }

    /// Updates the balance of the call limit (its unused call-seconds) up to `now`, given that `calling`
    /// calls have been in progress since the last update. Returns the number of calls that the dependency
    /// works on.
    pub(crate) fn accrue_and_count_in_progress(&mut self, now: Instant, calling: usize) -> f64 {
        self.limit.accrue_and_count_in_progress(now, calling)
    }

    /// Mean duration of a successful call; zero if none has succeeded yet.
    pub(crate) fn mean_duration(&self) -> Span {
        self.history.mean_duration()
    }

    /// Records a call that has returned.
    pub(crate) fn call_returned(&mut self, now: Instant, call: &EndedCall) {
        if call.outcome == Outcome::Ok {
            self.history.call_succeeded(call.duration);
        }
        let slow = is_slow(call.duration, call.objective) || call.outcome == Outcome::Rejected;
        // The dependency may still work on a call that timed out.
        let orphaned = call.outcome == Outcome::TimedOut;
        self.call_ended(now, call.time_blocked, &CallEnd { duration: call.duration, slow, orphaned });
    }

    /// Records a call whose run ended before it returned; the dependency continues to work on it.
    pub(crate) fn call_abandoned(&mut self, now: Instant, duration: Span, time_blocked: Span) {
        self.call_ended(now, time_blocked, &CallEnd { duration, slow: true, orphaned: true });
    }

    fn call_ended(&mut self, now: Instant, time_blocked: Span, call: &CallEnd) {
        self.history.call_ended(now, time_blocked);
        self.limit.call_ended(now, call);
    }

    /// Whether arrivals that may call are throttled.
    pub(crate) fn are_throttled(&self, now: Instant) -> bool {
        now < self.throttled_until
    }

    /// Maximum number of requests blocked on calls: twice the number of cores while calls are quick.
    /// Otherwise it is the number of calls that can complete within the latency target of the shortest
    /// latency objective among the classes that may call, but at least one and at most twice the number of
    /// cores. A dependency that is another tier limits its own load, so the maximum is then the maximum safe
    /// concurrency less the number of cores, but at least the number of cores.
    pub(crate) fn max_blocked_on_calls(&self, context: &Context, max_safe_concurrency: f64) -> usize {
        let cores = context.cores();
        if context.settings.dependency == Dependency::Tier {
            return (max_safe_concurrency - cores).max(cores) as usize;
        }
        let max_while_quick = MAX_BLOCKED_ON_CALLS_PER_CORE * cores;
        let calling_classes = context.settings.classes.iter().filter(|class| class.may_call);
        let objectives = calling_classes.map(|class| Span::from(class.latency_objective));
        let objective = objectives.fold(Span::INFINITE, Span::min);
        if self.history.calls_are_slow(objective) {
            self.history.max_completable_within(objective).clamp(1.0, max_while_quick) as usize
        } else {
            max_while_quick as usize
        }
    }

    /// Throttles arrivals that may call for one rate window from now if the number of requests blocked on
    /// calls has reached its limit.
    pub(crate) fn update_throttle(&mut self, context: &Context, max_blocked_on_calls: usize) {
        if context.requests.blocked_on_calls_count() >= max_blocked_on_calls {
            self.throttled_until = context.now + RATE_WINDOW;
        }
    }

    /// Whether the limit on requests blocked on calls permits the admission of the arrival `request`. While
    /// arrivals are throttled, one that may call is admitted only if the calls of all open requests that may
    /// call and have the same or a higher priority can complete within the latency target. That number
    /// includes `request` itself, which is already in the table.
    pub(crate) fn admits(&self, request: &Request, context: &Context) -> bool {
        if !self.are_throttled(context.now) || !request.may_call {
            return true;
        }
        let bound = self.history.max_completable_within(context.objective_of(request)).max(1.0);
        let counts_towards_bound =
            |other: &Request| other.may_call && !other.answer_settled && other.priority >= request.priority;
        context.requests.count(counts_towards_bound) as f64 <= bound
    }
}

#[cfg(test)]
mod tests;
