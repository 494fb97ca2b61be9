//! The `[fleet]` table: the nodes, their interpreters, the builds that they run and the links among them.

use std::collections::BTreeMap;

use serde::Deserialize;

use super::defaults;

/// Default number of replicas of a key.
const DEFAULT_REPLICAS: usize = 3;
/// Default interval between two probes, in milliseconds.
const DEFAULT_PROBE_MS: u64 = 250;

/// The nodes, each with its own interpreter.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Number of nodes, from 1 to 64; their names are n1, n2 and so on.
    pub nodes: usize,
    /// Names of the zones. Nodes and frontends are assigned to them in turn.
    #[serde(default = "defaults::zones")]
    pub zones: Vec<String>,
    /// Number of cores of each interpreter.
    #[serde(default = "defaults::cores")]
    pub cores: u32,
    /// Range from which the core speed of each node is drawn; 1 is the reference speed.
    #[serde(default = "defaults::speed")]
    pub speed: [f64; 2],
    /// Fraction of its speed at which a newly started interpreter begins.
    #[serde(default = "defaults::warm_from")]
    pub warm_from: f64,
    /// Time after which a newly started interpreter has its full speed, in seconds; the speed rises linearly.
    #[serde(default = "defaults::warm_s")]
    pub warm_s: f64,
    /// Whether interpreters are cold at the start of the scenario.
    #[serde(default)]
    pub cold: bool,
    /// Onset of thrashing: the number of runnable tasks per core above which the total throughput falls.
    #[serde(default = "defaults::thrash_at")]
    pub thrash_at: f64,
    /// Efficiency of a core at twice the concurrency of `thrash_at`. It falls linearly from 1 at `thrash_at`
    /// to this value and stays there.
    #[serde(default = "defaults::thrash")]
    pub thrash: f64,
    /// Memory of an interpreter for held and running requests, in KB.
    #[serde(default = "defaults::memory_kb")]
    pub memory_kb: f64,
    /// Memory of a running request, as a multiple of that of a held one.
    #[serde(default = "defaults::run_factor")]
    pub run_factor: f64,
    /// CPU time for reading a request, whether it is run or not, in milliseconds.
    #[serde(default)]
    pub read_ms: f64,
    /// CPU time for accepting a connection, in milliseconds.
    #[serde(default)]
    pub connect_ms: f64,
    /// Time between SIGTERM and SIGKILL at a shutdown, in milliseconds.
    #[serde(default = "defaults::stop_ms")]
    pub stop_ms: u64,
    /// Maximum number of open descriptors of the program.
    #[serde(default = "defaults::sockets")]
    pub sockets: u64,
    /// Maximum resident memory of the program, in MB.
    #[serde(default = "defaults::memory_mb")]
    pub memory_mb: u64,
    /// Whether each node has a folder in which keys and results survive restarts.
    #[serde(default)]
    pub folder: bool,
    /// The virtual router (VRRP) that the nodes form; absent if they form none.
    pub vrrp: Option<Vrrp>,
    /// Replication of idempotency keys, by which a keyed request runs once in the fleet; absent without
    /// replication.
    pub peers: Option<Replication>,
    /// Clock shifts by node name, as AT:BY in milliseconds: AT after its first start, the node sees the
    /// system clock set by BY.
    #[serde(default)]
    pub clocks: BTreeMap<String, String>,
    /// Nodes that run another build, by the name of the build in `--program NAME=PATH`.
    #[serde(default)]
    pub programs: BTreeMap<String, Vec<String>>,
}

/// The virtual router that the nodes form. The first node has the highest priority, each further one a lower
/// one.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vrrp {
    /// Interval between two advertisements, in milliseconds; a multiple of 10.
    pub interval_ms: u64,
}

/// Replication of idempotency keys among the nodes.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Replication {
    /// Whether replication is on; switched off to compare the same faults without it.
    #[serde(alias = "on")]
    pub enabled: bool,
    /// Number of replicas of each key, from 1 to 9.
    #[serde(alias = "copies")]
    pub replicas: usize,
    /// Interval between two probes, in milliseconds.
    pub probe_ms: u64,
    /// Whether each node has a folder in which its votes survive restarts.
    pub folder: bool,
    /// Number of nodes, counted from the last one, that are not in the first membership configuration and
    /// join later.
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
