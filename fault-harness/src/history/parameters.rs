//! Derives the parameters against which a play is checked from its scenario.

use super::{ClassParameters, RuleParameters};
use crate::scenario::{Class, Scenario};
use crate::settings::DRAIN_GRACE_MS;

/// Memory is configured in MB and sampled in KB.
const KB_PER_MB: u64 = 1024;
/// Number of advertisement intervals for which two nodes may be active at once. A node that receives an
/// advertisement with a higher priority gives up the role at once, and it receives one within an interval;
/// two intervals are allowed.
const MAX_DUAL_ACTIVE_INTERVALS: f64 = 2.0;

impl RuleParameters {
    /// The parameters against which a play of `scenario` with this seed is checked.
    pub fn of(scenario: &Scenario, seed: u64) -> RuleParameters {
        let vrrp_interval = scenario.fleet.vrrp.as_ref().map_or(0.0, |vrrp| vrrp.interval_ms as f64);
        RuleParameters {
            scenario: scenario.name.clone(),
            seed,
            seconds: scenario.seconds,
            nodes: scenario.fleet.nodes,
            classes: scenario.classes.iter().map(ClassParameters::of).collect(),
            run_once_per: scenario.rules.run_once_per,
            timing_tolerance: scenario.rules.slack_ms,
            drain_grace: DRAIN_GRACE_MS,
            descriptors: scenario.fleet.sockets,
            memory_kb: scenario.fleet.memory_mb * KB_PER_MB,
            max_dual_active: MAX_DUAL_ACTIVE_INTERVALS * vrrp_interval + scenario.rules.slack_ms,
        }
    }
}

impl ClassParameters {
    fn of(class: &Class) -> ClassParameters {
        ClassParameters {
            name: class.name.clone(),
            latency_objective: class.latency_objective_ms as f64,
            deadline: class.deadline_ms as f64,
            idempotency_window: if class.idempotency_key { class.idempotency_window_ms as f64 } else { 0.0 },
            weight: class.weight * class.work_ms,
            late_weight: class.late_weight,
            skip_weight: class.skip_weight,
        }
    }
}
