//! Admission control and scheduling of one server, without clock or I/O.
//!
//! [`Admission::handle`] shows the order of decisions for a batch of events. Each decision is a type or a
//! function in its own module; this module composes them. Overload control follows the Project Clearwater
//! post "Tuning overload control for telco-grade performance": under overload, a single permitted rate limits
//! arrivals. It changes at most every two seconds, depending on latency, downstream rejections and how much
//! of it was used. The other decisions enforce four rules (every request is answered in time, no effect
//! occurs twice, a drain is safe, throughput does not collapse under overload) and determine the order of
//! runs.
//!
//! | question | module |
//! | --- | --- |
//! | Is an arrival admitted? | `request_intake` (time, memory), `calls`, `overload` (permitted rate, token bucket) |
//! | How is a retry answered? | `requests`, `requests::idempotency_keys`, `requests::ended_attempts` |
//! | Which request goes first? | `priority`, with `overload::arrival_rates` for quotas |
//! | Which requests are answered without a run? | `deadlines`, `shedding` |
//! | What runs, and how much at once? | `run_queue`, `concurrency_limit`, `warm_up`, `memory` |
//! | Which calls are made? | `call_start`, `calls::limit` |
//! | Is the server healthy? | `stall`, `drain` |
//! | What do callers learn? | `load_signal`, `retry_jitter`, `idle_connections`, `read_overload` |
//! | What is estimated? | `class_estimates`, `calls::history`, `overload::latency`, `tick_watch` (stale estimates) |

mod call_start;
mod calls;
mod class_estimates;
mod concurrency_limit;
mod constants;
mod context;
mod deadlines;
mod drain;
mod events;
mod idle_connections;
mod load_signal;
mod memory;
mod overload;
mod priority;
mod quantities;
mod read_overload;
mod request_intake;
mod requests;
mod retry_jitter;
mod run_queue;
mod running_mean;
mod shedding;
mod stall;
mod tick_watch;
mod time;
mod warm_up;

use std::time::Duration;

use crate::interface::{Action, Event, RequestId, Settings, TimerId};
use call_start::CallDecision;
use calls::DependencyCalls;
use class_estimates::ClassEstimates;
use concurrency_limit::{max_safe_concurrency, ConcurrencyLimit};
use constants::TICK_PERIOD;
use context::Context;
use drain::Drain;
use idle_connections::IdleConnectionLimit;
use load_signal::LoadSignal;
use memory::MemoryUse;
use overload::OverloadControl;
use quantities::Fraction;
use read_overload::ReadOverload;
use requests::request::Request;
use requests::{Advice, OpenRequests};
use retry_jitter::RetryJitter;
use run_queue::RunLimits;
use stall::StallDetector;
use tick_watch::TickWatch;
use time::{Instant, Span};
use warm_up::WarmUp;

/// The only timer that the module sets. Its ticks trigger every decision that depends on time alone.
const TIMER: TimerId = TimerId(0);

/// Admission control and scheduling of one server.
#[derive(Debug)]
pub struct Admission {
    settings: Settings,
    now: Instant,
    /// Whether the initial actions have been emitted.
    started: bool,
    requests: OpenRequests,
    estimates: ClassEstimates,
    overload: OverloadControl,
    concurrency: ConcurrencyLimit,
    warm_up: WarmUp,
    calls: DependencyCalls,
    stall: StallDetector,
    drain: Drain,
    ticks: TickWatch,
    read_overload: ReadOverload,
    connections: IdleConnectionLimit,
    signal: LoadSignal,
    retry_jitter: RetryJitter,
}

impl Admission {
    /// Creates the state of a server that starts at `now`; `seed` initializes the random number generator.
    pub fn new(settings: Settings, seed: u64, now: Duration) -> Self {
        let now = Instant::from_clock(now);
        Admission {
            now,
            started: false,
            requests: OpenRequests::default(),
            estimates: ClassEstimates::new(settings.classes.len()),
            overload: OverloadControl::new(settings.tenant_quotas.len(), now),
            concurrency: ConcurrencyLimit::new(f64::from(settings.cores.max(1))),
            warm_up: WarmUp::new(&settings, now),
            calls: DependencyCalls::new(&settings.dependency, now),
            stall: StallDetector::new(now),
            drain: Drain::default(),
            ticks: TickWatch::new(now),
            read_overload: ReadOverload::new(),
            connections: IdleConnectionLimit::new(Span::from(settings.idle_timeout)),
            signal: LoadSignal::default(),
            retry_jitter: RetryJitter::new(seed),
            settings,
        }
    }

    /// Applies new settings. Classes and tenants keep their positions; those missing at the end of the new
    /// lists are kept with their old settings. Changes to the warm-up settings have no effect after startup.
    pub fn reconfigure(&mut self, mut settings: Settings) {
        let classes = settings.classes.len();
        settings.classes.extend(self.settings.classes.drain(..).skip(classes));
        let tenants = settings.tenant_quotas.len();
        settings.tenant_quotas.extend(self.settings.tenant_quotas.drain(..).skip(tenants));
        self.estimates.resize(settings.classes.len());
        self.overload.resize(settings.tenant_quotas.len());
        if settings.dependency != self.settings.dependency {
            self.calls.reconfigure(&settings.dependency);
        }
        self.settings = settings;
    }

    /// Applies a batch of events at time `now` and appends the resulting actions. A clock that steps back is
    /// taken to stand still.
    pub fn handle(&mut self, now: Duration, events: &[Event], actions: &mut Vec<Action>) {
        self.now = self.now.max(Instant::from_clock(now));
        self.requests.start_batch();
        self.announce_start(actions);
        for event in events {
            self.apply(event, actions);
        }
        self.enforce_deadlines(actions);
        self.shed_load(actions);
        self.start_calls(actions);
        self.start_runs(actions);
    }

    /// The requests per second that are permitted under overload; `None` until the first rate window has
    /// initialized it.
    pub fn permitted_rate(&self) -> Option<f64> {
        self.overload.permitted_rate().map(quantities::RequestRate::value)
    }

    fn announce_start(&mut self, actions: &mut Vec<Action>) {
        if std::mem::replace(&mut self.started, true) {
            return;
        }
        actions.push(Action::SetHealth { healthy: true, static_answer: true });
        actions.push(Action::IdleLimit(self.settings.idle_timeout));
        actions.push(Action::SetTimer(TIMER, TICK_PERIOD.to_duration()));
    }

    /// The state that decisions read. A decision that changes its own field of `self` builds the context from
    /// the other fields instead, since this method borrows all of `self`.
    fn context(&self) -> Context<'_> {
        Context::new(self.now, &self.settings, self.requests.table(), &self.estimates)
    }

    fn max_safe_concurrency(&self) -> f64 {
        max_safe_concurrency(&self.context(), self.warm_up.fraction(self.now))
    }

    fn max_blocked_on_calls(&self) -> usize {
        self.calls.max_blocked_on_calls(&self.context(), self.max_safe_concurrency())
    }

    /// Advice for the caller of a rejected request.
    fn advice(&mut self, give_up: bool) -> Advice {
        let retry_after = self.retry_jitter.retry_after(&self.settings, self.signal.shed_fraction());
        Advice { retry_after, give_up }
    }

    /// Rejects a queued request. The caller is told to give up if the whole tier seems to be overloaded
    /// (reading overloads the cores, or more requests arrive than usual), but never if the cause may be local
    /// to this server (drain, stall or warm-up).
    fn reject(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let is_warming_up = self.warm_up.fraction(self.now) < Fraction::ALL;
        let cause_is_local = self.drain.is_draining() || self.stall.is_stalled() || is_warming_up;
        let tier_is_overloaded =
            self.read_overload.is_overloaded() || self.overload.arrival_rates().exceeds_usual(self.now);
        let advice = self.advice(!cause_is_local && tier_is_overloaded);
        self.requests.reject(id, advice, actions);
    }

    /// Answers the requests that would miss their deadline before the next tick, and those that can no longer
    /// meet their objective.
    fn enforce_deadlines(&mut self, actions: &mut Vec<Action>) {
        for id in deadlines::requests_to_answer(&self.context(), self.stall.is_stalled()) {
            if self.requests.is_queued(id) {
                self.reject(id, actions);
            } else {
                self.requests.fail(id, &self.settings, actions);
            }
        }
    }

    fn shed_load(&mut self, actions: &mut Vec<Action>) {
        let recent_answers = self.overload.has_recent_successes();
        let concurrency = self.concurrency.run_limit();
        for id in shedding::requests_to_shed(&self.context(), concurrency, recent_answers) {
            self.overload.mark_shed(id);
            self.reject(id, actions);
        }
    }

    /// Starts the calls that the call limit allows, in descending order of priority.
    fn start_calls(&mut self, actions: &mut Vec<Action>) {
        let calling = self.requests.table().count(Request::is_calling);
        let mut in_progress = self.calls.accrue_and_count_in_progress(self.now, calling);
        let calls_at_limit = self.requests.table().blocked_on_calls_count() >= self.max_blocked_on_calls();
        for id in call_start::awaiting_calls(self.requests.table()) {
            let Some(request) = self.requests.table().get(id) else { continue };
            let decision = call_start::decide_call(request, &self.context(), &self.calls, calls_at_limit);
            let Some(request) = self.requests.table_mut().get_mut(id) else { continue };
            match decision {
                CallDecision::Skip => {
                    request.continue_run(self.now);
                    actions.push(Action::SkipCall(id));
                }
                CallDecision::Fail => self.requests.fail(id, &self.settings, actions),
                CallDecision::Call { timeout } if self.calls.limit().allows_call(self.now, in_progress) => {
                    in_progress += 1.0;
                    request.send_call(self.now);
                    actions.push(Action::Call(id, timeout.to_duration()));
                }
                CallDecision::Call { .. } => {}
            }
        }
    }

    fn start_runs(&mut self, actions: &mut Vec<Action>) {
        let limits = RunLimits {
            concurrency: self.concurrency.run_limit(),
            max_safe_concurrency: self.max_safe_concurrency(),
            max_blocked_on_calls: self.max_blocked_on_calls(),
        };
        let context = self.context();
        let memory = MemoryUse::of(&context, self.requests.keys());
        for id in run_queue::runs_to_start(&context, memory, &limits) {
            if let Some(request) = self.requests.table_mut().get_mut(id) {
                request.start_run(self.now);
                actions.push(Action::Run(id));
            }
        }
    }
}

#[cfg(test)]
mod tests;
