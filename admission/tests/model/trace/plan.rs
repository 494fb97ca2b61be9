//! The plan of a scenario of the trace, beyond the steps of the server model: its settings, load, faults and
//! drain.

use oakwind_admission::{Dependency, Effect, Settings, Signal};

use crate::random::SeededRandom;
use crate::settings::{ms, random_settings};
use crate::START_MICROS;

/// Length of a scenario, in microseconds of virtual time.
const LENGTH_MICROS: u64 = 30_000_000;
/// Length of a phase of constant load, in microseconds.
const LOAD_PHASE_MICROS: u64 = 3_000_000;

/// The gauges that the timer events of a scenario report.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum GaugeMode {
    /// No gauges.
    Absent,
    /// Only the utilization of the cores.
    BusyOnly,
    /// Utilization and runnable tasks that match the running requests.
    Consistent,
    /// Like `Consistent`, but part of the time with far more runnable tasks than runs: reads overload the
    /// cores.
    ReadOverload,
    /// Like `Consistent`, but half of the runs wait for I/O.
    WaitingForIo,
}

/// A range of virtual time, in microseconds.
pub(super) struct TimeRange {
    from: u64,
    to: u64,
}

impl TimeRange {
    fn random(random: &mut SeededRandom, longest: u64) -> Self {
        let from = START_MICROS + random.below(LENGTH_MICROS);
        TimeRange { from, to: from + random.below(longest) }
    }

    pub(super) fn contains(&self, now: u64) -> bool {
        (self.from..self.to).contains(&now)
    }
}

/// The plan of one scenario.
pub(super) struct Plan {
    pub(super) settings: Settings,
    pub(super) ends_at: u64,
    pub(super) gauge_mode: GaugeMode,
    /// Probability of one more arrival in a step, in percent, for each phase of the load.
    arrival_percents: Vec<u64>,
    /// Number of callers that send arrivals.
    pub(super) callers: u64,
    pub(super) call_return_percent: u64,
    pub(super) call_outcomes: u64,
    pub(super) shortest_run_micros: u64,
    pub(super) run_spread_micros: u64,
    /// Ranges in which no run ends or reaches a call.
    pub(super) stalls: Vec<TimeRange>,
    /// Range in which no timer event is reported, although other events are.
    pub(super) timer_gap: TimeRange,
    /// Time from which the clock does not advance, or steps back, for a number of batches.
    pub(super) clock_stops_at: u64,
    /// When the process is suspended, in microseconds of virtual time.
    pub(super) suspended_at: u64,
    /// How long the process is suspended, in microseconds.
    pub(super) suspension: u64,
    pub(super) drain_at: Option<u64>,
    pub(super) drain_time: u64,
    /// The times of reconfigurations, each with the new settings.
    pub(super) reconfigurations: Vec<(u64, Settings)>,
}

impl Plan {
    pub(super) fn new(seed: u64) -> Self {
        let random = &mut SeededRandom::new(seed.wrapping_mul(31) + 7);
        let settings = scenario_settings(random, seed);
        let gauge_modes = [
            GaugeMode::Absent,
            GaugeMode::BusyOnly,
            GaugeMode::Consistent,
            GaugeMode::ReadOverload,
            GaugeMode::WaitingForIo,
        ];
        let ends_at = START_MICROS + LENGTH_MICROS;
        let loads = [0, 1, 2, 4, 8, 12, 20, 35, 55];
        let phases = LENGTH_MICROS / LOAD_PHASE_MICROS + 1;
        let (shortest_run_micros, run_spread_micros) =
            if seed.is_multiple_of(7) { (2_000, 6_000) } else { (20_000, 600_000) };
        let drain_time = [30_000, 150_000, 2_000_000, 9_000_000][random.below(4) as usize];
        let mut plan = Plan {
            ends_at,
            gauge_mode: gauge_modes[(seed % 5) as usize],
            arrival_percents: (0..phases).map(|_| loads[random.below(9) as usize]).collect(),
            callers: 1 + random.below(8) * random.below(30),
            call_return_percent: if seed.is_multiple_of(6) {
                3
            } else {
                [8, 30, 60][random.below(3) as usize]
            },
            call_outcomes: [8, 25, 400][random.below(3) as usize],
            shortest_run_micros,
            run_spread_micros,
            stalls: (0..2).map(|_| TimeRange::random(random, 5_000_000)).collect(),
            timer_gap: random_timer_gap(random, seed),
            clock_stops_at: START_MICROS + random.below(LENGTH_MICROS),
            suspended_at: START_MICROS + random.below(LENGTH_MICROS),
            suspension: [0, 400_000, 3_000_000, 11_000_000][random.below(4) as usize],
            drain_at: random.chance(60).then_some(ends_at - drain_time.min(LENGTH_MICROS / 3)),
            drain_time,
            reconfigurations: Vec::new(),
            settings,
        };
        if random.chance(50) {
            plan.add_reconfigurations(random);
        }
        if seed % 6 == 3 {
            plan.drain_under_load();
        }
        plan
    }

    /// Probability of one more arrival in a step, in percent.
    pub(super) fn arrival_percent(&self, now: u64) -> u64 {
        let phase = (now - START_MICROS) / LOAD_PHASE_MICROS;
        self.arrival_percents.get(phase as usize).copied().unwrap_or(0)
    }

    /// Plans a long drain with more arrivals than the server can handle, so that retries name attempts that
    /// are still queued.
    fn drain_under_load(&mut self) {
        self.drain_time = 9_000_000;
        self.drain_at = Some(self.ends_at - self.drain_time);
        self.settings.drain_grace = ms(250);
        self.settings.cores = 1;
        self.arrival_percents.iter_mut().skip(6).for_each(|percent| *percent = 25);
    }

    /// Plans a reconfiguration with one additional class, then one with a single class. The effects of known
    /// classes do not change.
    fn add_reconfigurations(&mut self, random: &mut SeededRandom) {
        let mut known = self.settings.classes.clone();
        let first_at = START_MICROS + 5_000_000 + random.below(8_000_000);
        for round in 0..2 {
            let mut settings = random_settings(random);
            let wanted = if round == 0 { known.len() + 1 } else { 1 };
            settings.classes.resize(wanted, known[0].clone());
            for (class, old) in settings.classes.iter_mut().zip(&known) {
                class.effect = old.effect;
                class.idempotency_window = old.idempotency_window;
            }
            settings.preemption = self.settings.preemption;
            if random.chance(40) {
                settings.dependency = self.settings.dependency;
            }
            let kept_classes = known.split_off(known.len().min(wanted));
            known = settings.classes.iter().cloned().chain(kept_classes).collect();
            self.reconfigurations.push((first_at + round * 6_000_000, settings));
        }
    }
}

/// Sets a dependency share that long calls exhaust without being slow relative to the objective.
fn exhaust_dependency_share(settings: &mut Settings) {
    settings.dependency = Dependency::Shared { share: 2.05, averaging_time: ms(600), linger: ms(100) };
    for class in &mut settings.classes {
        class.may_call = true;
        class.latency_objective = ms(20_000);
        class.deadline = ms(40_000);
    }
}

/// Returns a range of more than ten seconds without timer events in some scenarios, otherwise an empty range.
fn random_timer_gap(random: &mut SeededRandom, seed: u64) -> TimeRange {
    let from = START_MICROS + random.below(15_000_000);
    let length = if seed % 5 == 1 { 10_500_000 + random.below(3_000_000) } else { 0 };
    TimeRange { from, to: from + length }
}

/// Random settings that exercise more decisions than those of the model.
fn scenario_settings(random: &mut SeededRandom, seed: u64) -> Settings {
    let mut settings = random_settings(random);
    for class in &mut settings.classes {
        class.objective_stretch = random.below(3) as f64 * 0.7;
        class.may_call |= seed.is_multiple_of(4) || seed % 6 == 1;
    }
    match seed % 6 {
        0 => {
            settings.dependency =
                Dependency::Shared { share: 0.45, averaging_time: ms(4000), linger: ms(150) }
        }
        1 => settings.dependency = Dependency::Tier,
        2 => exhaust_dependency_share(&mut settings),
        3 => settings.classes[0].effect = Effect::IdempotencyKey,
        _ => {}
    }
    if seed.is_multiple_of(2) {
        settings.memory_kb *= 20.0;
        settings.running_memory_factor = 1.0 + random.below(3) as f64;
    }
    settings.response_reuse = ms(random.below(2) * 700);
    settings.cores = 1 + random.below(5) as u32;
    if seed.is_multiple_of(3) {
        settings.max_concurrency_per_core = 1.0 + random.below(20) as f64 / 10.0;
    }
    if seed % 5 == 3 {
        settings.signal = Signal::MinRank;
    }
    settings.idle_timeout = ms(500 + random.below(20_000));
    settings.max_retry_after = ms(random.below(4) * 900);
    settings.drain_grace = ms(random.below(1500));
    settings.min_handle_interval = ms(1 + random.below(200));
    settings.over_quota_weight = random.below(10) as f64 / 10.0;
    settings
}
