//! Scenarios: the fleet, the load, the simulated services and the faults. A file is validated as a whole
//! before anything starts; each mistake is one line that names its key. `docs/fault-harness.md` explains
//! every key.

mod defaults;
mod error;
mod fault;
mod fleet;
mod former_keys;
mod load;
mod overrides;
mod rules;
mod services;
mod validation;

use std::path::Path;

use serde::Deserialize;

use crate::model::MS_PER_SECOND;

pub use error::{ScenarioError, ScenarioErrors};
pub use fault::{Directions, Fault, FaultKind, Link, NodeEvent, StoredState, Traffic, Trigger};
pub use fleet::{Fleet, Replication, Vrrp};
pub use load::{Class, Load, LoadStep, RepeatAt};
pub use rules::{Rules, RunScope};
pub use services::{Dependency, Frontends, LoadBalancing, Registry};

/// A scenario, as its file describes it. Fields ending in `_s` are in seconds, those ending in `_ms` in
/// milliseconds.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Name of the scenario in reports.
    pub name: String,
    /// Description in one sentence.
    #[serde(default, alias = "about")]
    pub description: String,
    /// Duration of the load, in seconds.
    pub seconds: f64,
    /// Seed of the random numbers; an option of a command can replace it.
    #[serde(default = "defaults::seed")]
    pub seed: u64,
    /// The nodes.
    pub fleet: Fleet,
    /// The classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// The requests that clients send.
    pub load: Load,
    /// The frontends and the clients behind them.
    #[serde(default, alias = "fronts")]
    pub frontends: Frontends,
    /// The dependency that runs call; absent if there is none.
    #[serde(alias = "below")]
    pub dependency: Option<Dependency>,
    /// The registry that nodes send heartbeats to and frontends take the list of nodes from.
    #[serde(default, alias = "members")]
    pub registry: Registry,
    /// Parameters of the rules that the checker applies.
    #[serde(default)]
    pub rules: Rules,
    /// The faults that are injected.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

impl Scenario {
    /// Reads and validates a file after overriding some keys.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, or all mistakes that were found in it.
    pub fn read(path: &Path, changes: &[(String, String)]) -> Result<Scenario, ScenarioErrors> {
        let text = std::fs::read_to_string(path)
            .map_err(|source| ScenarioError::Unreadable { path: path.into(), source })?;
        Scenario::parse(&text, changes)
    }

    /// Parses and validates a text after overriding some keys, such as `load.load` with `1.2`.
    ///
    /// # Errors
    ///
    /// All mistakes that were found.
    pub fn parse(text: &str, changes: &[(String, String)]) -> Result<Scenario, ScenarioErrors> {
        let mut table: toml::Table = text.parse().map_err(|error| syntax_error(&error, text))?;
        for (key, value) in changes {
            overrides::set(&mut table, key, value)?;
        }
        let scenario: Scenario = serde_path_to_error::deserialize(table).map_err(|error| {
            let message = error.inner().message().to_string();
            ScenarioError::Malformed { key: error.path().to_string(), message }
        })?;
        let errors = validation::validate(&scenario);
        if errors.is_empty() {
            Ok(scenario)
        } else {
            Err(errors.into())
        }
    }

    /// Capacity of all cores when warm, in milliseconds of work per millisecond.
    pub fn capacity(&self) -> f64 {
        let speed = f64::midpoint(self.fleet.speed[0], self.fleet.speed[1]);
        self.fleet.nodes as f64 * f64::from(self.fleet.cores) * speed
    }

    /// Mean work of a request over all classes, in milliseconds.
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        self.classes.iter().map(|class| class.share * class.work_ms).sum::<f64>() / shares
    }

    /// Rate of first attempts outside of steps, per second.
    pub fn rate(&self) -> f64 {
        match (self.load.rate, self.load.load) {
            (Some(rate), _) => rate,
            (None, load) => {
                load.unwrap_or(0.0) * self.capacity() * MS_PER_SECOND
                    / (self.mean_work() + self.fleet.read_ms)
            }
        }
    }

    /// The names of all nodes, in order.
    pub fn node_names(&self) -> Vec<String> {
        (1..=self.fleet.nodes).map(|number| format!("n{number}")).collect()
    }

    /// Position of the zone of the node, or of the frontend, at this position.
    pub fn zone_of(&self, position: usize) -> usize {
        position % self.fleet.zones.len()
    }
}

/// Converts a TOML syntax error: keeps the last line of the parser's message and the line number.
fn syntax_error(error: &toml::de::Error, text: &str) -> ScenarioError {
    let start = error.span().map_or(0, |span| span.start.min(text.len()));
    let line = text.get(..start).unwrap_or(text).matches('\n').count() + 1;
    let message = error.to_string().lines().last().unwrap_or_default().to_string();
    ScenarioError::Syntax { line, message }
}

#[cfg(test)]
mod tests;
