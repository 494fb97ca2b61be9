//! Additional input of the trace: several callers, varied ages and cost hints of arrivals, retries of
//! idempotent requests, unknown classes, arrivals reported twice, and runs that are rejected before they
//! start.

use std::time::Duration;

use oakwind_admission::{Action, Arrival, CallerId, ClassId, Effect, Event, Gauges, Outcome, RequestId};

use super::driver::Scenario;
use super::plan::GaugeMode;
use crate::State;

/// First identifier of arrivals of unknown classes, which the model does not track.
const FIRST_UNKNOWN_ID: u32 = 1_000_000;

impl Scenario {
    /// Adds the arrivals of one step.
    pub(super) fn add_arrivals(&mut self) {
        let percent = self.plan.arrival_percent(self.model.now);
        while self.random.chance(percent) {
            self.model.arrive();
            let Some(Event::Arrived(arrival)) = self.model.events.pop() else { continue };
            let arrival = self.vary_arrival(arrival);
            let reported_twice = arrival.retry_of.is_none() && self.random.chance(2);
            self.model.events.push(Event::Arrived(arrival.clone()));
            if reported_twice {
                self.model.events.push(Event::Arrived(arrival));
            }
        }
        if self.random.below(500) == 0 {
            let id = RequestId(FIRST_UNKNOWN_ID + self.model.next_id);
            self.model.events.push(Event::Arrived(Arrival::new(id, ClassId(99))));
        }
    }

    fn vary_arrival(&mut self, mut arrival: Arrival) -> Arrival {
        arrival.caller = CallerId(self.random.below(self.plan.callers) as u32);
        if self.random.chance(2) {
            arrival.cost_hint = Some(Duration::ZERO);
        }
        // The model has already determined, from the arrival time, which attempt a retry with a key names.
        // Therefore neither the age nor the named attempt of such an arrival is varied.
        let class = usize::from(arrival.class.0);
        if self.model.settings.classes[class].effect != Effect::IdempotencyKey {
            self.vary_age(&mut arrival);
            self.vary_retry(&mut arrival);
        }
        arrival
    }

    fn vary_age(&mut self, arrival: &mut Arrival) {
        if self.random.chance(2) {
            let age = Duration::from_millis(self.random.below(1000));
            arrival.age = age;
            let arrived = self.model.now - age.as_micros() as u64;
            self.model
                .attempts
                .get_mut(&arrival.id)
                .expect("the model has just added this attempt")
                .arrived = arrived;
        }
    }

    /// Turns some arrivals into retries of a recent attempt of their class.
    fn vary_retry(&mut self, arrival: &mut Arrival) {
        let named = RequestId(arrival.id.0.saturating_sub(1 + self.random.below(11) as u32));
        let class = usize::from(arrival.class.0);
        let same_class = self.model.attempts.get(&named).is_some_and(|attempt| attempt.class == class);
        if same_class && self.random.chance(15) {
            arrival.retry_of = Some(named);
            self.model
                .attempts
                .get_mut(&arrival.id)
                .expect("the model has just added this attempt")
                .retry_of = Some(named);
        }
    }

    /// Whether the model tracks the request of an action.
    pub(super) fn is_known(action: &Action) -> bool {
        !matches!(action, Action::Reject { id, .. } if id.0 >= FIRST_UNKNOWN_ID)
    }

    /// Rejects some runs before they start, as happens without a connection to a worker.
    pub(super) fn reject_some_runs(&mut self, actions: &[Action]) {
        for action in actions {
            let Action::Run(id) = *action else { continue };
            let attempt = self.model.attempts.get_mut(&id).expect("the model has created this attempt");
            if attempt.state != State::Running || !self.random.chance(3) {
                continue;
            }
            attempt.state = State::Ended;
            attempt.ever_run = false;
            let took = Duration::from_millis(1);
            self.model.events.push(Event::Finished { id, outcome: Outcome::Rejected, took });
        }
    }

    /// Sets the duration of returned calls to the time since the call itself started; the model counts from
    /// the start of the run.
    pub(super) fn correct_call_times(&mut self) {
        for event in &mut self.model.events {
            if let Event::CallReturned { id, took, .. } = event {
                if let Some(called_at) = self.called_at.get(id) {
                    *took = Duration::from_micros(self.model.now - called_at);
                }
            }
        }
    }

    /// Sets the gauges that the next timer events report.
    pub(super) fn set_gauges(&mut self) {
        let running =
            self.model.attempts.values().filter(|attempt| attempt.state == State::Running).count() as f64;
        let cores = f64::from(self.model.settings.cores);
        let other_tasks = self.random.below(3) as f64;
        let utilization = Some((running / cores).min(1.0) * (0.85 + self.random.below(15) as f64 / 100.0));
        let in_read_overload = (self.model.now / 6_000_000).is_multiple_of(3);
        self.model.gauges = match self.plan.gauge_mode {
            GaugeMode::Absent => Gauges::default(),
            GaugeMode::BusyOnly => Gauges { utilization, runnable: None },
            GaugeMode::Consistent => Gauges { utilization, runnable: Some(running + other_tasks) },
            GaugeMode::ReadOverload if in_read_overload => {
                Gauges { utilization, runnable: Some(running * 4.0 + 12.0) }
            }
            GaugeMode::ReadOverload => Gauges { utilization, runnable: Some(running) },
            GaugeMode::WaitingForIo => Gauges { utilization, runnable: Some((running / 2.0).floor()) },
        };
    }
}
