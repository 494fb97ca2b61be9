//! Slow start: many servers call a tier that has just started. Their combined calls must stay within the safe
//! concurrency of the cold servers. The simulation runs on one thread in virtual time with seeded randomness.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use oakwind_admission::*;

use crate::random::LinearCongruential;

/// Virtual time of one step.
const STEP_SECONDS: f64 = 0.005;
/// Period over which the number of running requests is averaged.
const AVERAGING_SECONDS: f64 = 2.0;
/// How long a cold server takes to warm up.
const WARM_UP_SECONDS: f64 = 12.0;
/// Speed of a server at a cold start, as a fraction of full speed.
const COLD_SPEED: f64 = 0.22;
/// Number of cores of each server.
const CORES: f64 = 6.0;
/// Maximum safe number of running requests per core of a warm server.
const MAX_CONCURRENCY_PER_CORE: f64 = 8.0;
/// Work of a request, in seconds on one core at full speed.
const WORK_SECONDS: f64 = 0.3;

/// A simulated server; its running requests share its cores.
struct Server {
    admission: Admission,
    cold: bool,
    /// Remaining work of each running request, in seconds.
    running: BTreeMap<RequestId, f64>,
    /// Remaining work of each request that is blocked on a call and uses no core, in seconds.
    calling: BTreeMap<RequestId, f64>,
    started_at: HashMap<RequestId, f64>,
    events: Vec<Event>,
    /// When the timer that the module has set expires.
    timer_at: f64,
    /// Number of running requests at each step of the averaging period.
    concurrency: VecDeque<f64>,
    /// Sum of `concurrency`.
    concurrency_sum: f64,
    /// The highest mean concurrency, as a fraction of the maximum safe concurrency at that time.
    peak_concurrency: f64,
    /// The highest number of runs started in an averaging period beyond its budget, in units of the square
    /// root of the budget.
    excess_starts: f64,
    /// Start times of the runs in the averaging period.
    starts: VecDeque<f64>,
}

impl Server {
    fn new(cold: bool, callers: u32, seed: u64) -> Server {
        let class =
            Class { latency_objective: secs(1.4), deadline: secs(3.6), may_call: !cold, ..Class::default() };
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

    /// Speed of the server's cores at `now`, as a fraction of full speed.
    fn speed(&self, now: f64) -> f64 {
        if self.cold {
            (COLD_SPEED + (1.0 - COLD_SPEED) * now / WARM_UP_SECONDS).min(1.0)
        } else {
            1.0
        }
    }

    /// Adds the arrival of a request whose caller will wait for `remaining_time` seconds.
    fn receive(&mut self, id: RequestId, caller: u32, remaining_time: f64) {
        let arrival = Arrival {
            caller: CallerId(caller),
            remaining_time: Some(secs(remaining_time)),
            ..Arrival::new(id, ClassId(0))
        };
        self.events.push(Event::Arrived(arrival));
    }

    /// Advances the running requests by one step, passes the events to the module and applies its actions.
    /// Returns the actions.
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
            let gauges = Gauges { utilization: Some((runnable / CORES).min(1.0)), runnable: Some(runnable) };
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

    /// Updates the peak concurrency and the number of runs started beyond the budget.
    fn record_concurrency(&mut self, now: f64) {
        self.concurrency.push_back(self.running.len() as f64);
        self.concurrency_sum += self.running.len() as f64;
        if self.concurrency.len() as f64 > AVERAGING_SECONDS / STEP_SECONDS {
            self.concurrency_sum -= self.concurrency.pop_front().unwrap_or(0.0);
        }
        let max_safe_concurrency = CORES * (1.0 + (MAX_CONCURRENCY_PER_CORE - 1.0) * self.speed(now));
        self.peak_concurrency = self
            .peak_concurrency
            .max(self.concurrency_sum * STEP_SECONDS / AVERAGING_SECONDS / max_safe_concurrency);
        // The budget is the maximum safe concurrency plus the runs that the cores complete in the averaging
        // period.
        self.starts.retain(|at| *at > now - AVERAGING_SECONDS);
        let budget = max_safe_concurrency
            + CORES * self.speed(now - AVERAGING_SECONDS / 2.0).max(COLD_SPEED) * AVERAGING_SECONDS
                / WORK_SECONDS;
        self.excess_starts = self.excess_starts.max((self.starts.len() as f64 - budget) / budget.sqrt());
    }
}

/// A call in progress at a cold server: the caller, its request, and the start time.
struct CallInProgress {
    caller: usize,
    request: RequestId,
    since: f64,
}

/// A tier of warm servers that call a tier of cold ones. The cold servers decide on their own what to reject.
struct Tiers {
    callers: Vec<Server>,
    callees: Vec<Server>,
    /// Calls in progress at each callee, by the identifier of the request at the callee.
    calls: Vec<HashMap<RequestId, CallInProgress>>,
    random: LinearCongruential,
    next_id: u32,
}

impl Tiers {
    fn new(callers: usize, callees: usize, seed: u64) -> Self {
        let caller = |i| Server::new(false, 4, seed + i as u64);
        let callee = |i| Server::new(true, callers as u32, 900 + seed + i as u64);
        Tiers {
            callers: (0..callers).map(caller).collect(),
            callees: (0..callees).map(callee).collect(),
            calls: (0..callees).map(|_| HashMap::new()).collect(),
            random: LinearCongruential::new(seed | 1),
            next_id: 1,
        }
    }

    fn next_id(&mut self) -> RequestId {
        self.next_id += 1;
        RequestId(self.next_id - 1)
    }

    /// Advances a caller by one step. Its clients send 1.2 times the requests that its cores can handle.
    fn step_caller(&mut self, caller: usize, now: f64) {
        if self.random.fraction() < 1.2 * CORES / WORK_SECONDS * STEP_SECONDS {
            let id = self.next_id();
            self.callers[caller].receive(id, caller as u32 % 4, 3.6);
        }
        for action in self.callers[caller].step(now) {
            if let Action::Call(request, within) = action {
                let callee = (self.random.fraction() * self.callees.len() as f64) as usize;
                let id = self.next_id();
                self.calls[callee].insert(id, CallInProgress { caller, request, since: now });
                self.callees[callee].receive(id, caller as u32, within.as_secs_f64());
            }
        }
    }

    /// Advances a callee by one step and returns its ended calls to the callers.
    fn step_callee(&mut self, callee: usize, now: f64) {
        let server = &mut self.callees[callee];
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
            if let Some(call) = self.calls[callee].remove(&id) {
                self.return_call(&call, outcome, now);
            }
        }
    }

    fn return_call(&mut self, call: &CallInProgress, outcome: Outcome, now: f64) {
        let caller = &mut self.callers[call.caller];
        if outcome == Outcome::Ok {
            if let Some(left) = caller.calling.get(&call.request) {
                // The call succeeded, so the request resumes with its remaining work.
                caller.running.insert(call.request, *left);
            }
        }
        let took = secs(now - call.since);
        caller.events.push(Event::CallReturned { id: call.request, outcome, took });
    }
}

/// Simulates `callers` warm servers that call `callees` cold ones until these are warm.
fn simulate_cold_start(callers: usize, callees: usize, seed: u64) -> ColdStartLoad {
    let mut tiers = Tiers::new(callers, callees, seed);
    let mut now = 0.0;
    while now < WARM_UP_SECONDS {
        (0..callers).for_each(|caller| tiers.step_caller(caller, now));
        (0..callees).for_each(|callee| tiers.step_callee(callee, now));
        now += STEP_SECONDS;
    }
    let highest = |of: fn(&Server) -> f64| tiers.callees.iter().map(of).fold(f64::NEG_INFINITY, f64::max);
    ColdStartLoad {
        concurrency: highest(|server| server.peak_concurrency),
        excess_starts: highest(|server| server.excess_starts),
    }
}

/// The highest load of any cold server.
struct ColdStartLoad {
    /// Mean concurrency, as a fraction of the maximum safe concurrency.
    concurrency: f64,
    /// Runs started beyond the budget, in units of the square root of the budget.
    excess_starts: f64,
}

fn secs(time: f64) -> Duration {
    Duration::from_secs_f64(time.max(0.0))
}

#[test]
fn the_combined_calls_of_many_servers_do_not_overload_cold_servers() {
    println!("callers callees seed concurrency excess_starts");
    for (callers, callees) in [(8, 8), (20, 6), (30, 8), (30, 20)] {
        for seed in 1..=3 {
            let ColdStartLoad { concurrency, excess_starts } =
                simulate_cold_start(callers, callees, 1000 * seed);
            println!("{callers:7} {callees:7} {seed:4} {concurrency:11.2} {excess_starts:13.2}");
            assert!(
                concurrency < 1.0,
                "{callers} callers, {callees} callees, seed {seed}: mean concurrency {concurrency}"
            );
            assert!(
                excess_starts <= 2.0,
                "{callers} callers, {callees} callees, seed {seed}: excess starts {excess_starts}"
            );
        }
    }
}
