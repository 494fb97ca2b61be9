//! The `[[fault]]` tables: the kind of each fault, its time and its targets.

use serde::Deserialize;

use super::defaults;

/// A fault with its time and its targets.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Time of the injection, in seconds after the start of the load; excludes `when`.
    pub at_s: Option<f64>,
    /// Interval at which the fault is injected again, in seconds; its targets are drawn anew each time.
    #[serde(alias = "again_s")]
    pub repeat_every_s: Option<f64>,
    /// The event that triggers the injection; excludes `at_s`.
    pub when: Option<Trigger>,
    /// Duration in seconds, for the kinds of faults that have one.
    #[serde(alias = "for_s")]
    pub duration_s: Option<f64>,
    /// The kind of fault.
    pub what: FaultKind,
    /// Names of the target nodes.
    #[serde(default)]
    pub nodes: Vec<String>,
    /// The zone whose nodes are the targets.
    pub zone: Option<String>,
    /// Fraction of all nodes, or of all frontends, that are drawn as targets by the seed.
    #[serde(alias = "part")]
    pub fraction: Option<f64>,
    /// Number of waves that the targets are split into.
    #[serde(default = "defaults::waves")]
    pub waves: usize,
    /// Interval between two waves, in seconds.
    #[serde(default = "defaults::wave_interval_s", alias = "every_s")]
    pub wave_interval_s: f64,
    /// Time from a `kill` or `shutdown` to the restart of the node, in seconds; if absent, the node stays
    /// down.
    pub down_s: Option<f64>,
    /// The stored state that a restarted node finds.
    #[serde(default)]
    pub folder: StoredState,
    /// Fraction of the speed that remains during `slow`, or of the slots that remain during `dependency`.
    #[serde(default = "defaults::fault_factor")]
    pub factor: f64,
    /// Whether `pause` pauses only the program and the interpreter keeps running.
    #[serde(default)]
    pub program_only: bool,
    /// Kinds of links of the target nodes that `link` disturbs.
    #[serde(default)]
    pub between: Vec<Link>,
    /// Peers whose links are disturbed by `link` with `peers`; all if empty.
    #[serde(default)]
    pub with: Vec<String>,
    /// Direction that `link` disturbs, as seen from the target nodes.
    #[serde(default, alias = "way")]
    pub direction: Directions,
    /// Effect of `link` on the traffic.
    #[serde(default)]
    pub traffic: Traffic,
    /// Build that the node runs from its restart after `kill` or `shutdown` on, by its name in `--program`.
    pub program: Option<String>,
    /// Clock shift of the program restarted after `kill` or `shutdown`, as AT:BY in milliseconds: AT after
    /// its start, it sees the system clock set by BY.
    pub clock: Option<String>,
    /// Whether the node restarts after `kill` or `shutdown` with the membership configuration before the last
    /// one.
    #[serde(default, alias = "old_list")]
    pub previous_membership: bool,
}

/// The event that triggers a fault: a number of occurrences on one node.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trigger {
    /// Name of the node.
    pub node: String,
    /// The kind of event.
    pub event: NodeEvent,
    /// The number of occurrences that triggers the fault.
    pub count: u64,
    /// Delay between the event and the injection, in milliseconds.
    #[serde(default)]
    pub after_ms: f64,
}

/// The kinds of events that can trigger a fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeEvent {
    /// An attempt was written to the node.
    #[serde(alias = "written")]
    AttemptWritten,
    /// The interpreter started a run.
    #[serde(alias = "began")]
    RunStarted,
    /// A run ended, and the interpreter is about to report it.
    #[serde(alias = "ended")]
    RunEnded,
    /// The node answered an attempt with a result.
    #[serde(alias = "served")]
    AttemptServed,
}

/// What a fault does: the value of `what` in a scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The program and its interpreter are killed (SIGKILL).
    Kill,
    /// The program gets SIGTERM, and SIGKILL if it still runs after the time for a graceful shutdown.
    #[serde(alias = "leave")]
    Shutdown,
    /// The program and its interpreter are paused (SIGSTOP).
    #[serde(alias = "stop")]
    Pause,
    /// The interpreter runs at a fraction of its speed.
    Slow,
    /// The targets are partitioned from all others; no traffic passes in either direction.
    Partition,
    /// The traffic on some links of the targets is disturbed.
    Link,
    /// The dependency has only a fraction of its slots and rejects calls that find none free.
    #[serde(alias = "below")]
    Dependency,
    /// The registry receives no heartbeats and leaves its list unchanged.
    #[serde(alias = "members")]
    Registry,
    /// Frontends restart: all their connections close at once. `fraction` is the fraction of frontends.
    #[serde(alias = "fronts")]
    Frontends,
    /// The program reloads its configuration files (SIGHUP).
    Reload,
    /// The targets are removed from the membership configuration, which all nodes get one after the other.
    #[serde(alias = "unlist")]
    RemoveMembers,
    /// The targets are added to the membership configuration, which all nodes get one after the other.
    #[serde(alias = "enlist")]
    AddMembers,
}

impl FaultKind {
    /// Whether the fault lasts for a time that the scenario has to give as `duration_s`.
    pub fn has_duration(self) -> bool {
        match self {
            FaultKind::Pause
            | FaultKind::Slow
            | FaultKind::Partition
            | FaultKind::Link
            | FaultKind::Dependency
            | FaultKind::Registry => true,
            FaultKind::Kill
            | FaultKind::Shutdown
            | FaultKind::Frontends
            | FaultKind::Reload
            | FaultKind::RemoveMembers
            | FaultKind::AddMembers => false,
        }
    }

    /// The name of the fault in scenarios, reports and charts.
    pub fn name(self) -> &'static str {
        match self {
            FaultKind::Kill => "kill",
            FaultKind::Shutdown => "shutdown",
            FaultKind::Pause => "pause",
            FaultKind::Slow => "slow",
            FaultKind::Partition => "partition",
            FaultKind::Link => "link",
            FaultKind::Dependency => "dependency",
            FaultKind::Registry => "registry",
            FaultKind::Frontends => "frontends",
            FaultKind::Reload => "reload",
            FaultKind::RemoveMembers => "remove_members",
            FaultKind::AddMembers => "add_members",
        }
    }
}

/// The state that a restarted node finds in its folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredState {
    /// The state that the program left.
    #[default]
    #[serde(alias = "keep")]
    Intact,
    /// No state.
    #[serde(alias = "lost")]
    Erased,
    /// The state that the program left, with the newest file truncated at a byte drawn by the seed.
    #[serde(alias = "cut")]
    Truncated,
    /// A copy of the state from the start of the load.
    #[serde(alias = "old")]
    Stale,
}

/// The kinds of links of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Link {
    /// Links to the frontends.
    #[serde(alias = "clients")]
    Frontends,
    /// The link to its interpreter.
    #[serde(alias = "vm")]
    Interpreter,
    /// The link to the dependency.
    #[serde(alias = "below")]
    Dependency,
    /// The link to the registry.
    #[serde(alias = "members")]
    Registry,
    /// Links to other nodes, for replication and for the virtual router.
    Peers,
}

/// The directions in which the traffic of a node is disturbed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Directions {
    /// Both directions.
    #[default]
    Both,
    /// Traffic to the node.
    To,
    /// Traffic from the node.
    From,
}

/// The effect of a disturbance on traffic. All given effects apply together.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// Open connections are closed, and new ones are closed at once. Datagrams are lost.
    #[serde(alias = "cut")]
    pub disconnect: bool,
    /// Connections are accepted and stay open, but no bytes pass until the disturbance ends. Datagrams are
    /// lost.
    #[serde(alias = "silent")]
    pub blackhole: bool,
    /// Open connections are reset once, when the disturbance begins.
    pub reset: bool,
    /// Delay of each chunk or datagram, in milliseconds.
    pub delay_ms: f64,
    /// Maximum additional random delay, in milliseconds, drawn for each chunk or datagram.
    #[serde(alias = "spread_ms")]
    pub jitter_ms: f64,
    /// Maximum rate of a connection in each direction, in 1000 bytes per second; 0 means no limit.
    pub kb_per_s: f64,
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Fraction of datagrams that arrive twice.
    pub duplicate: f64,
    /// Fraction of datagrams that are delayed so that later ones overtake them.
    pub reorder: f64,
}
