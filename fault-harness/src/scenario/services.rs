//! The tables of everything around the nodes: `[fronts]`, `[below]` (the dependency that all nodes share) and `[members]`.

use serde::Deserialize;

use super::defaults::half;

/// How a frontend chooses a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Choose {
    /// The next one on its list.
    Round,
    /// The one with the fewest of its own requests out.
    Least,
    /// Any one, by chance.
    Chance,
}

/// The frontends and the clients behind them.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fronts {
    /// How many.
    pub count: usize,
    /// How they choose a node; they take turns in this list.
    pub choose: Vec<Choose>,
    /// How often one retries after a refusal or a failure; -1 knows no limit but the deadline.
    pub retries: i64,
    /// How long it waits between two attempts, where no advice is heeded.
    pub backoff_ms: f64,
    /// After a refusal it goes on through its list at once.
    pub walk: bool,
    /// The part of frontends that heed advice: to stay away, and not to try elsewhere.
    pub heed: f64,
    /// How often a client retries by itself, with the same key, unmarked.
    pub client_retries: u32,
    /// How late they see the list of nodes, between these.
    pub list_late_ms: [f64; 2],
    /// They close connections idle for this long.
    pub idle_s: f64,
}

impl Default for Fronts {
    fn default() -> Self {
        Fronts {
            count: 4,
            choose: vec![Choose::Round],
            retries: 1,
            backoff_ms: 50.0,
            walk: false,
            heed: 0.6,
            client_retries: 1,
            list_late_ms: [500.0, 1500.0],
            idle_s: 10.0,
        }
    }
}

/// The dependency that all nodes share.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Below {
    /// Calls that it works on at a time.
    pub slots: usize,
    /// Mean time of one.
    pub work_ms: f64,
    /// How far that is spread.
    #[serde(default = "half")]
    pub cv: f64,
    /// Calls that may wait; more are refused.
    #[serde(default)]
    pub queue: usize,
}

/// The membership service.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Members {
    /// A node is off the list so long after its last report.
    pub lapse_s: f64,
}

impl Default for Members {
    fn default() -> Self {
        Members { lapse_s: 3.0 }
    }
}
