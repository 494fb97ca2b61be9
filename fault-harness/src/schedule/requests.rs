//! The client requests of a schedule, and their repeats.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Normal};

use super::random::{between, generator, log_normal, position_by_share, RandomStream};
use crate::model::{ms_of_seconds, Ms};
use crate::scenario::{LoadStep, Scenario};

/// The range of the memory that a held request takes, in KB.
const REQUEST_MEMORY_KB: [f64; 2] = [14.0, 45.0];

/// A request that a client sends to a frontend, drawn from the load of the scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct ClientRequest {
    /// When the client sends it, in milliseconds after the start of the load.
    pub at: Ms,
    /// Position of its class in the scenario.
    pub class: usize,
    /// Name of its tenant.
    pub tenant: String,
    /// Position of the frontend that receives it.
    pub frontend: usize,
    /// CPU time of its run on a core of speed 1.
    pub work: Ms,
    /// The frontend's estimate of `work`, which is sent with the request.
    pub cost_hint: Ms,
    /// Memory that it takes while it is held, in KB.
    pub memory_kb: f64,
    /// Position of the request that this one repeats; absent for original requests.
    pub repeats: Option<usize>,
}

/// Draws all requests: the originals in order of time, followed by the repeats.
pub(super) fn draw(scenario: &Scenario, seed: u64) -> Vec<ClientRequest> {
    let mut rng = generator(seed, RandomStream::Load, 0);
    let mut requests = draw_first_requests(scenario, &mut rng);
    draw_repeats(scenario, &mut rng, &mut requests);
    requests
}

fn draw_first_requests(scenario: &Scenario, rng: &mut ChaCha8Rng) -> Vec<ClientRequest> {
    let end = ms_of_seconds(scenario.seconds);
    // A Poisson process at the highest rate is thinned to the rate at each time.
    let highest_factor = scenario.load.steps.iter().map(|step| step.rate_factor).fold(1.0, f64::max);
    let rate_per_ms = scenario.rate() * highest_factor / ms_of_seconds(1.0);
    let Ok(gaps) = Exp::new(rate_per_ms) else { return Vec::new() };
    let source = RequestSource::new(scenario);
    let mut requests = Vec::new();
    let mut at = gaps.sample(rng);
    while at < end {
        let step = step_at(scenario, at);
        let rate_factor = step.map_or(1.0, |step| step.rate_factor);
        if rng.random::<f64>() * highest_factor < rate_factor {
            requests.push(source.draw(rng, at, step));
        }
        at += gaps.sample(rng);
    }
    requests
}

fn step_at(scenario: &Scenario, at: Ms) -> Option<&LoadStep> {
    let is_within = |step: &&LoadStep| at >= ms_of_seconds(step.from_s) && at < ms_of_seconds(step.to_s);
    scenario.load.steps.iter().find(is_within)
}

/// The distributions that requests are drawn from.
struct RequestSource<'a> {
    scenario: &'a Scenario,
    class_shares: Vec<f64>,
    tenants: Vec<&'a String>,
    tenant_shares: Vec<f64>,
    /// The logarithm of the ratio between a cost hint and the work.
    hint_errors: Option<Normal<f64>>,
}

impl<'a> RequestSource<'a> {
    fn new(scenario: &'a Scenario) -> Self {
        let load = &scenario.load;
        RequestSource {
            scenario,
            class_shares: scenario.classes.iter().map(|class| class.share).collect(),
            tenants: load.tenants.keys().collect(),
            tenant_shares: load.tenants.values().copied().collect(),
            hint_errors: Normal::new(0.0, load.hint_error.max(0.0)).ok(),
        }
    }

    /// Draws a request. The order of the draws must not change, because it determines the schedule of a seed.
    fn draw(&self, rng: &mut ChaCha8Rng, at: Ms, step: Option<&LoadStep>) -> ClientRequest {
        let class = position_by_share(rng, &self.class_shares);
        let shape = &self.scenario.classes[class];
        let mut work = log_normal(rng, shape.work_ms, shape.cv);
        let hint_error = self.hint_errors.map_or(0.0, |errors| errors.sample(rng));
        let cost_hint = work * hint_error.exp();
        // The hint does not include the extra work of a costly request.
        if let Some(step) = step {
            if rng.random::<f64>() < step.costly_fraction {
                work *= step.costly_factor;
            }
        }
        let tenant = self.tenants[position_by_share(rng, &self.tenant_shares)].clone();
        let frontend = rng.random_range(0..self.scenario.frontends.count);
        let [least, most] = REQUEST_MEMORY_KB;
        let memory_kb = between(rng, least, most);
        ClientRequest { at, class, tenant, frontend, work, cost_hint, memory_kb, repeats: None }
    }
}

/// Draws which requests with an idempotency key are repeated, and when. Repeats after the end of the scenario
/// are left out.
fn draw_repeats(scenario: &Scenario, rng: &mut ChaCha8Rng, requests: &mut Vec<ClientRequest>) {
    let load = &scenario.load;
    let end = ms_of_seconds(scenario.seconds);
    let [earliest, latest] = load.repeat_after_ms;
    for first in 0..requests.len() {
        let chance = rng.random::<f64>();
        let at = requests[first].at + between(rng, earliest, latest);
        let has_key = scenario.classes[requests[first].class].idempotency_key;
        if has_key && chance < load.repeat_fraction && at < end {
            requests.push(ClientRequest { at, repeats: Some(first), ..requests[first].clone() });
        }
    }
}
