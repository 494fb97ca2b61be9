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
const PERIOD: f64 = 0.05;
/// The permitted rate changes at most once in this time (the paper's two seconds).
const WINDOW: f64 = 2.0;
/// Latency counts as above target beyond this part of the class's aim.
const TARGET: f64 = 0.4;
/// A cut leaves this part of what was handled, so that the rate does not sink without end.
const CUT: f64 = 0.9;
/// A cut never takes the rate below this part of itself.
const DEEPEST_CUT: f64 = 0.5;
/// A rise adds this part of what the cores could start in a second.
const RISE: f64 = 0.05;
/// Part of the bucket kept back from the least worthy arrivals.
const RESERVE: f64 = 0.6;
/// Recent arrivals that an arrival's worth is ranked among, and that the signal looks at.
const RANKED: usize = 64;
/// Readings that are evidence enough; the chance error of fewer is over a quarter.
const ENOUGH: f64 = 16.0;
/// Weight of a new reading in the running means.
const BLEND: f64 = 0.1;
/// Seconds over which a tenant's arrivals are averaged.
const TENANT_SPAN: f64 = 5.0;
/// Part of the survivable crowd, and of the dependency's share, that is ever used.
const CROWD: f64 = 0.75;
/// Part of the memory that is ever filled. What is held leaves room to run it, so that it can always start.
const MEMORY: f64 = 0.9;
/// Runnable work a core above which the running bound shrinks: past it cores may lose efficiency.
const CROWDED: f64 = 1.4;
/// Busy part of the cores below which the running bound grows while work waits.
const IDLE: f64 = 0.92;
/// A standstill this long makes what was learnt of the load out of date: many windows, no machine's pause.
const STALE: f64 = 5.0 * WINDOW;
/// Each period the keep-away signal falls by this much, or rises by ten times that part of its distance.
const SHED_DOWN: f64 = 0.01;
/// An admitted arrival speaks against keeping its rank away as much as this many refused speak for it.
const ADMITTED_WEIGHT: f64 = 2.0;
/// The same while arrivals lie unread: then the reading itself must be spared.
const ADMITTED_IN_FLOOD: f64 = 0.5;
/// Part of its mean time on the cores that a request surely still needs when the line is judged.
const HEADROOM: f64 = 0.5;
/// The fleet is taken to be in trouble, not this server alone, at this many times the usual arrivals.
const WALKING: f64 = 1.25;
/// Reading and connecting beyond this part of what wants the cores show a flood: turning away overruns them.
const FLOODED: f64 = 0.6;
/// A call beyond this part of the class's aim shows a crowded dependency, and so does standing for one.
const SLOW_CALL: f64 = 0.07;
/// A quick call raises the limit on calls by this part of the share; slow ones leave a floor of its slots.
const CALL_STEP: f64 = 0.05;
const CALL_FLOOR: f64 = 0.22;
/// Nothing leaves the cores for this many mean runs: hardly by chance.
const HUNG: f64 = 4.0;
/// This last part of a drain is kept for answers, and the longest standstill seen: guards against one then.
const LAST_PART: f64 = 0.1;
/// The share, and its span, where no dependency is shared: more than any server could use.
const UNSHARED: f64 = 1e6;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum Phase {
    #[default]
    Held,
    Joining,
    Running,
    NeedsCall,
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
    size: f64,
    /// Worth for a unit of work.
    value: f64,
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
    value: f64,
    readings: f64,
}

impl Mean {
    fn add(&mut self, reading: f64, weight: f64) {
        self.readings += 1.0;
        self.value += weight.max(1.0 / self.readings) * (reading - self.value);
    }

    fn get(&self) -> Option<f64> {
        (self.readings > 0.0).then_some(self.value)
    }
}

/// What a recent arrival was and became.
#[derive(Debug)]
struct Seen {
    id: RequestId,
    at: f64,
    rank: f64,
    value: f64,
    admitted: bool,
}

/// The decisions of one server.
#[derive(Debug, Default)]
pub struct Admission {
    settings: Settings,
    random: u64,
    now: f64,
    opened: bool,
    born: f64,
    requests: BTreeMap<RequestId, Request>,
    /// Ended unrun in the batch under way, and the repeats that took their places.
    unrun: BTreeMap<RequestId, Option<RequestId>>,
    /// Remembered keys and when their entries end.
    entries: BTreeMap<RequestId, f64>,
    stats: Vec<ClassStats>,
    /// Arrivals a second of late: all, then for each tenant; and all while little was refused.
    arrivals: Vec<f64>,
    arrivals_at: f64,
    usual: Mean,
    /// Latencies of late: when, as a part of the class's aim, and whether the class calls.
    latencies: VecDeque<(f64, f64, bool)>,
    rate: Option<f64>,
    tokens: f64,
    filled_at: f64,
    /// The window under way, and the requests that it has handled.
    window_began: f64,
    handled: f64,
    penalised_until: f64,
    bound: f64,
    shed: f64,
    recent: VecDeque<Seen>,
    said: Option<f64>,
    calls: Calls,
    /// All is answered by then in a drain.
    stop_at: Option<f64>,
    /// The longest that a timer was late: then the whole process stood still.
    standstill: f64,
    ticked_at: f64,
    /// When something last left the cores, and whether nothing has for too long.
    progressed_at: f64,
    hung: bool,
    last_arrival_run: f64,
    /// Running requests that the gauge does not see on the cores: they wait for disk.
    off_cores: f64,
    connections: Connections,
    /// The part of what wants the cores that is not runs: reading, checks and new connections.
    overhead: Mean,
}

/// Whether callers come back to idle connections. Guards a table of unknown size against rare callers.
#[derive(Debug, Default)]
struct Connections {
    heard: BTreeMap<CallerId, f64>,
    returning: Mean,
    limit: f64,
    /// Kept at least this long for a flood.
    door: f64,
}

impl Connections {
    fn new(limit: f64) -> Self {
        let returning = Mean { value: 1.0, readings: ENOUGH };
        Connections { limit, returning, ..Connections::default() }
    }

    fn heard(&mut self, caller: CallerId, now: f64, idle: f64) {
        let before = self.heard.insert(caller, now);
        let returned = before.is_some_and(|at| now - at <= idle);
        self.returning.add(if returned { 1.0 } else { 0.0 }, BLEND / 2.0);
    }

    /// The idle limit falls with the square of the part of all callers that returns: that much less often is
    /// a kept connection used, and so many more are kept. In a flood it grows instead: a full table turns
    /// callers away for nothing, where each read would cost a handshake; spare cores open the door again.
    fn revise(&mut self, now: f64, idle: f64, callers: f64, flooded: bool, spare: bool) -> Option<f64> {
        self.heard.retain(|_, at| now - *at <= idle);
        let part = self.returning.value * (self.heard.len() as f64 / callers).min(1.0);
        let closing = if spare { BLEND } else { BLEND * PERIOD / WINDOW };
        self.door = if flooded { idle } else { (self.door * (1.0 - closing)).max(PERIOD) };
        let wanted = (idle * part.powi(2)).max(if self.door > 1.0 { self.door } else { PERIOD });
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
    ended: VecDeque<(f64, f64)>,
    /// The calls were at their bound until now or shortly before.
    full_until: f64,
    /// How long calls that worked took.
    usual: Mean,
}

impl Calls {
    fn new(dependency: &Dependency, now: f64) -> Self {
        let (mut share, mut span, mut linger) = (UNSHARED, UNSHARED, 0.0);
        if let Dependency::Shared { share: s, span: t, linger: l } = *dependency {
            (share, span, linger) = (s.max(0.0), t.as_secs_f64(), l.as_secs_f64());
        }
        Calls { share, span, linger, limit: share, at: now, ..Calls::default() }
    }

    /// Brings the balance up to `now` with `calling` out since the last look; returns those in its hands.
    fn settle(&mut self, now: f64, calling: f64) -> f64 {
        self.lingering.retain(|until| *until > now);
        let in_hand = calling + self.lingering.len() as f64;
        let most = self.share * self.span * (1.0 - CROWD);
        self.balance = (self.balance + (self.share * CROWD - in_hand) * (now - self.at)).min(most);
        self.at = now;
        in_hand
    }

    /// Requests whose calls are over within the latency target, at the pace of late and a chance error.
    fn carried(&self, latency_objective: f64) -> f64 {
        let ended = self.ended.len() as f64;
        (ended + ended.sqrt()) / WINDOW * TARGET * latency_objective
    }

    fn may_start(&self, now: f64, in_hand: f64) -> bool {
        in_hand < self.limit.floor().max(1.0) && self.balance >= 0.0 && now >= self.next
    }

    /// The longest that a call may take: one call must not use up the share by itself.
    fn longest(&self) -> f64 {
        (self.share * self.span * 0.5 - self.linger).max(PERIOD)
    }

    fn ended(&mut self, now: f64, took: f64, stood: f64, slow: bool, lingers: bool) {
        self.ended.push_back((now, stood));
        self.lingering.extend(lingers.then_some(now + self.linger));
        let step = if slow { -0.2 * self.limit } else { CALL_STEP * self.share };
        self.limit = (self.limit + step).clamp(CALL_FLOOR * self.share, self.share);
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
            born: now,
            ticked_at: now,
            filled_at: now,
            arrivals_at: now,
            calls: Calls::new(&settings.dependency, now),
            window_began: now,
            bound: cores,
            overhead: Mean { value: 0.0, readings: ENOUGH },
            connections: Connections::new(settings.idle.as_secs_f64()),
            last_arrival_run: f64::INFINITY,
            stats: vec![ClassStats::default(); settings.classes.len()],
            arrivals: vec![0.0; settings.tenant_quotas.len() + 1],
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
        self.stats.resize(settings.classes.len(), ClassStats::default());
        self.arrivals.resize(settings.tenant_quotas.len() + 1, 0.0);
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
        self.unrun.clear();
        if !std::mem::replace(&mut self.opened, true) {
            out.push(Action::SetHealth { good: true, cheap: true });
            out.push(Action::IdleLimit(self.settings.idle));
            out.push(Action::SetTimer(TimerId(0), seconds(PERIOD)));
        }
        for event in events {
            match event {
                Event::Arrived(arrival) => self.arrive(arrival, out),
                Event::Finished { id, outcome, took } => self.finish(*id, *outcome, *took),
                Event::CallNeeded(id) => self.call_needed(*id),
                Event::CallReturned { id, outcome, took } => self.call_returned(*id, *outcome, *took),
                Event::Cancelled(id) => self.let_go(*id, out),
                Event::Drain(left) => self.drain(*left, out),
                Event::Timer(_, gauges) => self.tick(gauges, out),
            }
        }
        self.guard_due_times(out);
        self.drop_hopeless(out);
        self.make_calls(out);
        self.start_work(out);
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
            return self.refuse(id, true, out);
        }
        self.count(arrival.tenant);
        self.connections.heard(arrival.caller, self.now, self.settings.idle.as_secs_f64());
        let request = self.describe(arrival, class);
        let value = request.value;
        let repeat = self.repeats(class, arrival.repeats);
        self.requests.insert(id, request);
        if let Some(prior) = repeat {
            return self.take_repeat(id, prior, out);
        }
        let admitted = self.may_hold(id) && self.calls_have_room(id) && self.take_token(value);
        self.recent.push_front(Seen { id, at: self.now, rank: arrival.rank, value, admitted });
        self.recent.truncate(RANKED);
        if !admitted {
            self.end_unrun(id, out);
        } else if self.settings.classes[class].effect == Effect::IdempotencyKey {
            self.remember(id, out);
        }
    }

    fn describe(&mut self, arrival: &Arrival, class: usize) -> Request {
        let settings = &self.settings.classes[class];
        let size = self.stats[class].size(arrival.cost_hint);
        let arrived = self.now - arrival.age.as_secs_f64();
        let time_left = if self.settings.sends_deadline { arrival.time_left } else { None };
        let deadline =
            time_left.map_or(arrived + settings.deadline.as_secs_f64(), |p| self.now + p.as_secs_f64());
        let deadline = deadline.max(self.now).min(self.stop_at.unwrap_or(f64::INFINITY));
        let stretch = settings.objective_stretch * arrival.cost_hint.unwrap_or_default().as_secs_f64();
        Request {
            class,
            memory_kb: arrival.memory_kb.max(0.0),
            arrived,
            objective_at: (arrived + settings.latency_objective.as_secs_f64() + stretch).min(deadline),
            deadline,
            size,
            value: self.value(class, arrival.tenant),
            may_call: settings.calls && self.settings.dependency != Dependency::Off,
            ..Request::default()
        }
    }

    /// Worth for a unit of work, less what lies over the tenant's share as far as local arrivals tell.
    fn value(&self, class: usize, tenant: TenantId) -> f64 {
        let settings = &self.settings.classes[class];
        let mean = self.stats[class].on_cores.get().unwrap_or(1.0);
        let work = if self.settings.weight_by_work { 1.0 } else { mean };
        let tenant = usize::from(tenant.0);
        let quota = self.settings.tenant_quotas.get(tenant).copied().unwrap_or(0.0);
        let servers = f64::from(self.settings.servers.max(1));
        let sent = self.arrivals.get(tenant + 1).map_or(0.0, |rate| rate * servers);
        let within = if quota > 0.0 && sent > quota { quota / sent } else { 1.0 };
        settings.weight / work.max(1e-3) * (within + (1.0 - within) * self.settings.over_quota_weight)
    }

    fn count(&mut self, tenant: TenantId) {
        let fade = (-(self.now - self.arrivals_at) / TENANT_SPAN).exp();
        self.arrivals_at = self.now;
        self.arrivals.iter_mut().for_each(|rate| *rate *= fade);
        for slot in [0, usize::from(tenant.0) + 1] {
            if let Some(rate) = self.arrivals.get_mut(slot) {
                *rate += 1.0 / TENANT_SPAN;
            }
        }
    }

    /// All arrivals a second of late, in the first seconds too.
    fn arriving(&self) -> f64 {
        self.arrivals[0] / (1.0 - (-(self.now - self.born) / TENANT_SPAN).exp()).max(0.01)
    }

    /// More comes than did while little was refused: others refuse too, and their refusals walk here.
    fn walked_upon(&self) -> bool {
        self.arriving() > WALKING * self.usual.value
    }

    /// The try that this one must or may join: for one lost in this batch, what took its place, if anything.
    fn repeats(&self, class: usize, prior: Option<RequestId>) -> Option<RequestId> {
        let mut prior = prior?;
        while let Some(successor) = self.unrun.get(&prior) {
            prior = (*successor)?;
        }
        let held = self.requests.get(&prior).is_some_and(|p| p.phase == Phase::Held);
        match self.settings.classes[class].effect {
            Effect::IdempotencyKey => Some(prior),
            Effect::Idempotent if !self.settings.response_reuse.is_zero() && !held => Some(prior),
            _ => None,
        }
    }

    /// A repeat takes the place of a try still held, which its caller has left, and joins one that has
    /// begun: guards against two runs of one effect, whatever made the caller come again.
    fn take_repeat(&mut self, id: RequestId, prior: RequestId, out: &mut Vec<Action>) {
        let held = self.requests.get(&prior).filter(|p| p.phase == Phase::Held).map(|p| p.objective_at);
        let room = self.memory_used() <= self.settings.memory_kb * MEMORY;
        let last_arrival_run = self.last_arrival_run;
        let Some(request) = self.requests.get_mut(&id) else { return };
        match held {
            Some(objective_at) if room && request.arrived <= last_arrival_run => {
                request.objective_at = request.objective_at.min(objective_at);
                self.entries.remove(&prior);
                self.remember(id, out);
                self.refuse(prior, true, out);
                self.requests.remove(&prior);
                self.unrun.insert(prior, Some(id));
            }
            Some(_) => self.end_unrun(id, out),
            None if room => {
                request.phase = Phase::Joining;
                out.push(Action::Coalesce(id));
            }
            None => self.fail(id, out),
        }
    }

    /// Room in time and memory for one more held request.
    fn may_hold(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let keyed = self.settings.classes[request.class].effect == Effect::IdempotencyKey;
        let entry = if keyed { self.settings.key_memory_kb } else { 0.0 };
        let running = request.memory_kb * (self.settings.running_memory_factor - 1.0).max(0.0);
        request.arrived <= self.last_arrival_run
            && !self.hung
            && request.deadline > self.now
            && self.memory_used() + entry + running <= self.settings.memory_kb * MEMORY
    }

    /// Takes a token from a bucket that holds a second of the rate. Only a pressed server refuses for want of
    /// one; then the low-worth arrivals find the bucket's reserve closed first, and the worthiest may owe it
    /// as many as the chance error of a handful: guards them where a second of the rate is a token or two.
    fn take_token(&mut self, value: f64) -> bool {
        let Some(rate) = self.rate else { return true };
        let depth = rate.max(1.0);
        self.tokens = (self.tokens + rate * (self.now - self.filled_at)).min(depth);
        self.filled_at = self.now;
        let (place, debt) = (self.place(value), ENOUGH.sqrt());
        let needed = 1.0 + (depth - 1.0) * RESERVE * (1.0 - place) - debt * place;
        let admitted = self.tokens >= needed || !self.pressed();
        self.tokens = (self.tokens - if admitted { 1.0 } else { 0.0 }).max(-debt);
        admitted
    }

    fn in_phase(&self, phase: Phase) -> usize {
        self.requests.values().filter(|r| r.phase == phase).count()
    }

    /// The part of recent arrivals that were worth less.
    fn place(&self, value: f64) -> f64 {
        let below = self.recent.iter().filter(|s| s.value < value).count() as f64;
        below / (self.recent.len().max(1) as f64)
    }

    fn pressed(&self) -> bool {
        let own = self.now < self.calls.full_until;
        let waits = |r: &&Request| r.phase == Phase::Held && !(own && r.may_call);
        let waiting = self.requests.values().filter(waits).count();
        self.now < self.penalised_until || (waiting > 1 && self.latency() > TARGET)
    }

    /// Mean latency of late as a part of the aim, without failed runs; work in hand past the target counts as
    /// it stands. Exception: while calls are at their bound, which holds back what calls, that is left out.
    fn latency(&self) -> f64 {
        let own = self.now < self.calls.full_until;
        let recent = self.latencies.iter().filter(|l| !(own && l.2)).map(|l| l.1);
        let counts = |r: &&Request| !r.answered && r.phase != Phase::Joining && !(own && r.may_call);
        let standing = self.requests.values().filter(counts).map(|r| self.of_aim(r)).filter(|p| *p > TARGET);
        let (sum, n) = recent.chain(standing).fold((0.0, 0.0), |(s, n), part| (s + part, n + 1.0));
        sum / f64::max(n, 1.0)
    }

    fn of_aim(&self, request: &Request) -> f64 {
        let latency_objective = self.settings.classes[request.class].latency_objective.as_secs_f64();
        (self.now - request.arrived) / latency_objective.max(1e-3)
    }

    /// Once a window: penalties or latency above target cut the rate, half use lets it rise. The first
    /// one seeds it, lasting until enough was handled. What was handled counts with its chance error, so
    /// small servers are not cut to what a handful of requests happened to be.
    fn revise(&mut self) {
        let span = self.now - self.window_began;
        if span < WINDOW || (self.rate.is_none() && self.handled < ENOUGH) {
            return;
        }
        let handled = (self.handled + self.handled.sqrt()) / span;
        if self.refused_part() <= 0.1 {
            self.usual.add(self.arriving(), 0.2);
        }
        let penalised = self.penalised_until > self.window_began + WINDOW;
        self.rate = match self.rate {
            None => (self.handled >= ENOUGH).then_some(handled),
            Some(rate) if penalised => Some(CUT * handled.min(rate).max(rate * DEEPEST_CUT)),
            Some(rate) if self.latency() > TARGET => Some(CUT * handled.max(rate * DEEPEST_CUT)),
            Some(rate) if 2.0 * handled >= rate => Some(rate + RISE * self.cores_rate()),
            Some(rate) => Some(rate),
        };
        (self.window_began, self.handled) = (self.now, 0.0);
    }

    /// What was learnt of the load is out of date: as at a start, the bucket is loose and a window seeds it.
    fn forget_load(&mut self) {
        (self.rate, self.tokens, self.handled, self.shed) = (None, 0.0, 0.0, 0.0);
        (self.window_began, self.filled_at, self.arrivals_at) = (self.now, self.now, self.now);
        (self.penalised_until, self.calls.full_until) = (0.0, 0.0);
        self.usual = Mean::default();
        self.recent.clear();
        self.arrivals.iter_mut().for_each(|rate| *rate = 0.0);
    }

    /// Requests a second that the cores could do, by what requests took of late.
    fn cores_rate(&self) -> f64 {
        let known: Vec<f64> = self.stats.iter().filter_map(|s| s.on_cores.get()).collect();
        let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
        f64::from(self.settings.cores.max(1)) / mean.max(0.01)
    }

    fn finish(&mut self, id: RequestId, outcome: Outcome, took: Duration) {
        if outcome == Outcome::Rejected {
            // It never began: that shows nothing of the cores, and frees its key.
            self.entries.remove(&id);
            self.requests.remove(&id);
            return;
        }
        self.progressed_at = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.phase == Phase::Calling {
            let (stood, took) = (self.now - request.call_needed_at, self.now - request.call_sent_at);
            self.calls.ended(self.now, took, stood, true, true);
        }
        let Some(request) = self.requests.remove(&id) else { return };
        if outcome != Outcome::Ok || request.phase == Phase::Joining {
            return;
        }
        let on_cores = (took.as_secs_f64() - request.time_at_calls).max(0.001) / request.size;
        self.stats[request.class].on_cores.add(on_cores, BLEND);
        if !request.answered {
            self.handled += 1.0;
            self.latencies.push_back((self.now, self.of_aim(&request), request.may_call));
        }
    }

    /// Turns a held request away for good.
    fn end_unrun(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let alone = self.stop_at.is_some() || self.hung || self.warmth() < 1.0;
        let give_up = !alone && (self.flooded() || self.walked_upon());
        self.refuse(id, give_up, out);
        self.leave_hold(id, out);
    }

    fn leave_hold(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.requests.remove(&id);
        self.unrun.insert(id, None);
        if self.entries.remove(&id).is_some() {
            out.push(Action::ReleaseKey(id));
        }
    }

    fn refuse(&mut self, id: RequestId, give_up: bool, out: &mut Vec<Action>) {
        let longest = self.settings.max_retry_after.as_secs_f64();
        let spread = 0.5 + 0.5 * self.draw();
        let retry_after = self.settings.retry_after.then(|| seconds(longest * spread * self.shed.max(0.1)));
        out.push(Action::Reject { id, retry_after, give_up });
    }

    /// Fails what has begun; it leaves the cores unless its effect may be half done.
    fn fail(&mut self, id: RequestId, out: &mut Vec<Action>) {
        out.push(Action::Fail(id));
        self.let_go(id, out);
    }

    fn let_go(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.answered = true;
        let safe = self.settings.classes[request.class].effect == Effect::Idempotent;
        match request.phase {
            Phase::Held => self.leave_hold(id, out),
            Phase::Joining => drop(self.requests.remove(&id)),
            Phase::Running if safe && self.settings.preemption != Preemption::Off => {
                out.push(Action::Pause(id));
            }
            _ => {}
        }
    }

    /// Answers what would be due before the next look, and at once what is given up on: refused if it never
    /// ran, else failed. Guards against lost requests and callers kept waiting, whatever holds them up: full
    /// cores, a hang, a silent call.
    fn guard_due_times(&mut self, out: &mut Vec<Action>) {
        let horizon = self.now + PERIOD;
        let over = |r: &Request| !r.answered && (r.deadline <= horizon || self.given_up(r));
        let deadline = self.requests.iter().filter(|(_, r)| over(r));
        let deadline: Vec<(RequestId, bool)> =
            deadline.map(|(&id, r)| (id, r.phase == Phase::Held)).collect();
        for (id, held) in deadline {
            match held {
                true => self.end_unrun(id, out),
                false => self.fail(id, out),
            }
        }
    }

    /// Past its aim without late worth, unless it is on the cores or its effect has begun: those go on.
    fn given_up(&self, request: &Request) -> bool {
        let class = &self.settings.classes[request.class];
        let may_end = match request.phase {
            Phase::Held => true,
            Phase::NeedsCall | Phase::Calling => class.effect == Effect::Idempotent,
            Phase::Joining | Phase::Running => false,
        };
        let hung = self.hung && request.phase == Phase::Held;
        hung || (may_end && class.late_weight <= 0.0 && self.now > request.objective_at)
    }

    fn drain(&mut self, left: Duration, out: &mut Vec<Action>) {
        let left = left.as_secs_f64();
        let margin = (2.0 * PERIOD).max(LAST_PART * left) + self.standstill;
        let stop = self.now + left - margin.min(left / 2.0);
        self.stop_at = Some(stop);
        let grace = self.settings.drain_grace.saturating_sub(self.settings.tick);
        self.last_arrival_run = self.now + grace.as_secs_f64();
        for request in self.requests.values_mut() {
            request.deadline = request.deadline.min(stop);
            request.objective_at = request.objective_at.min(request.deadline);
        }
        out.push(Action::SetHealth { good: false, cheap: true });
    }

    /// Remembers a key from before its run until its window, and the hold, are surely over.
    fn remember(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let window = self.settings.classes[request.class].window.as_secs_f64();
        let keep = window.max(request.deadline - self.now) + 2.0 * PERIOD;
        self.entries.insert(id, self.now + keep);
        out.push(Action::RetainKey(id, seconds(keep)));
    }

    /// What held and started requests and keys take.
    fn memory_used(&self) -> f64 {
        let factor = self.settings.running_memory_factor.max(1.0);
        let requests = self.requests.values().map(|r| {
            if matches!(r.phase, Phase::Held | Phase::Joining) {
                r.memory_kb
            } else {
                r.memory_kb * factor
            }
        });
        requests.sum::<f64>() + self.entries.len() as f64 * self.settings.key_memory_kb
    }

    fn call_needed(&mut self, id: RequestId) {
        self.progressed_at = self.now;
        if let Some(request) = self.requests.get_mut(&id) {
            request.phase = Phase::NeedsCall;
            request.call_needed_at = self.now;
        }
    }

    fn call_returned(&mut self, id: RequestId, outcome: Outcome, took: Duration) {
        if outcome == Outcome::Rejected {
            self.penalised_until = self.now + WINDOW;
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        if request.phase != Phase::Calling {
            return;
        }
        let class = &self.settings.classes[request.class];
        let stood = self.now - request.call_needed_at;
        let took = took.as_secs_f64();
        let slow = took > SLOW_CALL * class.latency_objective.as_secs_f64() || outcome == Outcome::Rejected;
        if outcome == Outcome::Ok {
            self.calls.usual.add(took, BLEND / 2.0);
            request.phase = Phase::Running;
            request.time_at_calls += self.now - request.call_needed_at;
        } else {
            let never_ran = matches!(outcome, Outcome::Rejected | Outcome::Unreachable);
            request.phase = Phase::NeedsCall;
            request.calls_failed += if never_ran || class.effect == Effect::Idempotent { 1 } else { 100 };
        }
        self.calls.ended(self.now, took, stood, slow, outcome == Outcome::TimedOut);
    }

    /// Makes the calls that the limit allows, the worthiest first.
    fn make_calls(&mut self, out: &mut Vec<Action>) {
        let now = self.now;
        let mut calling = self.calls.settle(now, self.in_phase(Phase::Calling) as f64);
        let full = self.at_call() >= self.call_bound();
        let waiting = self.requests.iter().filter(|(_, r)| r.phase == Phase::NeedsCall && !r.answered);
        let mut waiting: Vec<_> = waiting.map(|(&id, r)| (id, r.value, r.objective_at)).collect();
        waiting.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.2.total_cmp(&b.2)));
        for (id, ..) in waiting {
            let Some(request) = self.requests.get(&id) else { continue };
            let class = &self.settings.classes[request.class];
            let late = full && class.effect == Effect::Idempotent && now > request.objective_at;
            let left = request.objective_at - now - self.estimate(request).unwrap_or(0.0) * HEADROOM;
            let hopeless = now < request.objective_at && left < self.calls.usual.value;
            let skips = class.skip_weight > 0.0 && (full || request.calls_failed > 0 || hopeless);
            let fails = late || request.calls_failed > 2;
            let bound =
                if class.skip_weight > 0.0 && left > 0.0 { left } else { request.deadline - now - PERIOD };
            let within = bound.min(self.calls.longest()).max(0.001);
            let Some(request) = self.requests.get_mut(&id) else { continue };
            if skips {
                request.phase = Phase::Running;
                request.time_at_calls += now - request.call_needed_at;
                out.push(Action::SkipCall(id));
            } else if fails {
                self.fail(id, out);
            } else if self.calls.may_start(now, calling) {
                calling += 1.0;
                request.phase = Phase::Calling;
                request.call_sent_at = now;
                out.push(Action::Call(id, seconds(within)));
            }
        }
    }

    fn at_call(&self) -> usize {
        self.in_phase(Phase::NeedsCall) + self.in_phase(Phase::Calling)
    }

    /// Requests that may stand at calls: twice the cores while calls are quick; once they are slow, as many
    /// as the calls of late would carry off within the latency target. A tier guards itself, so there only
    /// the crowd that would come back from it counts.
    fn call_bound(&self) -> usize {
        let cores = f64::from(self.settings.cores.max(1));
        if self.settings.dependency == Dependency::Tier {
            return (self.crowd() - cores).max(cores) as usize;
        }
        let most = 2.0 * cores;
        let aims =
            self.settings.classes.iter().filter(|c| c.calls).map(|c| c.latency_objective.as_secs_f64());
        let latency_objective = aims.fold(f64::INFINITY, f64::min);
        let stood = self.calls.ended.iter().map(|c| c.1).sum::<f64>();
        let slow = stood > SLOW_CALL * latency_objective * self.calls.ended.len() as f64;
        (if slow { self.calls.carried(latency_objective).clamp(1.0, most) } else { most }) as usize
    }

    /// While the calls are at their bound, a request that will call needs fewer than that bound of
    /// its worth or more before it. Guards against a dependency that slows, whatever the cause.
    fn calls_have_room(&mut self, id: RequestId) -> bool {
        if self.at_call() >= self.call_bound() {
            self.calls.full_until = self.now + WINDOW;
        }
        let Some(request) = self.requests.get(&id) else { return false };
        let bound =
            self.calls.carried(self.settings.classes[request.class].latency_objective.as_secs_f64()).max(1.0);
        let before = |r: &&Request| r.may_call && !r.answered && r.value >= request.value;
        self.now >= self.calls.full_until
            || !request.may_call
            || self.requests.values().filter(before).count() as f64 <= bound
    }

    /// The part of its speed that the server surely has: it warms no slower than in even steps.
    fn warmth(&self) -> f64 {
        let settings = &self.settings;
        if !settings.cold {
            return 1.0;
        }
        let part = (self.now - self.born) / settings.warm_up_time.as_secs_f64().max(1e-3);
        (settings.cold_speed + (1.0 - settings.cold_speed) * part).clamp(0.0, 1.0)
    }

    /// Requests on the cores that the server survives, less a margin; fewer while cold.
    fn crowd(&self) -> f64 {
        let each = 1.0 + (self.settings.max_concurrency_per_core - 1.0).max(0.0) * self.warmth();
        (f64::from(self.settings.cores.max(1)) * each * CROWD).max(1.0)
    }

    fn estimate(&self, request: &Request) -> Option<f64> {
        self.stats[request.class].on_cores.get().map(|t| t * request.size)
    }

    /// The order of the hold: by worth in steps of 1.4, then earliest aim first. Guards the worthy
    /// where a line stands, whatever made it; the less worthy wait, and are dropped rather than late.
    fn queue(&self) -> Vec<RequestId> {
        let held = self.requests.iter().filter(|(_, r)| r.phase == Phase::Held);
        let mut held: Vec<_> =
            held.map(|(&id, r)| (id, r.objective_at, (2.0 * r.value.log2()).round())).collect();
        held.sort_by(|a, b| b.2.total_cmp(&a.2).then(a.1.total_cmp(&b.1)).then(a.0.cmp(&b.0)));
        held.into_iter().map(|(id, ..)| id).collect()
    }

    /// Where the line would carry a request past its aim, the least worthy up to it goes. Guards against a
    /// rate that let in too much for what is left of the server, slow cores and heavy requests alike.
    /// Where nothing has ended of late, what has nothing before it is tried: guards against an estimate that
    /// nothing would ever correct.
    fn drop_hopeless(&mut self, out: &mut Vec<Action>) {
        let line = self.queue();
        let left = |r: &Request| {
            self.estimate(r)
                .map_or(0.0, |e| (e - (self.now - r.started_at - r.time_at_calls)).max(e * HEADROOM))
        };
        let mut ahead: f64 = self.requests.values().filter(|r| r.phase == Phase::Running).map(left).sum();
        let mut kept: Vec<(RequestId, f64, f64)> = Vec::new();
        for id in line {
            let Some(request) = self.requests.get(&id) else { continue };
            let Some(work) = self.estimate(request) else { continue };
            let (objective_at, value) = (request.objective_at, request.value);
            kept.push((id, work, value));
            ahead += work;
            while !kept.is_empty()
                && (ahead > work || !self.latencies.is_empty())
                && self.now + (ahead - work) / (self.bound + self.off_cores) + work * HEADROOM > objective_at
            {
                let worst = (0..kept.len()).min_by(|&a, &b| kept[a].2.total_cmp(&kept[b].2));
                let (victim, freed, _) = kept.remove(worst.unwrap_or(0));
                ahead -= freed;
                self.recent.iter_mut().filter(|s| s.id == victim).for_each(|s| s.admitted = false);
                self.end_unrun(victim, out);
                if victim == id {
                    break;
                }
            }
        }
    }

    fn start_work(&mut self, out: &mut Vec<Action>) {
        let mut on_cores = self.in_phase(Phase::Running) as f64;
        let at_call = |r: &Request| matches!(r.phase, Phase::NeedsCall | Phase::Calling);
        let crowd = self.crowd() - self.at_call() as f64;
        let call_bound = self.call_bound();
        let factor = self.settings.running_memory_factor.max(1.0);
        let mut used = self.memory_used();
        for id in self.queue() {
            if on_cores + 1.0 > self.bound + self.off_cores || on_cores + 1.0 > crowd {
                break;
            }
            let Some(request) = self.requests.get(&id) else { continue };
            let before = self.requests.values().filter(|r| at_call(r) && r.value >= request.value);
            let calls_full = request.may_call && before.count() >= call_bound;
            let Some(request) = self.requests.get_mut(&id) else { continue };
            let more = request.memory_kb * (factor - 1.0);
            if used + more > self.settings.memory_kb * MEMORY || calls_full {
                continue;
            }
            used += more;
            on_cores += 1.0;
            request.started_at = self.now;
            request.phase = Phase::Running;
            out.push(Action::Run(id));
        }
    }

    fn tick(&mut self, gauges: &Gauges, out: &mut Vec<Action>) {
        let now = self.now;
        self.standstill = self.standstill.max(now - self.ticked_at - PERIOD);
        if now - self.ticked_at > STALE {
            self.forget_load();
        }
        self.ticked_at = now;
        self.watch(out);
        self.entries.retain(|_, until| *until > now);
        self.latencies.retain(|l| l.0 >= now - WINDOW);
        self.calls.ended.retain(|c| c.0 >= now - WINDOW);
        let runnable = gauges.runnable.unwrap_or(0.0);
        let other = (runnable - self.in_phase(Phase::Running) as f64).max(0.0);
        self.overhead.add(other / runnable.max(1.0), BLEND / 2.0);
        self.revise();
        let (idle, callers) = (self.settings.idle.as_secs_f64(), f64::from(self.settings.callers.max(1)));
        let (flooded, spare) = (self.flooded(), gauges.busy.is_some_and(|b| b < IDLE));
        if let Some(limit) = self.connections.revise(now, idle, callers, flooded, spare) {
            out.push(Action::IdleLimit(seconds(limit)));
        }
        self.move_bound(gauges);
        self.signal(out);
        out.push(Action::SetTimer(TimerId(0), seconds(PERIOD)));
    }

    /// Where nothing leaves the cores for several mean runs, this server is in trouble alone: health goes bad
    /// and what has not begun is refused, until something ends. Guards against a hang and against cores full
    /// of far too long runs.
    fn watch(&mut self, out: &mut Vec<Action>) {
        let idle = self.in_phase(Phase::Running) as f64 <= self.off_cores;
        self.progressed_at = if idle { self.now } else { self.progressed_at };
        let mean = f64::from(self.settings.cores.max(1)) / self.cores_rate();
        let hung = self.rate.is_some() && self.now - self.progressed_at > HUNG * mean;
        if std::mem::replace(&mut self.hung, hung) != hung && self.stop_at.is_none() {
            out.push(Action::SetHealth { good: !hung, cheap: true });
        }
    }

    /// The running bound grows while cores idle and work waits, and shrinks when too much wants the cores.
    fn move_bound(&mut self, gauges: &Gauges) {
        let cores = f64::from(self.settings.cores.max(1));
        let waits = self.in_phase(Phase::Held) > 0;
        let runnable = gauges.runnable.unwrap_or(cores);
        let running = self.in_phase(Phase::Running) as f64;
        self.off_cores = (running - gauges.runnable.unwrap_or(running)).max(0.0);
        if runnable > cores * CROWDED {
            self.bound -= 0.25;
        } else if waits && runnable < cores && gauges.busy.is_none_or(|busy| busy < IDLE) {
            self.bound += 0.25;
        }
        self.bound = self.bound.clamp(cores, self.crowd().max(cores));
    }

    /// The keep-away signal follows what is refused, as reading costs cores: in small steps, so that callers
    /// do not move together, and down by itself, since those away cannot show that there is room again.
    fn signal(&mut self, out: &mut Vec<Action>) {
        let wanted = match self.settings.signal {
            Signal::Level => self.worthless_below(),
            _ => self.refused_part(),
        };
        let up = 10.0 * SHED_DOWN * (wanted - self.shed).max(0.0);
        self.shed = (self.shed + up - SHED_DOWN * if up > 0.0 { 0.0 } else { 1.0 }).clamp(0.0, 0.95);
        let value = match self.settings.signal {
            Signal::Off => return,
            Signal::Level => self.shed,
            Signal::Weight => 1.0 - self.shed,
            Signal::Credit => self.bound * f64::from(self.settings.callers.max(1)).powf(-self.shed),
        };
        if self.said.is_none_or(|said| (said - value).abs() > 0.01 * said.max(0.1)) {
            self.said = Some(value);
            out.push(Action::Advertise(value));
        }
    }

    fn flooded(&self) -> bool {
        self.overhead.value > FLOODED
    }

    fn lately(&self) -> impl Iterator<Item = &Seen> {
        self.recent.iter().filter(|s| s.at > self.now - WINDOW)
    }

    /// The part of recent arrivals that was refused; a handful of arrivals says little.
    fn refused_part(&self) -> f64 {
        self.lately().filter(|s| !s.admitted).count() as f64 / self.lately().count().max(8) as f64
    }

    /// The rank below which refusals outweigh admissions among recent arrivals. Without a flood it never
    /// passes a rank that is being admitted: guards against shutting out the middle for the top's trouble.
    fn worthless_below(&self) -> f64 {
        let mut ranked: Vec<_> = self.lately().map(|s| (s.rank, s.admitted)).collect();
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
        let flooded = self.flooded();
        let weight = if flooded { ADMITTED_IN_FLOOD } else { ADMITTED_WEIGHT };
        let (mut best, mut best_rank, mut sum) = (0.0, 0.0, 0.0);
        for (rank, admitted) in ranked {
            sum += if admitted { -weight } else { 1.0 };
            if sum > best {
                (best, best_rank) = (sum, rank);
            } else if !flooded && sum < best - 2.0 * weight {
                break;
            }
        }
        best_rank
    }

    fn draw(&mut self) -> f64 {
        self.random = self.random.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
        (self.random >> 40) as f64 / (1u64 << 24) as f64
    }
}

impl ClassStats {
    /// A request's size beside the class's mean, from its hint.
    fn size(&mut self, cost_hint: Option<Duration>) -> f64 {
        let Some(cost_hint) = cost_hint.map(|h| h.as_secs_f64()).filter(|h| *h > 0.0) else { return 1.0 };
        self.cost_hint.add(cost_hint, BLEND);
        (cost_hint / self.cost_hint.value).clamp(0.2, 5.0)
    }
}

fn seconds(time: f64) -> Duration {
    Duration::from_secs_f64(time.clamp(0.0, 1e6))
}
