//! The fault injections of a schedule: the time and the targets of each fault.

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::random::{generator, RandomStream};
use crate::model::{ms_of_seconds, Ms};
use crate::scenario::{Fault, FaultKind, NodeEvent, Scenario};

/// When a fault is injected.
#[derive(Debug, Clone, PartialEq)]
pub enum InjectionTime {
    /// Time since the start of the load.
    Time(Ms),
    /// The moment at which an event has occurred `count` times on a node.
    Event {
        /// Position of the node.
        node: usize,
        /// The kind of event.
        event: NodeEvent,
        /// The number of occurrences, from 1.
        count: u64,
    },
}

/// One injection of a fault, with its time and its targets.
#[derive(Debug, Clone)]
pub struct Injection {
    /// The time or event that triggers the injection.
    pub at: InjectionTime,
    /// Delay after the trigger; it grows from wave to wave.
    pub delay: Ms,
    /// The fault as the scenario describes it.
    pub fault: Fault,
    /// Positions of the target nodes, or of the target frontends for [`FaultKind::Frontends`].
    pub targets: Vec<usize>,
    /// A random number for details that the scenario does not fix, such as the byte at which a file is
    /// truncated.
    pub random: u64,
}

/// Draws all injections of a scenario.
pub(super) fn draw(scenario: &Scenario, seed: u64) -> Vec<Injection> {
    let mut rng = generator(seed, RandomStream::Faults, 0);
    let node_names = scenario.node_names();
    let mut injections = Vec::new();
    for fault in &scenario.faults {
        let delay = fault.when.as_ref().map_or(0.0, |trigger| trigger.after_ms);
        for at in times(fault, scenario.seconds, &node_names) {
            let targets = draw_targets(&mut rng, scenario, fault, &node_names);
            for (wave, targets) in waves(fault, &targets).into_iter().enumerate() {
                let delay = delay + wave as f64 * ms_of_seconds(fault.wave_interval_s);
                let random = rng.random();
                injections.push(Injection { at: at.clone(), delay, fault: fault.clone(), targets, random });
            }
        }
    }
    injections
}

/// The triggers of a fault: one event, or its time and each repetition until the end of the scenario.
fn times(fault: &Fault, seconds: f64, node_names: &[String]) -> Vec<InjectionTime> {
    if let Some(trigger) = &fault.when {
        let node = node_names.iter().position(|name| *name == trigger.node).unwrap_or(0);
        return vec![InjectionTime::Event { node, event: trigger.event, count: trigger.count }];
    }
    let first = fault.at_s.unwrap_or(0.0);
    let mut times = vec![InjectionTime::Time(ms_of_seconds(first))];
    if let Some(interval) = fault.repeat_every_s {
        let repeats = ((seconds - first) / interval).floor().max(0.0) as usize;
        let repeat = |number: usize| InjectionTime::Time(ms_of_seconds(first + number as f64 * interval));
        times.extend((1..=repeats).map(repeat));
    }
    times
}

/// Draws the target nodes or frontends of a fault. For a fault with several waves they keep their random
/// order.
fn draw_targets(
    rng: &mut ChaCha8Rng,
    scenario: &Scenario,
    fault: &Fault,
    node_names: &[String],
) -> Vec<usize> {
    let hits_frontends = fault.what == FaultKind::Frontends;
    let count = if hits_frontends { scenario.frontends.count } else { scenario.fleet.nodes };
    let zone_name = |position: usize| &scenario.fleet.zones[scenario.zone_of(position)];
    let mut targets: Vec<usize> = match (fault.fraction, &fault.zone) {
        (Some(fraction), _) => draw_fraction(rng, count, fraction),
        (None, Some(zone)) => (0..count).filter(|position| zone_name(*position) == zone).collect(),
        (None, None) => (0..count).filter(|node| fault.nodes.contains(&node_names[*node])).collect(),
    };
    if fault.waves == 1 {
        targets.sort_unstable();
    }
    targets
}

/// Draws a fraction of `count` positions, at least one.
fn draw_fraction(rng: &mut ChaCha8Rng, count: usize, fraction: f64) -> Vec<usize> {
    let drawn = ((count as f64 * fraction).round() as usize).clamp(1, count);
    let mut positions: Vec<usize> = (0..count).collect();
    // A partial Fisher-Yates shuffle.
    for index in 0..drawn {
        positions.swap(index, rng.random_range(index..count));
    }
    positions.truncate(drawn);
    positions
}

/// Splits the targets into waves of equal size; a fault without targets has one empty wave.
fn waves(fault: &Fault, targets: &[usize]) -> Vec<Vec<usize>> {
    if targets.is_empty() {
        return vec![Vec::new()];
    }
    let size = targets.len().div_ceil(fault.waves).max(1);
    targets.chunks(size).map(<[usize]>::to_vec).collect()
}
