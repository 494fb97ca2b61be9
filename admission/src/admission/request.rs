//! A request in flight, and running estimates for its class.

use std::time::Duration;

use super::{Admission, MEAN_WEIGHT};

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum Phase {
    #[default]
    Queued,
    Coalesced,
    Running,
    AwaitingCall,
    Calling,
}

#[derive(Debug, Default)]
pub(super) struct Request {
    pub(super) class: usize,
    pub(super) memory_kb: f64,
    pub(super) arrived: f64,
    pub(super) objective_at: f64,
    pub(super) deadline: f64,
    pub(super) relative_cost: f64,
    /// Weight for a unit of work.
    pub(super) priority: f64,
    pub(super) may_call: bool,
    pub(super) phase: Phase,
    pub(super) answered: bool,
    pub(super) started_at: f64,
    pub(super) call_needed_at: f64,
    pub(super) call_sent_at: f64,
    pub(super) time_at_calls: f64,
    pub(super) calls_failed: u32,
}

/// What is estimated of a class from its requests.
#[derive(Debug, Default, Clone)]
pub(super) struct ClassStats {
    pub(super) cost_hint: Mean,
    pub(super) on_cores: Mean,
}

/// A running mean whose first samples count alike.
#[derive(Debug, Default, Clone)]
pub(super) struct Mean {
    pub(super) average: f64,
    pub(super) readings: f64,
}

impl Mean {
    pub(super) fn add(&mut self, reading: f64, weight: f64) {
        self.readings += 1.0;
        self.average += weight.max(1.0 / self.readings) * (reading - self.average);
    }

    pub(super) fn get(&self) -> Option<f64> {
        (self.readings > 0.0).then_some(self.average)
    }
}

impl ClassStats {
    /// The cost hint over the mean of the class, within bounds.
    pub(super) fn relative_cost(&mut self, cost_hint: Option<Duration>) -> f64 {
        let Some(cost_hint) = cost_hint.map(|h| h.as_secs_f64()).filter(|h| *h > 0.0) else { return 1.0 };
        self.cost_hint.add(cost_hint, MEAN_WEIGHT);
        (cost_hint / self.cost_hint.average).clamp(0.2, 5.0)
    }
}

impl Admission {
    pub(super) fn count_in(&self, phase: Phase) -> usize {
        self.requests.values().filter(|r| r.phase == phase).count()
    }

    pub(super) fn objective_of(&self, class: usize) -> f64 {
        self.settings.classes[class].latency_objective.as_secs_f64()
    }

    pub(super) fn objective_used(&self, request: &Request) -> f64 {
        (self.now - request.arrived) / self.objective_of(request.class).max(1e-3)
    }

    /// Seconds on a core that a request is expected to need, if anything is known of its class.
    pub(super) fn estimated_work(&self, request: &Request) -> Option<f64> {
        self.class_stats[request.class].on_cores.get().map(|t| t * request.relative_cost)
    }
}
