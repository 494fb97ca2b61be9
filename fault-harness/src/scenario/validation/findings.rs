//! Collects the mistakes in a scenario, with a method for each kind of requirement.

use std::fmt::Display;

use crate::scenario::ScenarioError;

/// The mistakes found so far, in the order in which the keys are checked.
#[derive(Default)]
pub(super) struct Findings {
    errors: Vec<ScenarioError>,
}

impl Findings {
    /// All mistakes found.
    pub(super) fn into_errors(self) -> Vec<ScenarioError> {
        self.errors
    }

    /// Records a mistake.
    pub(super) fn add(&mut self, error: ScenarioError) {
        self.errors.push(error);
    }

    /// Records that the value of a key is not allowed, unless the condition holds. `requirement` completes
    /// the sentence "must be ...".
    pub(super) fn require(&mut self, holds: bool, key: &str, value: impl Display, requirement: &'static str) {
        if !holds {
            let value = value.to_string();
            self.add(ScenarioError::NotAllowed { key: key.into(), value, requirement });
        }
    }

    /// Records that a key is inconsistent with other keys, unless the condition holds. `requirement` is the
    /// text that follows the key in the message.
    pub(super) fn require_consistent(&mut self, holds: bool, key: &str, requirement: &'static str) {
        if !holds {
            self.add(ScenarioError::Inconsistent { key: key.into(), requirement });
        }
    }

    pub(super) fn require_fraction(&mut self, key: &str, value: f64) {
        self.require((0.0..=1.0).contains(&value), key, value, "from 0 to 1");
    }

    pub(super) fn require_positive_fraction(&mut self, key: &str, value: f64) {
        self.require(value > 0.0 && value <= 1.0, key, value, "above 0 and at most 1");
    }

    /// Requires two bounds that are not negative, the lower one first.
    pub(super) fn require_interval(&mut self, key: &str, bounds: [f64; 2]) {
        let [low, high] = bounds;
        let is_interval = low >= 0.0 && low <= high;
        self.require(is_interval, key, format!("{bounds:?}"), "two numbers, 0 or more, the lower first");
    }

    /// Requires the name of a node of the fleet.
    pub(super) fn require_node(&mut self, node_names: &[String], key: &str, node: &String) {
        if !node_names.contains(node) {
            self.add(ScenarioError::UnknownNode { key: key.into(), node: node.clone() });
        }
    }

    /// Requires a clock shift of the form AT:BY: when and by how much the clock is set, in milliseconds.
    pub(super) fn require_clock(&mut self, key: &str, clock: &str) {
        let parts = clock.split_once(':');
        let is_clock = parts.is_some_and(|(at, by)| at.parse::<u64>().is_ok() && by.parse::<i64>().is_ok());
        if !is_clock {
            self.add(ScenarioError::InvalidClock { key: key.into(), value: clock.into() });
        }
    }
}
