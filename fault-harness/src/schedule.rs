//! What a scenario and a seed come to: every request, every speed and every fault with those it strikes, drawn before
//! anything starts. The same seed gives the same plan, whatever the machine does.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal, Normal};

use crate::model::Ms;
use crate::scenario::{Fault, FaultKind, LoadBalancing, NodeEvent, Scenario};

/// What is drawn, each from a stream of its own, so that a change of one leaves the others as they were.
#[derive(Debug, Clone, Copy)]
pub enum Stream {
    /// Speeds of nodes and habits of frontends.
    Fleet = 1,
    /// Requests.
    Load = 2,
    /// Which nodes a fault strikes.
    Faults = 3,
    /// What frontends choose while it runs.
    Habits = 4,
    /// Delays and losses on links.
    Links = 5,
    /// Times of calls below.
    Calls = 6,
}

/// A generator for one purpose (`ChaCha` with 8 rounds); `number` tells several of the kind apart.
pub fn generator(seed: u64, stream: Stream, number: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream((stream as u64) << 32 | number);
    rng
}

/// A frontend.
#[derive(Debug, Clone, PartialEq)]
pub struct FrontendProfile {
    /// How it chooses.
    pub load_balancing: LoadBalancing,
    /// Whether it honours Retry-After.
    pub honours_retry_after: bool,
    /// How late it sees changes of the registry.
    pub registry_delay: Ms,
    /// Its zone.
    pub zone: usize,
}

/// One client's request.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientRequest {
    /// When it is asked.
    pub at: Ms,
    /// Position of its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: String,
    /// The frontend that it comes through.
    pub front: usize,
    /// Its work.
    pub work: Ms,
    /// The hint of that.
    pub hint: Ms,
    /// Its memory while held.
    pub kb: f64,
    /// The request that this one repeats, if it does: its position.
    pub repeats: Option<usize>,
}

/// When a fault strikes.
#[derive(Debug, Clone, PartialEq)]
pub enum At {
    /// At this time.
    Time(Ms),
    /// Once a node has done something so many times.
    Event(usize, NodeEvent, u64),
}

/// A fault with those it strikes.
#[derive(Debug, Clone)]
pub struct Strike {
    /// When.
    pub at: At,
    /// So long after that; waves come one after the other.
    pub after: Ms,
    /// The fault.
    pub fault: Fault,
    /// Nodes, or frontends where the fault is about those.
    pub whom: Vec<usize>,
    /// A number drawn for it.
    pub draw: u64,
}

/// The whole plan.
#[derive(Debug, Clone)]
pub struct Schedule {
    /// Speeds of the nodes' cores.
    pub speeds: Vec<f64>,
    /// The frontends.
    pub frontends: Vec<FrontendProfile>,
    /// All requests, by time.
    pub requests: Vec<ClientRequest>,
    /// All faults.
    pub strikes: Vec<Strike>,
}

/// Draws the plan.
pub fn schedule(scenario: &Scenario, seed: u64) -> Schedule {
    let mut rng = generator(seed, Stream::Fleet, 0);
    let [low, high] = scenario.fleet.speed;
    let speeds: Vec<f64> = (0..scenario.fleet.nodes).map(|_| between(&mut rng, low, high)).collect();
    let habits = &scenario.frontends;
    let frontends: Vec<FrontendProfile> = (0..habits.count)
        .map(|i| FrontendProfile {
            load_balancing: habits.load_balancing[i % habits.load_balancing.len()],
            // Spread evenly, so that few frontends have the share that is asked for.
            honours_retry_after: ((i + 1) as f64 * habits.retry_after_honoured).floor()
                > (i as f64 * habits.retry_after_honoured).floor(),
            registry_delay: between(&mut rng, habits.registry_delay_ms[0], habits.registry_delay_ms[1]),
            zone: scenario.zone_of(i),
        })
        .collect();
    Schedule { requests: requests(scenario, seed), strikes: strikes(scenario, seed), speeds, frontends }
}

fn between(rng: &mut ChaCha8Rng, low: f64, high: f64) -> f64 {
    low + (high - low) * rng.random::<f64>()
}

/// A position drawn by parts.
fn by_share(rng: &mut ChaCha8Rng, shares: impl Iterator<Item = f64> + Clone) -> usize {
    let mut left = rng.random::<f64>() * shares.clone().sum::<f64>();
    let last = shares.clone().count().saturating_sub(1);
    shares
        .into_iter()
        .position(|share| {
            left -= share;
            left < 0.0
        })
        .unwrap_or(last)
}

fn spread(rng: &mut ChaCha8Rng, mean: f64, cv: f64) -> f64 {
    let variance = (1.0 + cv * cv).ln();
    // A mean and a deviation that the scenario's check lets through make a distribution.
    LogNormal::new(mean.ln() - variance / 2.0, variance.sqrt()).map_or(mean, |drawn| drawn.sample(rng))
}

/// How long a call below takes.
pub fn call_time(rng: &mut ChaCha8Rng, mean: Ms, cv: f64) -> Ms {
    spread(rng, mean, cv)
}

fn requests(scenario: &Scenario, seed: u64) -> Vec<ClientRequest> {
    let mut rng = generator(seed, Stream::Load, 0);
    let (load, end) = (&scenario.load, scenario.seconds * 1000.0);
    let step_at =
        |at: Ms| load.steps.iter().find(|step| at >= step.from_s * 1000.0 && at < step.to_s * 1000.0);
    // Arrivals at the highest rate are thinned out to the rate of the moment.
    let most = load.steps.iter().map(|step| step.rate_factor).fold(1.0, f64::max);
    let Ok(gaps) = Exp::new(scenario.rate() * most / 1000.0) else { return Vec::new() };
    let errors = Normal::new(0.0, load.hint_error.max(0.0)).ok();
    let tenants: Vec<(&String, &f64)> = load.tenants.iter().collect();
    let (mut all, mut at) = (Vec::new(), gaps.sample(&mut rng));
    while at < end {
        let step = step_at(at);
        if rng.random::<f64>() * most < step.map_or(1.0, |step| step.rate_factor) {
            let class = by_share(&mut rng, scenario.classes.iter().map(|class| class.share));
            let shape = &scenario.classes[class];
            let mut work = spread(&mut rng, shape.work_ms, shape.cv);
            let error = errors.map_or(0.0, |errors| errors.sample(&mut rng));
            let hint = work * error.exp();
            // What makes a request costly is not in its hint.
            if step.is_some_and(|step| rng.random::<f64>() < step.costly_fraction) {
                work *= step.map_or(1.0, |step| step.costly_factor);
            }
            let tenant = tenants[by_share(&mut rng, tenants.iter().map(|(_, share)| **share))].0.clone();
            let front = rng.random_range(0..scenario.frontends.count);
            let kb = between(&mut rng, 14.0, 45.0);
            all.push(ClientRequest { at, class, tenant, front, work, hint, kb, repeats: None });
        }
        at += gaps.sample(&mut rng);
    }
    let [low, high] = load.repeat_after_ms;
    let firsts = all.len();
    for first in 0..firsts {
        let keyed = scenario.classes[all[first].class].idempotency_key;
        let (chance, after) = (rng.random::<f64>(), between(&mut rng, low, high));
        if keyed && chance < load.repeat_fraction {
            let at = all[first].at + after;
            if at < end {
                all.push(ClientRequest { at, repeats: Some(first), ..all[first].clone() });
            }
        }
    }
    all
}

fn strikes(scenario: &Scenario, seed: u64) -> Vec<Strike> {
    let mut rng = generator(seed, Stream::Faults, 0);
    let names = scenario.node_names();
    let mut all = Vec::new();
    for fault in &scenario.faults {
        let delay = fault.when.as_ref().map_or(0.0, |when| when.after_ms);
        for time in strike_times(fault, scenario.seconds) {
            let at = strike_at(fault, time, &names);
            let targets = draw_targets(&mut rng, scenario, fault, &names);
            for (wave, whom) in waves(fault, &targets).into_iter().enumerate() {
                let after = delay + wave as f64 * fault.wave_interval_s * 1000.0;
                all.push(Strike { at: at.clone(), after, fault: fault.clone(), whom, draw: rng.random() });
            }
        }
    }
    all
}

/// The times in seconds at which a fault strikes; one that waits for an event has one that counts for nothing.
fn strike_times(fault: &Fault, seconds: f64) -> Vec<f64> {
    let (first, interval) = (fault.at_s.unwrap_or(0.0), fault.repeat_every_s.unwrap_or(f64::INFINITY));
    let repeats = ((seconds - first) / interval).floor().max(0.0) as usize;
    let offset = |n: usize| if n == 0 { 0.0 } else { n as f64 * interval };
    (0..=repeats).map(|n| first + offset(n)).collect()
}

fn strike_at(fault: &Fault, time: f64, names: &[String]) -> At {
    match &fault.when {
        Some(when) => {
            let node = names.iter().position(|name| *name == when.node).unwrap_or(0);
            At::Event(node, when.event, when.count)
        }
        None if fault.at_s.is_some() => At::Time(time * 1000.0),
        None => At::Time(0.0),
    }
}

/// The nodes or frontends that a fault strikes. Those of several waves keep the order in which they were drawn.
fn draw_targets(rng: &mut ChaCha8Rng, scenario: &Scenario, fault: &Fault, names: &[String]) -> Vec<usize> {
    let count =
        if fault.what == FaultKind::Frontends { scenario.frontends.count } else { scenario.fleet.nodes };
    let mut targets: Vec<usize> = match (fault.fraction, &fault.zone) {
        (Some(part), _) => draw_part(rng, count, part),
        (None, Some(zone)) => {
            (0..count).filter(|i| scenario.fleet.zones[scenario.zone_of(*i)] == *zone).collect()
        }
        (None, None) => (0..count).filter(|i| fault.nodes.contains(&names[*i])).collect(),
    };
    if fault.waves == 1 {
        targets.sort_unstable();
    }
    targets
}

/// Draws a part of so many, one at least.
fn draw_part(rng: &mut ChaCha8Rng, count: usize, part: f64) -> Vec<usize> {
    let drawn = ((count as f64 * part).round() as usize).clamp(1, count);
    let mut all: Vec<usize> = (0..count).collect();
    // A shuffle of which the first ones are taken.
    (0..drawn).for_each(|i| all.swap(i, rng.random_range(i..count)));
    all.truncate(drawn);
    all
}

/// Deals targets out to waves; a fault without targets has one wave.
fn waves(fault: &Fault, targets: &[usize]) -> Vec<Vec<usize>> {
    if targets.is_empty() {
        return vec![Vec::new()];
    }
    let size = targets.len().div_ceil(fault.waves).max(1);
    targets.chunks(size).map(<[usize]>::to_vec).collect()
}

#[cfg(test)]
mod tests;
