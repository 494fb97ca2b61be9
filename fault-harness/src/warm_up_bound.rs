//! How fast a fleet could be back if warming up were all that kept it: what its cores can do, moment by moment, by the
//! plan alone.

use crate::model::interpreter::InterpreterSpec;
use crate::model::Ms;
use crate::scenario::{FaultKind, Scenario};
use crate::schedule::{InjectionTime, Schedule};

/// Capacity is looked at this often.
const STEP: Ms = 50.0;
/// Service is back where this part of what was asked for, or of what warm cores can do, can be done again.
const BACK: f64 = 0.9;

/// A stretch in which a node does less.
struct Dent {
    node: usize,
    from: Ms,
    until: Ms,
    factor: f64,
    /// It is cold when that is over.
    cold: bool,
}

/// Seconds from the first fault until the cores can do enough again and go on to; none without faults that take cores
/// away, and none where they never can.
pub fn warm_up_bound(scenario: &Scenario, schedule: &Schedule) -> Option<f64> {
    let dents = dents(scenario, schedule);
    let first = dents.iter().map(|dent| dent.from).fold(f64::INFINITY, f64::min);
    if !first.is_finite() {
        return None;
    }
    let makes: Vec<InterpreterSpec> =
        schedule.speeds.iter().map(|speed| InterpreterSpec::of(&scenario.fleet, *speed)).collect();
    let capacity =
        |at: Ms| -> f64 { makes.iter().enumerate().map(|(node, make)| able(make, node, at, &dents)).sum() };
    let whole: f64 = makes.iter().map(|make| make.cores * make.speed).sum();
    let asked = scenario.rate() / 1000.0 * (scenario.mean_work() + scenario.fleet.read_ms);
    let needed = BACK * asked.min(whole);
    let end = scenario.seconds * 1000.0;
    let steps = ((end - first) / STEP).ceil().max(0.0) as usize;
    let bad = (0..steps).rfind(|step| capacity(first + *step as f64 * STEP) < needed);
    match bad {
        Some(step) if step + 1 >= steps => None,
        Some(step) => Some((step + 1) as f64 * STEP / 1000.0),
        None => Some(0.0),
    }
}

fn dents(scenario: &Scenario, schedule: &Schedule) -> Vec<Dent> {
    let mut dents = Vec::new();
    for injection in &schedule.injections {
        // What waits for an event has no time in the plan.
        let InjectionTime::Time(at) = injection.at else { continue };
        let (from, fault) = (at + injection.delay, &injection.fault);
        let lasts = fault.duration_s.map_or(f64::INFINITY, |s| s * 1000.0);
        let down = fault.down_s.map_or(f64::INFINITY, |s| s * 1000.0);
        let (until, factor, cold) = match fault.what {
            FaultKind::Kill | FaultKind::Shutdown => (from + down, 0.0, true),
            FaultKind::Pause | FaultKind::Partition => (from + lasts, 0.0, false),
            FaultKind::Slow => (from + lasts, fault.factor, false),
            FaultKind::Link
            | FaultKind::Dependency
            | FaultKind::Registry
            | FaultKind::Frontends
            | FaultKind::Reload
            | FaultKind::RemoveMembers
            | FaultKind::AddMembers => continue,
        };
        dents.extend(injection.targets.iter().map(|node| Dent { node: *node, from, until, factor, cold }));
    }
    if scenario.fleet.cold {
        let cold = |node| Dent { node, from: 0.0, until: 0.0, factor: 1.0, cold: true };
        dents.extend((0..scenario.fleet.nodes).map(cold));
    }
    dents
}

fn able(make: &InterpreterSpec, node: usize, at: Ms, dents: &[Dent]) -> f64 {
    let mine = || dents.iter().filter(|dent| dent.node == node && dent.from <= at);
    let factor = mine().filter(|dent| at < dent.until).map(|dent| dent.factor).fold(1.0, f64::min);
    let since = mine()
        .filter(|dent| dent.cold && dent.until <= at)
        .map(|dent| dent.until)
        .fold(f64::NEG_INFINITY, f64::max);
    let warm_fraction = if since.is_finite() { make.warm_fraction(at - since) } else { 1.0 };
    make.cores * make.speed * factor * warm_fraction
}

#[cfg(test)]
mod tests;
