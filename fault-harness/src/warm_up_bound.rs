//! A lower bound of the time to recover from faults, computed from the schedule alone: the time at which the capacity
//! of the cores is sufficient again if only downtime, slowness and warm-up reduce it.

use crate::model::interpreter::InterpreterSpec;
use crate::model::{ms_of_seconds, seconds_of_ms, Ms, MS_PER_SECOND};
use crate::scenario::{Fault, FaultKind, Scenario};
use crate::schedule::{InjectionTime, Schedule};

/// Time step at which the capacity is evaluated.
const STEP: Ms = 50.0;
/// Capacity is sufficient when it reaches this fraction of the requested work, or of the warm capacity if that is
/// lower.
const RECOVERED_FRACTION: f64 = 0.9;

/// A reduction of a node's capacity, from a time on.
struct Slowdown {
    node: usize,
    from: Ms,
    effect: Effect,
}

/// The effect of a fault on a node's capacity.
#[derive(Clone, Copy)]
struct Effect {
    /// Duration of the reduction; infinite if the fault does not end.
    duration: Ms,
    /// Fraction of the capacity that remains during it.
    factor: f64,
    /// Whether the node has to warm up afterwards.
    is_cold_after: bool,
}

impl Slowdown {
    fn until(&self) -> Ms {
        self.from + self.effect.duration
    }
}

/// Returns the seconds from the first fault until the capacity is sufficient for the rest of the play; `None` if no
/// fault reduces the capacity, or if it does not become sufficient before the end.
pub fn warm_up_bound(scenario: &Scenario, schedule: &Schedule) -> Option<f64> {
    let slowdowns = slowdowns(scenario, schedule);
    let first = slowdowns.iter().map(|slowdown| slowdown.from).fold(f64::INFINITY, f64::min);
    if !first.is_finite() {
        return None;
    }
    let specs: Vec<InterpreterSpec> =
        schedule.speeds.iter().map(|speed| InterpreterSpec::of(&scenario.fleet, *speed)).collect();
    let capacity_at = |at: Ms| -> f64 {
        let by_node = specs.iter().enumerate();
        by_node.map(|(node, spec)| node_capacity(spec, node, at, &slowdowns)).sum()
    };
    let warm_capacity: f64 = specs.iter().map(|spec| spec.cores * spec.speed).sum();
    let requested = scenario.rate() / MS_PER_SECOND * (scenario.mean_work() + scenario.fleet.read_ms);
    let needed = RECOVERED_FRACTION * requested.min(warm_capacity);
    let end = ms_of_seconds(scenario.seconds);
    let steps = ((end - first) / STEP).ceil().max(0.0) as usize;
    let last_insufficient = (0..steps).rfind(|step| capacity_at(first + *step as f64 * STEP) < needed);
    match last_insufficient {
        Some(step) if step + 1 >= steps => None,
        Some(step) => Some(seconds_of_ms((step + 1) as f64 * STEP)),
        None => Some(0.0),
    }
}

fn slowdowns(scenario: &Scenario, schedule: &Schedule) -> Vec<Slowdown> {
    let mut slowdowns = Vec::new();
    for injection in &schedule.injections {
        // A fault that is triggered by an event has no time in the schedule.
        let InjectionTime::Time(at) = injection.at else { continue };
        let Some(effect) = effect_of(&injection.fault) else { continue };
        let from = at + injection.delay;
        let targets = injection.targets.iter();
        slowdowns.extend(targets.map(|node| Slowdown { node: *node, from, effect }));
    }
    if scenario.fleet.cold {
        let effect = Effect { duration: 0.0, factor: 1.0, is_cold_after: true };
        slowdowns.extend((0..scenario.fleet.nodes).map(|node| Slowdown { node, from: 0.0, effect }));
    }
    slowdowns
}

/// The effect of a fault on the capacity of its targets; `None` if it has none.
fn effect_of(fault: &Fault) -> Option<Effect> {
    let duration = fault.duration_s.map_or(f64::INFINITY, ms_of_seconds);
    let downtime = fault.down_s.map_or(f64::INFINITY, ms_of_seconds);
    match fault.what {
        FaultKind::Kill | FaultKind::Shutdown => {
            Some(Effect { duration: downtime, factor: 0.0, is_cold_after: true })
        }
        FaultKind::Pause | FaultKind::Partition => {
            Some(Effect { duration, factor: 0.0, is_cold_after: false })
        }
        FaultKind::Slow => Some(Effect { duration, factor: fault.factor, is_cold_after: false }),
        FaultKind::Link
        | FaultKind::Dependency
        | FaultKind::Registry
        | FaultKind::Frontends
        | FaultKind::Reload
        | FaultKind::RemoveMembers
        | FaultKind::AddMembers => None,
    }
}

/// The capacity of a node's cores at a time, in milliseconds of work per millisecond.
fn node_capacity(spec: &InterpreterSpec, node: usize, at: Ms, slowdowns: &[Slowdown]) -> f64 {
    let started = || slowdowns.iter().filter(|slowdown| slowdown.node == node && slowdown.from <= at);
    let active = started().filter(|slowdown| at < slowdown.until());
    let factor = active.map(|slowdown| slowdown.effect.factor).fold(1.0, f64::min);
    let ended_cold = started().filter(|slowdown| slowdown.effect.is_cold_after && slowdown.until() <= at);
    let cold_since = ended_cold.map(Slowdown::until).fold(f64::NEG_INFINITY, f64::max);
    let warm_fraction = if cold_since.is_finite() { spec.warm_fraction(at - cold_since) } else { 1.0 };
    spec.cores * spec.speed * factor * warm_fraction
}

#[cfg(test)]
mod tests;
