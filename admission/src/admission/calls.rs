//! Calls to the dependency: how many requests may be blocked on a call, whether an arrival that may call is
//! admitted, and what is learned from ended calls.
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

/// Maximum number of requests blocked on calls per core while calls are quick: one that runs and one that
/// calls.
const MAX_BLOCKED_ON_CALLS_PER_CORE: f64 = 2.0;

/// A call that has ended.
pub(crate) struct EndedCall {
    pub(crate) outcome: Outcome,
    /// Time since the call was started.
    pub(crate) duration: Span,
    /// Time since the run reached the call, including the wait before the call was started.
    pub(crate) waited: Span,
    /// The latency objective of the request.
    pub(crate) objective: Span,
}

/// State of all calls to the dependency.
#[derive(Debug)]
pub(crate) struct DependencyCalls {
    limit: CallLimit,
    history: CallHistory,
    /// Until when arrivals that may call are throttled because calls were at their limit.
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

    /// Applies the settings of another dependency.
    pub(crate) fn reconfigure(&mut self, dependency: &Dependency) {
        self.limit.reconfigure(dependency);
    }

    /// Ends the throttling of arrivals that may call.
    pub(crate) fn reset(&mut self) {
        self.throttled_until = Instant::DISTANT_PAST;
    }

    /// Drops the records of calls that ended before the last rate window.
    pub(crate) fn drop_expired(&mut self, now: Instant) {
        self.history.drop_expired(now);
    }

    /// The limit of concurrent calls.
    pub(crate) fn limit(&self) -> &CallLimit {
        &self.limit
    }

    /// Accrues the balance of the call limit up to `now`. Returns the number of calls that the dependency
    /// works on.
    pub(crate) fn accrue_and_count_in_progress(&mut self, now: Instant, calling: usize) -> f64 {
        self.limit.accrue_and_count_in_progress(now, calling)
    }

    /// Mean duration of a successful call.
    pub(crate) fn typical_time(&self) -> Span {
        self.history.typical_time()
    }

    /// Records a call that has returned.
    pub(crate) fn call_returned(&mut self, now: Instant, call: &EndedCall) {
        if call.outcome == Outcome::Ok {
            self.history.call_succeeded(call.duration);
        }
        let slow = is_slow(call.duration, call.objective) || call.outcome == Outcome::Rejected;
        let orphaned = call.outcome == Outcome::TimedOut;
        self.call_ended(now, call.waited, &CallEnd { duration: call.duration, slow, orphaned });
    }

    /// Records a call whose run ended before it returned; the dependency continues to work on it.
    pub(crate) fn call_abandoned(&mut self, now: Instant, duration: Span, waited: Span) {
        self.call_ended(now, waited, &CallEnd { duration, slow: true, orphaned: true });
    }

    fn call_ended(&mut self, now: Instant, waited: Span, call: &CallEnd) {
        self.history.call_ended(now, waited);
        self.limit.call_ended(now, call);
    }

    /// Whether arrivals that may call are throttled.
    pub(crate) fn are_throttled(&self, now: Instant) -> bool {
        now < self.throttled_until
    }

    /// Maximum number of requests blocked on calls: twice the cores while calls are quick, otherwise as many
    /// as can complete within the latency target. A further tier protects itself, so only the maximum safe
    /// concurrency bounds calls to it.
    pub(crate) fn max_blocked_on_calls(&self, context: &Context, max_safe_concurrency: f64) -> usize {
        let cores = context.cores();
        if context.settings.dependency == Dependency::Tier {
            return (max_safe_concurrency - cores).max(cores) as usize;
        }
        let max_while_quick = MAX_BLOCKED_ON_CALLS_PER_CORE * cores;
        let calling_classes = context.settings.classes.iter().filter(|class| class.may_call);
        let objectives = calling_classes.map(|class| Span::from(class.latency_objective));
        let objective = objectives.fold(Span::INFINITE, Span::min);
        if self.history.waits_are_slow(objective) {
            self.history.completable(objective).clamp(1.0, max_while_quick) as usize
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

    /// Whether calls permit the admission of the arrival `request`. While arrivals are throttled, one that
    /// may call is admitted only if the open requests that may call, of the same or a higher priority, can
    /// complete in time. The request is already in the table and counts itself.
    pub(crate) fn admits(&self, request: &Request, context: &Context) -> bool {
        if !self.are_throttled(context.now) || !request.may_call {
            return true;
        }
        let bound = self.history.completable(context.objective_of(request)).max(1.0);
        let goes_first =
            |other: &Request| other.may_call && !other.answer_settled && other.priority >= request.priority;
        context.requests.count(goes_first) as f64 <= bound
    }
}

#[cfg(test)]
mod tests;
