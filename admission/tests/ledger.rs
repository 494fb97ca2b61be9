//! Random legal event sequences against an independent ledger of the four rules. The ledger plays
//! the server: it keeps the truth about every request and never looks inside the module.

use std::collections::BTreeMap;
use std::time::Duration;

use oakwind_admission::*;

struct Dice(u64);

impl Dice {
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

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum State {
    Held,
    Running,
    Stalled,
    Calling,
    Paused,
    Joining,
    Over,
}

struct Try {
    class: usize,
    effect: u32,
    memory_kb: f64,
    arrived: u64,
    deadline: u64,
    state: State,
    answers: u32,
    ever_run: bool,
    gone: bool,
    prior: Option<RequestId>,
    call_may_have_run: bool,
    ends_at: u64,
    calls_left: u32,
    started_at: u64,
}

/// What the server does while the module decides.
struct Ledger {
    settings: Settings,
    dice: Dice,
    now: u64,
    next_id: u32,
    tries: BTreeMap<RequestId, Try>,
    /// Effect number: the try whose entry stands for it, and until when.
    table: BTreeMap<u32, (RequestId, u64)>,
    events: Vec<Event>,
    timers: Vec<(u64, TimerId)>,
    notice: Option<(u64, u64)>,
    /// What arrivals and timers tell on this day.
    hints: bool,
    gauges: Gauges,
    crowd: f64,
    /// The mean of the crowd is taken over this.
    crowd_span: Duration,
    calls: f64,
    lingering: Vec<u64>,
}

const TICK: u64 = 2_000;
/// How long after it is due an answer still counts, in microseconds.
const SLACK: u64 = 50_000;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn settings(dice: &mut Dice) -> Settings {
    let effects = [Effect::Idempotent, Effect::IdempotencyKey, Effect::AtMostOnce];
    // Half of the days have deadlines of any length from half a second to a minute.
    let wide = dice.chance(50);
    let class = |dice: &mut Dice| Class {
        latency_objective: if wide {
            ms(100) * 200_f64.powf(dice.below(100) as f64 / 100.0) as u32
        } else {
            ms(300 + dice.below(2000))
        },
        deadline: if wide {
            ms(500) * 120_f64.powf(dice.below(101) as f64 / 100.0) as u32
        } else {
            ms(1500 + dice.below(4000))
        },
        effect: effects[dice.below(3) as usize],
        window: ms(500 + dice.below(6000)),
        weight: 1.0 + dice.below(5) as f64,
        late_weight: if dice.chance(50) { 0.2 } else { 0.0 },
        calls: dice.chance(50),
        skip_weight: if dice.chance(30) { 0.5 } else { 0.0 },
        ..Class::default()
    };
    let classes = (0..=dice.below(4)).map(|_| class(dice)).collect();
    let dependency = match dice.below(3) {
        0 => Dependency::Off,
        1 => Dependency::Tier,
        _ => {
            Dependency::Shared { share: 0.3 + dice.below(60) as f64 / 10.0, span: ms(5000), linger: ms(200) }
        }
    };
    let pick = dice.below(3) as usize;
    Settings {
        classes,
        dependency,
        preemption: [Preemption::Off, Preemption::Drop, Preemption::Pause][pick],
        signal: [Signal::Off, Signal::Level, Signal::Credit, Signal::Weight][dice.below(4) as usize],
        tenant_quotas: if dice.chance(50) { vec![3.0, 9.0] } else { Vec::new() },
        over_quota_weight: 0.1,
        weight_by_work: dice.chance(50),
        response_reuse: if dice.chance(20) { ms(1000) } else { Duration::ZERO },
        cores: 1 + dice.below(8) as u32,
        memory_kb: 200.0 + dice.below(5000) as f64,
        running_memory_factor: 1.0 + dice.below(16) as f64,
        key_memory_kb: dice.below(40) as f64,
        cold: dice.chance(40),
        cold_speed: 0.2,
        warm_up_time: ms(9000),
        sends_deadline: dice.chance(50),
        max_concurrency_per_core: 2.0 + dice.below(7) as f64,
        retry_after: dice.chance(70),
        servers: 1 + dice.below(12) as u32,
        callers: dice.below(6) as u32,
        ..Settings::default()
    }
}

impl Ledger {
    fn new(seed: u64) -> Self {
        let mut dice = Dice(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1);
        for _ in 0..8 {
            dice.next();
        }
        let settings = settings(&mut dice);
        Ledger {
            settings,
            dice,
            now: 1_000_000,
            next_id: 1,
            tries: BTreeMap::new(),
            table: BTreeMap::new(),
            events: Vec::new(),
            timers: Vec::new(),
            notice: None,
            hints: !seed.is_multiple_of(3),
            gauges: Gauges {
                busy: (!seed.is_multiple_of(2)).then_some(0.8),
                runnable: (!seed.is_multiple_of(5)).then_some(3.0),
            },
            crowd: 0.0,
            crowd_span: ms(1500 + 500 * (seed % 4)),
            calls: 0.0,
            lingering: Vec::new(),
        }
    }

    fn class(&self, id: RequestId) -> &Class {
        &self.settings.classes[self.tries[&id].class]
    }

    fn arrive(&mut self) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let class = self.dice.below(self.settings.classes.len() as u64) as usize;
        let keyed = self.settings.classes[class].effect == Effect::IdempotencyKey;
        let mut effect = self.next_id;
        if keyed && self.dice.chance(50) {
            let same = self.tries.values().filter(|t| t.class == class).map(|t| t.effect).next_back();
            effect = same.unwrap_or(effect);
        }
        let age = self.dice.below(40) * 1000;
        let arrived = self.now - age;
        let repeats = if keyed { self.known_try(effect, arrived) } else { None };
        let deadline = self.settings.classes[class].deadline.as_micros() as u64;
        let time_left = 200_000 + self.dice.below(deadline);
        let deadline = if self.settings.sends_deadline { self.now + time_left } else { arrived + deadline };
        let memory_kb = 1.0 + self.dice.below(30) as f64;
        self.tries.insert(
            id,
            Try {
                class,
                effect,
                memory_kb,
                arrived,
                deadline: deadline.max(self.now),
                state: State::Held,
                answers: 0,
                ever_run: false,
                gone: false,
                prior: repeats,
                call_may_have_run: false,
                ends_at: 0,
                calls_left: self.dice.below(3) as u32,
                started_at: 0,
            },
        );
        self.events.push(Event::Arrived(Arrival {
            repeats,
            tenant: TenantId(self.dice.below(3) as u16),
            cost_hint: (self.dice.chance(50) && self.hints).then(|| ms(1 + self.dice.below(500))),
            memory_kb,
            age: Duration::from_micros(age),
            rank: self.dice.below(100) as f64 / 100.0,
            time_left: Some(Duration::from_micros(time_left)),
            ..Arrival::new(id, ClassId(class as u16))
        }));
    }

    /// The try that a keyed repeat names: the entry's, or one of the same batch.
    fn known_try(&self, effect: u32, arrived: u64) -> Option<RequestId> {
        if let Some((id, until)) = self.table.get(&effect) {
            if *until > arrived {
                return Some(*id);
            }
        }
        let batch = self.events.iter().rev().find_map(|e| match e {
            Event::Arrived(a) if self.tries[&a.id].effect == effect => Some(a.id),
            _ => None,
        });
        let ran = self.tries.iter().filter(|(_, t)| t.effect == effect && t.ever_run);
        let window = |t: &Try| self.settings.classes[t.class].window.as_micros() as u64;
        let ran = ran.filter(|(_, t)| arrived <= t.arrived + window(t)).map(|(id, _)| *id).next_back();
        batch.or(ran)
    }

    /// Lets time pass for what runs and calls.
    fn progress(&mut self, hung: bool) {
        let ids: Vec<_> = self.tries.keys().copied().collect();
        for id in ids {
            let roll = self.dice.below(100);
            let now = self.now;
            let over = |t: &Try| t.answers > 0 || t.gone;
            let Some(t) = self.tries.get_mut(&id) else { continue };
            let took = Duration::from_micros(now.saturating_sub(t.started_at));
            match t.state {
                State::Running if hung || now < t.ends_at => {}
                State::Running if t.calls_left > 0 && self.settings.classes[t.class].calls => {
                    t.calls_left -= 1;
                    if over(t) {
                        t.state = State::Over;
                        self.events.push(Event::Finished { id, outcome: Outcome::Cancelled, took });
                    } else {
                        t.state = State::Stalled;
                        self.events.push(Event::CallNeeded(id));
                    }
                }
                State::Running => {
                    let outcome = if roll < 5 { Outcome::Error } else { Outcome::Ok };
                    t.answers += u32::from(!over(t));
                    t.state = State::Over;
                    self.events.push(Event::Finished { id, outcome, took });
                }
                State::Calling if roll < 8 => {
                    let outcome = match self.dice.below(8) {
                        0 => Outcome::Error,
                        1 => Outcome::Rejected,
                        2 => Outcome::TimedOut,
                        3 => Outcome::Unreachable,
                        4 => Outcome::CutOff,
                        _ => Outcome::Ok,
                    };
                    if outcome == Outcome::Ok {
                        t.state = State::Running;
                        t.ends_at = now + 50_000;
                    } else {
                        t.state = State::Stalled;
                        t.call_may_have_run |=
                            matches!(outcome, Outcome::Error | Outcome::TimedOut | Outcome::CutOff);
                        if outcome == Outcome::TimedOut {
                            self.lingering.push(now + 200_000);
                        }
                    }
                    self.events.push(Event::CallReturned { id, outcome, took });
                }
                State::Joining => {
                    let prior = self.tries[&id].prior.expect("a join repeats something");
                    if self.tries.get(&prior).is_none_or(|p| p.state == State::Over) {
                        let t = self.tries.get_mut(&id).expect("present");
                        t.answers += 1;
                        t.state = State::Over;
                        self.events.push(Event::Finished { id, outcome: Outcome::Ok, took });
                    }
                }
                _ => {}
            }
            if self.dice.below(2000) == 0 {
                self.abandon(id);
            }
        }
    }

    fn abandon(&mut self, id: RequestId) {
        let Some(t) = self.tries.get_mut(&id) else { return };
        if t.state == State::Over || t.gone {
            return;
        }
        t.gone = true;
        self.events.push(Event::Cancelled(id));
        match t.state {
            State::Held | State::Paused | State::Joining => t.state = State::Over,
            State::Stalled | State::Calling => self.end_at_call(id),
            _ => {}
        }
    }

    fn end_at_call(&mut self, id: RequestId) {
        let Some(t) = self.tries.get_mut(&id) else { return };
        if t.state == State::Calling {
            self.lingering.push(self.now + 200_000);
        }
        t.state = State::Over;
        self.events.push(Event::Finished { id, outcome: Outcome::Cancelled, took: Duration::ZERO });
    }

    fn obey(&mut self, action: &Action, later: &mut Vec<RequestId>) {
        match *action {
            Action::Run(id) => self.run(id),
            Action::Reject { id, .. } => self.refuse(id),
            Action::Fail(id) => {
                self.answer(id);
                later.push(id);
            }
            Action::Coalesce(id) => {
                let t = self.tries.get_mut(&id).expect("known");
                assert!(t.prior.is_some(), "joined what repeats nothing");
                if t.state == State::Held {
                    t.state = State::Joining;
                }
            }
            Action::RetainKey(id, keep) => {
                let effect = self.tries[&id].effect;
                if self.class(id).effect == Effect::IdempotencyKey {
                    self.table.insert(effect, (id, self.now + keep.as_micros() as u64));
                }
            }
            Action::ReleaseKey(id) => self.table.retain(|_, entry| entry.0 != id),
            Action::Call(id, _) => {
                let class = self.class(id).effect;
                let t = self.tries.get_mut(&id).expect("known");
                if t.state == State::Stalled {
                    assert!(
                        !t.call_may_have_run || class == Effect::Idempotent,
                        "repeated a call that may have run"
                    );
                    t.state = State::Calling;
                }
            }
            Action::SkipCall(id) => {
                assert!(self.class(id).skip_weight > 0.0);
                let ends_at = self.now + 50_000;
                let t = self.tries.get_mut(&id).expect("known");
                if t.state == State::Stalled {
                    t.state = State::Running;
                    t.ends_at = ends_at;
                }
            }
            Action::Pause(id) => {
                assert_ne!(self.settings.preemption, Preemption::Off);
                let drop_work = self.settings.preemption == Preemption::Drop;
                let t = self.tries.get_mut(&id).expect("known");
                if t.state == State::Running {
                    let over = t.answers > 0 || t.gone;
                    t.state = match (over, drop_work) {
                        (true, _) => State::Over,
                        (false, true) => State::Held,
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
        let t = &self.tries[&id];
        if t.state == State::Over {
            self.events.push(Event::Finished { id, outcome: Outcome::Skipped, took: Duration::ZERO });
            return;
        }
        if !matches!(t.state, State::Held | State::Paused) {
            return;
        }
        if let (State::Held, Some((notice, _))) = (t.state, self.notice) {
            let grace = self.settings.drain_grace.as_micros() as u64;
            assert!(t.arrived <= notice + grace, "ran what arrived after the grace");
        }
        if t.state == State::Held && class.effect != Effect::Idempotent {
            assert!(!t.ever_run, "ran an effect again after a drop");
        }
        if class.effect == Effect::IdempotencyKey && t.state == State::Held {
            let window = class.window.as_micros() as u64;
            let twice = self.tries.iter().any(|(other, o)| {
                *other != id && o.effect == t.effect && o.ever_run && t.arrived <= o.arrived + window
            });
            assert!(!twice, "one effect ran twice");
        }
        let length = 20_000 + self.dice.below(600_000);
        let t = self.tries.get_mut(&id).expect("known");
        t.state = State::Running;
        t.ever_run = true;
        t.started_at = now;
        t.ends_at = now + length;
    }

    fn refuse(&mut self, id: RequestId) {
        let repeatable = self.class(id).effect == Effect::Idempotent;
        assert!(repeatable || !self.tries[&id].ever_run, "refused what had run");
        self.answer(id);
        let t = self.tries.get_mut(&id).expect("known");
        if matches!(t.state, State::Held | State::Joining) {
            t.state = State::Over;
        }
    }

    fn answer(&mut self, id: RequestId) {
        let t = self.tries.get_mut(&id).expect("known");
        if !t.gone && t.state != State::Over {
            t.answers += 1;
            assert_eq!(t.answers, 1, "answered twice");
        }
    }

    fn settle(&mut self, failed: Vec<RequestId>) {
        for id in failed {
            match self.tries[&id].state {
                State::Held | State::Paused | State::Joining => {
                    self.tries.get_mut(&id).expect("known").state = State::Over;
                }
                State::Stalled | State::Calling => self.end_at_call(id),
                _ => {}
            }
        }
    }

    fn check(&mut self, step: f64) {
        let factor = self.settings.running_memory_factor;
        let mut memory =
            self.table.values().filter(|e| e.1 > self.now).count() as f64 * self.settings.key_memory_kb;
        let (mut running, mut calling) = (0.0, 0.0);
        for (id, t) in &self.tries {
            match t.state {
                State::Over => {}
                State::Held | State::Joining => memory += t.memory_kb,
                _ => memory += t.memory_kb * factor,
            }
            running += f64::from(u8::from(t.state == State::Running));
            calling += f64::from(u8::from(t.state == State::Calling));
            let owed = t.answers == 0 && !t.gone;
            assert!(!owed || self.now <= t.deadline + SLACK, "{id:?} lost in state {:?}", t.state);
        }
        assert!(memory <= self.settings.memory_kb, "memory {memory} of {}", self.settings.memory_kb);
        let now = self.now;
        self.lingering.retain(|until| *until > now);
        calling += self.lingering.len() as f64;
        let settings = &self.settings;
        let fade = |span: Duration| (-step / span.as_secs_f64()).exp();
        let crowd = fade(self.crowd_span);
        self.crowd = self.crowd * crowd + running * (1.0 - crowd);
        let warmth = if settings.cold {
            let part = (self.now - 1_000_000) as f64 / settings.warm_up_time.as_micros() as f64;
            (settings.cold_speed + (1.0 - settings.cold_speed) * part).min(1.0)
        } else {
            1.0
        };
        let survives = f64::from(settings.cores) * (1.0 + (settings.max_concurrency_per_core - 1.0) * warmth);
        assert!(self.crowd <= survives, "{} on the cores of {survives}", self.crowd);
        if let Dependency::Shared { share, span, .. } = settings.dependency {
            let kept = fade(span);
            self.calls = self.calls * kept + calling * (1.0 - kept);
            assert!(self.calls <= share, "{} calls in hand of {share}", self.calls);
        }
    }

    fn collect_timers(&mut self) {
        let now = self.now;
        let deadline: Vec<_> = self.timers.iter().filter(|t| t.0 <= now).map(|t| t.1).collect();
        self.timers.retain(|t| t.0 > now);
        let gauges = self.gauges;
        self.events.extend(deadline.into_iter().map(|timer| Event::Timer(timer, gauges)));
    }

    fn play(&mut self) {
        let mut admission = Admission::new(self.settings.clone(), 5, Duration::from_micros(self.now));
        let mut actions = Vec::new();
        let (stop, drains) = (13_000_000, self.dice.chance(60));
        // Some drains are left hardly any time.
        let notice = 9_000_000 + self.dice.below(2) * self.dice.below(3_950_000);
        let standstill = 9_000_000 + self.dice.below(3_000_000);
        let mut stands = self.dice.chance(30);
        let hang = 2_000_000 + self.dice.below(6_000_000);
        let busy = 2 + self.dice.below(25);
        loop {
            actions.clear();
            let events = std::mem::take(&mut self.events);
            admission.handle(Duration::from_micros(self.now), &events, &mut actions);
            let mut failed = Vec::new();
            for action in &actions {
                self.obey(action, &mut failed);
            }
            self.settle(failed);
            let mut step = TICK * (1 + self.dice.below(8));
            if stands && self.now > standstill {
                // The process stands still and is not blamed for what was due meanwhile.
                (stands, step) = (false, 400_000);
                self.tries.values_mut().for_each(|t| t.deadline = t.deadline.max(self.now + step));
            }
            self.check(step as f64 / 1e6);
            self.now += step;
            if self.now >= stop {
                break;
            }
            self.progress((hang..hang + 1_500_000).contains(&self.now));
            if drains && self.now > notice && self.notice.is_none() {
                self.notice = Some((self.now, stop));
                self.events.push(Event::Drain(Duration::from_micros(stop - self.now)));
            }
            while self.dice.chance(busy) {
                self.arrive();
            }
            self.collect_timers();
        }
        if self.notice.is_some() {
            let open = self.tries.values().filter(|t| t.answers == 0 && !t.gone).count();
            assert!(open <= 2, "{open} unanswered at the stop");
        }
    }
}

#[test]
fn random_days_keep_the_four_rules() {
    for seed in 1..=400 {
        println!("seed {seed}");
        Ledger::new(seed).play();
    }
}
