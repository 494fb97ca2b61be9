//! The `[fleet]` table: the nodes, their interpreters, the builds they run and how they are linked.

use std::collections::BTreeMap;

use serde::Deserialize;

use super::defaults;

/// Replicas of a key, unless a scenario says otherwise.
const DEFAULT_REPLICAS: usize = 3;
/// Time between two probes, unless a scenario says otherwise, in milliseconds.
const DEFAULT_PROBE_MS: u64 = 250;

/// The nodes, each with an interpreter of its own.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// How many; they are called n1, n2 and so on.
    pub nodes: usize,
    /// The zones, which nodes and frontends are dealt out to in turn.
    #[serde(default = "defaults::zones")]
    pub zones: Vec<String>,
    /// Cores of each interpreter.
    #[serde(default = "defaults::cores")]
    pub cores: u32,
    /// Speeds of the cores are drawn between these.
    #[serde(default = "defaults::speed")]
    pub speed: [f64; 2],
    /// A fresh interpreter begins with this part of its speed.
    #[serde(default = "defaults::warm_from")]
    pub warm_from: f64,
    /// It is at full speed after so long, rising evenly.
    #[serde(default = "defaults::warm_s")]
    pub warm_s: f64,
    /// Whether interpreters are cold when the scenario begins.
    #[serde(default)]
    pub cold: bool,
    /// The onset of thrashing: runnable tasks for each core past which less is done in total.
    #[serde(default = "defaults::thrash_at")]
    pub thrash_at: f64,
    /// The efficiency of a core that is left at twice that concurrency; it falls linearly from 1 to there and stays.
    #[serde(default = "defaults::thrash")]
    pub thrash: f64,
    /// Memory of an interpreter, for requests held and running.
    #[serde(default = "defaults::memory_kb")]
    pub memory_kb: f64,
    /// A running request takes this many times the memory of one that is held.
    #[serde(default = "defaults::run_factor")]
    pub run_factor: f64,
    /// Work on a core for each request that is read, whatever becomes of it.
    #[serde(default)]
    pub read_ms: f64,
    /// Work on a core for each new connection.
    #[serde(default)]
    pub connect_ms: f64,
    /// How long after SIGTERM the process is stopped.
    #[serde(default = "defaults::stop_ms")]
    pub stop_ms: u64,
    /// Descriptors that the program may hold.
    #[serde(default = "defaults::sockets")]
    pub sockets: u64,
    /// Memory that the program may take.
    #[serde(default = "defaults::memory_mb")]
    pub memory_mb: u64,
    /// Whether each node has a folder that keeps keys and results over restarts.
    #[serde(default)]
    pub folder: bool,
    /// Whether the nodes are one virtual router (VRRP), which talk among themselves.
    pub vrrp: Option<Vrrp>,
    /// Whether the nodes talk among themselves so that a keyed request runs once in the fleet.
    pub peers: Option<Replication>,
    /// Nodes that see the system's clock set by so much, so long after their first start: AT:BY in milliseconds.
    #[serde(default)]
    pub clocks: BTreeMap<String, String>,
    /// Nodes that run another build: the name given to `--program NAME=PATH`, and the nodes.
    #[serde(default)]
    pub programs: BTreeMap<String, Vec<String>>,
}

/// The virtual router that the nodes are: the first one has the highest priority, the next ones less.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vrrp {
    /// Between two advertisements, whole hundredths of a second.
    pub interval_ms: u64,
}

/// How nodes share the outcomes of keyed requests.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Replication {
    /// Off, to see what the same faults do without it.
    #[serde(alias = "on")]
    pub enabled: bool,
    /// Replicas of each key.
    #[serde(alias = "copies")]
    pub replicas: usize,
    /// Between two probes.
    pub probe_ms: u64,
    /// Whether what a node has granted is in a folder that outlasts it.
    pub folder: bool,
    /// Nodes, the last ones, that are in no membership configuration yet when the scenario begins.
    #[serde(alias = "later")]
    pub joining_nodes: usize,
}

impl Default for Replication {
    fn default() -> Self {
        Replication {
            enabled: true,
            replicas: DEFAULT_REPLICAS,
            probe_ms: DEFAULT_PROBE_MS,
            folder: false,
            joining_nodes: 0,
        }
    }
}
