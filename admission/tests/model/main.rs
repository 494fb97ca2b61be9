//! Randomized test: feeds legal event sequences to the admission module and checks the invariants (one answer
//! within the deadline, no effect twice, a safe drain, no overload collapse) against an independent model of
//! the server. The model tracks the state of every request itself and sees only the actions of the module.

mod actions;
mod arrivals;
mod invariants;
mod progress;
mod random;
mod settings;
mod trace;

use std::collections::BTreeMap;
use std::time::Duration;

use oakwind_admission::{Admission, Class, Event, Gauges, RequestId, Settings, TimerId};

use random::SeededRandom;
use settings::random_settings;

/// State of an attempt in the model of the server.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum State {
    Queued,
    Running,
    AwaitingCall,
    Calling,
    Paused,
    Coalesced,
    Ended,
}

/// An attempt in the model of the server; times are in microseconds.
struct Attempt {
    class: usize,
    /// The effect that all attempts of one request share.
    effect: u32,
    memory_kb: f64,
    arrived: u64,
    deadline: u64,
    state: State,
    answers: u32,
    ever_run: bool,
    cancelled: bool,
    retry_of: Option<RequestId>,
    call_may_have_run: bool,
    ends_at: u64,
    calls_left: u32,
    started_at: u64,
}

/// The model of the embedding server.
struct ServerModel {
    settings: Settings,
    random: SeededRandom,
    now: u64,
    next_id: u32,
    attempts: BTreeMap<RequestId, Attempt>,
    /// Attempt that the retained key of each effect refers to, and when the key expires.
    retained_keys: BTreeMap<u32, (RequestId, u64)>,
    /// Events for the next batch.
    events: Vec<Event>,
    timers: Vec<(u64, TimerId)>,
    /// When the shutdown notice came and when the server is stopped, if it drains.
    drain_notice: Option<(u64, u64)>,
    /// Whether arrivals carry cost hints in this scenario.
    sends_hints: bool,
    gauges: Gauges,
    /// Moving average of the number of running requests.
    concurrency: f64,
    /// Period over which the number of running requests is averaged.
    concurrency_span: Duration,
    /// Moving average of the number of concurrent calls, including abandoned ones.
    calls: f64,
    /// When each abandoned call ends at the dependency.
    lingering: Vec<u64>,
    /// Percentage of the calls in progress that return in each step.
    call_return_percent: u64,
    /// Number of equally likely outcomes of a returned call; the first five are failures.
    call_outcomes: u64,
    /// Shortest run time.
    shortest_run_micros: u64,
    /// Upper bound of the random time that is added to the shortest run time.
    run_spread_micros: u64,
}

/// Time of the first event, in microseconds.
const START_MICROS: u64 = 1_000_000;
/// How long an abandoned call stays in progress at the dependency, in microseconds.
const LINGER_MICROS: u64 = 200_000;
/// How long a run continues after a call, in microseconds.
const RUN_AFTER_CALL_MICROS: u64 = 50_000;
/// Unit of the steps of virtual time, in microseconds.
const STEP_MICROS: u64 = 2_000;
/// How long after its deadline a request may still be unanswered, in microseconds.
const ANSWER_SLACK_MICROS: u64 = 50_000;

impl ServerModel {
    fn new(seed: u64) -> Self {
        let mut random = SeededRandom::new(seed);
        let settings = random_settings(&mut random);
        ServerModel {
            settings,
            random,
            now: START_MICROS,
            next_id: 1,
            attempts: BTreeMap::new(),
            retained_keys: BTreeMap::new(),
            events: Vec::new(),
            timers: Vec::new(),
            drain_notice: None,
            sends_hints: !seed.is_multiple_of(3),
            gauges: Gauges {
                utilization: (!seed.is_multiple_of(2)).then_some(0.8),
                runnable: (!seed.is_multiple_of(5)).then_some(3.0),
            },
            concurrency: 0.0,
            concurrency_span: Duration::from_millis(1500 + 500 * (seed % 4)),
            calls: 0.0,
            lingering: Vec::new(),
            call_return_percent: 8,
            call_outcomes: 8,
            shortest_run_micros: 20_000,
            run_spread_micros: 600_000,
        }
    }

    fn class(&self, id: RequestId) -> &Class {
        &self.settings.classes[self.attempts[&id].class]
    }

    fn collect_timers(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.timers.iter().filter(|(at, _)| *at <= now).map(|(_, timer)| *timer).collect();
        self.timers.retain(|(at, _)| *at > now);
        let gauges = self.gauges;
        self.events.extend(due.into_iter().map(|timer| Event::Timer(timer, gauges)));
    }

    /// Runs 12 seconds of virtual time; most scenarios end with a drain.
    fn run_scenario(&mut self) {
        let mut admission = Admission::new(self.settings.clone(), 5, Duration::from_micros(self.now));
        let mut actions = Vec::new();
        let (stop, drains) = (13_000_000, self.random.chance(60));
        // Half of the drains start 4 seconds before the stop; the others may have very little time left.
        let drain_notice = 9_000_000 + self.random.below(2) * self.random.below(3_950_000);
        let suspended_at = 9_000_000 + self.random.below(3_000_000);
        let mut suspends = self.random.chance(30);
        let stalls_at = 2_000_000 + self.random.below(6_000_000);
        let arrival_percent = 2 + self.random.below(25);
        loop {
            actions.clear();
            let events = std::mem::take(&mut self.events);
            admission.handle(Duration::from_micros(self.now), &events, &mut actions);
            self.apply_all(&actions);
            let mut step = STEP_MICROS * (1 + self.random.below(8));
            if suspends && self.now > suspended_at {
                // The process is suspended; deadlines that pass meanwhile do not count as missed.
                (suspends, step) = (false, 400_000);
                self.attempts
                    .values_mut()
                    .for_each(|attempt| attempt.deadline = attempt.deadline.max(self.now + step));
            }
            self.check_invariants(step as f64 / 1e6);
            self.now += step;
            if self.now >= stop {
                break;
            }
            self.advance_running((stalls_at..stalls_at + 1_500_000).contains(&self.now));
            if drains && self.now > drain_notice && self.drain_notice.is_none() {
                self.drain_notice = Some((self.now, stop));
                self.events.push(Event::Drain(Duration::from_micros(stop - self.now)));
            }
            while self.random.chance(arrival_percent) {
                self.arrive();
            }
            self.collect_timers();
        }
        if self.drain_notice.is_some() {
            let unanswered =
                self.attempts.values().filter(|attempt| attempt.answers == 0 && !attempt.cancelled).count();
            assert!(unanswered <= 2, "{unanswered} requests are unanswered when the server is stopped");
        }
    }
}

#[test]
fn random_scenarios_keep_all_invariants() {
    for seed in 1..=400 {
        println!("seed {seed}");
        ServerModel::new(seed).run_scenario();
    }
}
