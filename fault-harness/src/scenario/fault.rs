//! The `[[fault]]` tables: what goes wrong, when, and which nodes it strikes.

use serde::Deserialize;

use super::defaults::{half, one_f64, one_usize};

/// What goes wrong, when, and whom it strikes.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When; in its place `when` may stand.
    pub at_s: Option<f64>,
    /// It strikes again each time so long after, with those struck drawn anew.
    pub again_s: Option<f64>,
    /// An event that it waits for.
    pub when: Option<When>,
    /// How long it lasts, where it lasts.
    pub for_s: Option<f64>,
    /// What happens.
    pub what: What,
    /// Nodes by name.
    #[serde(default)]
    pub nodes: Vec<String>,
    /// All nodes of this zone.
    pub zone: Option<String>,
    /// This part of all nodes, drawn by the seed.
    pub part: Option<f64>,
    /// Those struck are struck in so many waves.
    #[serde(default = "one_usize")]
    pub waves: usize,
    /// Between two waves.
    #[serde(default = "one_f64")]
    pub every_s: f64,
    /// After `kill` and `leave`: how long until the node is started again; absent, it stays down.
    pub down_s: Option<f64>,
    /// What a restarted node finds in its folder.
    #[serde(default)]
    pub folder: Folder,
    /// For `slow`: what is left of the speed. For `below`: what is left of the slots.
    #[serde(default = "half")]
    pub factor: f64,
    /// For `stop`: the interpreter goes on.
    #[serde(default)]
    pub program_only: bool,
    /// For `link`: whose traffic with the node.
    #[serde(default)]
    pub between: Vec<Link>,
    /// For `link`: of its traffic with other nodes, only that with these.
    #[serde(default)]
    pub with: Vec<String>,
    /// For `link`: which way.
    #[serde(default)]
    pub way: Directions,
    /// For `link`: what happens to the traffic.
    #[serde(default)]
    pub traffic: Traffic,
    /// For `restart`: the build that the node has from then on, by the name of `--program`.
    pub program: Option<String>,
    /// After `kill` and `leave`: the restarted program sees the system's clock set by so much, from so long after its start
    /// on: AT:BY in milliseconds.
    pub clock: Option<String>,
    /// After `kill` and `leave`: the node starts with the list of its fleet before the last.
    #[serde(default)]
    pub old_list: bool,
}

/// An event that a fault waits for: a node has done something so many times.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct When {
    /// Which node.
    pub node: String,
    /// What it has done.
    pub event: Happening,
    /// How many times.
    pub count: u64,
    /// So long after that.
    #[serde(default)]
    pub after_ms: f64,
}

/// What a fault can wait for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Happening {
    /// Requests were written to it.
    Written,
    /// Runs began.
    Began,
    /// Runs ended, and the interpreter is about to say so.
    Ended,
    /// Requests were served.
    Served,
}

/// What can go wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum What {
    /// The program and its interpreter are killed.
    Kill,
    /// The program gets SIGTERM, and SIGKILL when its time is over.
    Leave,
    /// The program stands still, and its interpreter with it.
    Stop,
    /// The interpreter has a part of its speed.
    Slow,
    /// The nodes struck hear nobody outside and nobody hears them.
    Partition,
    /// Traffic with the nodes struck suffers.
    Link,
    /// The dependency has a part of its slots and refuses what finds none.
    Below,
    /// The membership service hears nobody; its list stays as it is.
    Members,
    /// Frontends restart: all their connections end at once. `part` counts frontends here.
    Fronts,
    /// The program gets SIGHUP.
    Reload,
    /// A list with the next number: of the nodes of the one before without those struck. Everyone is told, one after the
    /// other.
    Unlist,
    /// A list with the next number: of the nodes of the one before and those struck. Everyone is told, one after the other.
    Enlist,
}

/// What a restarted node finds in its folder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Folder {
    /// What it left.
    #[default]
    Keep,
    /// Nothing.
    Lost,
    /// What it left, with the newest file cut at a byte drawn by the seed.
    Cut,
    /// A copy that was made when the load began.
    Old,
}

/// Whose traffic with a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Link {
    /// Frontends.
    Clients,
    /// Its interpreter.
    Vm,
    /// The dependency.
    Below,
    /// The membership service.
    Members,
    /// Other nodes.
    Peers,
}

/// Which way traffic suffers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
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
    pub cut: bool,
    /// Connections are accepted, and nothing passes until it is over. Datagrams are lost.
    pub silent: bool,
    /// Connections are reset once, when it begins.
    pub reset: bool,
    /// What passes comes later by this.
    pub delay_ms: f64,
    /// And by up to this more, drawn for each piece.
    pub spread_ms: f64,
    /// Bytes a second, in thousands; 0 knows no limit.
    pub kb_per_s: f64,
    /// The part of datagrams that is lost.
    pub loss: f64,
    /// The part that arrives twice.
    pub duplicate: f64,
    /// The part that is overtaken by the next one.
    pub reorder: f64,
}
