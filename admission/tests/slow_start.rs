//! Slow start: many servers call a tier that has only just started. All of their calls together must stay within the
//! concurrency that the cold servers survive. Simulated on one thread in virtual time; all randomness is seeded.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use oakwind_admission::*;

/// Virtual time between two steps.
const STEP_SECONDS: f64 = 0.005;
/// Period over which the concurrency on the cores is averaged.
const AVERAGING_SECONDS: f64 = 2.0;
/// How long a cold server takes to warm up.
const WARM_UP_SECONDS: f64 = 12.0;
/// Speed of a server at a cold start, as a fraction of full speed.
const COLD_SPEED: f64 = 0.22;
/// Cores of each server.
const CORES: f64 = 6.0;
/// Running requests for each core that a warm server survives.
const MAX_CONCURRENCY_PER_CORE: f64 = 8.0;
/// Work of a request, in seconds on one core at full speed.
const WORK_SECONDS: f64 = 0.3;

/// A linear congruential generator.
struct SeededRandom(u64);

impl SeededRandom {
    /// The next number in 0..1.
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 40) as f64 / (1u64 << 24) as f64
    }
}

/// A simulated server; its running requests share its cores.
struct Server {
    admission: Admission,
    cold: bool,
    /// Remaining work of each running request, in seconds.
    running: BTreeMap<RequestId, f64>,
    /// Remaining work of the requests that wait for a call; they are on no core.
    calling: BTreeMap<RequestId, f64>,
    started_at: HashMap<RequestId, f64>,
    events: Vec<Event>,
    /// When the timer that the module asked for is due.
    timer_at: f64,
    /// The running requests at each step of the averaging period, and their sum.
    concurrency: VecDeque<f64>,
    concurrency_sum: f64,
    /// The highest mean concurrency, as a fraction of the survivable concurrency at that time.
    peak_concurrency: f64,
    /// The most runs started in the averaging period beyond its budget, in units of the square root of the budget.
    excess_starts: f64,
    /// When runs started within the averaging period.
    starts: VecDeque<f64>,
}

impl Server {
    fn new(cold: bool, callers: u32, seed: u64) -> Server {
        let class =
            Class { latency_objective: secs(1.4), deadline: secs(3.6), calls: !cold, ..Class::default() };
        let settings = Settings {
            classes: vec![class],
            cores: CORES as u32,
            max_concurrency_per_core: MAX_CONCURRENCY_PER_CORE,
            cold,
            cold_speed: if cold { COLD_SPEED } else { 1.0 },
            warm_up_time: secs(WARM_UP_SECONDS),
            dependency: if cold { Dependency::Off } else { Dependency::Tier },
            sends_deadline: true,
            callers,
            ..Settings::default()
        };
        Server {
            admission: Admission::new(settings, seed, Duration::ZERO),
            cold,
            running: BTreeMap::new(),
            calling: BTreeMap::new(),
            started_at: HashMap::new(),
            events: Vec::new(),
            timer_at: 0.0,
            concurrency: VecDeque::new(),
            concurrency_sum: 0.0,
            peak_concurrency: 0.0,
            excess_starts: f64::NEG_INFINITY,
            starts: VecDeque::new(),
        }
    }

    /// The speed of its cores at `now`, as a fraction of full speed.
    fn speed(&self, now: f64) -> f64 {
        if self.cold {
            (COLD_SPEED + (1.0 - COLD_SPEED) * now / WARM_UP_SECONDS).min(1.0)
        } else {
            1.0
        }
    }

    /// Hands over a request whose caller waits for `time_left` seconds.
    fn receive(&mut self, id: RequestId, caller: u32, time_left: f64) {
        let arrival = Arrival {
            caller: CallerId(caller),
            time_left: Some(secs(time_left)),
            ..Arrival::new(id, ClassId(0))
        };
        self.events.push(Event::Arrived(arrival));
    }

    /// Advances the running requests by one step, then applies the decisions. Returns the actions.
    fn step(&mut self, now: f64) -> Vec<Action> {
        let work_each = STEP_SECONDS * self.speed(now) * (CORES / self.running.len().max(1) as f64).min(1.0);
        let ids: Vec<RequestId> = self.running.keys().copied().collect();
        for id in ids {
            let left = self.running[&id] - work_each;
            self.running.insert(id, left);
            if left <= 0.0 {
                self.running.remove(&id);
                let took = secs(now - self.started_at[&id]);
                self.events.push(Event::Finished { id, outcome: Outcome::Ok, took });
            } else if !self.cold && left <= WORK_SECONDS / 2.0 && !self.calling.contains_key(&id) {
                self.running.remove(&id);
                self.calling.insert(id, left);
                self.events.push(Event::CallNeeded(id));
            }
        }
        if now >= self.timer_at {
            let runnable = self.running.len() as f64;
            let gauges = Gauges { busy: Some((runnable / CORES).min(1.0)), runnable: Some(runnable) };
            self.events.push(Event::Timer(TimerId(0), gauges));
        }
        let (events, mut actions) = (std::mem::take(&mut self.events), Vec::new());
        self.admission.handle(secs(now), &events, &mut actions);
        for action in &actions {
            match action {
                Action::Run(id) => {
                    self.running.insert(*id, WORK_SECONDS);
                    self.started_at.insert(*id, now);
                    self.starts.push_back(now);
                }
                Action::SetTimer(_, after) => self.timer_at = now + after.as_secs_f64(),
                Action::Fail(id) if self.calling.remove(id).is_some() => {
                    self.events.push(Event::Finished {
                        id: *id,
                        outcome: Outcome::Cancelled,
                        took: secs(1.0),
                    });
                }
                _ => {}
            }
        }
        self.record_concurrency(now);
        actions
    }

    /// Updates the peak concurrency and the starts beyond the budget.
    fn record_concurrency(&mut self, now: f64) {
        self.concurrency.push_back(self.running.len() as f64);
        self.concurrency_sum += self.running.len() as f64;
        if self.concurrency.len() as f64 > AVERAGING_SECONDS / STEP_SECONDS {
            self.concurrency_sum -= self.concurrency.pop_front().unwrap_or(0.0);
        }
        let survivable = CORES * (1.0 + (MAX_CONCURRENCY_PER_CORE - 1.0) * self.speed(now));
        self.peak_concurrency =
            self.peak_concurrency.max(self.concurrency_sum * STEP_SECONDS / AVERAGING_SECONDS / survivable);
        // The settings allow the survivable concurrency and, beyond it, what the cores complete in that time.
        self.starts.retain(|at| *at > now - AVERAGING_SECONDS);
        let budget = survivable
            + CORES * self.speed(now - AVERAGING_SECONDS / 2.0).max(COLD_SPEED) * AVERAGING_SECONDS
                / WORK_SECONDS;
        self.excess_starts = self.excess_starts.max((self.starts.len() as f64 - budget) / budget.sqrt());
    }
}

/// Simulates `callers` servers that call `callees` cold ones, which reject by their own decisions. Returns the highest
/// mean concurrency of a callee as a fraction of what it survives, and the most runs started beyond the budget, in units
/// of the square root of the budget.
fn simulate_cold_start(callers: usize, callees: usize, seed: u64) -> (f64, f64) {
    let mut random = SeededRandom(seed | 1);
    let mut calling_servers: Vec<Server> =
        (0..callers).map(|i| Server::new(false, 4, seed + i as u64)).collect();
    let mut called_servers: Vec<Server> =
        (0..callees).map(|i| Server::new(true, callers as u32, 900 + seed + i as u64)).collect();
    // The caller, its request and the time of the call, for each request of a callee.
    let mut calls: Vec<HashMap<RequestId, (usize, RequestId, f64)>> = vec![HashMap::new(); callees];
    let (mut next, mut now) = (1, 0.0);
    while now < WARM_UP_SECONDS {
        for (index, caller) in calling_servers.iter_mut().enumerate() {
            // The clients ask for 1.2 times what the cores can do.
            if random.next() < 1.2 * CORES / WORK_SECONDS * STEP_SECONDS {
                caller.receive(RequestId(next), index as u32 % 4, 3.6);
                next += 1;
            }
            for action in caller.step(now) {
                if let Action::Call(id, within) = action {
                    let to = (random.next() * callees as f64) as usize;
                    calls[to].insert(RequestId(next), (index, id, now));
                    called_servers[to].receive(RequestId(next), index as u32, within.as_secs_f64());
                    next += 1;
                }
            }
        }
        for (index, server) in called_servers.iter_mut().enumerate() {
            let before: Vec<RequestId> = server.running.keys().copied().collect();
            let actions = server.step(now);
            let done =
                before.into_iter().filter(|id| !server.running.contains_key(id)).map(|id| (id, Outcome::Ok));
            let decided = actions.iter().filter_map(|action| match action {
                Action::Reject { id, .. } => Some((*id, Outcome::Rejected)),
                Action::Fail(id) => Some((*id, Outcome::Error)),
                _ => None,
            });
            for (id, outcome) in done.chain(decided).collect::<Vec<_>>() {
                let Some((caller, call, since)) = calls[index].remove(&id) else { continue };
                let caller = &mut calling_servers[caller];
                if outcome == Outcome::Ok {
                    if let Some(left) = caller.calling.get(&call) {
                        // The call succeeded: the rest of the request runs.
                        caller.running.insert(call, *left);
                    }
                }
                caller.events.push(Event::CallReturned { id: call, outcome, took: secs(now - since) });
            }
        }
        now += STEP_SECONDS;
    }
    let highest = |of: fn(&Server) -> f64| called_servers.iter().map(of).fold(f64::NEG_INFINITY, f64::max);
    (highest(|server| server.peak_concurrency), highest(|server| server.excess_starts))
}

fn secs(time: f64) -> Duration {
    Duration::from_secs_f64(time.max(0.0))
}

#[test]
fn cold_servers_survive_the_combined_calls_of_many_servers() {
    println!("callers callees seed concurrency excess_starts");
    for (callers, callees) in [(8, 8), (20, 6), (30, 8), (30, 20)] {
        for seed in 1..=3 {
            let (concurrency, excess_starts) = simulate_cold_start(callers, callees, 1000 * seed);
            println!("{callers:7} {callees:7} {seed:4} {concurrency:11.2} {excess_starts:13.2}");
            assert!(concurrency < 1.0, "{callers} callers, {callees} callees, seed {seed}: {concurrency}");
            assert!(
                excess_starts <= 2.0,
                "{callers} callers, {callees} callees, seed {seed}: {excess_starts}"
            );
        }
    }
}
