//! Creates the request of an arrival with its deadline, latency objective and priority, and decides whether
//! it may be queued.

use crate::admission::class_estimates::ClassEstimates;
use crate::admission::context::Context;
use crate::admission::drain::Drain;
use crate::admission::memory::{extra_memory_of_run, MemoryUse};
use crate::admission::overload::arrival_rates::ArrivalRates;
use crate::admission::priority::Priority;
use crate::admission::requests::idempotency_keys::RetainedKeys;
use crate::admission::requests::request::{Phase, Request};
use crate::admission::time::{Instant, Span};
use crate::interface::{Arrival, Class, Dependency, Effect, Settings, TenantId};

/// Work assumed for a class without estimates.
const ASSUMED_WORK: Span = Span::from_seconds(1.0);
/// Work by which the weight is divided if weights already apply per unit of work: one unit, a second.
const UNIT_WORK: Span = Span::from_seconds(1.0);

/// Creates the request of an arrival, whose class must be known. The cost hint is added to the estimates.
pub(crate) fn new_request(
    arrival: &Arrival,
    settings: &Settings,
    estimates: &mut ClassEstimates,
    rates: &ArrivalRates,
    drain: &Drain,
    now: Instant,
) -> Request {
    let position = usize::from(arrival.class.0);
    let class = &settings.classes[position];
    let arrived_at = now - Span::from(arrival.age);
    let deadline = deadline_of(arrival, settings, arrived_at, now).min(drain.stop_at());
    let stretch = class.objective_stretch * Span::from(arrival.cost_hint.unwrap_or_default());
    let relative_cost = estimates.relative_cost(position, arrival.cost_hint);
    let mean_work = estimates.mean_work(position).unwrap_or(ASSUMED_WORK);
    Request {
        class: position,
        memory_kb: arrival.memory_kb.max(0.0),
        arrived_at,
        objective_deadline: (arrived_at + Span::from(class.latency_objective) + stretch).min(deadline),
        deadline,
        relative_cost,
        priority: priority_of(class, mean_work, arrival.tenant, settings, rates),
        may_call: class.may_call && settings.dependency != Dependency::Off,
        answer_settled: false,
        phase: Phase::Queued,
    }
}

/// Deadline of an arrival: the one that it states, if arrivals carry deadlines, otherwise that of its class;
/// never before `now`.
fn deadline_of(arrival: &Arrival, settings: &Settings, arrived_at: Instant, now: Instant) -> Instant {
    let stated = arrival.remaining_time.filter(|_| settings.sends_deadline);
    let by_class = arrived_at + Span::from(settings.classes[usize::from(arrival.class.0)].deadline);
    stated.map_or(by_class, |remaining_time| now + Span::from(remaining_time)).max(now)
}

/// Weight per second of work, reduced for the part beyond the tenant's quota. Weights per unit of work are
/// used as they are; weights per request are divided by the mean work.
fn priority_of(
    class: &Class,
    mean_work: Span,
    tenant: TenantId,
    settings: &Settings,
    rates: &ArrivalRates,
) -> Priority {
    let work = if settings.weight_by_work { UNIT_WORK } else { mean_work };
    let quota = settings.tenant_quotas.get(usize::from(tenant.0)).copied().unwrap_or(0.0);
    let servers = f64::from(settings.servers.max(1));
    let within_quota = rates.fraction_within_quota(tenant, quota, servers);
    Priority::new(class.weight, work, within_quota, settings.over_quota_weight)
}

/// Whether there is time and memory for one more queued request, which is already in the table.
pub(crate) fn can_queue(request: &Request, context: &Context, keys: &RetainedKeys, drain: &Drain) -> bool {
    let settings = context.settings;
    let has_key = context.class_of(request).effect == Effect::IdempotencyKey;
    let key_memory_kb = if has_key { settings.key_memory_kb } else { 0.0 };
    let memory = MemoryUse::of(context, keys).with_additional(key_memory_kb);
    drain.may_run(request.arrived_at)
        && request.deadline > context.now
        && memory.with_additional(extra_memory_of_run(request, settings)).fits()
}

#[cfg(test)]
mod tests;
