//! What a scenario and a seed come to: every request, every speed and every fault with its targets, drawn before anything
//! starts. The same seed gives the same schedule, whatever the machine does.

mod injections;
mod random;
mod requests;

use crate::model::Ms;
use crate::scenario::{Frontends, LoadBalancing, Scenario};
use random::between;

pub use injections::{Injection, InjectionTime};
pub use random::{call_time, generator, RandomStream};
pub use requests::ClientRequest;

/// A frontend.
#[derive(Debug, Clone, PartialEq)]
pub struct FrontendProfile {
    /// How it picks a node.
    pub load_balancing: LoadBalancing,
    /// Whether it honours the hints of a rejection: Retry-After, and to try no other node.
    pub honours_rejection_hints: bool,
    /// How late it sees changes of the registry.
    pub registry_delay: Ms,
    /// Its zone.
    pub zone: usize,
}

/// The whole schedule.
#[derive(Debug, Clone)]
pub struct Schedule {
    /// Speeds of the nodes' cores.
    pub speeds: Vec<f64>,
    /// The frontends.
    pub frontends: Vec<FrontendProfile>,
    /// All requests: those sent first by time, then the repeats.
    pub requests: Vec<ClientRequest>,
    /// All fault injections.
    pub injections: Vec<Injection>,
}

/// Draws the schedule.
pub fn schedule(scenario: &Scenario, seed: u64) -> Schedule {
    let mut rng = generator(seed, RandomStream::Fleet, 0);
    let [slowest, fastest] = scenario.fleet.speed;
    let speeds = (0..scenario.fleet.nodes).map(|_| between(&mut rng, slowest, fastest)).collect();
    let settings = &scenario.frontends;
    let [earliest, latest] = settings.registry_delay_ms;
    let frontends = (0..settings.count).map(|position| FrontendProfile {
        load_balancing: settings.load_balancing[position % settings.load_balancing.len()],
        honours_rejection_hints: honours_rejection_hints(settings, position),
        registry_delay: between(&mut rng, earliest, latest),
        zone: scenario.zone_of(position),
    });
    Schedule {
        speeds,
        frontends: frontends.collect(),
        requests: requests::draw(scenario, seed),
        injections: injections::draw(scenario, seed),
    }
}

/// Whether the frontend at this position honours the hints of a rejection. Those that do are spread evenly, so that a few frontends
/// have the fraction that is asked for.
fn honours_rejection_hints(settings: &Frontends, position: usize) -> bool {
    let count_before = |position: usize| (position as f64 * settings.retry_after_honoured).floor();
    count_before(position + 1) > count_before(position)
}

#[cfg(test)]
mod tests;
