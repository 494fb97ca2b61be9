//! The `[[fault]]` tables: what goes wrong, when, and which nodes it strikes.

use serde::Deserialize;

use super::defaults::{half, one_f64, one_usize};

/// What goes wrong, when, and whom it strikes.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When; in its place `when` may stand.
    pub at_s: Option<f64>,
    /// It is injected again each time so long after, with its targets drawn anew.
    #[serde(alias = "again_s")]
    pub repeat_every_s: Option<f64>,
    /// An event that it waits for.
    pub when: Option<Trigger>,
    /// How long it lasts, where it lasts.
    #[serde(alias = "for_s")]
    pub duration_s: Option<f64>,
    /// What happens.
    pub what: FaultKind,
    /// Nodes by name.
    #[serde(default)]
    pub nodes: Vec<String>,
    /// All nodes of this zone.
    pub zone: Option<String>,
    /// This fraction of all nodes, drawn by the seed.
    #[serde(alias = "part")]
    pub fraction: Option<f64>,
    /// Its targets are hit in so many waves.
    #[serde(default = "one_usize")]
    pub waves: usize,
    /// Between two waves.
    #[serde(default = "one_f64", alias = "every_s")]
    pub wave_interval_s: f64,
    /// After `kill` and `shutdown`: how long until the node is started again; absent, it stays down.
    pub down_s: Option<f64>,
    /// What a restarted node finds in its folder.
    #[serde(default)]
    pub folder: StoredState,
    /// For `slow`: what is left of the speed. For `dependency`: what is left of the slots.
    #[serde(default = "half")]
    pub factor: f64,
    /// For `pause`: the interpreter goes on.
    #[serde(default)]
    pub program_only: bool,
    /// For `link`: whose traffic with the node.
    #[serde(default)]
    pub between: Vec<Link>,
    /// For `link`: of its traffic with other nodes, only that with these.
    #[serde(default)]
    pub with: Vec<String>,
    /// For `link`: in which direction.
    #[serde(default, alias = "way")]
    pub direction: Directions,
    /// For `link`: what happens to the traffic.
    #[serde(default)]
    pub traffic: Traffic,
    /// For `restart`: the build that the node has from then on, by the name of `--program`.
    pub program: Option<String>,
    /// After `kill` and `shutdown`: the restarted program sees the system's clock set by so much, from so long after its start
    /// on: AT:BY in milliseconds.
    pub clock: Option<String>,
    /// After `kill` and `shutdown`: the node starts with the membership configuration before the last.
    #[serde(default, alias = "old_list")]
    pub previous_membership: bool,
}

/// An event that a fault waits for: a node has done something so many times.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Trigger {
    /// Which node.
    pub node: String,
    /// What it has done.
    pub event: NodeEvent,
    /// How many times.
    pub count: u64,
    /// So long after that.
    #[serde(default)]
    pub after_ms: f64,
}

/// What a fault can wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeEvent {
    /// An attempt was written to it.
    #[serde(alias = "written")]
    AttemptWritten,
    /// A run started.
    #[serde(alias = "began")]
    RunStarted,
    /// A run ended, and the interpreter is about to say so.
    #[serde(alias = "ended")]
    RunEnded,
    /// An attempt was served.
    #[serde(alias = "served")]
    AttemptServed,
}

/// What can go wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The program and its interpreter are killed (SIGKILL).
    Kill,
    /// The program gets SIGTERM, and SIGKILL when its time for a graceful shutdown is over.
    #[serde(alias = "leave")]
    Shutdown,
    /// The program is paused (SIGSTOP), and its interpreter with it.
    #[serde(alias = "stop")]
    Pause,
    /// The interpreter has a fraction of its speed.
    Slow,
    /// The targets are partitioned from everybody else: neither side hears the other.
    Partition,
    /// Traffic with the targets suffers.
    Link,
    /// The dependency has a fraction of its slots and rejects what finds none.
    #[serde(alias = "below")]
    Dependency,
    /// The registry receives no heartbeats; its list stays as it is.
    #[serde(alias = "members")]
    Registry,
    /// Frontends restart: all their connections end at once. `fraction` counts frontends here.
    #[serde(alias = "fronts")]
    Frontends,
    /// The program gets SIGHUP.
    Reload,
    /// The next membership configuration lacks the targets. All nodes get it, one after the other.
    #[serde(alias = "unlist")]
    RemoveMembers,
    /// The next membership configuration has the targets as well. All nodes get it, one after the other.
    #[serde(alias = "enlist")]
    AddMembers,
}

impl FaultKind {
    /// Its name in scenarios, reports and charts.
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
    /// What it left.
    #[default]
    #[serde(alias = "keep")]
    Intact,
    /// Nothing.
    #[serde(alias = "lost")]
    Erased,
    /// What it left, with the newest file truncated at a byte drawn by the seed.
    #[serde(alias = "cut")]
    Truncated,
    /// A copy that was made when the load began.
    #[serde(alias = "old")]
    Stale,
}

/// Whose traffic with a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Link {
    /// Frontends.
    #[serde(alias = "clients")]
    Frontends,
    /// Its interpreter.
    #[serde(alias = "vm")]
    Interpreter,
    /// The dependency.
    #[serde(alias = "below")]
    Dependency,
    /// The registry.
    #[serde(alias = "members")]
    Registry,
    /// Other nodes.
    Peers,
}

/// In which direction traffic suffers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Directions {
    /// Both.
    #[default]
    Both,
    /// What goes to the node.
    To,
    /// What comes from it.
    From,
}

/// What happens to traffic. All that is named happens together.
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Traffic {
    /// Connections end, and new ones end at once. Datagrams are lost.
    #[serde(alias = "cut")]
    pub disconnect: bool,
    /// Connections are accepted, and nothing passes until it is over. Datagrams are lost.
    #[serde(alias = "silent")]
    pub blackhole: bool,
    /// Connections are reset once, when it begins.
    pub reset: bool,
    /// What passes is delayed by this.
    pub delay_ms: f64,
    /// And by up to this more, drawn for each piece.
    #[serde(alias = "spread_ms")]
    pub jitter_ms: f64,
    /// Bytes a second, in thousands; 0 means no limit.
    pub kb_per_s: f64,
    /// The fraction of datagrams that is lost.
    pub loss: f64,
    /// The fraction that arrives twice.
    pub duplicate: f64,
    /// The fraction that is overtaken by the next one.
    pub reorder: f64,
}
