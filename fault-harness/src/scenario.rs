//! What a scenario says: the fleet, the load, the habits of front ends, the peers and the faults. A file is checked
//! whole before anything starts; each mistake is one line that names its key. `docs/rig.md` explains every key.

use std::collections::BTreeMap;
use std::path::Path;

use serde::Deserialize;

/// Requests that one scenario may ask for. Guards the memory, where the whole history stays until the end.
const MAX_REQUESTS: f64 = 300_000.0;
/// Nodes and front ends that one machine can hold.
const MAX_NODES: usize = 64;
const MAX_FRONTENDS: usize = 64;

/// A scenario as it is written. Times ending in `_s` are seconds, in `_ms` milliseconds.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// What it is called in reports.
    pub name: String,
    /// What it is about, in a sentence.
    #[serde(default)]
    pub about: String,
    /// How long load is sent.
    pub seconds: f64,
    /// What the random numbers begin with.
    #[serde(default = "one_u64")]
    pub seed: u64,
    /// The nodes.
    pub fleet: Fleet,
    /// The classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// What is asked for.
    pub load: Load,
    /// The front ends and the clients behind them.
    #[serde(default)]
    pub fronts: Fronts,
    /// The tier below, if requests call one.
    pub below: Option<Below>,
    /// The membership service.
    #[serde(default)]
    pub members: Members,
    /// What the checker holds the fleet to.
    #[serde(default)]
    pub rules: Rules,
    /// What goes wrong.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

/// The nodes, each with an interpreter of its own.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// How many; they are called n1, n2 and so on.
    pub nodes: usize,
    /// The zones, which nodes and front ends are dealt out to in turn.
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
    /// Whether the nodes talk among themselves so that a booking runs once in the fleet.
    pub peers: Option<Replication>,
    /// Nodes that see the system's clock set by so much, so long after their first start: AT:BY in milliseconds.
    #[serde(default)]
    pub clocks: BTreeMap<String, String>,
    /// Nodes that run another build: the name given to `--program NAME=PATH`, and the nodes.
    #[serde(default)]
    pub programs: BTreeMap<String, Vec<String>>,
}

/// The virtual router that the nodes are: the first one has the highest priority, the next ones less.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vrrp {
    /// Between two advertisements, whole hundredths of a second.
    pub interval_ms: u64,
}

/// How nodes share what became of bookings.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Replication {
    /// Off, to see what the same faults do without it.
    pub on: bool,
    /// Copies of each key.
    pub copies: usize,
    /// Between two probes.
    pub probe_ms: u64,
    /// Whether what a node has granted is in a folder that outlasts it.
    pub folder: bool,
    /// Nodes at the end that are on no list yet when the scenario begins.
    pub later: usize,
}

impl Default for Replication {
    fn default() -> Self {
        Replication { on: true, copies: 3, probe_ms: 250, folder: false, later: 0 }
    }
}

/// A class of requests.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The method it goes by.
    pub name: String,
    /// Its part of all requests.
    pub share: f64,
    /// Mean work on one core of speed 1.
    pub work_ms: f64,
    /// How far work is spread: standard deviation over mean.
    #[serde(default = "half")]
    pub cv: f64,
    /// Answers within this are worth all.
    pub aim_ms: u64,
    /// How long a client waits.
    pub deadline_ms: u64,
    /// What one is worth.
    #[serde(default = "one_f64")]
    pub worth: f64,
    /// The part of that for an answer after the aim.
    #[serde(default)]
    pub late_worth: f64,
    /// Whether it must not run twice within its window.
    #[serde(default)]
    pub keyed: bool,
    /// For keyed classes: how long a key may come again.
    #[serde(default)]
    pub window_ms: u64,
    /// Whether its runs make a call to the tier below, half way through.
    #[serde(default)]
    pub calls: bool,
    /// The part of the worth that is left without that call.
    #[serde(default)]
    pub skip_worth: f64,
}

/// What is asked for.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// First tries a second; in its place `load` may stand.
    pub rate: Option<f64>,
    /// The part of what all cores can do when warm.
    pub load: Option<f64>,
    /// Stretches in which more or less is asked for, or some requests are costly.
    #[serde(default, rename = "step")]
    pub steps: Vec<Step>,
    /// Who asks: names and their parts.
    #[serde(default = "one_tenant")]
    pub tenants: BTreeMap<String, f64>,
    /// How wrong hints of cost are: the standard deviation of their logarithm.
    #[serde(default = "quarter")]
    pub hint_error: f64,
    /// The part of keyed requests that clients send a second time, unmarked, whatever came of the first.
    #[serde(default)]
    pub repeats: f64,
    /// How long after the first they do, between these.
    #[serde(default = "repeat_after")]
    pub repeat_after_ms: [f64; 2],
    /// Where a repeat goes.
    #[serde(default)]
    pub repeat_at: RepeatAt,
}

/// Where a repeat goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RepeatAt {
    /// To the node that the first went to.
    #[default]
    Same,
    /// To another one.
    Other,
    /// To whichever the front end picks.
    Any,
}

/// A stretch of the load.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// When it begins.
    pub from_s: f64,
    /// When it is over.
    pub to_s: f64,
    /// So many times the usual rate.
    #[serde(default = "one_f64")]
    pub times: f64,
    /// This part of the requests is costly.
    #[serde(default)]
    pub costly: f64,
    /// Costly ones take so many times the work.
    #[serde(default = "eight")]
    pub costly_times: f64,
}

/// How a front end chooses a node.
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

/// The front ends and the clients behind them.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fronts {
    /// How many.
    pub count: usize,
    /// How they choose a node; they take turns in this list.
    pub choose: Vec<Choose>,
    /// How often one tries again after a refusal or a failure; -1 knows no limit but the deadline.
    pub retries: i64,
    /// How long it waits between two tries, where no advice is heeded.
    pub backoff_ms: f64,
    /// After a refusal it goes on through its list at once.
    pub walk: bool,
    /// The part of front ends that heed advice: to stay away, and not to try elsewhere.
    pub heed: f64,
    /// How often a client tries again by itself, with the same key, unmarked.
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

/// The tier below, which all nodes share.
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

/// Among whom a key may run once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize, serde::Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Once {
    /// At each node.
    #[default]
    Node,
    /// In the whole fleet.
    Fleet,
}

/// What the checker holds the fleet to.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Among whom a key may run once.
    pub once: Once,
    /// An answer counts that comes so long after its due time.
    pub slack_ms: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules { once: Once::Node, slack_ms: 150.0 }
    }
}

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
    /// The tier below has a part of its slots and refuses what finds none.
    Below,
    /// The membership service hears nobody; its list stays as it is.
    Members,
    /// Front ends restart: all their connections end at once. `part` counts front ends here.
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
    /// Front ends.
    Clients,
    /// Its interpreter.
    Vm,
    /// The tier below.
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

fn one_u64() -> u64 {
    1
}
fn one_usize() -> usize {
    1
}
fn one_f64() -> f64 {
    1.0
}
fn two_u32() -> u32 {
    2
}
fn half() -> f64 {
    0.5
}
fn quarter() -> f64 {
    0.25
}
fn eight() -> f64 {
    8.0
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
fn repeat_after() -> [f64; 2] {
    [200.0, 3000.0]
}
fn one_zone() -> Vec<String> {
    vec!["here".into()]
}
fn one_tenant() -> BTreeMap<String, f64> {
    BTreeMap::from([("acme".into(), 1.0)])
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
            set(&mut table, key, value).map_err(|e| vec![e])?;
        }
        let scenario: Scenario = serde_path_to_error::deserialize(table)
            .map_err(|e| vec![format!("{}: {}", e.path(), e.inner().message())])?;
        let mistakes = scenario.mistakes();
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

    /// First tries a second, outside of steps.
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

    /// The zone of a node or of a front end, by position.
    pub fn zone_of(&self, position: usize) -> usize {
        position % self.fleet.zones.len()
    }

    #[expect(
        clippy::too_many_lines,
        reason = "one line for each key; it is split with the shape of this package"
    )]
    fn mistakes(&self) -> Mistakes {
        let mut found = Vec::new();
        let mut must = |holds: bool, key: &str, what: &str| {
            if !holds {
                found.push(format!("{key}: {what}"));
            }
        };
        let part = |value: f64| (0.0..=1.0).contains(&value);
        let fleet = &self.fleet;
        must(self.seconds > 0.0 && self.seconds <= 7200.0, "seconds", "above 0 and at most 7200");
        must((1..=MAX_NODES).contains(&fleet.nodes), "fleet.nodes", "1 to 64");
        must(!fleet.zones.is_empty(), "fleet.zones", "at least one");
        must((1..=64).contains(&fleet.cores), "fleet.cores", "1 to 64");
        must(
            fleet.speed[0] > 0.0 && fleet.speed[0] <= fleet.speed[1],
            "fleet.speed",
            "two numbers above 0, the lower first",
        );
        must(fleet.warm_from > 0.0 && fleet.warm_from <= 1.0, "fleet.warm_from", "above 0 and at most 1");
        must(fleet.warm_s >= 0.0, "fleet.warm_s", "0 or more");
        must(fleet.thrash_at >= 1.0, "fleet.thrash_at", "1 or more");
        must(fleet.thrash > 0.0 && fleet.thrash <= 1.0, "fleet.thrash", "above 0 and at most 1");
        must(fleet.memory_kb > 0.0, "fleet.memory_kb", "above 0");
        must(fleet.run_factor >= 1.0, "fleet.run_factor", "1 or more");
        must(fleet.read_ms >= 0.0 && fleet.connect_ms >= 0.0, "fleet.read_ms", "0 or more, as connect_ms");
        must(fleet.sockets >= 32, "fleet.sockets", "32 at least");
        let vrrp = fleet.vrrp.as_ref();
        must(vrrp.is_none_or(|vrrp| vrrp.interval_ms >= 10), "fleet.vrrp.interval_ms", "10 or more");
        if let Some(peers) = &fleet.peers {
            must((1..=9).contains(&peers.copies), "fleet.peers.copies", "1 to 9");
            must(peers.probe_ms >= 50, "fleet.peers.probe_ms", "50 or more");
            must(peers.later < fleet.nodes, "fleet.peers.later", "fewer than there are nodes");
        }
        let names = self.node_names();
        for (program, nodes) in &fleet.programs {
            for node in nodes {
                must(
                    names.contains(node),
                    &format!("fleet.programs.{program}"),
                    &format!("there is no node {node:?}"),
                );
            }
        }
        for (node, clock) in &fleet.clocks {
            let key = format!("fleet.clocks.{node}");
            must(names.contains(node), &key, "there is no such node");
            must(is_clock(clock), &key, "is not AT:BY in milliseconds");
        }
        must(!self.classes.is_empty(), "class", "at least one");
        for (i, class) in self.classes.iter().enumerate() {
            let key = |name: &str| format!("class[{i}].{name}");
            must(class.share > 0.0, &key("share"), "above 0");
            must(class.work_ms > 0.0, &key("work_ms"), "above 0");
            must(class.cv >= 0.0, &key("cv"), "0 or more");
            must(
                class.aim_ms > 0 && class.aim_ms <= class.deadline_ms,
                &key("aim_ms"),
                "above 0 and at most the deadline",
            );
            must(!class.keyed || class.window_ms > 0, &key("window_ms"), "above 0 in a keyed class");
            must(!class.calls || self.below.is_some(), &key("calls"), "there is no tier below");
            must(part(class.late_worth), &key("late_worth"), "0 to 1");
        }
        must(self.load.rate.is_some() != self.load.load.is_some(), "load", "either rate or load");
        let rate = self.rate();
        must(rate > 0.0 && rate.is_finite(), "load.rate", "above 0");
        let most = self.load.steps.iter().map(|step| step.times).fold(1.0, f64::max);
        must(rate * self.seconds * most <= MAX_REQUESTS, "load.rate", "over 300000 requests in all");
        for (i, step) in self.load.steps.iter().enumerate() {
            let key = |name: &str| format!("load.step[{i}].{name}");
            must(step.from_s >= 0.0 && step.from_s < step.to_s, &key("from_s"), "before to_s");
            must(step.times >= 0.0, &key("times"), "0 or more");
            must(part(step.costly), &key("costly"), "0 to 1");
        }
        must(
            !self.load.tenants.is_empty() && self.load.tenants.values().all(|share| *share > 0.0),
            "load.tenants",
            "at least one, each part above 0",
        );
        must(part(self.load.repeats), "load.repeats", "0 to 1");
        must(
            self.load.repeat_after_ms[0] >= 0.0
                && self.load.repeat_after_ms[0] <= self.load.repeat_after_ms[1],
            "load.repeat_after_ms",
            "two numbers, the lower first",
        );
        let fronts = &self.fronts;
        must((1..=MAX_FRONTENDS).contains(&fronts.count), "fronts.count", "1 to 64");
        must(!fronts.choose.is_empty(), "fronts.choose", "at least one");
        must(part(fronts.heed), "fronts.heed", "0 to 1");
        must(fronts.retries >= -1, "fronts.retries", "-1 or more");
        must(fronts.backoff_ms > 0.0, "fronts.backoff_ms", "above 0");
        must(
            fronts.list_late_ms[0] >= 0.0 && fronts.list_late_ms[0] <= fronts.list_late_ms[1],
            "fronts.list_late_ms",
            "two numbers, the lower first",
        );
        if let Some(below) = &self.below {
            must(below.slots > 0, "below.slots", "above 0");
            must(below.work_ms > 0.0, "below.work_ms", "above 0");
        }
        must(self.rules.slack_ms >= 0.0, "rules.slack_ms", "0 or more");
        must(self.members.lapse_s > 0.0, "members.lapse_s", "above 0");
        for (i, fault) in self.faults.iter().enumerate() {
            self.fault_mistakes(fault, &names, |holds, name, what| {
                must(holds, &format!("fault[{i}].{name}"), what);
            });
        }
        found
    }

    fn fault_mistakes(&self, fault: &Fault, names: &[String], mut must: impl FnMut(bool, &str, &str)) {
        must(fault.at_s.is_some() != fault.when.is_some(), "at_s", "either at_s or when");
        must(
            fault.again_s.is_none_or(|again| again >= 1.0 && fault.at_s.is_some()),
            "again_s",
            "1 or more, with at_s",
        );
        must(
            fault.at_s.is_none_or(|at| at >= 0.0 && at < self.seconds),
            "at_s",
            "within the scenario's seconds",
        );
        must(
            fault.when.as_ref().is_none_or(|when| names.contains(&when.node)),
            "when.node",
            "there is no such node",
        );
        let targets = [!fault.nodes.is_empty(), fault.zone.is_some(), fault.part.is_some()];
        let named = targets.iter().filter(|given| **given).count();
        let needs = !matches!(fault.what, What::Below | What::Members);
        must(!needs || named == 1, "nodes", "one of nodes, zone and part says whom it strikes");
        for node in &fault.nodes {
            must(names.contains(node), "nodes", &format!("there is no node {node:?}"));
        }
        must(
            fault.zone.as_ref().is_none_or(|zone| self.fleet.zones.contains(zone)),
            "zone",
            "there is no such zone",
        );
        must(fault.part.is_none_or(|part| part > 0.0 && part <= 1.0), "part", "above 0 and at most 1");
        must(fault.what != What::Fronts || fault.part.is_some(), "part", "of the front ends, for `fronts`");
        must(fault.waves >= 1, "waves", "1 or more");
        must(
            fault.clock.as_ref().is_none_or(|clock| is_clock(clock)),
            "clock",
            "is not AT:BY in milliseconds",
        );
        let lasts = matches!(
            fault.what,
            What::Stop | What::Slow | What::Partition | What::Link | What::Below | What::Members
        );
        let once = fault.what == What::Link && fault.traffic == Traffic { reset: true, ..Traffic::default() };
        must(!lasts || once || fault.for_s.is_some_and(|s| s > 0.0), "for_s", "above 0: this fault lasts");
        must(fault.factor >= 0.0, "factor", "0 or more");
        must(fault.what != What::Link || !fault.between.is_empty(), "between", "says whose traffic suffers");
        must(
            fault.what != What::Link || fault.traffic != Traffic::default(),
            "traffic",
            "says what happens to it",
        );
        let kept = self.fleet.folder || self.fleet.peers.as_ref().is_some_and(|peers| peers.folder);
        must(
            fault.folder == Folder::Keep || kept,
            "folder",
            "neither fleet.folder nor fleet.peers.folder is on",
        );
        let shares = [fault.traffic.loss, fault.traffic.duplicate, fault.traffic.reorder];
        must(shares.iter().all(|share| (0.0..=1.0).contains(share)), "traffic", "parts are 0 to 1");
    }
}

/// Whether this says when and by how much a clock is set.
fn is_clock(text: &str) -> bool {
    text.split_once(':').is_some_and(|(at, by)| at.parse::<u64>().is_ok() && by.parse::<i64>().is_ok())
}

/// A parser's message in one line with the line that it is about.
fn first_line(message: &str, text: &str, span: Option<std::ops::Range<usize>>) -> String {
    let line = span.map_or(1, |span| text[..span.start.min(text.len())].matches('\n').count() + 1);
    format!("line {line}: {}", message.lines().last().unwrap_or_default())
}

/// Sets a dotted key of a table; numbers in it are positions in lists.
fn set(table: &mut toml::Table, key: &str, value: &str) -> Result<(), String> {
    let value: toml::Value = format!("v = {value}")
        .parse::<toml::Table>()
        .ok()
        .and_then(|mut table| table.remove("v"))
        .unwrap_or_else(|| toml::Value::String(value.into()));
    let (path, last) = key.rsplit_once('.').map_or((None, key), |(path, last)| (Some(path), last));
    let mut at = toml::Value::Table(std::mem::take(table));
    let mut place = &mut at;
    for word in path.into_iter().flat_map(|path| path.split('.')) {
        place = match place {
            toml::Value::Table(inner) => {
                inner.entry(word).or_insert_with(|| toml::Value::Table(toml::Table::new()))
            }
            toml::Value::Array(list) => {
                let position = word.parse::<usize>().ok();
                position.and_then(|i| list.get_mut(i)).ok_or_else(|| format!("{key}: no such position"))?
            }
            _ => return Err(format!("{key}: {word} is within no table")),
        };
    }
    match place {
        toml::Value::Table(inner) => drop(inner.insert(last.into(), value)),
        _ => return Err(format!("{key}: is within no table")),
    }
    if let toml::Value::Table(whole) = at {
        *table = whole;
    }
    Ok(())
}

#[cfg(test)]
mod tests;
