//! What a scenario and a seed come to: every request, every speed and every fault with those it strikes, drawn before
//! anything starts. The same seed gives the same plan, whatever the machine does.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, LogNormal, Normal};

use crate::model::Ms;
use crate::scenario::{Choose, Fault, Happening, Scenario, What};

/// What is drawn, each from a stream of its own, so that a change of one leaves the others as they were.
#[derive(Debug, Clone, Copy)]
pub enum Stream {
    /// Speeds of nodes and habits of front ends.
    Fleet = 1,
    /// Requests.
    Load = 2,
    /// Who is struck.
    Faults = 3,
    /// What front ends choose while it runs.
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

/// A front end.
#[derive(Debug, Clone, PartialEq)]
pub struct FrontendProfile {
    /// How it chooses.
    pub choose: Choose,
    /// Whether it heeds advice.
    pub heeds: bool,
    /// How late it sees the list.
    pub late: Ms,
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
    /// The front end that it comes through.
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
    Event(usize, Happening, u64),
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
    /// Nodes, or front ends where the fault is about those.
    pub whom: Vec<usize>,
    /// A number drawn for it.
    pub draw: u64,
}

/// The whole plan.
#[derive(Debug, Clone)]
pub struct Schedule {
    /// Speeds of the nodes' cores.
    pub speeds: Vec<f64>,
    /// The front ends.
    pub fronts: Vec<FrontendProfile>,
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
    let habits = &scenario.fronts;
    let fronts: Vec<FrontendProfile> = (0..habits.count)
        .map(|i| FrontendProfile {
            choose: habits.choose[i % habits.choose.len()],
            // Spread evenly, so that few front ends have the share that is asked for.
            heeds: ((i + 1) as f64 * habits.heed).floor() > (i as f64 * habits.heed).floor(),
            late: between(&mut rng, habits.list_late_ms[0], habits.list_late_ms[1]),
            zone: scenario.zone_of(i),
        })
        .collect();
    Schedule { requests: requests(scenario, seed), strikes: strikes(scenario, seed), speeds, fronts }
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
    let most = load.steps.iter().map(|step| step.times).fold(1.0, f64::max);
    let Ok(gaps) = Exp::new(scenario.rate() * most / 1000.0) else { return Vec::new() };
    let errors = Normal::new(0.0, load.hint_error.max(0.0)).ok();
    let tenants: Vec<(&String, &f64)> = load.tenants.iter().collect();
    let (mut all, mut at) = (Vec::new(), gaps.sample(&mut rng));
    while at < end {
        let step = step_at(at);
        if rng.random::<f64>() * most < step.map_or(1.0, |step| step.times) {
            let class = by_share(&mut rng, scenario.classes.iter().map(|class| class.share));
            let shape = &scenario.classes[class];
            let mut work = spread(&mut rng, shape.work_ms, shape.cv);
            let error = errors.map_or(0.0, |errors| errors.sample(&mut rng));
            let hint = work * error.exp();
            // What makes a request costly is not in its hint.
            if step.is_some_and(|step| rng.random::<f64>() < step.costly) {
                work *= step.map_or(1.0, |step| step.costly_times);
            }
            let tenant = tenants[by_share(&mut rng, tenants.iter().map(|(_, share)| **share))].0.clone();
            let front = rng.random_range(0..scenario.fronts.count);
            let kb = between(&mut rng, 14.0, 45.0);
            all.push(ClientRequest { at, class, tenant, front, work, hint, kb, repeats: None });
        }
        at += gaps.sample(&mut rng);
    }
    let [low, high] = load.repeat_after_ms;
    let firsts = all.len();
    for first in 0..firsts {
        let keyed = scenario.classes[all[first].class].keyed;
        let (chance, after) = (rng.random::<f64>(), between(&mut rng, low, high));
        if keyed && chance < load.repeats {
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
    let again = |fault: &Fault| {
        let (first, every) = (fault.at_s.unwrap_or(0.0), fault.again_s.unwrap_or(f64::INFINITY));
        let times = ((scenario.seconds - first) / every).floor().max(0.0) as usize;
        (0..=times).map(move |n| first + if n == 0 { 0.0 } else { n as f64 * every }).collect::<Vec<f64>>()
    };
    for (fault, time) in
        scenario.faults.iter().flat_map(|fault| again(fault).into_iter().map(move |t| (fault, t)))
    {
        let at = match (&fault.when, fault.at_s.map(|_| time)) {
            (Some(when), _) => {
                let node = names.iter().position(|name| *name == when.node).unwrap_or(0);
                At::Event(node, when.event, when.count)
            }
            (None, at) => At::Time(at.unwrap_or(0.0) * 1000.0),
        };
        let count = if fault.what == What::Fronts { scenario.fronts.count } else { scenario.fleet.nodes };
        let mut whom: Vec<usize> = match (fault.part, &fault.zone) {
            (Some(part), _) => {
                let struck = ((count as f64 * part).round() as usize).clamp(1, count);
                let mut all: Vec<usize> = (0..count).collect();
                // A shuffle of which the first ones are taken.
                (0..struck).for_each(|i| all.swap(i, rng.random_range(i..count)));
                all.truncate(struck);
                all
            }
            (None, Some(zone)) => {
                (0..count).filter(|i| scenario.fleet.zones[scenario.zone_of(*i)] == *zone).collect()
            }
            (None, None) => (0..count).filter(|i| fault.nodes.contains(&names[*i])).collect(),
        };
        if fault.waves == 1 {
            whom.sort_unstable();
        }
        let each = whom.len().div_ceil(fault.waves).max(1);
        let first = fault.when.as_ref().map_or(0.0, |when| when.after_ms);
        let waves: Vec<Vec<usize>> = if whom.is_empty() {
            vec![Vec::new()]
        } else {
            whom.chunks(each).map(<[usize]>::to_vec).collect()
        };
        for (wave, whom) in waves.into_iter().enumerate() {
            let after = first + wave as f64 * fault.every_s * 1000.0;
            all.push(Strike { at: at.clone(), after, fault: fault.clone(), whom, draw: rng.random() });
        }
    }
    all
}

#[cfg(test)]
mod tests;
