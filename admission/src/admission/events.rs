//! Handling of events: which parts of the admission state each event updates, and in which order.

use super::{Admission, TIMER};
use crate::admission::calls::EndedCall;
use crate::admission::concurrency_limit::{has_spare_capacity, max_safe_concurrency};
use crate::admission::constants::TICK_PERIOD;
use crate::admission::context::Context;
use crate::admission::idle_connections::ConnectionLoad;
use crate::admission::load_signal::SignalLoad;
use crate::admission::memory::MemoryUse;
use crate::admission::overload::recent_arrivals::RecentArrival;
use crate::admission::quantities::Fraction;
use crate::admission::request_intake;
use crate::admission::requests::push_rejection;
use crate::admission::requests::request::Phase;
use crate::admission::time::Span;
use crate::interface::{Action, Arrival, Effect, Event, Gauges, Outcome, RequestId};

impl Admission {
    /// Updates the admission state for one event.
    pub(super) fn apply(&mut self, event: &Event, actions: &mut Vec<Action>) {
        match event {
            Event::Arrived(arrival) => self.handle_arrival(arrival, actions),
            Event::Finished { id, outcome, took } => self.run_finished(*id, *outcome, Span::from(*took)),
            Event::CallNeeded(id) => self.call_needed(*id),
            Event::CallReturned { id, outcome, took } => {
                self.call_returned(*id, *outcome, Span::from(*took));
            }
            Event::Cancelled(id) => self.requests.settle_answer(*id, &self.settings, actions),
            Event::Drain(left) => self.start_drain(Span::from(*left), actions),
            Event::Timer(_, gauges) => self.on_tick(gauges, actions),
        }
    }

    /// Queues or rejects an arrival. An arrival whose id is already in the table is ignored. A retry of a
    /// known attempt is handled by [`Self::resolve_retry`], depending on the state of that attempt.
    fn handle_arrival(&mut self, arrival: &Arrival, actions: &mut Vec<Action>) {
        let id = arrival.id;
        let class = usize::from(arrival.class.0);
        if self.requests.table().contains(id) {
            return;
        }
        if class >= self.settings.classes.len() {
            let give_up = true;
            let advice = self.advice(give_up);
            return push_rejection(id, advice, actions);
        }
        self.overload.count_arrival(arrival.tenant, self.now);
        self.connections.record_request(arrival.caller, self.now, Span::from(self.settings.idle_timeout));
        let request = request_intake::new_request(
            arrival,
            &self.settings,
            &mut self.estimates,
            self.overload.arrival_rates(),
            &self.drain,
            self.now,
        );
        let priority = request.priority;
        let original = self.requests.matched_attempt(arrival.retry_of, class, &self.settings);
        self.requests.table_mut().insert(id, request);
        if let Some(original) = original {
            return self.resolve_retry(id, original, actions);
        }
        let admitted = self.try_admit(id);
        let rank = Fraction::new(arrival.rank);
        self.overload.record_arrival(RecentArrival { id, at: self.now, rank, priority, admitted });
        if !admitted {
            self.reject(id, actions);
        } else if self.settings.classes[class].effect == Effect::IdempotencyKey {
            self.requests.retain_key(id, &self.settings, self.now, actions);
        }
    }

    /// Decides whether an arrival, which is already in the table, stays queued: the server must not be
    /// stalled, there must be time and memory for the request, the limit on requests blocked on calls must
    /// permit it, and the token bucket must admit it. If that limit has been reached, arrivals that may call
    /// are throttled from now on.
    fn try_admit(&mut self, id: RequestId) -> bool {
        let max_blocked_on_calls = self.max_blocked_on_calls();
        let context = Context::new(self.now, &self.settings, self.requests.table(), &self.estimates);
        let Some(request) = context.requests.get(id) else { return false };
        let can_queue = request_intake::can_queue(request, &context, self.requests.keys(), &self.drain);
        if self.stall.is_stalled() || !can_queue {
            return false;
        }
        self.calls.update_throttle(&context, max_blocked_on_calls);
        if !self.calls.admits(request, &context) {
            return false;
        }
        self.overload.admit(request.priority, &context, self.calls.are_throttled(self.now))
    }

    /// Handles a retry of a known attempt so that no effect occurs twice: the retry replaces an attempt that
    /// is still queued, and shares the outcome of one that has started.
    fn resolve_retry(&mut self, id: RequestId, original: RequestId, actions: &mut Vec<Action>) {
        let memory_fits = MemoryUse::of(&self.context(), self.requests.keys()).fits();
        let Some(request) = self.requests.table().get(id) else { return };
        let may_run = self.drain.may_run(request.arrived_at);
        match (self.requests.is_queued(original), memory_fits) {
            (true, true) if may_run => {
                self.requests.prepare_replacement(id, original);
                self.requests.retain_key(id, &self.settings, self.now, actions);
                // The caller of the replaced attempt is told to give up: its retry is queued here, and
                // another retry on a different server could run the same request a second time.
                let give_up = true;
                let advice = self.advice(give_up);
                self.requests.reject_replaced(original, id, advice, actions);
            }
            // Neither attempt has run. The original stays in the queue; the retry does not fit into memory or
            // arrived too late in a drain to run.
            (true, _) => self.reject(id, actions),
            // The run of the original has started or ended: the retry is answered with the outcome of that
            // run.
            (false, true) => self.requests.coalesce(id, actions),
            // There is no memory to hold the retry until the outcome is known. A rejection would claim that
            // nothing ran, although the original may have taken effect.
            (false, false) => self.requests.fail(id, &self.settings, actions),
        }
    }

    fn run_finished(&mut self, id: RequestId, outcome: Outcome, took: Span) {
        if outcome == Outcome::Rejected {
            // The run never started: its key is released. It counts neither as progress nor in the estimates,
            // because it used no core.
            return self.requests.run_rejected(id);
        }
        self.stall.record_progress(self.now);
        let Some(request) = self.requests.table_mut().remove(id) else { return };
        if let Phase::Calling { needed_at, sent_at, .. } = request.phase {
            self.calls.call_abandoned(self.now, self.now - sent_at, self.now - needed_at);
        }
        if outcome != Outcome::Ok || request.is_coalesced() {
            return;
        }
        let time_blocked_on_calls = request.phase.run().map_or(Span::ZERO, |run| run.time_blocked_on_calls);
        self.estimates.record_run(&request, took - time_blocked_on_calls);
        if !request.answer_settled {
            let context = Context::new(self.now, &self.settings, self.requests.table(), &self.estimates);
            self.overload.request_answered(&request, &context);
        }
    }

    fn call_needed(&mut self, id: RequestId) {
        self.stall.record_progress(self.now);
        if let Some(request) = self.requests.table_mut().get_mut(id) {
            request.need_call(self.now);
        }
    }

    fn call_returned(&mut self, id: RequestId, outcome: Outcome, took: Span) {
        if outcome == Outcome::Rejected {
            self.overload.record_downstream_rejection(self.now);
        }
        let Some(request) = self.requests.table_mut().get_mut(id) else { return };
        let Phase::Calling { needed_at, .. } = request.phase else { return };
        let class = &self.settings.classes[request.class];
        if outcome == Outcome::Ok {
            request.continue_run(self.now);
        } else {
            let never_ran = matches!(outcome, Outcome::Rejected | Outcome::Unreachable);
            request.fail_call(never_ran || class.effect == Effect::Idempotent);
        }
        let objective = Span::from(class.latency_objective);
        let call = EndedCall { outcome, duration: took, time_blocked: self.now - needed_at, objective };
        self.calls.call_returned(self.now, &call);
    }

    fn start_drain(&mut self, left: Span, actions: &mut Vec<Action>) {
        // The notice may have arrived up to `min_handle_interval` before this batch. The grace period starts
        // with the notice, so that interval is subtracted.
        let grace = Span::from(self.settings.drain_grace.saturating_sub(self.settings.min_handle_interval));
        self.drain.start(self.now, left, grace, self.ticks.longest_delay());
        self.requests.limit_deadlines(self.drain.stop_at());
        actions.push(Action::SetHealth { healthy: false, static_answer: true });
    }

    /// Updates all state that depends on time or on the gauges.
    fn on_tick(&mut self, gauges: &Gauges, actions: &mut Vec<Action>) {
        if self.ticks.record_tick(self.now) {
            self.reset_load_estimates();
        }
        self.update_stall(actions);
        self.requests.expire_keys(self.now);
        self.calls.drop_expired(self.now);
        let context = Context::new(self.now, &self.settings, self.requests.table(), &self.estimates);
        self.read_overload.update(gauges, context.requests);
        let read_overload = self.read_overload.is_overloaded();
        self.overload.on_tick(&context, self.calls.are_throttled(self.now));
        let load = ConnectionLoad {
            read_overload,
            // If the utilization gauge is missing, the cores are assumed to have no spare capacity.
            spare_capacity: gauges.utilization.is_some_and(has_spare_capacity),
        };
        if let Some(limit) = self.connections.adjust(&load, &context) {
            actions.push(Action::IdleLimit(limit.to_duration()));
        }
        let max_safe_concurrency = max_safe_concurrency(&context, self.warm_up.fraction(self.now));
        self.concurrency.adjust(gauges, &context, max_safe_concurrency);
        let concurrency_limit = self.concurrency.core_limit();
        let load = SignalLoad { recent: self.overload.recent_arrivals(), read_overload, concurrency_limit };
        if let Some(value) = self.signal.update(&load, &context) {
            actions.push(Action::Advertise(value));
        }
        actions.push(Action::SetTimer(TIMER, TICK_PERIOD.to_duration()));
    }

    /// Discards the load estimates after a long gap between ticks, because they no longer describe the
    /// current load.
    fn reset_load_estimates(&mut self) {
        self.overload.reset(self.now);
        self.calls.reset();
        self.signal.reset();
    }

    /// Updates whether the server is stalled. Reports each change as bad or good health, unless the server is
    /// draining: it has then reported bad health already.
    fn update_stall(&mut self, actions: &mut Vec<Action>) {
        if self.concurrency.is_idle(self.requests.table()) {
            self.stall.record_progress(self.now);
        }
        let context = Context::new(self.now, &self.settings, self.requests.table(), &self.estimates);
        let changed = self.stall.update(&context, self.overload.permitted_rate().is_some());
        if changed && !self.drain.is_draining() {
            actions.push(Action::SetHealth { healthy: !self.stall.is_stalled(), static_answer: true });
        }
    }
}
