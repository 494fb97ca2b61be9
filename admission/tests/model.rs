//! Randomized test: legal event sequences against an independent model of the server, which checks the invariants (one
//! answer within the deadline, no effect twice, a safe drain, no overload collapse). The model keeps the state of every
//! request by itself and sees only the actions of the module.

use std::collections::BTreeMap;
use std::time::Duration;

use oakwind_admission::*;

/// A xorshift generator.
struct SeededRandom(u64);

impl SeededRandom {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    fn below(&mut self, n: u64) -> u64 {
        self.next() % n
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }
}

/// State of an attempt on the server.
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

/// What the server knows of an attempt; times are in microseconds.
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
    /// For each effect, the attempt that its retained key refers to, and when the key expires.
    retained_keys: BTreeMap<u32, (RequestId, u64)>,
    /// Events for the next call of the module.
    events: Vec<Event>,
    timers: Vec<(u64, TimerId)>,
    drain_notice: Option<(u64, u64)>,
    /// Whether arrivals carry cost hints in this scenario.
    sends_hints: bool,
    gauges: Gauges,
    concurrency: f64,
    /// Period over which the concurrency is averaged.
    concurrency_span: Duration,
    calls: f64,
    /// When the abandoned calls end at the dependency.
    lingering: Vec<u64>,
}

/// Time of the first event.
const START_MICROS: u64 = 1_000_000;
/// How long an abandoned call stays in progress at the dependency.
const LINGER_MICROS: u64 = 200_000;
/// Unit of the steps of virtual time.
const STEP_MICROS: u64 = 2_000;
/// How long after its deadline an answer still counts, in microseconds.
const ANSWER_SLACK_MICROS: u64 = 50_000;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Random settings of a server.
fn settings(random: &mut SeededRandom) -> Settings {
    let effects = [Effect::Idempotent, Effect::IdempotencyKey, Effect::AtMostOnce];
    // In half of the scenarios deadlines range from half a second to a minute.
    let wide = random.chance(50);
    let class = |random: &mut SeededRandom| Class {
        latency_objective: if wide {
            ms(100) * 200_f64.powf(random.below(100) as f64 / 100.0) as u32
        } else {
            ms(300 + random.below(2000))
        },
        deadline: if wide {
            ms(500) * 120_f64.powf(random.below(101) as f64 / 100.0) as u32
        } else {
            ms(1500 + random.below(4000))
        },
        effect: effects[random.below(3) as usize],
        window: ms(500 + random.below(6000)),
        weight: 1.0 + random.below(5) as f64,
        late_weight: if random.chance(50) { 0.2 } else { 0.0 },
        calls: random.chance(50),
        skip_weight: if random.chance(30) { 0.5 } else { 0.0 },
        ..Class::default()
    };
    let classes = (0..=random.below(4)).map(|_| class(random)).collect();
    let dependency = match random.below(3) {
        0 => Dependency::Off,
        1 => Dependency::Tier,
        _ => Dependency::Shared {
            share: 0.3 + random.below(60) as f64 / 10.0,
            span: ms(5000),
            linger: ms(200),
        },
    };
    let preemption = random.below(3) as usize;
    Settings {
        classes,
        dependency,
        preemption: [Preemption::Off, Preemption::Drop, Preemption::Pause][preemption],
        signal: [Signal::Off, Signal::Level, Signal::Credit, Signal::Weight][random.below(4) as usize],
        tenant_quotas: if random.chance(50) { vec![3.0, 9.0] } else { Vec::new() },
        over_quota_weight: 0.1,
        weight_by_work: random.chance(50),
        response_reuse: if random.chance(20) { ms(1000) } else { Duration::ZERO },
        cores: 1 + random.below(8) as u32,
        memory_kb: 200.0 + random.below(5000) as f64,
        running_memory_factor: 1.0 + random.below(16) as f64,
        key_memory_kb: random.below(40) as f64,
        cold: random.chance(40),
        cold_speed: 0.2,
        warm_up_time: ms(9000),
        sends_deadline: random.chance(50),
        max_concurrency_per_core: 2.0 + random.below(7) as f64,
        retry_after: random.chance(70),
        servers: 1 + random.below(12) as u32,
        callers: random.below(6) as u32,
        ..Settings::default()
    }
}

impl ServerModel {
    fn new(seed: u64) -> Self {
        let mut random = SeededRandom(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        for _ in 0..8 {
            random.next();
        }
        let settings = settings(&mut random);
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
                busy: (!seed.is_multiple_of(2)).then_some(0.8),
                runnable: (!seed.is_multiple_of(5)).then_some(3.0),
            },
            concurrency: 0.0,
            concurrency_span: ms(1500 + 500 * (seed % 4)),
            calls: 0.0,
            lingering: Vec::new(),
        }
    }

    fn class(&self, id: RequestId) -> &Class {
        &self.settings.classes[self.attempts[&id].class]
    }

    /// Adds an arrival of a random class, which may be a retry.
    fn arrive(&mut self) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let class = self.random.below(self.settings.classes.len() as u64) as usize;
        let keyed = self.settings.classes[class].effect == Effect::IdempotencyKey;
        let mut effect = self.next_id;
        if keyed && self.random.chance(50) {
            let same = self
                .attempts
                .values()
                .filter(|attempt| attempt.class == class)
                .map(|attempt| attempt.effect)
                .next_back();
            effect = same.unwrap_or(effect);
        }
        let age = self.random.below(40) * 1000;
        let arrived = self.now - age;
        let repeats = if keyed { self.known_attempt(effect, arrived) } else { None };
        let deadline = self.settings.classes[class].deadline.as_micros() as u64;
        let time_left = 200_000 + self.random.below(deadline);
        let deadline = if self.settings.sends_deadline { self.now + time_left } else { arrived + deadline };
        let memory_kb = 1.0 + self.random.below(30) as f64;
        self.attempts.insert(
            id,
            Attempt {
                class,
                effect,
                memory_kb,
                arrived,
                deadline: deadline.max(self.now),
                state: State::Queued,
                answers: 0,
                ever_run: false,
                cancelled: false,
                retry_of: repeats,
                call_may_have_run: false,
                ends_at: 0,
                calls_left: self.random.below(3) as u32,
                started_at: 0,
            },
        );
        self.events.push(Event::Arrived(Arrival {
            repeats,
            tenant: TenantId(self.random.below(3) as u16),
            cost_hint: (self.random.chance(50) && self.sends_hints).then(|| ms(1 + self.random.below(500))),
            memory_kb,
            age: Duration::from_micros(age),
            rank: self.random.below(100) as f64 / 100.0,
            time_left: Some(Duration::from_micros(time_left)),
            ..Arrival::new(id, ClassId(class as u16))
        }));
    }

    /// The attempt that a retry with an idempotency key names: that of the retained key, or one of the same batch.
    fn known_attempt(&self, effect: u32, arrived: u64) -> Option<RequestId> {
        if let Some((id, until)) = self.retained_keys.get(&effect) {
            if *until > arrived {
                return Some(*id);
            }
        }
        let batch = self.events.iter().rev().find_map(|e| match e {
            Event::Arrived(a) if self.attempts[&a.id].effect == effect => Some(a.id),
            _ => None,
        });
        let ran = self.attempts.iter().filter(|(_, attempt)| attempt.effect == effect && attempt.ever_run);
        let window = |attempt: &Attempt| self.settings.classes[attempt.class].window.as_micros() as u64;
        let ran = ran
            .filter(|(_, attempt)| arrived <= attempt.arrived + window(attempt))
            .map(|(id, _)| *id)
            .next_back();
        batch.or(ran)
    }

    /// Advances running requests and calls to the current time; nothing finishes while `stalled`.
    fn advance_running(&mut self, stalled: bool) {
        let ids: Vec<_> = self.attempts.keys().copied().collect();
        for id in ids {
            let percent = self.random.below(100);
            let now = self.now;
            let answered_or_cancelled = |attempt: &Attempt| attempt.answers > 0 || attempt.cancelled;
            let Some(attempt) = self.attempts.get_mut(&id) else { continue };
            let took = Duration::from_micros(now.saturating_sub(attempt.started_at));
            match attempt.state {
                State::Running if stalled || now < attempt.ends_at => {}
                State::Running if attempt.calls_left > 0 && self.settings.classes[attempt.class].calls => {
                    attempt.calls_left -= 1;
                    if answered_or_cancelled(attempt) {
                        attempt.state = State::Ended;
                        self.events.push(Event::Finished { id, outcome: Outcome::Cancelled, took });
                    } else {
                        attempt.state = State::AwaitingCall;
                        self.events.push(Event::CallNeeded(id));
                    }
                }
                State::Running => {
                    let outcome = if percent < 5 { Outcome::Error } else { Outcome::Ok };
                    attempt.answers += u32::from(!answered_or_cancelled(attempt));
                    attempt.state = State::Ended;
                    self.events.push(Event::Finished { id, outcome, took });
                }
                State::Calling if percent < 8 => {
                    let outcome = match self.random.below(8) {
                        0 => Outcome::Error,
                        1 => Outcome::Rejected,
                        2 => Outcome::TimedOut,
                        3 => Outcome::Unreachable,
                        4 => Outcome::CutOff,
                        _ => Outcome::Ok,
                    };
                    if outcome == Outcome::Ok {
                        attempt.state = State::Running;
                        attempt.ends_at = now + 50_000;
                    } else {
                        attempt.state = State::AwaitingCall;
                        attempt.call_may_have_run |=
                            matches!(outcome, Outcome::Error | Outcome::TimedOut | Outcome::CutOff);
                        if outcome == Outcome::TimedOut {
                            self.lingering.push(now + LINGER_MICROS);
                        }
                    }
                    self.events.push(Event::CallReturned { id, outcome, took });
                }
                State::Coalesced => {
                    let retry_of = self.attempts[&id].retry_of.expect("a coalesced attempt is a retry");
                    if self.attempts.get(&retry_of).is_none_or(|p| p.state == State::Ended) {
                        let attempt = self.attempts.get_mut(&id).expect("present");
                        attempt.answers += 1;
                        attempt.state = State::Ended;
                        self.events.push(Event::Finished { id, outcome: Outcome::Ok, took });
                    }
                }
                _ => {}
            }
            if self.random.below(2000) == 0 {
                self.cancel(id);
            }
        }
    }

    fn cancel(&mut self, id: RequestId) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        if attempt.state == State::Ended || attempt.cancelled {
            return;
        }
        attempt.cancelled = true;
        self.events.push(Event::Cancelled(id));
        match attempt.state {
            State::Queued | State::Paused | State::Coalesced => attempt.state = State::Ended,
            State::AwaitingCall | State::Calling => self.end_waiting_for_call(id),
            _ => {}
        }
    }

    fn end_waiting_for_call(&mut self, id: RequestId) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        if attempt.state == State::Calling {
            self.lingering.push(self.now + LINGER_MICROS);
        }
        attempt.state = State::Ended;
        self.events.push(Event::Finished { id, outcome: Outcome::Cancelled, took: Duration::ZERO });
    }

    /// Carries out an action and checks that it is allowed. Failed attempts are added to `failed`.
    fn apply(&mut self, action: &Action, failed: &mut Vec<RequestId>) {
        match *action {
            Action::Run(id) => self.run(id),
            Action::Reject { id, .. } => self.reject(id),
            Action::Fail(id) => {
                self.answer(id);
                failed.push(id);
            }
            Action::Coalesce(id) => {
                let attempt = self.attempts.get_mut(&id).expect("known");
                assert!(attempt.retry_of.is_some(), "coalesced an attempt that is no retry");
                if attempt.state == State::Queued {
                    attempt.state = State::Coalesced;
                }
            }
            Action::RetainKey(id, duration) => {
                let effect = self.attempts[&id].effect;
                if self.class(id).effect == Effect::IdempotencyKey {
                    self.retained_keys.insert(effect, (id, self.now + duration.as_micros() as u64));
                }
            }
            Action::ReleaseKey(id) => self.retained_keys.retain(|_, entry| entry.0 != id),
            Action::Call(id, _) => {
                let class = self.class(id).effect;
                let attempt = self.attempts.get_mut(&id).expect("known");
                if attempt.state == State::AwaitingCall {
                    assert!(
                        !attempt.call_may_have_run || class == Effect::Idempotent,
                        "retried a call that may have run"
                    );
                    attempt.state = State::Calling;
                }
            }
            Action::SkipCall(id) => {
                assert!(self.class(id).skip_weight > 0.0);
                let ends_at = self.now + 50_000;
                let attempt = self.attempts.get_mut(&id).expect("known");
                if attempt.state == State::AwaitingCall {
                    attempt.state = State::Running;
                    attempt.ends_at = ends_at;
                }
            }
            Action::Pause(id) => {
                assert_ne!(self.settings.preemption, Preemption::Off);
                let drop_work = self.settings.preemption == Preemption::Drop;
                let attempt = self.attempts.get_mut(&id).expect("known");
                if attempt.state == State::Running {
                    let answered_or_cancelled = attempt.answers > 0 || attempt.cancelled;
                    attempt.state = match (answered_or_cancelled, drop_work) {
                        (true, _) => State::Ended,
                        (false, true) => State::Queued,
                        (false, false) => State::Paused,
                    };
                    let took = Duration::ZERO;
                    self.events.push(Event::Finished { id, outcome: Outcome::Cancelled, took });
                }
            }
            Action::SetTimer(timer, span) => self.timers.push((self.now + span.as_micros() as u64, timer)),
            Action::Advertise(value) => {
                assert_ne!(self.settings.signal, Signal::Off);
                assert!(value.is_finite() && value >= 0.0);
            }
            Action::SetHealth { .. } | Action::IdleLimit(_) => {}
        }
    }

    fn run(&mut self, id: RequestId) {
        let now = self.now;
        let class = self.class(id).clone();
        let attempt = &self.attempts[&id];
        if attempt.state == State::Ended {
            self.events.push(Event::Finished { id, outcome: Outcome::Skipped, took: Duration::ZERO });
            return;
        }
        if !matches!(attempt.state, State::Queued | State::Paused) {
            return;
        }
        if let (State::Queued, Some((drain_notice, _))) = (attempt.state, self.drain_notice) {
            let grace = self.settings.drain_grace.as_micros() as u64;
            assert!(attempt.arrived <= drain_notice + grace, "ran an arrival after the grace period");
        }
        if attempt.state == State::Queued && class.effect != Effect::Idempotent {
            assert!(!attempt.ever_run, "ran an effect again after preemption");
        }
        if class.effect == Effect::IdempotencyKey && attempt.state == State::Queued {
            let window = class.window.as_micros() as u64;
            let ran_before = self.attempts.iter().any(|(other, other_attempt)| {
                *other != id
                    && other_attempt.effect == attempt.effect
                    && other_attempt.ever_run
                    && attempt.arrived <= other_attempt.arrived + window
            });
            assert!(!ran_before, "one effect ran twice");
        }
        let length = 20_000 + self.random.below(600_000);
        let attempt = self.attempts.get_mut(&id).expect("known");
        attempt.state = State::Running;
        attempt.ever_run = true;
        attempt.started_at = now;
        attempt.ends_at = now + length;
    }

    fn reject(&mut self, id: RequestId) {
        let repeatable = self.class(id).effect == Effect::Idempotent;
        assert!(repeatable || !self.attempts[&id].ever_run, "rejected an attempt that had run");
        self.answer(id);
        let attempt = self.attempts.get_mut(&id).expect("known");
        if matches!(attempt.state, State::Queued | State::Coalesced) {
            attempt.state = State::Ended;
        }
    }

    fn answer(&mut self, id: RequestId) {
        let attempt = self.attempts.get_mut(&id).expect("known");
        if !attempt.cancelled && attempt.state != State::Ended {
            attempt.answers += 1;
            assert_eq!(attempt.answers, 1, "answered twice");
        }
    }

    /// Ends the attempts that were failed while they were not running.
    fn end_failed(&mut self, failed: Vec<RequestId>) {
        for id in failed {
            match self.attempts[&id].state {
                State::Queued | State::Paused | State::Coalesced => {
                    self.attempts.get_mut(&id).expect("known").state = State::Ended;
                }
                State::AwaitingCall | State::Calling => self.end_waiting_for_call(id),
                _ => {}
            }
        }
    }

    /// Checks deadlines, memory, concurrency and calls after `step` seconds.
    fn check_invariants(&mut self, step: f64) {
        let factor = self.settings.running_memory_factor;
        let mut memory = self.retained_keys.values().filter(|e| e.1 > self.now).count() as f64
            * self.settings.key_memory_kb;
        let (mut running, mut calling) = (0.0, 0.0);
        for (id, attempt) in &self.attempts {
            match attempt.state {
                State::Ended => {}
                State::Queued | State::Coalesced => memory += attempt.memory_kb,
                _ => memory += attempt.memory_kb * factor,
            }
            running += f64::from(u8::from(attempt.state == State::Running));
            calling += f64::from(u8::from(attempt.state == State::Calling));
            let unanswered = attempt.answers == 0 && !attempt.cancelled;
            assert!(
                !unanswered || self.now <= attempt.deadline + ANSWER_SLACK_MICROS,
                "{id:?} lost in state {:?}",
                attempt.state
            );
        }
        assert!(memory <= self.settings.memory_kb, "memory {memory} of {}", self.settings.memory_kb);
        let now = self.now;
        self.lingering.retain(|until| *until > now);
        calling += self.lingering.len() as f64;
        let settings = &self.settings;
        let fade = |span: Duration| (-step / span.as_secs_f64()).exp();
        let decay = fade(self.concurrency_span);
        self.concurrency = self.concurrency * decay + running * (1.0 - decay);
        let warm_up_fraction = if settings.cold {
            let part = (self.now - START_MICROS) as f64 / settings.warm_up_time.as_micros() as f64;
            (settings.cold_speed + (1.0 - settings.cold_speed) * part).min(1.0)
        } else {
            1.0
        };
        let survivable =
            f64::from(settings.cores) * (1.0 + (settings.max_concurrency_per_core - 1.0) * warm_up_fraction);
        assert!(self.concurrency <= survivable, "concurrency {} over {survivable}", self.concurrency);
        if let Dependency::Shared { share, span, .. } = settings.dependency {
            let decay = fade(span);
            self.calls = self.calls * decay + calling * (1.0 - decay);
            assert!(self.calls <= share, "{} calls of {share}", self.calls);
        }
    }

    fn collect_timers(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.timers.iter().filter(|(at, _)| *at <= now).map(|(_, timer)| *timer).collect();
        self.timers.retain(|(at, _)| *at > now);
        let gauges = self.gauges;
        self.events.extend(due.into_iter().map(|timer| Event::Timer(timer, gauges)));
    }

    /// Runs 12 seconds of virtual time, in most scenarios with a drain at the end.
    fn run_scenario(&mut self) {
        let mut admission = Admission::new(self.settings.clone(), 5, Duration::from_micros(self.now));
        let mut actions = Vec::new();
        let (stop, drains) = (13_000_000, self.random.chance(60));
        // Some drains have hardly any time left.
        let drain_notice = 9_000_000 + self.random.below(2) * self.random.below(3_950_000);
        let suspended_at = 9_000_000 + self.random.below(3_000_000);
        let mut suspends = self.random.chance(30);
        let stalls_at = 2_000_000 + self.random.below(6_000_000);
        let arrival_percent = 2 + self.random.below(25);
        loop {
            actions.clear();
            let events = std::mem::take(&mut self.events);
            admission.handle(Duration::from_micros(self.now), &events, &mut actions);
            let mut failed = Vec::new();
            for action in &actions {
                self.apply(action, &mut failed);
            }
            self.end_failed(failed);
            let mut step = STEP_MICROS * (1 + self.random.below(8));
            if suspends && self.now > suspended_at {
                // The process is suspended and not blamed for deadlines that pass meanwhile.
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
            assert!(unanswered <= 2, "{unanswered} requests unanswered at the stop");
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
