//! The disturbances of a relay and their combined effect.

use super::Direction;
use crate::scenario::{Directions, Traffic};

/// A disturbance of the traffic of a relay.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Disturbance {
    /// The number that [`Condition::remove`] takes to end it.
    pub(super) number: u64,
    pub(super) directions: Directions,
    pub(super) traffic: Traffic,
}

impl Disturbance {
    fn concerns(&self, direction: Direction) -> bool {
        match self.directions {
            Directions::Both => true,
            Directions::To => direction == Direction::To,
            Directions::From => direction == Direction::From,
        }
    }
}

/// The current disturbances of a relay.
#[derive(Debug, Clone, Default, PartialEq)]
pub(super) struct Condition {
    disturbances: Vec<Disturbance>,
    /// How often all connections were reset. An open connection ends when this changes.
    pub(super) resets: u64,
}

impl Condition {
    pub(super) fn add(&mut self, disturbance: Disturbance) {
        let is_reset = disturbance.traffic.reset || disturbance.traffic.disconnect;
        self.resets += u64::from(is_reset);
        self.disturbances.push(disturbance);
    }

    pub(super) fn remove(&mut self, number: u64) {
        self.disturbances.retain(|disturbance| disturbance.number != number);
    }

    /// The combined effect of all disturbances on a direction: delays are added up; of the other values the
    /// worst applies.
    pub(super) fn traffic(&self, direction: Direction) -> Traffic {
        let mut total = Traffic::default();
        for disturbance in self.disturbances.iter().filter(|disturbance| disturbance.concerns(direction)) {
            let traffic = &disturbance.traffic;
            total.disconnect |= traffic.disconnect;
            total.blackhole |= traffic.blackhole;
            total.delay_ms += traffic.delay_ms;
            total.jitter_ms += traffic.jitter_ms;
            total.loss = total.loss.max(traffic.loss);
            total.duplicate = total.duplicate.max(traffic.duplicate);
            total.reorder = total.reorder.max(traffic.reorder);
            total.kb_per_s = lower_rate(total.kb_per_s, traffic.kb_per_s);
        }
        total
    }

    pub(super) fn is_disconnected(&self) -> bool {
        self.disturbances.iter().any(|disturbance| disturbance.traffic.disconnect)
    }

    pub(super) fn is_blackholed(&self) -> bool {
        self.disturbances.iter().any(|disturbance| disturbance.traffic.blackhole)
    }
}

/// The lower of two rates, where 0 means no limit.
fn lower_rate(first: f64, second: f64) -> f64 {
    if first > 0.0 && second > 0.0 {
        first.min(second)
    } else {
        first.max(second)
    }
}

#[cfg(test)]
mod tests;
