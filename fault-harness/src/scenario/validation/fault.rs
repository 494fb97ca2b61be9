//! Validation of a `[[fault]]` table.

use std::fmt::Display;

use super::findings::Findings;
use crate::scenario::{Fault, FaultKind, Scenario, ScenarioError, StoredState, Traffic};

/// Validates one `[[fault]]` table.
pub(super) struct FaultCheck<'a> {
    pub(super) scenario: &'a Scenario,
    pub(super) node_names: &'a [String],
    pub(super) fault: &'a Fault,
    pub(super) position: usize,
    pub(super) findings: &'a mut Findings,
}

impl FaultCheck<'_> {
    /// Records all mistakes of the fault.
    pub(super) fn check(&mut self) {
        self.check_time();
        self.check_targets();
        self.check_duration();
        self.check_traffic();
        self.check_restart();
    }

    fn key(&self, name: &str) -> String {
        format!("fault[{}].{name}", self.position)
    }

    fn require(&mut self, holds: bool, name: &str, value: impl Display, requirement: &'static str) {
        self.findings.require(holds, &self.key(name), value, requirement);
    }

    fn require_consistent(&mut self, holds: bool, name: &str, requirement: &'static str) {
        self.findings.require_consistent(holds, &self.key(name), requirement);
    }

    /// Checks when the fault is injected.
    fn check_time(&mut self) {
        let fault = self.fault;
        let has_one_time = fault.at_s.is_some() != fault.when.is_some();
        self.require_consistent(has_one_time, "at_s", "exactly one of at_s and when is required");
        if let Some(interval) = fault.repeat_every_s {
            self.require(interval >= 1.0, "repeat_every_s", interval, "1 or more");
            self.require_consistent(
                fault.at_s.is_some(),
                "repeat_every_s",
                "allowed only together with at_s",
            );
        }
        if let Some(at) = fault.at_s {
            let is_within = at >= 0.0 && at < self.scenario.seconds;
            self.require(is_within, "at_s", at, "0 or more and less than the scenario's seconds");
        }
        if let Some(trigger) = &fault.when {
            self.findings.require_node(self.node_names, &self.key("when.node"), &trigger.node);
        }
    }

    /// Checks the targets of the fault and the number of waves.
    fn check_targets(&mut self) {
        let fault = self.fault;
        let selectors = [!fault.nodes.is_empty(), fault.zone.is_some(), fault.fraction.is_some()];
        let given = selectors.iter().filter(|is_given| **is_given).count();
        let has_targets = !matches!(fault.what, FaultKind::Dependency | FaultKind::Registry);
        let requirement = "exactly one of nodes, zone and fraction is required";
        self.require_consistent(!has_targets || given == 1, "nodes", requirement);
        for node in &fault.nodes {
            self.findings.require_node(self.node_names, &self.key("nodes"), node);
        }
        if let Some(zone) = fault.zone.as_ref().filter(|zone| !self.scenario.fleet.zones.contains(zone)) {
            let error = ScenarioError::UnknownZone { key: self.key("zone"), zone: zone.clone() };
            self.findings.add(error);
        }
        if let Some(fraction) = fault.fraction {
            self.findings.require_positive_fraction(&self.key("fraction"), fraction);
        }
        let counts_frontends = fault.what != FaultKind::Frontends || fault.fraction.is_some();
        let requirement =
            "required for a fault of kind frontends, which selects its targets by fraction only";
        self.require_consistent(counts_frontends, "fraction", requirement);
        self.require(fault.waves >= 1, "waves", fault.waves, "1 or more");
    }

    /// Checks the duration of the fault, and the factor by which it reduces speed or slots.
    fn check_duration(&mut self) {
        let fault = self.fault;
        let only_resets =
            fault.what == FaultKind::Link && fault.traffic == Traffic { reset: true, ..Traffic::default() };
        let has_duration = fault.duration_s.is_some_and(|seconds| seconds > 0.0);
        let is_given = !fault.what.has_duration() || only_resets || has_duration;
        self.require_consistent(
            is_given,
            "duration_s",
            "a duration above 0 is required for this kind of fault",
        );
        self.require(fault.factor >= 0.0, "factor", fault.factor, "0 or more");
    }

    /// Checks the links of the fault and the disturbance of their traffic.
    fn check_traffic(&mut self) {
        let fault = self.fault;
        if fault.what == FaultKind::Link {
            let requirement = "at least one kind of link is required for a link fault";
            self.require_consistent(!fault.between.is_empty(), "between", requirement);
            let changes_traffic = fault.traffic != Traffic::default();
            let requirement = "at least one disturbance is required for a link fault";
            self.require_consistent(changes_traffic, "traffic", requirement);
        }
        self.findings.require_fraction(&self.key("traffic.loss"), fault.traffic.loss);
        self.findings.require_fraction(&self.key("traffic.duplicate"), fault.traffic.duplicate);
        self.findings.require_fraction(&self.key("traffic.reorder"), fault.traffic.reorder);
    }

    /// Checks the clock and the stored state that a restarted node finds.
    fn check_restart(&mut self) {
        if let Some(clock) = &self.fault.clock {
            self.findings.require_clock(&self.key("clock"), clock);
        }
        let fleet = &self.scenario.fleet;
        let has_folder = fleet.folder || fleet.peers.as_ref().is_some_and(|peers| peers.folder);
        let is_intact = self.fault.folder == StoredState::Intact;
        let requirement = "requires fleet.folder or fleet.peers.folder to be true";
        self.require_consistent(is_intact || has_folder, "folder", requirement);
    }
}
