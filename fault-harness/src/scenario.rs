//! Scenarios: the fleet, the load, the services around it and the faults. A file is checked whole before anything starts;
//! each mistake is one line that names its key. `docs/fault-harness.md` explains every key.

mod defaults;
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

pub use fault::{Directions, Fault, FaultKind, Link, NodeEvent, StoredState, Traffic, Trigger};
pub use fleet::{Fleet, Replication, Vrrp};
pub use load::{Class, Load, LoadStep, RepeatAt};
pub use rules::{Rules, RunScope};
pub use services::{Dependency, Frontends, LoadBalancing, Registry};

/// A scenario as it is written. Times ending in `_s` are seconds, in `_ms` milliseconds.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What it is called in reports.
    pub name: String,
    /// What it is about, in a sentence.
    #[serde(default, alias = "about")]
    pub description: String,
    /// How long load is sent.
    pub seconds: f64,
    /// What the random numbers begin with.
    #[serde(default = "defaults::one_u64")]
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
    /// The dependency, if requests call one.
    #[serde(alias = "below")]
    pub dependency: Option<Dependency>,
    /// The registry that nodes send heartbeats to and frontends take the list of nodes from.
    #[serde(default, alias = "members")]
    pub registry: Registry,
    /// What the checker holds the fleet to.
    #[serde(default)]
    pub rules: Rules,
    /// What goes wrong.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

/// What is wrong with a scenario: a line for each mistake, which names its key.
pub type Mistakes = Vec<String>;

impl Scenario {
    /// Reads and checks a file, with some keys set to other values.
    ///
    /// # Errors
    ///
    /// If the file cannot be read, or with a line for each mistake in it.
    pub fn read(path: &Path, changes: &[(String, String)]) -> Result<Scenario, Mistakes> {
        let text = std::fs::read_to_string(path).map_err(|e| vec![format!("{}: {e}", path.display())])?;
        Scenario::parse(&text, changes)
    }

    /// Reads and checks a text, with some keys set to other values (`load.load=1.2`).
    ///
    /// # Errors
    ///
    /// A line for each mistake.
    pub fn parse(text: &str, changes: &[(String, String)]) -> Result<Scenario, Mistakes> {
        let mut table: toml::Table =
            text.parse().map_err(|e: toml::de::Error| vec![first_line(&e.to_string(), text, e.span())])?;
        for (key, value) in changes {
            overrides::set(&mut table, key, value).map_err(|e| vec![e])?;
        }
        let scenario: Scenario = serde_path_to_error::deserialize(table)
            .map_err(|e| vec![format!("{}: {}", e.path(), e.inner().message())])?;
        let mistakes = validation::mistakes(&scenario);
        if mistakes.is_empty() {
            Ok(scenario)
        } else {
            Err(mistakes)
        }
    }

    /// What all cores can do when warm, in milliseconds of work a millisecond.
    pub fn capacity(&self) -> f64 {
        let speed = f64::midpoint(self.fleet.speed[0], self.fleet.speed[1]);
        self.fleet.nodes as f64 * f64::from(self.fleet.cores) * speed
    }

    /// The mean work of a request.
    pub fn mean_work(&self) -> f64 {
        let shares: f64 = self.classes.iter().map(|class| class.share).sum();
        self.classes.iter().map(|class| class.share * class.work_ms).sum::<f64>() / shares
    }

    /// First attempts a second, outside of steps.
    pub fn rate(&self) -> f64 {
        match (self.load.rate, self.load.load) {
            (Some(rate), _) => rate,
            (None, load) => {
                load.unwrap_or(0.0) * self.capacity() * 1000.0 / (self.mean_work() + self.fleet.read_ms)
            }
        }
    }

    /// The names of all nodes, in order.
    pub fn node_names(&self) -> Vec<String> {
        (1..=self.fleet.nodes).map(|n| format!("n{n}")).collect()
    }

    /// The zone of a node or of a frontend, by position.
    pub fn zone_of(&self, position: usize) -> usize {
        position % self.fleet.zones.len()
    }
}

/// A parser's message in one line with the line that it is about.
fn first_line(message: &str, text: &str, span: Option<std::ops::Range<usize>>) -> String {
    let line = span.map_or(1, |span| text[..span.start.min(text.len())].matches('\n').count() + 1);
    format!("line {line}: {}", message.lines().last().unwrap_or_default())
}

#[cfg(test)]
mod tests;
