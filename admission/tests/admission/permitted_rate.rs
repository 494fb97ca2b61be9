//! The permitted rate: initialization, decrease and increase, downstream rejections, fast failures, and the
//! minimum of two seconds between changes.

use std::time::Duration;

use oakwind_admission::*;

use crate::random::LinearCongruential;

/// Number of simulation steps per second.
const STEPS_PER_SECOND: u32 = 20;

/// A simulated server that advances in steps of 50 ms. Each step determines the run time of the runs that it
/// starts.
struct ServerFixture {
    admission: Admission,
    now: Duration,
    next_id: u32,
    /// When each running request finishes, and with which outcome.
    finishes: Vec<(Duration, RequestId, Outcome)>,
    rejected: Vec<RequestId>,
    advertised: Option<f64>,
    /// The successive values of the permitted rate, each with the time of the change.
    rates: Vec<(Duration, f64)>,
}

impl ServerFixture {
    fn new(settings: Settings) -> Self {
        Self::seeded(settings, 3)
    }

    fn seeded(settings: Settings, seed: u64) -> Self {
        let now = Duration::from_secs(50);
        let mut admission = Admission::new(settings, seed, now);
        admission.handle(now, &[], &mut Vec::new());
        ServerFixture {
            admission,
            now,
            next_id: 1,
            finishes: Vec::new(),
            rejected: Vec::new(),
            advertised: None,
            rates: Vec::new(),
        }
    }

    fn step(&mut self, arrivals: u32, run_millis: u64, outcome: Outcome) {
        self.step_with_ranks(&vec![0.5; arrivals as usize], run_millis, outcome);
    }

    /// Advances one step with one arrival for each of the ranks.
    fn step_with_ranks(&mut self, ranks: &[f64], run_millis: u64, outcome: Outcome) {
        self.now += Duration::from_millis(50);
        let mut events = Vec::new();
        let now = self.now;
        let took = Duration::from_millis(run_millis);
        for (_, id, outcome) in self.finishes.iter().filter(|e| e.0 <= now) {
            events.push(Event::Finished { id: *id, outcome: *outcome, took });
        }
        self.finishes.retain(|e| e.0 > now);
        for &rank in ranks {
            events
                .push(Event::Arrived(Arrival { rank, ..Arrival::new(RequestId(self.next_id), ClassId(0)) }));
            self.next_id += 1;
        }
        events.push(Event::Timer(TimerId(0), Gauges::default()));
        let mut actions = Vec::new();
        self.admission.handle(now, &events, &mut actions);
        for action in actions {
            match action {
                Action::Run(id) => self.finishes.push((now + took, id, outcome)),
                Action::Reject { id, .. } => self.rejected.push(id),
                Action::Advertise(value) => self.advertised = Some(value),
                _ => {}
            }
        }
        let rate = self.rate();
        if self.rates.last().is_none_or(|last| last.1 != rate) {
            self.rates.push((now, rate));
        }
    }

    /// Advances `steps` steps with `arrivals` arrivals each. Their runs take `run_millis` milliseconds and
    /// succeed.
    fn run(&mut self, steps: u32, arrivals: u32, run_millis: u64) {
        (0..steps).for_each(|_| self.step(arrivals, run_millis, Outcome::Ok));
    }

    fn rate(&self) -> f64 {
        self.admission.permitted_rate().unwrap_or(0.0)
    }
}

fn settings() -> Settings {
    Settings { cores: 4, signal: Signal::MinRank, ..Settings::default() }
}

#[test]
fn the_first_window_initializes_the_rate_and_no_request_is_rejected_before() {
    let mut server = ServerFixture::new(settings());
    server.run(39, 1, 100);
    assert_eq!(server.admission.permitted_rate(), None);
    assert!(server.rejected.is_empty());
    server.run(2, 1, 100);
    assert!((15.0..25.0).contains(&server.rate()), "initialized at {}", server.rate());
}

#[test]
fn the_rate_rises_only_while_at_least_half_of_it_is_used() {
    let mut server = ServerFixture::new(settings());
    server.run(80, 1, 100);
    let before = server.rate();
    server.run(80, 1, 100);
    assert!(server.rate() > before);
    let raised_rate = server.rate();
    for _ in 0..40 {
        server.run(1, 1, 100);
        server.run(7, 0, 100);
    }
    assert!(
        server.rate() <= raised_rate * 1.2,
        "at most one further window of the heavier load may raise the rate"
    );
    let light_load_rate = server.rate();
    for _ in 0..40 {
        server.run(1, 1, 100);
        server.run(7, 0, 100);
    }
    assert_eq!(server.rate(), light_load_rate);
}

#[test]
fn the_rate_changes_at_most_every_two_seconds() {
    let mut server = ServerFixture::new(settings());
    server.run(200, 1, 100);
    server.run(200, 6, 300);
    let gaps = server
        .rates
        .windows(2)
        .map(|pair| pair[1].0.checked_sub(pair[0].0).expect("the changes are in order of time"));
    assert!(server.rates.len() > 4);
    assert!(gaps.skip(1).all(|gap| gap >= Duration::from_millis(1999)));
}

#[test]
fn latency_over_target_cuts_the_rate_and_rejects_requests_early() {
    let mut server = ServerFixture::new(settings());
    server.run(100, 1, 100);
    let before = server.rate();
    server.run(200, 4, 400);
    assert!(
        server.rate() < before.min(11.5),
        "four cores handle 10 requests per second, but the rate is {}",
        server.rate()
    );
    assert!(server.rejected.len() > 200);
    assert!(server.advertised.is_some_and(|min_rank| min_rank > 0.0));
}

#[test]
fn a_cut_rate_and_a_raised_minimum_rank_recover_under_light_load() {
    let mut server = ServerFixture::new(settings());
    server.run(100, 1, 100);
    server.run(200, 4, 400);
    let rejected = server.rejected.len();
    let cut_rate = server.rate();
    server.run(60, 0, 100);
    for _ in 0..60 {
        server.run(1, 1, 100);
        server.run(3, 0, 100);
    }
    assert_eq!(server.rejected.len(), rejected, "requests were rejected under light load after the overload");
    assert_eq!(server.advertised, Some(0.0));
    server.run(200, 1, 100);
    assert!(server.rate() > cut_rate);
}

#[test]
fn fast_failures_neither_initialize_nor_raise_the_rate() {
    let mut server = ServerFixture::new(settings());
    (0..200).for_each(|_| server.step(1, 5, Outcome::Error));
    assert_eq!(server.admission.permitted_rate(), None);
    server.run(80, 1, 100);
    let initialized = server.rate();
    (0..40).for_each(|_| server.step(0, 5, Outcome::Error));
    let settled = server.rate();
    (0..200).for_each(|_| server.step(2, 5, Outcome::Error));
    assert!(server.rate() <= settled && settled >= initialized);
}

#[test]
fn a_rejected_call_cuts_the_rate_even_at_low_latency() {
    let class = Class { may_call: true, ..Class::default() };
    let mut server =
        ServerFixture::new(Settings { classes: vec![class], dependency: Dependency::Tier, ..settings() });
    server.run(120, 1, 100);
    let before = server.rate();
    server.run(1, 1, 100);
    let (_, id, _) = server.finishes.pop().expect("the request of the last step is running");
    let mut actions = Vec::new();
    server.admission.handle(server.now, &[Event::CallNeeded(id)], &mut actions);
    assert!(actions.iter().any(|a| matches!(a, Action::Call(..))));
    let took = Duration::from_millis(1);
    let rejected = Event::CallReturned { id, outcome: Outcome::Rejected, took };
    server.admission.handle(server.now, &[rejected], &mut actions);
    server.run(41, 1, 100);
    assert!(
        server.rate() < before,
        "the rate {} is not below {before}, the rate before the rejection",
        server.rate()
    );
}

#[test]
fn runs_that_never_finish_count_as_overload() {
    let mut server = ServerFixture::new(settings());
    server.run(100, 1, 100);
    server.run(60, 2, 1_000_000);
    assert!(
        server.rejected.len() > 40,
        "only {} requests were rejected while no run finished",
        server.rejected.len()
    );
}

/// A server with two cores, after `seconds` of random arrivals at about `per_second` requests per second.
fn two_core_server(seconds: u32, per_second: u32, run_millis: u64) -> ServerFixture {
    let mut server = ServerFixture::new(Settings { cores: 2, servers: 300, callers: 900, ..settings() });
    run_uneven(&mut server, seconds, per_second, run_millis);
    server
}

/// Offers random arrivals at about `per_second` requests per second for `seconds`.
fn run_uneven(server: &mut ServerFixture, seconds: u32, per_second: u32, run_millis: u64) {
    let mut random = LinearCongruential::new(7);
    for _ in 0..seconds * STEPS_PER_SECOND {
        let arrives = random.below(u64::from(STEPS_PER_SECOND)) < u64::from(per_second);
        server.run(1, u32::from(arrives), run_millis);
    }
}

#[test]
fn a_few_samples_do_not_initialize_the_rate() {
    let mut server = two_core_server(4, 2, 200);
    assert_eq!(server.admission.permitted_rate(), None);
    run_uneven(&mut server, 12, 2, 200);
    assert!((1.0..6.0).contains(&server.rate()), "initialized at {}", server.rate());
}

#[test]
fn noise_at_a_few_requests_a_second_rejects_nothing() {
    let server = two_core_server(120, 4, 250);
    assert!(server.rejected.is_empty(), "{} requests were rejected at half load", server.rejected.len());
    assert!(server.rate() >= 3.0, "the rate fell to {} at half load", server.rate());
}

#[test]
fn overload_at_a_few_requests_a_second_cuts_the_rate_to_the_capacity_and_no_further() {
    let class = Class {
        latency_objective: Duration::from_secs(2),
        deadline: Duration::from_secs(8),
        ..Class::default()
    };
    let mut server = ServerFixture::new(Settings { cores: 2, classes: vec![class], ..settings() });
    run_uneven(&mut server, 30, 3, 500);
    run_uneven(&mut server, 60, 9, 500);
    // Two cores handle four requests per second. A window with eight requests is a small sample and must not
    // lower the rate further.
    let cut_rate = server.rate();
    assert!((2.8..6.0).contains(&cut_rate), "the rate under overload is {cut_rate}, but the capacity is 4");
    assert!(server.rejected.len() > 100);
    run_uneven(&mut server, 60, 3, 200);
    assert!(server.rate() >= cut_rate, "the rate {} fell below {cut_rate} under light load", server.rate());
}

#[test]
fn runs_longer_than_the_latency_target_do_not_keep_the_rate_low() {
    // The latency objective is one second, so a run of half a second alone exceeds the latency target.
    let mut server = two_core_server(120, 3, 500);
    assert!(server.rate() >= 0.9, "{}", server.rate());
    let rejected = server.rejected.len();
    run_uneven(&mut server, 30, 3, 200);
    assert!(server.rate() > 1.5 && server.rejected.len() < rejected + 20, "{}", server.rate());
}

/// Offers each server of the fleet a request with probability `chance` in each step of one second. Returns
/// the fraction of the requests that was rejected or not sent because of the advertised minimum rank.
fn lost_fraction(fleet: &mut [ServerFixture], random: &mut LinearCongruential, chance: f64) -> f64 {
    let mut offered = 0.0;
    let mut unsent = 0.0;
    let rejected_before: usize = fleet.iter().map(|server| server.rejected.len()).sum();
    for _ in 0..STEPS_PER_SECOND {
        for server in &mut *fleet {
            let arrives = random.fraction() < chance;
            let rank = random.fraction();
            let min_rank = server.advertised.unwrap_or(0.0);
            let is_sent = arrives && rank >= min_rank;
            offered += f64::from(u8::from(arrives));
            unsent += f64::from(u8::from(arrives && !is_sent));
            let sent_ranks: &[f64] = if is_sent { &[rank] } else { &[] };
            server.step_with_ranks(sent_ranks, 250, Outcome::Ok);
        }
    }
    let rejected: usize = fleet.iter().map(|server| server.rejected.len()).sum();
    (unsent + (rejected - rejected_before) as f64) / offered
}

#[test]
fn servers_that_recover_together_do_not_oscillate() {
    let class = Class {
        latency_objective: Duration::from_secs(2),
        deadline: Duration::from_secs(6),
        ..Class::default()
    };
    let settings = Settings { cores: 2, servers: 50, classes: vec![class], ..settings() };
    let mut fleet: Vec<ServerFixture> =
        (1..=50).map(|seed| ServerFixture::seeded(settings.clone(), seed * 77)).collect();
    let mut random = LinearCongruential::new(11);
    // For each second, the fraction of the requests that was rejected or not sent because of the advertised
    // minimum rank. Each server can handle eight requests per second and is offered 16 for half a minute,
    // then five.
    let lost_fractions: Vec<f64> = (0..90)
        .map(|second| lost_fraction(&mut fleet, &mut random, if second < 30 { 0.8 } else { 0.25 }))
        .collect();
    assert!(
        lost_fractions[20..30].iter().all(|fraction| (0.3..0.7).contains(fraction)),
        "lost fractions under overload: {:?}",
        &lost_fractions[20..30]
    );
    assert!(
        lost_fractions[50..].iter().all(|fraction| *fraction < 0.02),
        "lost fractions after recovery: {:?}",
        &lost_fractions[50..]
    );
    let rises = lost_fractions[30..50].windows(2).map(|pair| pair[1] - pair[0]).fold(0.0, f64::max);
    assert!(rises < 0.05, "lost fractions during recovery: {:?}", &lost_fractions[30..50]);
}

#[test]
fn requests_shed_from_the_queue_raise_the_advertised_minimum_rank() {
    let mut server = ServerFixture::new(Settings { cores: 1, ..settings() });
    // The estimated run time is 800 ms and the rate is not initialized yet, so only the length of the queue
    // causes rejections.
    server.run(1, 1, 800);
    server.run(40, 0, 800);
    server.run(4, 5, 800);
    assert_eq!(server.admission.permitted_rate(), None);
    assert!(server.rejected.len() > 10);
    server.run(10, 0, 800);
    assert!(server.advertised.is_some_and(|min_rank| min_rank > 0.1), "{:?}", server.advertised);
}

#[test]
fn requests_of_the_greatest_weight_may_borrow_from_an_empty_token_bucket() {
    let heavy_class = Class { weight: 10.0, ..Class::default() };
    let calls = Class { may_call: true, ..Class::default() };
    let mut server = ServerFixture::new(Settings {
        classes: vec![calls, heavy_class],
        dependency: Dependency::Tier,
        cores: 2,
        ..Settings::default()
    });
    for _ in 0..24 {
        server.step(1, 300, Outcome::Ok);
        server.run(9, 0, 300);
    }
    let mut handle = |events: &[Event]| {
        let mut actions = Vec::new();
        server.admission.handle(server.now, events, &mut actions);
        actions
    };
    handle(&[Event::CallReturned { id: RequestId(9), outcome: Outcome::Rejected, took: Duration::ZERO }]);
    let flood: Vec<_> =
        (1000..1030).map(|id| Event::Arrived(Arrival::new(RequestId(id), ClassId(0)))).collect();
    let rejected = |actions: &[Action]| actions.iter().filter(|a| matches!(a, Action::Reject { .. })).count();
    assert!(rejected(&handle(&flood)) >= 25, "the token bucket was not empty after the flood");
    let heaviest = [2000, 2001, 2002].map(|id| Event::Arrived(Arrival::new(RequestId(id), ClassId(1))));
    assert_eq!(rejected(&handle(&heaviest)), 0);
    // More arrivals than usual: other servers are assumed to reject requests too, so callers are told to give
    // up.
    let more: Vec<_> =
        (3000..3020).map(|id| Event::Arrived(Arrival::new(RequestId(id), ClassId(1)))).collect();
    let answers = handle(&more);
    assert!(rejected(&answers) > 0);
    assert!(
        !answers.iter().any(|a| matches!(a, Action::Reject { give_up: false, .. })),
        "a rejected caller was not told to give up: {answers:?}"
    );
}
