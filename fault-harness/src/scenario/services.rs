//! The tables of the services around the nodes: `[frontends]`, `[dependency]`, which all nodes share, and
//! `[registry]`.

use serde::Deserialize;

use super::defaults;

/// Default number of frontends.
const DEFAULT_FRONTENDS: usize = 4;
/// Default mean delay between two attempts of a frontend, in milliseconds.
const DEFAULT_BACKOFF_MS: f64 = 50.0;
/// Default fraction of frontends that honour Retry-After.
const DEFAULT_RETRY_AFTER_HONOURED: f64 = 0.6;
/// Default range of the delay after which frontends see a change of the registry, in milliseconds.
const DEFAULT_REGISTRY_DELAY_MS: [f64; 2] = [500.0, 1500.0];
/// Default time after which frontends close an idle connection, in seconds.
const DEFAULT_IDLE_TIMEOUT_S: f64 = 10.0;
/// Default time without a heartbeat after which the registry drops a node, in seconds.
const DEFAULT_HEARTBEAT_TIMEOUT_S: f64 = 3.0;

/// The policy by which a frontend picks a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadBalancing {
    /// The next node on the frontend's list.
    #[serde(alias = "round")]
    RoundRobin,
    /// The node with the fewest open requests of this frontend.
    #[serde(alias = "least")]
    LeastRequests,
    /// A random node.
    #[serde(alias = "chance")]
    Random,
}

/// The frontends and the clients behind them.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Frontends {
    /// Number of frontends, from 1 to 64.
    pub count: usize,
    /// Load balancing policies, assigned to the frontends in turn.
    #[serde(alias = "choose")]
    pub load_balancing: Vec<LoadBalancing>,
    /// How often a frontend retries after a rejection or a failure; -1 means until the deadline.
    pub retries: i64,
    /// Mean delay between two attempts, in milliseconds.
    pub backoff_ms: f64,
    /// Whether a frontend tries the next node on its list immediately after a rejection.
    #[serde(alias = "walk")]
    pub try_next_node: bool,
    /// Fraction of frontends that honour Retry-After and the hint not to try another node.
    #[serde(alias = "heed")]
    pub retry_after_honoured: f64,
    /// How often a client itself retries, with the same key and not marked as a retry.
    pub client_retries: u32,
    /// Range of the delay after which a frontend sees a change of the registry, in milliseconds; drawn for
    /// each frontend.
    #[serde(alias = "list_late_ms")]
    pub registry_delay_ms: [f64; 2],
    /// Time after which frontends close an idle connection, in seconds.
    #[serde(alias = "idle_s")]
    pub idle_timeout_s: f64,
}

impl Default for Frontends {
    fn default() -> Self {
        Frontends {
            count: DEFAULT_FRONTENDS,
            load_balancing: vec![LoadBalancing::RoundRobin],
            retries: 1,
            backoff_ms: DEFAULT_BACKOFF_MS,
            try_next_node: false,
            retry_after_honoured: DEFAULT_RETRY_AFTER_HONOURED,
            client_retries: 1,
            registry_delay_ms: DEFAULT_REGISTRY_DELAY_MS,
            idle_timeout_s: DEFAULT_IDLE_TIMEOUT_S,
        }
    }
}

/// The simulated dependency, which all nodes share.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Dependency {
    /// Number of calls that it processes concurrently.
    pub slots: usize,
    /// Mean duration of a call, in milliseconds.
    pub work_ms: f64,
    /// Coefficient of variation of the duration.
    #[serde(default = "defaults::variation")]
    pub cv: f64,
    /// Maximum number of queued calls; more are rejected.
    #[serde(default)]
    pub queue: usize,
}

/// The registry: the service that nodes send heartbeats to and frontends take the list of nodes from.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Registry {
    /// Time after its last heartbeat at which a node is dropped from the list, in seconds.
    #[serde(alias = "lapse_s")]
    pub heartbeat_timeout_s: f64,
}

impl Default for Registry {
    fn default() -> Self {
        Registry { heartbeat_timeout_s: DEFAULT_HEARTBEAT_TIMEOUT_S }
    }
}
