//! Many processes over a tier below that has only just started: what they send to it in all stays within what cold
//! servers survive. One thread, virtual time, all chance from seeds.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use oakwind_admission::*;

const STEP: f64 = 0.005;
/// Over which the crowd on the cores is averaged.
const SPAN: f64 = 2.0;
const WARM_AFTER: f64 = 12.0;
const COLD_SHARE: f64 = 0.22;
const CORES: f64 = 6.0;
const FALLS_AT: f64 = 8.0;
/// Work of a request, on one core of full speed.
const WORK: f64 = 0.3;

struct Dice(u64);

impl Dice {
    fn next(&mut self) -> f64 {
        self.0 = self.0.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.0 >> 40) as f64 / (1u64 << 24) as f64
    }
}

/// One process with cores that all that runs shares.
struct Server {
    admission: Admission,
    cold: bool,
    /// The work that each run still has; what stands at a call is on no core.
    running: BTreeMap<RequestId, f64>,
    calling: BTreeMap<RequestId, f64>,
    started_at: HashMap<RequestId, f64>,
    events: Vec<Event>,
    timer_at: f64,
    /// The crowd on the cores, a step each, and its sum.
    crowd: VecDeque<f64>,
    sum: f64,
    /// The most that the mean crowd was, as a part of what is survived then.
    most: f64,
    /// The most that was begun in the span beyond the budget of that time, in units of its root.
    excess: f64,
    begun: VecDeque<f64>,
}

impl Server {
    fn new(cold: bool, callers: u32, seed: u64) -> Server {
        let class =
            Class { latency_objective: secs(1.4), deadline: secs(3.6), calls: !cold, ..Class::default() };
        let settings = Settings {
            classes: vec![class],
            cores: CORES as u32,
            max_concurrency_per_core: FALLS_AT,
            cold,
            cold_speed: if cold { COLD_SHARE } else { 1.0 },
            warm_up_time: secs(WARM_AFTER),
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
            crowd: VecDeque::new(),
            sum: 0.0,
            most: 0.0,
            excess: f64::NEG_INFINITY,
            begun: VecDeque::new(),
        }
    }

    fn share(&self, now: f64) -> f64 {
        if self.cold {
            (COLD_SHARE + (1.0 - COLD_SHARE) * now / WARM_AFTER).min(1.0)
        } else {
            1.0
        }
    }

    fn arrives(&mut self, id: RequestId, caller: u32, time_left: f64) {
        let arrival = Arrival {
            caller: CallerId(caller),
            time_left: Some(secs(time_left)),
            ..Arrival::new(id, ClassId(0))
        };
        self.events.push(Event::Arrived(arrival));
    }

    /// The cores do a step of work; then the decisions. Returns what they decide of requests and calls.
    fn step(&mut self, now: f64) -> Vec<Action> {
        let each = STEP * self.share(now) * (CORES / self.running.len().max(1) as f64).min(1.0);
        let ids: Vec<RequestId> = self.running.keys().copied().collect();
        for id in ids {
            let left = self.running[&id] - each;
            self.running.insert(id, left);
            if left <= 0.0 {
                self.running.remove(&id);
                let took = secs(now - self.started_at[&id]);
                self.events.push(Event::Finished { id, outcome: Outcome::Ok, took });
            } else if !self.cold && left <= WORK / 2.0 && !self.calling.contains_key(&id) {
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
                    self.running.insert(*id, WORK);
                    self.started_at.insert(*id, now);
                    self.begun.push_back(now);
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
        self.measure(now);
        actions
    }

    fn measure(&mut self, now: f64) {
        self.crowd.push_back(self.running.len() as f64);
        self.sum += self.running.len() as f64;
        if self.crowd.len() as f64 > SPAN / STEP {
            self.sum -= self.crowd.pop_front().unwrap_or(0.0);
        }
        let survived = CORES * (1.0 + (FALLS_AT - 1.0) * self.share(now));
        self.most = self.most.max(self.sum * STEP / SPAN / survived);
        // What the settings allow it in that time: the crowd that it survives, and what its cores do meanwhile.
        self.begun.retain(|at| *at > now - SPAN);
        let budget = survived + CORES * self.share(now - SPAN / 2.0).max(COLD_SHARE) * SPAN / WORK;
        self.excess = self.excess.max((self.begun.len() as f64 - budget) / budget.sqrt());
    }
}

/// A day of so many processes over cold ones below, which refuse by their own decisions. Returns the largest mean crowd
/// below as a part of what is survived, and the most begun beyond the budget, in units of its root.
fn cold_start(senders: usize, below: usize, seed: u64) -> (f64, f64) {
    let mut dice = Dice(seed | 1);
    let mut upper: Vec<Server> = (0..senders).map(|i| Server::new(false, 4, seed + i as u64)).collect();
    let mut lower: Vec<Server> =
        (0..below).map(|i| Server::new(true, senders as u32, 900 + seed + i as u64)).collect();
    // Whose call each request below is.
    let mut calls: Vec<HashMap<RequestId, (usize, RequestId, f64)>> = vec![HashMap::new(); below];
    let (mut next, mut now) = (1, 0.0);
    while now < WARM_AFTER {
        for (place, sender) in upper.iter_mut().enumerate() {
            // As much again as the cores do, and a fifth.
            if dice.next() < 1.2 * CORES / WORK * STEP {
                sender.arrives(RequestId(next), place as u32 % 4, 3.6);
                next += 1;
            }
            for action in sender.step(now) {
                if let Action::Call(id, within) = action {
                    let to = (dice.next() * below as f64) as usize;
                    calls[to].insert(RequestId(next), (place, id, now));
                    lower[to].arrives(RequestId(next), place as u32, within.as_secs_f64());
                    next += 1;
                }
            }
        }
        for (place, server) in lower.iter_mut().enumerate() {
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
                let Some((sender, call, since)) = calls[place].remove(&id) else { continue };
                let sender = &mut upper[sender];
                if outcome == Outcome::Ok {
                    if let Some(left) = sender.calling.get(&call) {
                        // It has called: what is left of it runs on.
                        sender.running.insert(call, *left);
                    }
                }
                sender.events.push(Event::CallReturned { id: call, outcome, took: secs(now - since) });
            }
        }
        now += STEP;
    }
    let most = |of: fn(&Server) -> f64| lower.iter().map(of).fold(f64::NEG_INFINITY, f64::max);
    (most(|s| s.most), most(|s| s.excess))
}

fn secs(time: f64) -> Duration {
    Duration::from_secs_f64(time.max(0.0))
}

#[test]
fn cold_servers_below_survive_what_many_processes_send_together() {
    println!("senders below seed crowd excess");
    for (senders, below) in [(8, 8), (20, 6), (30, 8), (30, 20)] {
        for seed in 1..=3 {
            let (crowd, excess) = cold_start(senders, below, 1000 * seed);
            println!("{senders:7} {below:5} {seed:4} {crowd:5.2} {excess:6.2}");
            assert!(crowd < 1.0, "{senders} over {below}, seed {seed}: {crowd}");
            assert!(excess <= 2.0, "{senders} over {below}, seed {seed}: {excess}");
        }
    }
}
