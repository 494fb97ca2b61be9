//! Runs a scenario of the trace: feeds the events of the server model and of the plan to the module and
//! records the actions.

use std::collections::BTreeMap;
use std::time::Duration;

use oakwind_admission::{Action, Admission, Event, RequestId};

use super::plan::Plan;
use super::recording::Recording;
use crate::random::SeededRandom;
use crate::{ServerModel, STEP_MICROS};

/// Number of batches for which a stopped clock does not advance.
const STOPPED_CLOCK_BATCHES: u32 = 40;

/// A scenario in progress.
pub(super) struct Scenario {
    pub(super) plan: Plan,
    pub(super) model: ServerModel,
    /// Source of randomness for the plan's additional events; the model has its own generator.
    pub(super) random: SeededRandom,
    /// When the last call of each request was started, in microseconds.
    pub(super) called_at: BTreeMap<RequestId, u64>,
    admission: Admission,
    recording: Recording,
    stopped_batches: u32,
    suspended: bool,
}

/// Runs the scenario of this seed and returns its recording.
pub(super) fn record_scenario(seed: u64) -> Recording {
    let mut scenario = Scenario::new(seed);
    while scenario.model.now < scenario.plan.ends_at {
        scenario.handle_batch();
        scenario.advance();
    }
    let rate = scenario.admission.permitted_rate();
    scenario.recording.finish(scenario.model.now, rate)
}

impl Scenario {
    fn new(seed: u64) -> Self {
        let plan = Plan::new(seed);
        let mut model = ServerModel::new(seed);
        model.settings = plan.settings.clone();
        model.call_return_percent = plan.call_return_percent;
        model.call_outcomes = plan.call_outcomes;
        model.shortest_run_micros = plan.shortest_run_micros;
        model.run_spread_micros = plan.run_spread_micros;
        let now = model.now;
        Scenario {
            admission: Admission::new(plan.settings.clone(), seed, Duration::from_micros(now)),
            recording: Recording::new(now),
            random: SeededRandom::new(seed + 1000),
            called_at: BTreeMap::new(),
            stopped_batches: 0,
            suspended: false,
            model,
            plan,
        }
    }

    /// Passes the collected events to the module, records its actions and carries them out.
    fn handle_batch(&mut self) {
        self.correct_call_times();
        let events = std::mem::take(&mut self.model.events);
        // A stopped clock may also step back; the module must keep its own time monotonic.
        let behind = if self.stopped_batches > 0 { self.random.below(3) * 700 } else { 0 };
        let now = self.model.now;
        let mut actions = Vec::new();
        self.admission.handle(Duration::from_micros(now - behind), &events, &mut actions);
        self.recording.add_batch(now, &actions, self.admission.permitted_rate());
        for action in &actions {
            if let Action::Call(id, _) = action {
                self.called_at.insert(*id, now);
            }
        }
        let known: Vec<Action> = actions.into_iter().filter(Self::is_known).collect();
        self.model.apply_all(&known);
        self.reject_some_runs(&known);
    }

    /// Advances the clock and adds the events of the step.
    fn advance(&mut self) {
        let step = self.next_step();
        self.model.now += step;
        let now = self.model.now;
        self.model.advance_running(self.plan.stalls.iter().any(|stall| stall.contains(now)));
        self.reconfigure();
        self.drain();
        self.add_arrivals();
        self.set_gauges();
        if !self.plan.timer_gap.contains(now) {
            self.model.collect_timers();
        }
    }

    fn next_step(&mut self) -> u64 {
        let step = STEP_MICROS * (1 + self.random.below(8));
        if self.model.now >= self.plan.suspended_at && !self.suspended {
            self.suspended = true;
            return step + self.plan.suspension;
        }
        if self.model.now >= self.plan.clock_stops_at && self.stopped_batches < STOPPED_CLOCK_BATCHES {
            self.stopped_batches += 1;
            return 0;
        }
        if self.stopped_batches == STOPPED_CLOCK_BATCHES {
            self.stopped_batches = 0;
            self.plan.clock_stops_at = u64::MAX;
        }
        step
    }

    fn reconfigure(&mut self) {
        let now = self.model.now;
        let due = self.plan.reconfigurations.first().is_some_and(|(at, _)| now >= *at);
        if !due {
            return;
        }
        let (_, settings) = self.plan.reconfigurations.remove(0);
        self.admission.reconfigure(settings.clone());
        let known = settings.classes.len();
        let unlisted: Vec<_> = self.model.settings.classes.drain(..).skip(known).collect();
        self.model.settings = settings;
        self.model.settings.classes.extend(unlisted);
    }

    fn drain(&mut self) {
        let now = self.model.now;
        if self.plan.drain_at.is_some_and(|at| now >= at) {
            self.plan.drain_at = None;
            self.model.drain_notice = Some((now, now + self.plan.drain_time));
            self.model.events.push(Event::Drain(Duration::from_micros(self.plan.drain_time)));
        }
    }
}
