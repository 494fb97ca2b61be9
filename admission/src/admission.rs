//! Admission control and scheduling of one server, without clock or I/O. The types are in `interface.rs`.
//!
//! One permitted rate governs arrivals under overload; it changes at most every two seconds, by latency,
//! overload answers from below and use. The rest keeps the four rules (one answer in time, no effect twice,
//! a safe drain, no fall-over) and orders what runs.

mod calls;
mod lifecycle;
mod rate;
mod request;
mod scheduling;
mod signal;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::interface::{Action, Event, Gauges, Outcome, RequestId, Settings, TimerId};
use calls::Calls;
use rate::LatencySample;
use request::{ClassStats, Mean, Phase, Request};
use signal::{Connections, RecentArrival};

/// Seconds between two timers: deadlines, gauges and revisions are looked at this often.
const TIMER_PERIOD: f64 = 0.05;
/// Seconds between two changes of the permitted rate, at the least.
const RATE_WINDOW: f64 = 2.0;
/// Latency is over target beyond this part of the latency objective.
const LATENCY_TARGET: f64 = 0.4;
/// Arrivals among which a priority is ranked, and from which the signal is computed.
const RECENT_ARRIVALS: usize = 64;
/// Samples that are evidence enough: the standard error of fewer is over a quarter.
const MIN_SAMPLES: f64 = 16.0;
/// Weight of a new sample in the running means.
const MEAN_WEIGHT: f64 = 0.1;
/// Part of the survivable concurrency, and of the dependency's share, that is ever used.
const USED_CAPACITY: f64 = 0.75;
/// Part of the memory that is ever used.
const USED_MEMORY: f64 = 0.9;
/// Busy part of the cores below which the run limit rises while requests are queued.
const BUSY_LOW: f64 = 0.92;
/// Seconds without a timer after which load estimates are stale: longer than any pause of a machine.
const STALE_AFTER: f64 = 5.0 * RATE_WINDOW;
/// Part of its mean work that a running request is assumed to need still, at the least.
const REMAINING_WORK: f64 = 0.5;

/// The admission control and scheduling of one server.
#[derive(Debug, Default)]
pub struct Admission {
    settings: Settings,
    random: u64,
    now: f64,
    opened: bool,
    booted_at: f64,
    requests: BTreeMap<RequestId, Request>,
    /// Attempts that ended without a run in this batch, and the repeats that replaced them.
    ended_unrun: BTreeMap<RequestId, Option<RequestId>>,
    key_expiry: BTreeMap<RequestId, f64>,
    class_stats: Vec<ClassStats>,
    /// Recent arrivals a second: all, then of each tenant; and all while little was rejected.
    arrival_rates: Vec<f64>,
    arrival_rates_at: f64,
    usual_arrivals: Mean,
    latencies: VecDeque<LatencySample>,
    rate: Option<f64>,
    tokens: f64,
    filled_at: f64,
    /// The current window, and the requests handled in it.
    window_start: f64,
    handled: f64,
    penalized_until: f64,
    run_limit: f64,
    shed_level: f64,
    recent: VecDeque<RecentArrival>,
    advertised: Option<f64>,
    calls: Calls,
    /// During a drain: when all has to be answered.
    stop_at: Option<f64>,
    longest_timer_delay: f64,
    last_timer_at: f64,
    /// When a run or a part of one last ended, and whether that is too long ago.
    progress_at: f64,
    stalled: bool,
    last_runnable: f64,
    /// Running requests that wait for I/O, by the gauge of runnable work.
    off_cpu: f64,
    connections: Connections,
    /// The part of runnable work that is not runs: reads, health checks and new connections.
    overhead: Mean,
}

impl Admission {
    /// Starts at `now`; `seed` feeds the random numbers.
    pub fn new(settings: Settings, seed: u64, now: Duration) -> Self {
        let now = now.as_secs_f64();
        let cores = f64::from(settings.cores.max(1));
        Admission {
            random: seed | 1,
            now,
            booted_at: now,
            last_timer_at: now,
            filled_at: now,
            arrival_rates_at: now,
            calls: Calls::new(&settings.dependency, now),
            window_start: now,
            run_limit: cores,
            overhead: Mean { average: 0.0, readings: MIN_SAMPLES },
            connections: Connections::new(settings.idle.as_secs_f64()),
            last_runnable: f64::INFINITY,
            class_stats: vec![ClassStats::default(); settings.classes.len()],
            arrival_rates: vec![0.0; settings.tenant_quotas.len() + 1],
            settings,
            ..Admission::default()
        }
    }

    /// Applies new settings. Classes and tenants keep their positions; those left out at the end stay.
    pub fn reconfigure(&mut self, mut settings: Settings) {
        let (known, quotas) = (settings.classes.len(), settings.tenant_quotas.len());
        settings.classes.extend(self.settings.classes.drain(..).skip(known));
        settings.tenant_quotas.extend(self.settings.tenant_quotas.drain(..).skip(quotas));
        self.class_stats.resize(settings.classes.len(), ClassStats::default());
        self.arrival_rates.resize(settings.tenant_quotas.len() + 1, 0.0);
        if settings.dependency != self.settings.dependency {
            self.calls.reconfigure(&settings.dependency);
        }
        // How the server warms up was settled at its start.
        let Settings { cold, cold_speed, warm_up_time, .. } = self.settings;
        self.settings = Settings { cold, cold_speed, warm_up_time, ..settings };
    }

    /// Applies events that happened at `now` and appends the actions that follow.
    pub fn handle(&mut self, now: Duration, events: &[Event], out: &mut Vec<Action>) {
        self.now = self.now.max(now.as_secs_f64());
        self.ended_unrun.clear();
        if !std::mem::replace(&mut self.opened, true) {
            out.push(Action::SetHealth { good: true, cheap: true });
            out.push(Action::IdleLimit(self.settings.idle));
            out.push(Action::SetTimer(TimerId(0), seconds(TIMER_PERIOD)));
        }
        for event in events {
            match event {
                Event::Arrived(arrival) => self.arrive(arrival, out),
                Event::Finished { id, outcome, took } => self.run_finished(*id, *outcome, *took),
                Event::CallNeeded(id) => self.call_needed(*id),
                Event::CallReturned { id, outcome, took } => self.call_returned(*id, *outcome, *took),
                Event::Cancelled(id) => self.cancel(*id, out),
                Event::Drain(left) => self.drain(*left, out),
                Event::Timer(_, gauges) => self.on_timer(gauges, out),
            }
        }
        self.enforce_deadlines(out);
        self.shed_unmeetable(out);
        self.start_calls(out);
        self.start_runs(out);
    }

    /// Requests a second permitted under overload; none before the first window has seeded it.
    pub fn permitted_rate(&self) -> Option<f64> {
        self.rate
    }

    fn run_finished(&mut self, id: RequestId, outcome: Outcome, took: Duration) {
        if outcome == Outcome::Rejected {
            // It never started: its key is free, and it tells nothing of the cores.
            self.key_expiry.remove(&id);
            self.requests.remove(&id);
            return;
        }
        self.progress_at = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.phase == Phase::Calling {
            let (waited, took) = (self.now - request.call_needed_at, self.now - request.call_sent_at);
            self.calls.ended(self.now, took, waited, true, true);
        }
        let Some(request) = self.requests.remove(&id) else { return };
        if outcome != Outcome::Ok || request.phase == Phase::Coalesced {
            return;
        }
        let on_cores = (took.as_secs_f64() - request.time_at_calls).max(0.001) / request.relative_cost;
        self.class_stats[request.class].on_cores.add(on_cores, MEAN_WEIGHT);
        if !request.answered {
            self.handled += 1.0;
            let of_objective = self.objective_used(&request);
            let (at, may_call) = (self.now, request.may_call);
            self.latencies.push_back(LatencySample { at, of_objective, may_call });
        }
    }

    fn on_timer(&mut self, gauges: &Gauges, out: &mut Vec<Action>) {
        let now = self.now;
        self.longest_timer_delay = self.longest_timer_delay.max(now - self.last_timer_at - TIMER_PERIOD);
        if now - self.last_timer_at > STALE_AFTER {
            self.reset_load_estimates();
        }
        self.last_timer_at = now;
        self.detect_stall(out);
        self.key_expiry.retain(|_, until| *until > now);
        self.latencies.retain(|sample| sample.at >= now - RATE_WINDOW);
        self.calls.ended.retain(|call| call.at >= now - RATE_WINDOW);
        let runnable = gauges.runnable.unwrap_or(0.0);
        let other = (runnable - self.count_in(Phase::Running) as f64).max(0.0);
        self.overhead.add(other / runnable.max(1.0), MEAN_WEIGHT / 2.0);
        self.revise();
        let (idle, callers) = (self.settings.idle.as_secs_f64(), f64::from(self.settings.callers.max(1)));
        let (read_overload, spare) = (self.read_overload(), gauges.busy.is_some_and(|b| b < BUSY_LOW));
        if let Some(limit) = self.connections.tune(now, idle, callers, read_overload, spare) {
            out.push(Action::IdleLimit(seconds(limit)));
        }
        self.adjust_run_limit(gauges);
        self.update_signal(out);
        out.push(Action::SetTimer(TimerId(0), seconds(TIMER_PERIOD)));
    }
}

fn seconds(time: f64) -> Duration {
    Duration::from_secs_f64(time.clamp(0.0, 1e6))
}
