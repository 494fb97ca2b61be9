//! The schedule of a play: all requests, core speeds and faults with their targets, drawn from a scenario and
//! a seed before the play starts. The same seed always gives the same schedule, independent of the machine.

mod injections;
mod random;
mod requests;

use crate::model::Ms;
use crate::scenario::{Frontends, LoadBalancing, Scenario};
use random::between;

pub use injections::{Injection, InjectionTime};
pub use random::{call_time, generator, RandomStream};
pub use requests::ClientRequest;

/// The drawn properties of a frontend.
#[derive(Debug, Clone, PartialEq)]
pub struct FrontendProfile {
    /// Its load balancing policy.
    pub load_balancing: LoadBalancing,
    /// Whether it honours the hints of a rejection: Retry-After, and the hint not to try another node.
    pub honours_rejection_hints: bool,
    /// Delay after which it sees changes of the registry.
    pub registry_delay: Ms,
    /// Position of its zone in the scenario.
    pub zone: usize,
}

/// The schedule of a play.
#[derive(Debug, Clone)]
pub struct Schedule {
    /// Core speed of each node's interpreter, by the node's position.
    pub speeds: Vec<f64>,
    /// The frontends, by position.
    pub frontends: Vec<FrontendProfile>,
    /// All requests: the originals in order of time, followed by the repeats.
    pub requests: Vec<ClientRequest>,
    /// All fault injections, in the order of the scenario's faults.
    pub injections: Vec<Injection>,
}

/// Draws the schedule of a scenario.
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

/// Whether the frontend at this position honours the hints of a rejection. Those that do are spread evenly,
/// so that even a few frontends have the configured fraction.
fn honours_rejection_hints(settings: &Frontends, position: usize) -> bool {
    let count_before = |position: usize| (position as f64 * settings.retry_after_honoured).floor();
    count_before(position + 1) > count_before(position)
}

#[cfg(test)]
mod tests;
