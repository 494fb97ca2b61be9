//! The tables of everything around the nodes: `[frontends]`, `[dependency]`, which all nodes share, and `[registry]`.

use serde::Deserialize;

use super::defaults::half;

/// How a frontend picks a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadBalancing {
    /// The next one on its list.
    #[serde(alias = "round")]
    RoundRobin,
    /// The one with the fewest open requests of this frontend.
    #[serde(alias = "least")]
    LeastRequests,
    /// Any one, at random.
    #[serde(alias = "chance")]
    Random,
}

/// The frontends and the clients behind them.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Frontends {
    /// How many.
    pub count: usize,
    /// How they pick a node; frontends take turns in this list.
    #[serde(alias = "choose")]
    pub load_balancing: Vec<LoadBalancing>,
    /// How often one retries after a rejection or a failure; -1 means no limit but the deadline.
    pub retries: i64,
    /// The mean wait between two attempts, in milliseconds.
    pub backoff_ms: f64,
    /// After a rejection it tries the next node on its list at once.
    #[serde(alias = "walk")]
    pub try_next_node: bool,
    /// The fraction of frontends that honour Retry-After, and the wish that no other node be tried.
    #[serde(alias = "heed")]
    pub retry_after_honoured: f64,
    /// How often a client retries by itself, with the same key, unmarked.
    pub client_retries: u32,
    /// How late they see a change of the registry: between these, drawn for each frontend.
    #[serde(alias = "list_late_ms")]
    pub registry_delay_ms: [f64; 2],
    /// They close connections that are idle for this long.
    #[serde(alias = "idle_s")]
    pub idle_timeout_s: f64,
}

impl Default for Frontends {
    fn default() -> Self {
        Frontends {
            count: 4,
            load_balancing: vec![LoadBalancing::RoundRobin],
            retries: 1,
            backoff_ms: 50.0,
            try_next_node: false,
            retry_after_honoured: 0.6,
            client_retries: 1,
            registry_delay_ms: [500.0, 1500.0],
            idle_timeout_s: 10.0,
        }
    }
}

/// The dependency that all nodes share.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Dependency {
    /// Calls that it works on at a time.
    pub slots: usize,
    /// Mean time of one.
    pub work_ms: f64,
    /// How far that is spread.
    #[serde(default = "half")]
    pub cv: f64,
    /// Calls that may be queued; more are rejected.
    #[serde(default)]
    pub queue: usize,
}

/// The registry: the service that nodes send heartbeats to and frontends take the list of nodes from.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Registry {
    /// A node is taken off the list so long after its last heartbeat.
    #[serde(alias = "lapse_s")]
    pub heartbeat_timeout_s: f64,
}

impl Default for Registry {
    fn default() -> Self {
        Registry { heartbeat_timeout_s: 3.0 }
    }
}
