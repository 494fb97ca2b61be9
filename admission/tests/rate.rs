//! The permitted rate: seed, cut, rise, half use, penalties, fast failures, two-second steps.

use std::time::Duration;

use oakwind_admission::*;

/// A server on which every request takes the same time, stepped in 50 ms.
struct Bench {
    admission: Admission,
    now: Duration,
    next: u32,
    ends: Vec<(Duration, RequestId, Outcome)>,
    refused: Vec<RequestId>,
    advertised: Option<f64>,
    rates: Vec<(Duration, f64)>,
}

impl Bench {
    fn new(settings: Settings) -> Self {
        Self::seeded(settings, 3)
    }

    fn seeded(settings: Settings, seed: u64) -> Self {
        let now = Duration::from_secs(50);
        let mut admission = Admission::new(settings, seed, now);
        admission.handle(now, &[], &mut Vec::new());
        Bench {
            admission,
            now,
            next: 1,
            ends: Vec::new(),
            refused: Vec::new(),
            advertised: None,
            rates: Vec::new(),
        }
    }

    fn step(&mut self, arrivals: u32, takes: u64, outcome: Outcome) {
        self.feed(&vec![0.5; arrivals as usize], takes, outcome);
    }

    /// One step with an arrival of each rank.
    fn feed(&mut self, ranks: &[f64], takes: u64, outcome: Outcome) {
        self.now += Duration::from_millis(50);
        let mut events = Vec::new();
        let now = self.now;
        let took = Duration::from_millis(takes);
        for (_, id, outcome) in self.ends.iter().filter(|e| e.0 <= now) {
            events.push(Event::Finished { id: *id, outcome: *outcome, took });
        }
        self.ends.retain(|e| e.0 > now);
        for &rank in ranks {
            events.push(Event::Arrived(Arrival { rank, ..Arrival::new(RequestId(self.next), ClassId(0)) }));
            self.next += 1;
        }
        events.push(Event::Timer(TimerId(0), Gauges::default()));
        let mut actions = Vec::new();
        self.admission.handle(now, &events, &mut actions);
        for action in actions {
            match action {
                Action::Run(id) => self.ends.push((now + took, id, outcome)),
                Action::Reject { id, .. } => self.refused.push(id),
                Action::Advertise(value) => self.advertised = Some(value),
                _ => {}
            }
        }
        let rate = self.rate();
        if self.rates.last().is_none_or(|last| last.1 != rate) {
            self.rates.push((now, rate));
        }
    }

    /// `arrivals` in each of `steps` steps, each taking `takes` milliseconds.
    fn run(&mut self, steps: u32, arrivals: u32, takes: u64) {
        (0..steps).for_each(|_| self.step(arrivals, takes, Outcome::Ok));
    }

    fn rate(&self) -> f64 {
        self.admission.permitted_rate().unwrap_or(0.0)
    }
}

fn settings() -> Settings {
    Settings { cores: 4, signal: Signal::Level, ..Settings::default() }
}

#[test]
fn the_first_window_seeds_the_rate_and_nothing_is_refused_before() {
    let mut bench = Bench::new(settings());
    bench.run(39, 1, 100);
    assert_eq!(bench.admission.permitted_rate(), None);
    assert!(bench.refused.is_empty());
    bench.run(2, 1, 100);
    assert!((15.0..25.0).contains(&bench.rate()), "seeded at {}", bench.rate());
}

#[test]
fn it_rises_when_half_used_and_not_below() {
    let mut bench = Bench::new(settings());
    bench.run(80, 1, 100);
    let before = bench.rate();
    bench.run(80, 1, 100);
    assert!(bench.rate() > before);
    let high = bench.rate();
    for _ in 0..40 {
        bench.run(1, 1, 100);
        bench.run(7, 0, 100);
    }
    assert!(bench.rate() <= high * 1.2, "one window may still count, no more");
    let quiet = bench.rate();
    for _ in 0..40 {
        bench.run(1, 1, 100);
        bench.run(7, 0, 100);
    }
    assert_eq!(bench.rate(), quiet);
}

#[test]
fn it_changes_at_most_every_two_seconds() {
    let mut bench = Bench::new(settings());
    bench.run(200, 1, 100);
    bench.run(200, 6, 300);
    let gaps = bench.rates.windows(2).map(|pair| pair[1].0.checked_sub(pair[0].0).unwrap());
    assert!(bench.rates.len() > 4);
    assert!(gaps.skip(1).all(|gap| gap >= Duration::from_millis(1999)));
}

#[test]
fn latency_above_target_cuts_it_and_overload_is_refused_early() {
    let mut bench = Bench::new(settings());
    bench.run(100, 1, 100);
    let before = bench.rate();
    bench.run(200, 4, 400);
    assert!(bench.rate() < before.min(11.5), "4 cores do 10 a second, not {}", bench.rate());
    assert!(bench.refused.len() > 200);
    assert!(bench.advertised.is_some_and(|level| level > 0.0));
}

#[test]
fn a_cut_rate_and_a_raised_level_recover_in_little_traffic() {
    let mut bench = Bench::new(settings());
    bench.run(100, 1, 100);
    bench.run(200, 4, 400);
    let refused = bench.refused.len();
    let low = bench.rate();
    bench.run(60, 0, 100);
    for _ in 0..60 {
        bench.run(1, 1, 100);
        bench.run(3, 0, 100);
    }
    assert_eq!(bench.refused.len(), refused, "little traffic is never refused afterwards");
    assert_eq!(bench.advertised, Some(0.0));
    bench.run(200, 1, 100);
    assert!(bench.rate() > low);
}

#[test]
fn fast_failures_neither_seed_nor_raise_it() {
    let mut bench = Bench::new(settings());
    (0..200).for_each(|_| bench.step(1, 5, Outcome::Error));
    assert_eq!(bench.admission.permitted_rate(), None);
    bench.run(80, 1, 100);
    let seeded = bench.rate();
    (0..40).for_each(|_| bench.step(0, 5, Outcome::Error));
    let settled = bench.rate();
    (0..200).for_each(|_| bench.step(2, 5, Outcome::Error));
    assert!(bench.rate() <= settled && settled >= seeded);
}

#[test]
fn a_penalty_cuts_it_whatever_the_latency() {
    let class = Class { calls: true, ..Class::default() };
    let mut bench = Bench::new(Settings { classes: vec![class], dependency: Dependency::Tier, ..settings() });
    bench.run(120, 1, 100);
    let before = bench.rate();
    bench.run(1, 1, 100);
    let (_, id, _) = bench.ends.pop().expect("one runs");
    let mut actions = Vec::new();
    bench.admission.handle(bench.now, &[Event::CallNeeded(id)], &mut actions);
    assert!(actions.iter().any(|a| matches!(a, Action::Call(..))));
    let took = Duration::from_millis(1);
    let refused = Event::CallReturned { id, outcome: Outcome::Rejected, took };
    bench.admission.handle(bench.now, &[refused], &mut actions);
    bench.run(41, 1, 100);
    assert!(bench.rate() < before, "{} is not below {before}", bench.rate());
}

#[test]
fn work_that_never_ends_presses_too() {
    let mut bench = Bench::new(settings());
    bench.run(100, 1, 100);
    bench.run(60, 2, 1_000_000);
    assert!(bench.refused.len() > 40, "only {} refused in a hang", bench.refused.len());
}

/// A server of two cores with an uneven stream of about `per_second` requests a second.
fn small(seconds: u32, per_second: u32, takes: u64) -> Bench {
    let mut bench = Bench::new(Settings { cores: 2, servers: 300, callers: 900, ..settings() });
    uneven(&mut bench, seconds, per_second, takes);
    bench
}

fn uneven(bench: &mut Bench, seconds: u32, per_second: u32, takes: u64) {
    let mut dice = 7u64;
    for _ in 0..seconds * 20 {
        dice = dice.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        bench.run(1, u32::from((dice >> 33) % 20 < u64::from(per_second)), takes);
    }
}

#[test]
fn a_handful_of_requests_is_no_seed() {
    let mut bench = small(4, 2, 200);
    assert_eq!(bench.admission.permitted_rate(), None);
    uneven(&mut bench, 12, 2, 200);
    assert!((1.0..6.0).contains(&bench.rate()), "seeded at {}", bench.rate());
}

#[test]
fn at_a_few_requests_a_second_noise_refuses_nothing() {
    let bench = small(120, 4, 250);
    assert!(bench.refused.is_empty(), "{} refused at half load", bench.refused.len());
    assert!(bench.rate() >= 3.0, "rate {}", bench.rate());
}

#[test]
fn at_a_few_requests_a_second_overload_cuts_it_to_what_the_cores_do_and_no_further() {
    let class = Class {
        latency_objective: Duration::from_secs(2),
        deadline: Duration::from_secs(8),
        ..Class::default()
    };
    let mut bench = Bench::new(Settings { cores: 2, classes: vec![class], ..settings() });
    uneven(&mut bench, 30, 3, 500);
    uneven(&mut bench, 60, 9, 500);
    // Two cores do four a second; what a window of eight happened to handle must not drive it down.
    let low = bench.rate();
    assert!((2.8..6.0).contains(&low), "{low}");
    assert!(bench.refused.len() > 100);
    uneven(&mut bench, 60, 3, 200);
    assert!(bench.rate() >= low, "{} below {low} in little traffic", bench.rate());
}

#[test]
fn runs_longer_than_the_target_unloaded_are_no_lock_in() {
    // The aim is one second, so each run alone is past the target.
    let mut bench = small(120, 3, 500);
    assert!(bench.rate() >= 0.9, "{}", bench.rate());
    let refused = bench.refused.len();
    uneven(&mut bench, 30, 3, 200);
    assert!(bench.rate() > 1.5 && bench.refused.len() < refused + 20, "{}", bench.rate());
}

#[test]
fn many_servers_that_recover_together_do_not_swing() {
    let class = Class {
        latency_objective: Duration::from_secs(2),
        deadline: Duration::from_secs(6),
        ..Class::default()
    };
    let settings = Settings { cores: 2, servers: 50, classes: vec![class], ..settings() };
    let mut fleet: Vec<Bench> = (1..=50).map(|seed| Bench::seeded(settings.clone(), seed * 77)).collect();
    let mut dice = 11u64;
    let mut draw = || {
        dice = dice.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (dice >> 40) as f64 / (1u64 << 24) as f64
    };
    // Of what was asked for in each second, the part turned away or kept away by the level.
    let mut lost = Vec::new();
    for second in 0..90 {
        // Each server can do eight a second; for half a minute twice that is asked for, then five.
        let chance = if second < 30 { 0.8 } else { 0.25 };
        let (mut asked, mut away) = (0.0, 0.0);
        let refused_before: usize = fleet.iter().map(|b| b.refused.len()).sum();
        for _ in 0..20 {
            for bench in &mut fleet {
                let (asks, rank) = (draw() < chance, draw());
                let wanted: Vec<f64> = asks.then_some(rank).into_iter().collect();
                let level = bench.advertised.unwrap_or(0.0);
                let sent: Vec<f64> = wanted.iter().copied().filter(|rank| *rank >= level).collect();
                asked += wanted.len() as f64;
                away += (wanted.len() - sent.len()) as f64;
                bench.feed(&sent, 250, Outcome::Ok);
            }
        }
        let refused: usize = fleet.iter().map(|b| b.refused.len()).sum();
        lost.push((away + (refused - refused_before) as f64) / asked);
    }
    assert!(lost[20..30].iter().all(|part| (0.3..0.7).contains(part)), "overload: {:?}", &lost[20..30]);
    assert!(lost[50..].iter().all(|part| *part < 0.02), "recovered: {:?}", &lost[50..]);
    let rises = lost[30..50].windows(2).map(|pair| pair[1] - pair[0]).fold(0.0, f64::max);
    assert!(rises < 0.05, "recovering: {:?}", &lost[30..50]);
}

#[test]
fn what_is_dropped_from_the_line_raises_the_level() {
    let mut bench = Bench::new(Settings { cores: 1, ..settings() });
    // Runs of 800 ms are known and the rate is not seeded yet: the line alone turns the rest away.
    bench.run(1, 1, 800);
    bench.run(40, 0, 800);
    bench.run(4, 5, 800);
    assert_eq!(bench.admission.permitted_rate(), None);
    assert!(bench.refused.len() > 10);
    bench.run(10, 0, 800);
    assert!(bench.advertised.is_some_and(|level| level > 0.1), "{:?}", bench.advertised);
}

#[test]
fn a_bucket_of_a_few_tokens_still_lets_the_worthiest_in_first() {
    let worthy = Class { weight: 10.0, ..Class::default() };
    let calls = Class { calls: true, ..Class::default() };
    let mut bench = Bench::new(Settings {
        classes: vec![calls, worthy],
        dependency: Dependency::Tier,
        cores: 2,
        ..Settings::default()
    });
    for _ in 0..24 {
        bench.step(1, 300, Outcome::Ok);
        bench.run(9, 0, 300);
    }
    let mut tell = |events: &[Event]| {
        let mut actions = Vec::new();
        bench.admission.handle(bench.now, events, &mut actions);
        actions
    };
    tell(&[Event::CallReturned { id: RequestId(9), outcome: Outcome::Rejected, took: Duration::ZERO }]);
    let flood: Vec<_> =
        (1000..1030).map(|id| Event::Arrived(Arrival::new(RequestId(id), ClassId(0)))).collect();
    let refused = |actions: &[Action]| actions.iter().filter(|a| matches!(a, Action::Reject { .. })).count();
    assert!(refused(&tell(&flood)) >= 25, "the bucket is empty");
    let worthiest = [2000, 2001, 2002].map(|id| Event::Arrived(Arrival::new(RequestId(id), ClassId(1))));
    assert_eq!(refused(&tell(&worthiest)), 0);
    // More than usual of them: their refusals would walk as well.
    let more: Vec<_> =
        (3000..3020).map(|id| Event::Arrived(Arrival::new(RequestId(id), ClassId(1)))).collect();
    let answers = tell(&more);
    assert!(refused(&answers) > 0);
    assert!(!answers.iter().any(|a| matches!(a, Action::Reject { give_up: false, .. })), "{answers:?}");
}
