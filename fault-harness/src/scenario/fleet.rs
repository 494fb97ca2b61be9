//! The `[fleet]` table: the nodes, their interpreters, the builds they run and how they are linked.

use std::collections::BTreeMap;

use serde::Deserialize;

use super::defaults::{eight, quarter};

/// The nodes, each with an interpreter of its own.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// How many; they are called n1, n2 and so on.
    pub nodes: usize,
    /// The zones, which nodes and frontends are dealt out to in turn.
    #[serde(default = "one_zone")]
    pub zones: Vec<String>,
    /// Cores of each interpreter.
    #[serde(default = "two_u32")]
    pub cores: u32,
    /// Speeds of the cores are drawn between these.
    #[serde(default = "even")]
    pub speed: [f64; 2],
    /// A fresh interpreter begins with this part of its speed.
    #[serde(default = "quarter")]
    pub warm_from: f64,
    /// It is at full speed after so long, rising evenly.
    #[serde(default = "eight")]
    pub warm_s: f64,
    /// Whether interpreters are cold when the scenario begins.
    #[serde(default)]
    pub cold: bool,
    /// Past so many on the cores, for each core, less is done in total.
    #[serde(default = "thrash_at")]
    pub thrash_at: f64,
    /// The part that is done at twice that crowd; it falls evenly to there and stays.
    #[serde(default = "thrash")]
    pub thrash: f64,
    /// Memory of an interpreter, for requests held and running.
    #[serde(default = "memory_kb")]
    pub memory_kb: f64,
    /// A running request takes this many times the memory of one that is held.
    #[serde(default = "eight")]
    pub run_factor: f64,
    /// Work on a core for each request that is read, whatever becomes of it.
    #[serde(default)]
    pub read_ms: f64,
    /// Work on a core for each new connection.
    #[serde(default)]
    pub connect_ms: f64,
    /// How long after SIGTERM the process is stopped.
    #[serde(default = "stop_ms")]
    pub stop_ms: u64,
    /// Descriptors that the program may hold.
    #[serde(default = "sockets")]
    pub sockets: u64,
    /// Memory that the program may take.
    #[serde(default = "memory_mb")]
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
        Replication { enabled: true, replicas: 3, probe_ms: 250, folder: false, joining_nodes: 0 }
    }
}

fn one_zone() -> Vec<String> {
    vec!["here".into()]
}

fn two_u32() -> u32 {
    2
}

fn even() -> [f64; 2] {
    [1.0, 1.0]
}

fn thrash_at() -> f64 {
    1.4
}

fn thrash() -> f64 {
    0.7
}

fn memory_kb() -> f64 {
    24_000.0
}

fn stop_ms() -> u64 {
    6_000
}

fn sockets() -> u64 {
    512
}

fn memory_mb() -> u64 {
    64
}
