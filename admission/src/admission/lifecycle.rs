//! The life of a request, from its arrival to its final answer, and the keys that outlive it.

use std::time::Duration;

use super::{seconds, Admission, Phase, RecentArrival, Request, RECENT_ARRIVALS, TIMER_PERIOD, USED_MEMORY};
use crate::interface::{Action, Arrival, Dependency, Effect, Preemption, RequestId, TenantId};

/// Seconds over which arrivals are averaged.
const TENANT_SPAN: f64 = 5.0;
/// At this many times the usual arrivals, other servers are taken to reject as well.
const SPILLOVER_FACTOR: f64 = 1.25;
/// This last part of a drain is reserved for answers, beside the longest timer delay seen.
const DRAIN_RESERVE: f64 = 0.1;

impl Admission {
    pub(super) fn arrive(&mut self, arrival: &Arrival, out: &mut Vec<Action>) {
        let id = arrival.id;
        let class = usize::from(arrival.class.0);
        if self.requests.contains_key(&id) {
            return;
        } else if class >= self.settings.classes.len() {
            return self.reject(id, true, out);
        }
        self.count_arrival(arrival.tenant);
        self.connections.request_from(arrival.caller, self.now, self.settings.idle.as_secs_f64());
        let request = self.new_request(arrival, class);
        let priority = request.priority;
        let repeat = self.original_attempt(class, arrival.repeats);
        self.requests.insert(id, request);
        if let Some(prior) = repeat {
            return self.handle_repeat(id, prior, out);
        }
        let admitted = self.can_queue(id) && self.can_add_call(id) && self.take_token(priority);
        self.recent.push_front(RecentArrival { id, at: self.now, rank: arrival.rank, priority, admitted });
        self.recent.truncate(RECENT_ARRIVALS);
        if !admitted {
            self.reject_queued(id, out);
        } else if self.settings.classes[class].effect == Effect::IdempotencyKey {
            self.retain_key(id, out);
        }
    }

    fn new_request(&mut self, arrival: &Arrival, class: usize) -> Request {
        let settings = &self.settings.classes[class];
        let relative_cost = self.class_stats[class].relative_cost(arrival.cost_hint);
        let arrived = self.now - arrival.age.as_secs_f64();
        let time_left = if self.settings.sends_deadline { arrival.time_left } else { None };
        let latest = arrived + settings.deadline.as_secs_f64();
        let deadline = time_left.map_or(latest, |left| self.now + left.as_secs_f64());
        let deadline = deadline.max(self.now).min(self.stop_at.unwrap_or(f64::INFINITY));
        let stretch = settings.objective_stretch * arrival.cost_hint.unwrap_or_default().as_secs_f64();
        Request {
            class,
            memory_kb: arrival.memory_kb.max(0.0),
            arrived,
            objective_at: (arrived + settings.latency_objective.as_secs_f64() + stretch).min(deadline),
            deadline,
            relative_cost,
            priority: self.priority(class, arrival.tenant),
            may_call: settings.calls && self.settings.dependency != Dependency::Off,
            ..Request::default()
        }
    }

    /// Weight for a unit of work, reduced by what lies over the tenant's quota as far as local arrivals tell.
    fn priority(&self, class: usize, tenant: TenantId) -> f64 {
        let settings = &self.settings.classes[class];
        let mean = self.class_stats[class].on_cores.get().unwrap_or(1.0);
        let work = if self.settings.weight_by_work { 1.0 } else { mean };
        let tenant = usize::from(tenant.0);
        let quota = self.settings.tenant_quotas.get(tenant).copied().unwrap_or(0.0);
        let servers = f64::from(self.settings.servers.max(1));
        let sent = self.arrival_rates.get(tenant + 1).map_or(0.0, |rate| rate * servers);
        let within = if quota > 0.0 && sent > quota { quota / sent } else { 1.0 };
        settings.weight / work.max(1e-3) * (within + (1.0 - within) * self.settings.over_quota_weight)
    }

    fn count_arrival(&mut self, tenant: TenantId) {
        let fade = (-(self.now - self.arrival_rates_at) / TENANT_SPAN).exp();
        self.arrival_rates_at = self.now;
        self.arrival_rates.iter_mut().for_each(|rate| *rate *= fade);
        for slot in [0, usize::from(tenant.0) + 1] {
            if let Some(rate) = self.arrival_rates.get_mut(slot) {
                *rate += 1.0 / TENANT_SPAN;
            }
        }
    }

    /// Recent arrivals a second, right from the start.
    pub(super) fn arrival_rate(&self) -> f64 {
        self.arrival_rates[0] / (1.0 - (-(self.now - self.booted_at) / TENANT_SPAN).exp()).max(0.01)
    }

    /// More arrives than usual: what other servers rejected is retried here.
    pub(super) fn spillover(&self) -> bool {
        self.arrival_rate() > SPILLOVER_FACTOR * self.usual_arrivals.average
    }

    /// The attempt whose outcome this one shares; its successor if it ended in this batch.
    fn original_attempt(&self, class: usize, prior: Option<RequestId>) -> Option<RequestId> {
        let mut prior = prior?;
        while let Some(successor) = self.ended_unrun.get(&prior) {
            prior = (*successor)?;
        }
        let held = self.requests.get(&prior).is_some_and(|p| p.phase == Phase::Queued);
        match self.settings.classes[class].effect {
            Effect::IdempotencyKey => Some(prior),
            Effect::Idempotent if !self.settings.response_reuse.is_zero() && !held => Some(prior),
            _ => None,
        }
    }

    /// Replaces a queued attempt or shares the outcome of one that has started: no effect runs twice.
    fn handle_repeat(&mut self, id: RequestId, prior: RequestId, out: &mut Vec<Action>) {
        let held = self.requests.get(&prior).filter(|p| p.phase == Phase::Queued).map(|p| p.objective_at);
        let room = self.memory_used() <= self.settings.memory_kb * USED_MEMORY;
        let last_runnable = self.last_runnable;
        let Some(request) = self.requests.get_mut(&id) else { return };
        match held {
            Some(objective_at) if room && request.arrived <= last_runnable => {
                request.objective_at = request.objective_at.min(objective_at);
                self.key_expiry.remove(&prior);
                self.retain_key(id, out);
                self.reject(prior, true, out);
                self.requests.remove(&prior);
                self.ended_unrun.insert(prior, Some(id));
            }
            Some(_) => self.reject_queued(id, out),
            None if room => {
                request.phase = Phase::Coalesced;
                out.push(Action::Coalesce(id));
            }
            None => self.fail(id, out),
        }
    }

    /// Whether there is time and memory for one more queued request.
    fn can_queue(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let keyed = self.settings.classes[request.class].effect == Effect::IdempotencyKey;
        let entry = if keyed { self.settings.key_memory_kb } else { 0.0 };
        let running = request.memory_kb * (self.settings.running_memory_factor - 1.0).max(0.0);
        request.arrived <= self.last_runnable
            && !self.stalled
            && request.deadline > self.now
            && self.memory_used() + entry + running <= self.settings.memory_kb * USED_MEMORY
    }

    /// Memory of queued and started requests and of keys, in KB.
    pub(super) fn memory_used(&self) -> f64 {
        let factor = self.settings.running_memory_factor.max(1.0);
        let waits = |r: &Request| matches!(r.phase, Phase::Queued | Phase::Coalesced);
        let memory = |r: &Request| if waits(r) { r.memory_kb } else { r.memory_kb * factor };
        let requests = self.requests.values().map(memory);
        requests.sum::<f64>() + self.key_expiry.len() as f64 * self.settings.key_memory_kb
    }

    pub(super) fn reject_queued(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let alone = self.stop_at.is_some() || self.stalled || self.warm_fraction() < 1.0;
        let give_up = !alone && (self.read_overload() || self.spillover());
        self.reject(id, give_up, out);
        self.remove_queued(id, out);
    }

    fn remove_queued(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.requests.remove(&id);
        self.ended_unrun.insert(id, None);
        if self.key_expiry.remove(&id).is_some() {
            out.push(Action::ReleaseKey(id));
        }
    }

    pub(super) fn reject(&mut self, id: RequestId, give_up: bool, out: &mut Vec<Action>) {
        let spread = 0.5 + 0.5 * self.random_fraction();
        let wait = self.settings.max_retry_after.as_secs_f64() * spread * self.shed_level.max(0.1);
        let retry_after = self.settings.retry_after.then(|| seconds(wait));
        out.push(Action::Reject { id, retry_after, give_up });
    }

    /// Fails a request that has started; it is preempted where its effect may be repeated.
    pub(super) fn fail(&mut self, id: RequestId, out: &mut Vec<Action>) {
        out.push(Action::Fail(id));
        self.cancel(id, out);
    }

    pub(super) fn cancel(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.answered = true;
        let repeatable = self.settings.classes[request.class].effect == Effect::Idempotent;
        let preemptible = repeatable && self.settings.preemption != Preemption::Off;
        match request.phase {
            Phase::Queued => self.remove_queued(id, out),
            Phase::Coalesced => drop(self.requests.remove(&id)),
            Phase::Running if preemptible => out.push(Action::Pause(id)),
            _ => {}
        }
    }

    /// Answers what would miss its deadline before the next timer, and what cannot be met.
    pub(super) fn enforce_deadlines(&mut self, out: &mut Vec<Action>) {
        let horizon = self.now + TIMER_PERIOD;
        let over = |r: &Request| !r.answered && (r.deadline <= horizon || self.is_unmeetable(r));
        let ending = self.requests.iter().filter(|(_, r)| over(r));
        let ending: Vec<_> = ending.map(|(&id, r)| (id, r.phase == Phase::Queued)).collect();
        for (id, queued) in ending {
            let answer = if queued { Admission::reject_queued } else { Admission::fail };
            answer(self, id, out);
        }
    }

    /// Past its objective without a late weight; runs in progress and effects that have begun go on.
    fn is_unmeetable(&self, request: &Request) -> bool {
        let class = &self.settings.classes[request.class];
        let may_end = match request.phase {
            Phase::Queued => true,
            Phase::AwaitingCall | Phase::Calling => class.effect == Effect::Idempotent,
            Phase::Coalesced | Phase::Running => false,
        };
        let stalled = self.stalled && request.phase == Phase::Queued;
        stalled || (may_end && class.late_weight <= 0.0 && self.now > request.objective_at)
    }

    pub(super) fn drain(&mut self, left: Duration, out: &mut Vec<Action>) {
        let left = left.as_secs_f64();
        let margin = (2.0 * TIMER_PERIOD).max(DRAIN_RESERVE * left) + self.longest_timer_delay;
        let stop = self.now + left - margin.min(left / 2.0);
        self.stop_at = Some(stop);
        let grace = self.settings.drain_grace.saturating_sub(self.settings.tick);
        self.last_runnable = self.now + grace.as_secs_f64();
        for request in self.requests.values_mut() {
            request.deadline = request.deadline.min(stop);
            request.objective_at = request.objective_at.min(request.deadline);
        }
        out.push(Action::SetHealth { good: false, cheap: true });
    }

    /// Keeps a key from before its run until its window and its deadline have passed.
    pub(super) fn retain_key(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let window = self.settings.classes[request.class].window.as_secs_f64();
        let keep = window.max(request.deadline - self.now) + 2.0 * TIMER_PERIOD;
        self.key_expiry.insert(id, self.now + keep);
        out.push(Action::RetainKey(id, seconds(keep)));
    }

    fn random_fraction(&mut self) -> f64 {
        let product = self.random.wrapping_mul(6_364_136_223_846_793_005);
        self.random = product.wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 40) as f64 / (1u64 << 24) as f64
    }
}
