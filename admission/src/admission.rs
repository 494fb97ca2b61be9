//! Every admission and scheduling decision of one server. The types are in `src/interface.rs`.
//!
//! One permitted rate governs arrivals while the server is pressed. It is revised at most every two seconds:
//! cut when latency passed its target or the dependency answered with overload, raised only when at least
//! half of it was used. The rest keeps the four rules (one answer in time, no effect twice, safe drains, no
//! fall) and orders what was admitted.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::interface::*;

/// The one timer: due times, gauges and revisions are looked at this often, in seconds.
const TIMER_PERIOD: f64 = 0.05;
/// The permitted rate changes at most once in this time (the paper's two seconds).
const RATE_WINDOW: f64 = 2.0;
/// Latency counts as above target beyond this part of the class's aim.
const LATENCY_TARGET: f64 = 0.4;
/// A cut leaves this part of what was handled, so that the rate does not sink without end.
const RATE_CUT: f64 = 0.9;
/// A cut never takes the rate below this part of itself.
const MIN_RATE_KEPT: f64 = 0.5;
/// A rise adds this part of what the cores could start in a second.
const RATE_RISE: f64 = 0.05;
/// Part of the bucket kept back from the least worthy arrivals.
const BUCKET_RESERVE: f64 = 0.6;
/// Recent arrivals that an arrival's worth is ranked among, and that the signal looks at.
const RECENT_ARRIVALS: usize = 64;
/// Readings that are evidence enough; the chance error of fewer is over a quarter.
const MIN_SAMPLES: f64 = 16.0;
/// Weight of a new reading in the running means.
const MEAN_WEIGHT: f64 = 0.1;
/// Seconds over which a tenant's arrivals are averaged.
const TENANT_SPAN: f64 = 5.0;
/// Part of the survivable crowd, and of the dependency's share, that is ever used.
const USED_CAPACITY: f64 = 0.75;
/// Part of the memory that is ever filled. What is held leaves room to run it, so that it can always start.
const USED_MEMORY: f64 = 0.9;
/// Runnable work a core above which the running bound shrinks: past it cores may lose efficiency.
const RUNNABLE_HIGH: f64 = 1.4;
/// Busy part of the cores below which the running bound grows while work waits.
const BUSY_LOW: f64 = 0.92;
/// A standstill this long makes what was learnt of the load out of date: many windows, no machine's pause.
const STALE_AFTER: f64 = 5.0 * RATE_WINDOW;
/// Each period the keep-away signal falls by this much, or rises by ten times that part of its distance.
const SIGNAL_STEP: f64 = 0.01;
/// An admitted arrival speaks against keeping its rank away as much as this many refused speak for it.
const ADMITTED_WEIGHT: f64 = 2.0;
/// The same while arrivals lie unread: then the reading itself must be spared.
const ADMITTED_WEIGHT_READING: f64 = 0.5;
/// Part of its mean time on the cores that a request surely still needs when the line is judged.
const REMAINING_WORK: f64 = 0.5;
/// The fleet is taken to be in trouble, not this server alone, at this many times the usual arrivals.
const SPILLOVER_FACTOR: f64 = 1.25;
/// Reading and connecting beyond this part of what wants the cores show a flood: turning away overruns them.
const READING_HIGH: f64 = 0.6;
/// A call beyond this part of the class's aim shows a crowded dependency, and so does standing for one.
const SLOW_CALL_FRACTION: f64 = 0.07;
/// A quick call raises the limit on calls by this part of the share; slow ones leave a floor of its slots.
const CALL_LIMIT_STEP: f64 = 0.05;
const CALL_LIMIT_FLOOR: f64 = 0.22;
/// Nothing leaves the cores for this many mean runs: hardly by chance.
const STALL_RUNS: f64 = 4.0;
/// This last part of a drain is kept for answers, and the longest standstill seen: guards against one then.
const DRAIN_RESERVE: f64 = 0.1;
/// The share, and its span, where no dependency is shared: more than any server could use.
const UNSHARED_CAPACITY: f64 = 1e6;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Phase {
    #[default]
    Queued,
    Coalesced,
    Running,
    AwaitingCall,
    Calling,
}

#[derive(Debug, Default)]
struct Request {
    class: usize,
    memory_kb: f64,
    arrived: f64,
    objective_at: f64,
    deadline: f64,
    /// Its hint over the class's mean hint.
    relative_cost: f64,
    /// Worth for a unit of work.
    priority: f64,
    may_call: bool,
    phase: Phase,
    answered: bool,
    started_at: f64,
    call_needed_at: f64,
    call_sent_at: f64,
    time_at_calls: f64,
    calls_failed: u32,
}

/// What is known of a class from its requests.
#[derive(Debug, Default, Clone)]
struct ClassStats {
    cost_hint: Mean,
    on_cores: Mean,
}

/// A running mean whose first readings count alike.
#[derive(Debug, Default, Clone)]
struct Mean {
    average: f64,
    readings: f64,
}

impl Mean {
    fn add(&mut self, reading: f64, weight: f64) {
        self.readings += 1.0;
        self.average += weight.max(1.0 / self.readings) * (reading - self.average);
    }

    fn get(&self) -> Option<f64> {
        (self.readings > 0.0).then_some(self.average)
    }
}

/// How long a run took that ended within the last window.
#[derive(Debug)]
struct LatencySample {
    at: f64,
    /// As a part of the class's latency objective.
    of_objective: f64,
    may_call: bool,
}

/// What a recent arrival was and became.
#[derive(Debug)]
struct RecentArrival {
    id: RequestId,
    at: f64,
    rank: f64,
    priority: f64,
    admitted: bool,
}

/// The decisions of one server.
#[derive(Debug, Default)]
pub struct Admission {
    settings: Settings,
    random: u64,
    now: f64,
    opened: bool,
    booted_at: f64,
    requests: BTreeMap<RequestId, Request>,
    /// Ended unrun in the batch under way, and the repeats that took their places.
    ended_unrun: BTreeMap<RequestId, Option<RequestId>>,
    /// Remembered keys and when their entries end.
    key_expiry: BTreeMap<RequestId, f64>,
    class_stats: Vec<ClassStats>,
    /// Arrivals a second of late: all, then for each tenant; and all while little was refused.
    arrival_rates: Vec<f64>,
    arrival_rates_at: f64,
    usual_arrivals: Mean,
    /// Latencies of late: when, as a part of the class's aim, and whether the class calls.
    latencies: VecDeque<LatencySample>,
    rate: Option<f64>,
    tokens: f64,
    filled_at: f64,
    /// The window under way, and the requests that it has handled.
    window_start: f64,
    handled: f64,
    penalized_until: f64,
    run_limit: f64,
    shed_level: f64,
    recent: VecDeque<RecentArrival>,
    advertised: Option<f64>,
    calls: Calls,
    /// All is answered by then in a drain.
    stop_at: Option<f64>,
    /// The longest that a timer was late: then the whole process stood still.
    longest_stall: f64,
    last_timer_at: f64,
    /// When something last left the cores, and whether nothing has for too long.
    progress_at: f64,
    stalled: bool,
    last_runnable: f64,
    /// Running requests that the gauge does not see on the cores: they wait for disk.
    off_cpu: f64,
    connections: Connections,
    /// The part of what wants the cores that is not runs: reading, checks and new connections.
    overhead: Mean,
}

/// A call that ended within the last window, and how long its request waited for it.
#[derive(Debug)]
struct EndedCall {
    at: f64,
    waited: f64,
}

/// Whether callers come back to idle connections. Guards a table of unknown size against rare callers.
#[derive(Debug, Default)]
struct Connections {
    last_seen: BTreeMap<CallerId, f64>,
    returning_fraction: Mean,
    limit: f64,
    /// Kept at least this long for a flood.
    min_limit: f64,
}

impl Connections {
    fn new(limit: f64) -> Self {
        let returning_fraction = Mean { average: 1.0, readings: MIN_SAMPLES };
        Connections { limit, returning_fraction, ..Connections::default() }
    }

    fn request_from(&mut self, caller: CallerId, now: f64, idle: f64) {
        let before = self.last_seen.insert(caller, now);
        let returned = before.is_some_and(|at| now - at <= idle);
        self.returning_fraction.add(if returned { 1.0 } else { 0.0 }, MEAN_WEIGHT / 2.0);
    }

    /// The idle limit falls with the square of the part of all callers that returns: that much less often is
    /// a kept connection used, and so many more are kept. In a flood it grows instead: a full table turns
    /// callers away for nothing, where each read would cost a handshake; spare cores open the door again.
    fn revise(&mut self, now: f64, idle: f64, callers: f64, read_overload: bool, spare: bool) -> Option<f64> {
        self.last_seen.retain(|_, at| now - *at <= idle);
        let part = self.returning_fraction.average * (self.last_seen.len() as f64 / callers).min(1.0);
        let closing = if spare { MEAN_WEIGHT } else { MEAN_WEIGHT * TIMER_PERIOD / RATE_WINDOW };
        let relaxed = (self.min_limit * (1.0 - closing)).max(TIMER_PERIOD);
        self.min_limit = if read_overload { idle } else { relaxed };
        let least = if self.min_limit > 1.0 { self.min_limit } else { TIMER_PERIOD };
        let wanted = (idle * part.powi(2)).max(least);
        let moved = (wanted - self.limit).abs() > 0.2 * self.limit;
        moved.then(|| self.limit = wanted).map(|()| wanted)
    }
}

/// What this server may have in the hands of a shared dependency. A balance of call-seconds keeps the mean
/// within its share of what the dependency survives. The limit follows how long calls take, since a crowded
/// dependency gets less done; where it is a fraction, calls are spaced. Guards against one too small or slow.
#[derive(Debug, Default)]
struct Calls {
    /// This server's part of what the dependency survives.
    share: f64,
    span: f64,
    linger: f64,
    limit: f64,
    balance: f64,
    at: f64,
    /// The earliest next call while the limit is below one.
    next: f64,
    /// Calls that were given up stay in its hands until then.
    lingering: VecDeque<f64>,
    /// When calls ended of late and how long their requests stood for them.
    ended: VecDeque<EndedCall>,
    /// The calls were at their bound until now or shortly before.
    full_until: f64,
    /// How long calls that worked took.
    typical: Mean,
}

impl Calls {
    fn new(dependency: &Dependency, now: f64) -> Self {
        let (mut share, mut span, mut linger) = (UNSHARED_CAPACITY, UNSHARED_CAPACITY, 0.0);
        if let Dependency::Shared { share: s, span: t, linger: l } = *dependency {
            (share, span, linger) = (s.max(0.0), t.as_secs_f64(), l.as_secs_f64());
        }
        Calls { share, span, linger, limit: share, at: now, ..Calls::default() }
    }

    /// Brings the balance up to `now` with `calling` out since the last look; returns those in its hands.
    fn settle(&mut self, now: f64, calling: f64) -> f64 {
        self.lingering.retain(|until| *until > now);
        let in_hand = calling + self.lingering.len() as f64;
        let most = self.share * self.span * (1.0 - USED_CAPACITY);
        self.balance = (self.balance + (self.share * USED_CAPACITY - in_hand) * (now - self.at)).min(most);
        self.at = now;
        in_hand
    }

    /// Requests whose calls are over within the latency target, at the pace of late and a chance error.
    fn completable(&self, latency_objective: f64) -> f64 {
        let ended = self.ended.len() as f64;
        (ended + ended.sqrt()) / RATE_WINDOW * LATENCY_TARGET * latency_objective
    }

    fn can_start(&self, now: f64, in_hand: f64) -> bool {
        in_hand < self.limit.floor().max(1.0) && self.balance >= 0.0 && now >= self.next
    }

    /// The longest that a call may take: one call must not use up the share by itself.
    fn max_call_time(&self) -> f64 {
        (self.share * self.span * 0.5 - self.linger).max(TIMER_PERIOD)
    }

    fn ended(&mut self, now: f64, took: f64, stood: f64, slow: bool, lingers: bool) {
        self.ended.push_back(EndedCall { at: now, waited: stood });
        self.lingering.extend(lingers.then_some(now + self.linger));
        let step = if slow { -0.2 * self.limit } else { CALL_LIMIT_STEP * self.share };
        self.limit = (self.limit + step).clamp(CALL_LIMIT_FLOOR * self.share, self.share);
        if self.limit < 1.0 {
            self.next = now + (took * (1.0 / self.limit.max(1e-3) - 1.0)).min(self.span);
        }
    }
}

impl Admission {
    /// A server's decisions from its start at `now`; `seed` feeds its random numbers.
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

    /// New settings hold from now on; what was learnt, what is in hand and the permitted rate stay. Classes
    /// and tenants keep their positions: new ones come after them, and those left out at the end stay.
    pub fn reconfigure(&mut self, mut settings: Settings) {
        let (known, quotas) = (settings.classes.len(), settings.tenant_quotas.len());
        settings.classes.extend(self.settings.classes.drain(..).skip(known));
        settings.tenant_quotas.extend(self.settings.tenant_quotas.drain(..).skip(quotas));
        self.class_stats.resize(settings.classes.len(), ClassStats::default());
        self.arrival_rates.resize(settings.tenant_quotas.len() + 1, 0.0);
        if settings.dependency != self.settings.dependency {
            let calls = Calls::new(&settings.dependency, self.now);
            let (share, span, linger) = (calls.share, calls.span, calls.linger);
            self.calls = Calls { share, span, linger, limit: share, ..std::mem::take(&mut self.calls) };
        }
        // Whether the server was cold at its start, and how it warms, is no matter of tuning.
        let Settings { cold, cold_speed, warm_up_time, .. } = self.settings;
        self.settings = Settings { cold, cold_speed, warm_up_time, ..settings };
    }

    /// Takes in what happened at `now` and appends what is to be done, at first the opening actions.
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

    /// Requests a second permitted while pressed; none before the first window has seeded it.
    pub fn permitted_rate(&self) -> Option<f64> {
        self.rate
    }

    fn arrive(&mut self, arrival: &Arrival, out: &mut Vec<Action>) {
        let id = arrival.id;
        let class = usize::from(arrival.class.0);
        if self.requests.contains_key(&id) {
            return;
        } else if class >= self.settings.classes.len() {
            return self.reject(id, true, out);
        }
        self.count_arrival(arrival.tenant);
        self.connections.request_from(arrival.caller, self.now, self.settings.idle.as_secs_f64());
        let request = self.new_request(arrival, class);
        let priority = request.priority;
        let repeat = self.original_attempt(class, arrival.repeats);
        self.requests.insert(id, request);
        if let Some(prior) = repeat {
            return self.handle_repeat(id, prior, out);
        }
        let admitted = self.can_queue(id) && self.can_add_call(id) && self.take_token(priority);
        self.recent.push_front(RecentArrival { id, at: self.now, rank: arrival.rank, priority, admitted });
        self.recent.truncate(RECENT_ARRIVALS);
        if !admitted {
            self.reject_queued(id, out);
        } else if self.settings.classes[class].effect == Effect::IdempotencyKey {
            self.retain_key(id, out);
        }
    }

    fn new_request(&mut self, arrival: &Arrival, class: usize) -> Request {
        let settings = &self.settings.classes[class];
        let relative_cost = self.class_stats[class].relative_cost(arrival.cost_hint);
        let arrived = self.now - arrival.age.as_secs_f64();
        let time_left = if self.settings.sends_deadline { arrival.time_left } else { None };
        let latest = arrived + settings.deadline.as_secs_f64();
        let deadline = time_left.map_or(latest, |left| self.now + left.as_secs_f64());
        let deadline = deadline.max(self.now).min(self.stop_at.unwrap_or(f64::INFINITY));
        let stretch = settings.objective_stretch * arrival.cost_hint.unwrap_or_default().as_secs_f64();
        Request {
            class,
            memory_kb: arrival.memory_kb.max(0.0),
            arrived,
            objective_at: (arrived + settings.latency_objective.as_secs_f64() + stretch).min(deadline),
            deadline,
            relative_cost,
            priority: self.priority(class, arrival.tenant),
            may_call: settings.calls && self.settings.dependency != Dependency::Off,
            ..Request::default()
        }
    }

    /// Worth for a unit of work, less what lies over the tenant's share as far as local arrivals tell.
    fn priority(&self, class: usize, tenant: TenantId) -> f64 {
        let settings = &self.settings.classes[class];
        let mean = self.class_stats[class].on_cores.get().unwrap_or(1.0);
        let work = if self.settings.weight_by_work { 1.0 } else { mean };
        let tenant = usize::from(tenant.0);
        let quota = self.settings.tenant_quotas.get(tenant).copied().unwrap_or(0.0);
        let servers = f64::from(self.settings.servers.max(1));
        let sent = self.arrival_rates.get(tenant + 1).map_or(0.0, |rate| rate * servers);
        let within = if quota > 0.0 && sent > quota { quota / sent } else { 1.0 };
        settings.weight / work.max(1e-3) * (within + (1.0 - within) * self.settings.over_quota_weight)
    }

    fn count_arrival(&mut self, tenant: TenantId) {
        let fade = (-(self.now - self.arrival_rates_at) / TENANT_SPAN).exp();
        self.arrival_rates_at = self.now;
        self.arrival_rates.iter_mut().for_each(|rate| *rate *= fade);
        for slot in [0, usize::from(tenant.0) + 1] {
            if let Some(rate) = self.arrival_rates.get_mut(slot) {
                *rate += 1.0 / TENANT_SPAN;
            }
        }
    }

    /// All arrivals a second of late, in the first seconds too.
    fn arrival_rate(&self) -> f64 {
        self.arrival_rates[0] / (1.0 - (-(self.now - self.booted_at) / TENANT_SPAN).exp()).max(0.01)
    }

    /// More comes than did while little was refused: others refuse too, and their refusals walk here.
    fn spillover(&self) -> bool {
        self.arrival_rate() > SPILLOVER_FACTOR * self.usual_arrivals.average
    }

    /// The try that this one must or may join: for one lost in this batch, what took its place, if anything.
    fn original_attempt(&self, class: usize, prior: Option<RequestId>) -> Option<RequestId> {
        let mut prior = prior?;
        while let Some(successor) = self.ended_unrun.get(&prior) {
            prior = (*successor)?;
        }
        let held = self.requests.get(&prior).is_some_and(|p| p.phase == Phase::Queued);
        match self.settings.classes[class].effect {
            Effect::IdempotencyKey => Some(prior),
            Effect::Idempotent if !self.settings.response_reuse.is_zero() && !held => Some(prior),
            _ => None,
        }
    }

    /// A repeat takes the place of a try still held, which its caller has left, and joins one that has
    /// begun: guards against two runs of one effect, whatever made the caller come again.
    fn handle_repeat(&mut self, id: RequestId, prior: RequestId, out: &mut Vec<Action>) {
        let held = self.requests.get(&prior).filter(|p| p.phase == Phase::Queued).map(|p| p.objective_at);
        let room = self.memory_used() <= self.settings.memory_kb * USED_MEMORY;
        let last_runnable = self.last_runnable;
        let Some(request) = self.requests.get_mut(&id) else { return };
        match held {
            Some(objective_at) if room && request.arrived <= last_runnable => {
                request.objective_at = request.objective_at.min(objective_at);
                self.key_expiry.remove(&prior);
                self.retain_key(id, out);
                self.reject(prior, true, out);
                self.requests.remove(&prior);
                self.ended_unrun.insert(prior, Some(id));
            }
            Some(_) => self.reject_queued(id, out),
            None if room => {
                request.phase = Phase::Coalesced;
                out.push(Action::Coalesce(id));
            }
            None => self.fail(id, out),
        }
    }

    /// Room in time and memory for one more held request.
    fn can_queue(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let keyed = self.settings.classes[request.class].effect == Effect::IdempotencyKey;
        let entry = if keyed { self.settings.key_memory_kb } else { 0.0 };
        let running = request.memory_kb * (self.settings.running_memory_factor - 1.0).max(0.0);
        request.arrived <= self.last_runnable
            && !self.stalled
            && request.deadline > self.now
            && self.memory_used() + entry + running <= self.settings.memory_kb * USED_MEMORY
    }

    /// Takes a token from a bucket that holds a second of the rate. Only a pressed server refuses for want of
    /// one; then the low-worth arrivals find the bucket's reserve closed first, and the worthiest may owe it
    /// as many as the chance error of a handful: guards them where a second of the rate is a token or two.
    fn take_token(&mut self, priority: f64) -> bool {
        let Some(rate) = self.rate else { return true };
        let depth = rate.max(1.0);
        self.tokens = (self.tokens + rate * (self.now - self.filled_at)).min(depth);
        self.filled_at = self.now;
        let (rank, debt) = (self.priority_rank(priority), MIN_SAMPLES.sqrt());
        let needed = 1.0 + (depth - 1.0) * BUCKET_RESERVE * (1.0 - rank) - debt * rank;
        let admitted = self.tokens >= needed || !self.overloaded();
        self.tokens = (self.tokens - if admitted { 1.0 } else { 0.0 }).max(-debt);
        admitted
    }

    fn count_in(&self, phase: Phase) -> usize {
        self.requests.values().filter(|r| r.phase == phase).count()
    }

    /// The part of recent arrivals that were worth less.
    fn priority_rank(&self, priority: f64) -> f64 {
        let below = self.recent.iter().filter(|s| s.priority < priority).count() as f64;
        below / (self.recent.len().max(1) as f64)
    }

    fn overloaded(&self) -> bool {
        let own = self.now < self.calls.full_until;
        let waits = |r: &&Request| r.phase == Phase::Queued && !(own && r.may_call);
        let waiting = self.requests.values().filter(waits).count();
        self.now < self.penalized_until || (waiting > 1 && self.mean_latency() > LATENCY_TARGET)
    }

    /// Mean latency of late as a part of the aim, without failed runs; work in hand past the target counts as
    /// it stands. Exception: while calls are at their bound, which holds back what calls, that is left out.
    fn mean_latency(&self) -> f64 {
        let own = self.now < self.calls.full_until;
        let recent = self.latencies.iter().filter(|s| !(own && s.may_call)).map(|s| s.of_objective);
        let counts = |r: &&Request| !r.answered && r.phase != Phase::Coalesced && !(own && r.may_call);
        let waiting = self.requests.values().filter(counts).map(|r| self.objective_used(r));
        let standing = waiting.filter(|part| *part > LATENCY_TARGET);
        let (sum, n) = recent.chain(standing).fold((0.0, 0.0), |(s, n), part| (s + part, n + 1.0));
        sum / f64::max(n, 1.0)
    }

    fn objective_of(&self, class: usize) -> f64 {
        self.settings.classes[class].latency_objective.as_secs_f64()
    }

    fn objective_used(&self, request: &Request) -> f64 {
        (self.now - request.arrived) / self.objective_of(request.class).max(1e-3)
    }

    /// Once a window: penalties or latency above target cut the rate, half use lets it rise. The first
    /// one seeds it, lasting until enough was handled. What was handled counts with its chance error, so
    /// small servers are not cut to what a handful of requests happened to be.
    fn revise(&mut self) {
        let span = self.now - self.window_start;
        if span < RATE_WINDOW || (self.rate.is_none() && self.handled < MIN_SAMPLES) {
            return;
        }
        let handled = (self.handled + self.handled.sqrt()) / span;
        if self.rejected_fraction() <= 0.1 {
            self.usual_arrivals.add(self.arrival_rate(), 0.2);
        }
        let penalized = self.penalized_until > self.window_start + RATE_WINDOW;
        let slow = self.mean_latency() > LATENCY_TARGET;
        self.rate = match self.rate {
            None => (self.handled >= MIN_SAMPLES).then_some(handled),
            Some(rate) if penalized => Some(RATE_CUT * handled.min(rate).max(rate * MIN_RATE_KEPT)),
            Some(rate) if slow => Some(RATE_CUT * handled.max(rate * MIN_RATE_KEPT)),
            Some(rate) if 2.0 * handled >= rate => Some(rate + RATE_RISE * self.capacity()),
            Some(rate) => Some(rate),
        };
        (self.window_start, self.handled) = (self.now, 0.0);
    }

    /// What was learnt of the load is out of date: as at a start, the bucket is loose and a window seeds it.
    fn reset_load_estimates(&mut self) {
        (self.rate, self.tokens, self.handled, self.shed_level) = (None, 0.0, 0.0, 0.0);
        (self.window_start, self.filled_at, self.arrival_rates_at) = (self.now, self.now, self.now);
        (self.penalized_until, self.calls.full_until) = (0.0, 0.0);
        self.usual_arrivals = Mean::default();
        self.recent.clear();
        self.arrival_rates.iter_mut().for_each(|rate| *rate = 0.0);
    }

    /// Requests a second that the cores could do, by what requests took of late.
    fn capacity(&self) -> f64 {
        let known: Vec<f64> = self.class_stats.iter().filter_map(|s| s.on_cores.get()).collect();
        let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
        self.cores() / mean.max(0.01)
    }

    fn run_finished(&mut self, id: RequestId, outcome: Outcome, took: Duration) {
        if outcome == Outcome::Rejected {
            // It never began: that shows nothing of the cores, and frees its key.
            self.key_expiry.remove(&id);
            self.requests.remove(&id);
            return;
        }
        self.progress_at = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.phase == Phase::Calling {
            let (stood, took) = (self.now - request.call_needed_at, self.now - request.call_sent_at);
            self.calls.ended(self.now, took, stood, true, true);
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

    /// Turns a held request away for good.
    fn reject_queued(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let alone = self.stop_at.is_some() || self.stalled || self.warm_fraction() < 1.0;
        let give_up = !alone && (self.read_overload() || self.spillover());
        self.reject(id, give_up, out);
        self.remove_queued(id, out);
    }

    fn remove_queued(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.requests.remove(&id);
        self.ended_unrun.insert(id, None);
        if self.key_expiry.remove(&id).is_some() {
            out.push(Action::ReleaseKey(id));
        }
    }

    fn reject(&mut self, id: RequestId, give_up: bool, out: &mut Vec<Action>) {
        let spread = 0.5 + 0.5 * self.random_fraction();
        let wait = self.settings.max_retry_after.as_secs_f64() * spread * self.shed_level.max(0.1);
        let retry_after = self.settings.retry_after.then(|| seconds(wait));
        out.push(Action::Reject { id, retry_after, give_up });
    }

    /// Fails what has begun; it leaves the cores unless its effect may be half done.
    fn fail(&mut self, id: RequestId, out: &mut Vec<Action>) {
        out.push(Action::Fail(id));
        self.cancel(id, out);
    }

    fn cancel(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.answered = true;
        let safe = self.settings.classes[request.class].effect == Effect::Idempotent;
        match request.phase {
            Phase::Queued => self.remove_queued(id, out),
            Phase::Coalesced => drop(self.requests.remove(&id)),
            Phase::Running if safe && self.settings.preemption != Preemption::Off => {
                out.push(Action::Pause(id));
            }
            _ => {}
        }
    }

    /// Answers what would be due before the next look, and at once what is given up on: refused if it never
    /// ran, else failed. Guards against lost requests and callers kept waiting, whatever holds them up: full
    /// cores, a hang, a silent call.
    fn enforce_deadlines(&mut self, out: &mut Vec<Action>) {
        let horizon = self.now + TIMER_PERIOD;
        let over = |r: &Request| !r.answered && (r.deadline <= horizon || self.is_unmeetable(r));
        let ending = self.requests.iter().filter(|(_, r)| over(r));
        let ending: Vec<_> = ending.map(|(&id, r)| (id, r.phase == Phase::Queued)).collect();
        for (id, queued) in ending {
            match queued {
                true => self.reject_queued(id, out),
                false => self.fail(id, out),
            }
        }
    }

    /// Past its aim without late worth, unless it is on the cores or its effect has begun: those go on.
    fn is_unmeetable(&self, request: &Request) -> bool {
        let class = &self.settings.classes[request.class];
        let may_end = match request.phase {
            Phase::Queued => true,
            Phase::AwaitingCall | Phase::Calling => class.effect == Effect::Idempotent,
            Phase::Coalesced | Phase::Running => false,
        };
        let stalled = self.stalled && request.phase == Phase::Queued;
        stalled || (may_end && class.late_weight <= 0.0 && self.now > request.objective_at)
    }

    fn drain(&mut self, left: Duration, out: &mut Vec<Action>) {
        let left = left.as_secs_f64();
        let margin = (2.0 * TIMER_PERIOD).max(DRAIN_RESERVE * left) + self.longest_stall;
        let stop = self.now + left - margin.min(left / 2.0);
        self.stop_at = Some(stop);
        let grace = self.settings.drain_grace.saturating_sub(self.settings.tick);
        self.last_runnable = self.now + grace.as_secs_f64();
        for request in self.requests.values_mut() {
            request.deadline = request.deadline.min(stop);
            request.objective_at = request.objective_at.min(request.deadline);
        }
        out.push(Action::SetHealth { good: false, cheap: true });
    }

    /// Remembers a key from before its run until its window, and the hold, are surely over.
    fn retain_key(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let window = self.settings.classes[request.class].window.as_secs_f64();
        let keep = window.max(request.deadline - self.now) + 2.0 * TIMER_PERIOD;
        self.key_expiry.insert(id, self.now + keep);
        out.push(Action::RetainKey(id, seconds(keep)));
    }

    /// What held and started requests and keys take.
    fn memory_used(&self) -> f64 {
        let factor = self.settings.running_memory_factor.max(1.0);
        let waits = |r: &Request| matches!(r.phase, Phase::Queued | Phase::Coalesced);
        let memory = |r: &Request| if waits(r) { r.memory_kb } else { r.memory_kb * factor };
        let requests = self.requests.values().map(memory);
        requests.sum::<f64>() + self.key_expiry.len() as f64 * self.settings.key_memory_kb
    }

    fn call_needed(&mut self, id: RequestId) {
        self.progress_at = self.now;
        if let Some(request) = self.requests.get_mut(&id) {
            request.phase = Phase::AwaitingCall;
            request.call_needed_at = self.now;
        }
    }

    fn call_returned(&mut self, id: RequestId, outcome: Outcome, took: Duration) {
        if outcome == Outcome::Rejected {
            self.penalized_until = self.now + RATE_WINDOW;
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.phase != Phase::Calling {
            return;
        }
        let class = &self.settings.classes[request.class];
        let stood = self.now - request.call_needed_at;
        let took = took.as_secs_f64();
        let slow =
            took > SLOW_CALL_FRACTION * class.latency_objective.as_secs_f64() || outcome == Outcome::Rejected;
        if outcome == Outcome::Ok {
            self.calls.typical.add(took, MEAN_WEIGHT / 2.0);
            request.phase = Phase::Running;
            request.time_at_calls += self.now - request.call_needed_at;
        } else {
            let never_ran = matches!(outcome, Outcome::Rejected | Outcome::Unreachable);
            request.phase = Phase::AwaitingCall;
            request.calls_failed += if never_ran || class.effect == Effect::Idempotent { 1 } else { 100 };
        }
        self.calls.ended(self.now, took, stood, slow, outcome == Outcome::TimedOut);
    }

    /// Makes the calls that the limit allows, the worthiest first.
    fn start_calls(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let mut calling = self.calls.settle(now, self.count_in(Phase::Calling) as f64);
        let full = self.at_calls() >= self.max_at_calls();
        let waiting = self.requests.iter().filter(|(_, r)| r.phase == Phase::AwaitingCall && !r.answered);
        let mut waiting: Vec<_> = waiting.map(|(&id, r)| (id, r.priority, r.objective_at)).collect();
        waiting.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.2.total_cmp(&b.2)));
        for (id, ..) in waiting {
            let Some(request) = self.requests.get(&id) else { continue };
            let class = &self.settings.classes[request.class];
            let late = full && class.effect == Effect::Idempotent && now > request.objective_at;
            let work = self.estimated_work(request).unwrap_or(0.0) * REMAINING_WORK;
            let left = request.objective_at - now - work;
            let unmeetable = now < request.objective_at && left < self.calls.typical.average;
            let skips = class.skip_weight > 0.0 && (full || request.calls_failed > 0 || unmeetable);
            let fails = late || request.calls_failed > 2;
            let until_deadline = request.deadline - now - TIMER_PERIOD;
            let timeout = if class.skip_weight > 0.0 && left > 0.0 { left } else { until_deadline };
            let timeout = timeout.min(self.calls.max_call_time()).max(0.001);
            let Some(request) = self.requests.get_mut(&id) else { continue };
            if skips {
                request.phase = Phase::Running;
                request.time_at_calls += now - request.call_needed_at;
                out.push(Action::SkipCall(id));
            } else if fails {
                self.fail(id, out);
            } else if self.calls.can_start(now, calling) {
                calling += 1.0;
                request.phase = Phase::Calling;
                request.call_sent_at = now;
                out.push(Action::Call(id, seconds(timeout)));
            }
        }
    }

    fn at_calls(&self) -> usize {
        self.count_in(Phase::AwaitingCall) + self.count_in(Phase::Calling)
    }

    /// Requests that may stand at calls: twice the cores while calls are quick; once they are slow, as many
    /// as the calls of late would carry off within the latency target. A tier guards itself, so there only
    /// the crowd that would come back from it counts.
    fn max_at_calls(&self) -> usize {
        let cores = self.cores();
        if self.settings.dependency == Dependency::Tier {
            return (self.max_running() - cores).max(cores) as usize;
        }
        let most = 2.0 * cores;
        let calling = self.settings.classes.iter().filter(|class| class.calls);
        let objectives = calling.map(|class| class.latency_objective.as_secs_f64());
        let objective = objectives.fold(f64::INFINITY, f64::min);
        let stood = self.calls.ended.iter().map(|call| call.waited).sum::<f64>();
        let slow = stood > SLOW_CALL_FRACTION * objective * self.calls.ended.len() as f64;
        (if slow { self.calls.completable(objective).clamp(1.0, most) } else { most }) as usize
    }

    /// While the calls are at their bound, a request that will call needs fewer than that bound of
    /// its worth or more before it. Guards against a dependency that slows, whatever the cause.
    fn can_add_call(&mut self, id: RequestId) -> bool {
        if self.at_calls() >= self.max_at_calls() {
            self.calls.full_until = self.now + RATE_WINDOW;
        }
        let Some(request) = self.requests.get(&id) else { return false };
        let bound = self.calls.completable(self.objective_of(request.class)).max(1.0);
        let before = |r: &&Request| r.may_call && !r.answered && r.priority >= request.priority;
        self.now >= self.calls.full_until
            || !request.may_call
            || self.requests.values().filter(before).count() as f64 <= bound
    }

    /// The part of its speed that the server surely has: it warms no slower than in even steps.
    fn warm_fraction(&self) -> f64 {
        let settings = &self.settings;
        if !settings.cold {
            return 1.0;
        }
        let part = (self.now - self.booted_at) / settings.warm_up_time.as_secs_f64().max(1e-3);
        (settings.cold_speed + (1.0 - settings.cold_speed) * part).clamp(0.0, 1.0)
    }

    fn cores(&self) -> f64 {
        f64::from(self.settings.cores.max(1))
    }

    /// Requests on the cores that the server survives, less a margin; fewer while cold.
    fn max_running(&self) -> f64 {
        let each = 1.0 + (self.settings.max_concurrency_per_core - 1.0).max(0.0) * self.warm_fraction();
        (self.cores() * each * USED_CAPACITY).max(1.0)
    }

    fn estimated_work(&self, request: &Request) -> Option<f64> {
        self.class_stats[request.class].on_cores.get().map(|t| t * request.relative_cost)
    }

    /// The order of the hold: by worth in steps of 1.4, then earliest aim first. Guards the worthy
    /// where a line stands, whatever made it; the less worthy wait, and are dropped rather than late.
    fn queue_order(&self) -> Vec<RequestId> {
        let held = self.requests.iter().filter(|(_, r)| r.phase == Phase::Queued);
        let step = |r: &Request| (2.0 * r.priority.log2()).round();
        let mut held: Vec<_> = held.map(|(&id, r)| (id, r.objective_at, step(r))).collect();
        held.sort_by(|a, b| b.2.total_cmp(&a.2).then(a.1.total_cmp(&b.1)).then(a.0.cmp(&b.0)));
        held.into_iter().map(|(id, ..)| id).collect()
    }

    /// Where the line would carry a request past its aim, the least worthy up to it goes. Guards against a
    /// rate that let in too much for what is left of the server, slow cores and heavy requests alike.
    /// Where nothing has ended of late, what has nothing before it is tried: guards against an estimate that
    /// nothing would ever correct.
    fn shed_unmeetable(&mut self, out: &mut Vec<Action>) {
        let line = self.queue_order();
        let on_cores = |r: &Request| self.now - r.started_at - r.time_at_calls;
        let remaining = |r: &Request, work: f64| (work - on_cores(r)).max(work * REMAINING_WORK);
        let left = |r: &Request| self.estimated_work(r).map_or(0.0, |work| remaining(r, work));
        let mut ahead: f64 = self.requests.values().filter(|r| r.phase == Phase::Running).map(left).sum();
        let mut kept: Vec<(RequestId, f64, f64)> = Vec::new();
        for id in line {
            let Some(request) = self.requests.get(&id) else { continue };
            let Some(work) = self.estimated_work(request) else { continue };
            let (objective_at, priority) = (request.objective_at, request.priority);
            kept.push((id, work, priority));
            ahead += work;
            while !kept.is_empty()
                && (ahead > work || !self.latencies.is_empty())
                && self.now + (ahead - work) / (self.run_limit + self.off_cpu) + work * REMAINING_WORK
                    > objective_at
            {
                let worst = (0..kept.len()).min_by(|&a, &b| kept[a].2.total_cmp(&kept[b].2));
                let (victim, freed, _) = kept.remove(worst.unwrap_or(0));
                ahead -= freed;
                self.recent.iter_mut().filter(|s| s.id == victim).for_each(|s| s.admitted = false);
                self.reject_queued(victim, out);
                if victim == id {
                    break;
                }
            }
        }
    }

    fn start_runs(&mut self, out: &mut Vec<Action>) {
        let mut on_cores = self.count_in(Phase::Running) as f64;
        let at_calls = |r: &Request| matches!(r.phase, Phase::AwaitingCall | Phase::Calling);
        let max_running = self.max_running() - self.at_calls() as f64;
        let max_at_calls = self.max_at_calls();
        let factor = self.settings.running_memory_factor.max(1.0);
        let mut used = self.memory_used();
        for id in self.queue_order() {
            if on_cores + 1.0 > self.run_limit + self.off_cpu || on_cores + 1.0 > max_running {
                break;
            }
            let Some(request) = self.requests.get(&id) else { continue };
            let before = self.requests.values().filter(|r| at_calls(r) && r.priority >= request.priority);
            let calls_full = request.may_call && before.count() >= max_at_calls;
            let Some(request) = self.requests.get_mut(&id) else { continue };
            let more = request.memory_kb * (factor - 1.0);
            if used + more > self.settings.memory_kb * USED_MEMORY || calls_full {
                continue;
            }
            used += more;
            on_cores += 1.0;
            request.started_at = self.now;
            request.phase = Phase::Running;
            out.push(Action::Run(id));
        }
    }

    fn on_timer(&mut self, gauges: &Gauges, out: &mut Vec<Action>) {
        let now = self.now;
        self.longest_stall = self.longest_stall.max(now - self.last_timer_at - TIMER_PERIOD);
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
        if let Some(limit) = self.connections.revise(now, idle, callers, read_overload, spare) {
            out.push(Action::IdleLimit(seconds(limit)));
        }
        self.adjust_run_limit(gauges);
        self.update_signal(out);
        out.push(Action::SetTimer(TimerId(0), seconds(TIMER_PERIOD)));
    }

    /// Where nothing leaves the cores for several mean runs, this server is in trouble alone: health goes bad
    /// and what has not begun is refused, until something ends. Guards against a hang and against cores full
    /// of far too long runs.
    fn detect_stall(&mut self, out: &mut Vec<Action>) {
        let idle = self.count_in(Phase::Running) as f64 <= self.off_cpu;
        self.progress_at = if idle { self.now } else { self.progress_at };
        let mean = self.cores() / self.capacity();
        let stalled = self.rate.is_some() && self.now - self.progress_at > STALL_RUNS * mean;
        if std::mem::replace(&mut self.stalled, stalled) != stalled && self.stop_at.is_none() {
            out.push(Action::SetHealth { good: !stalled, cheap: true });
        }
    }

    /// The running bound grows while cores idle and work waits, and shrinks when too much wants the cores.
    fn adjust_run_limit(&mut self, gauges: &Gauges) {
        let cores = self.cores();
        let waits = self.count_in(Phase::Queued) > 0;
        let runnable = gauges.runnable.unwrap_or(cores);
        let running = self.count_in(Phase::Running) as f64;
        self.off_cpu = (running - gauges.runnable.unwrap_or(running)).max(0.0);
        if runnable > cores * RUNNABLE_HIGH {
            self.run_limit -= 0.25;
        } else if waits && runnable < cores && gauges.busy.is_none_or(|busy| busy < BUSY_LOW) {
            self.run_limit += 0.25;
        }
        self.run_limit = self.run_limit.clamp(cores, self.max_running().max(cores));
    }

    /// The keep-away signal follows what is refused, as reading costs cores: in small steps, so that callers
    /// do not move together, and down by itself, since those away cannot show that there is room again.
    fn update_signal(&mut self, out: &mut Vec<Action>) {
        let wanted = match self.settings.signal {
            Signal::Level => self.signal_level(),
            _ => self.rejected_fraction(),
        };
        let up = 10.0 * SIGNAL_STEP * (wanted - self.shed_level).max(0.0);
        let down = if up > 0.0 { 0.0 } else { SIGNAL_STEP };
        self.shed_level = (self.shed_level + up - down).clamp(0.0, 0.95);
        let value = match self.settings.signal {
            Signal::Off => return,
            Signal::Level => self.shed_level,
            Signal::Weight => 1.0 - self.shed_level,
            Signal::Credit => self.run_limit * f64::from(self.settings.callers.max(1)).powf(-self.shed_level),
        };
        if self.advertised.is_none_or(|advertised| (advertised - value).abs() > 0.01 * advertised.max(0.1)) {
            self.advertised = Some(value);
            out.push(Action::Advertise(value));
        }
    }

    fn read_overload(&self) -> bool {
        self.overhead.average > READING_HIGH
    }

    fn recent_window(&self) -> impl Iterator<Item = &RecentArrival> {
        self.recent.iter().filter(|s| s.at > self.now - RATE_WINDOW)
    }

    /// The part of recent arrivals that was refused; a handful of arrivals says little.
    fn rejected_fraction(&self) -> f64 {
        let rejected = self.recent_window().filter(|s| !s.admitted).count() as f64;
        rejected / self.recent_window().count().max(8) as f64
    }

    /// The rank below which refusals outweigh admissions among recent arrivals. Without a flood it never
    /// passes a rank that is being admitted: guards against shutting out the middle for the top's trouble.
    fn signal_level(&self) -> f64 {
        let mut ranked: Vec<_> = self.recent_window().map(|s| (s.rank, s.admitted)).collect();
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        let read_overload = self.read_overload();
        let weight = if read_overload { ADMITTED_WEIGHT_READING } else { ADMITTED_WEIGHT };
        let (mut best, mut best_rank, mut sum) = (0.0, 0.0, 0.0);
        for (rank, admitted) in ranked {
            sum += if admitted { -weight } else { 1.0 };
            if sum > best {
                (best, best_rank) = (sum, rank);
            } else if !read_overload && sum < best - 2.0 * weight {
                break;
            }
        }
        best_rank
    }

    fn random_fraction(&mut self) -> f64 {
        self.random = self.random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.random >> 40) as f64 / (1u64 << 24) as f64
    }
}

impl ClassStats {
    /// A request's size beside the class's mean, from its hint.
    fn relative_cost(&mut self, cost_hint: Option<Duration>) -> f64 {
        let Some(cost_hint) = cost_hint.map(|h| h.as_secs_f64()).filter(|h| *h > 0.0) else { return 1.0 };
        self.cost_hint.add(cost_hint, MEAN_WEIGHT);
        (cost_hint / self.cost_hint.average).clamp(0.2, 5.0)
    }
}

fn seconds(time: f64) -> Duration {
    Duration::from_secs_f64(time.clamp(0.0, 1e6))
}
