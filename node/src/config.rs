//! What a node is told: the platform's JSON, and the operators' files that switch more on.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use oakwind_admission::{Class, Effect};
use oakwind_fleet::ids::{ConfigVersion, NodeId};
use oakwind_fleet::membership_config::{Member, MembershipConfig, MembershipSpec};
use oakwind_settings::Parsed;
use serde::Deserialize;
use serde_json::value::{RawValue, Value};

/// What is wrong with a configuration, in one line that names the key.
#[derive(Debug, PartialEq, Eq)]
pub struct ConfigError(pub String);

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        // Parsers put excerpts on lines of their own; the log gets one line.
        f.write_str(self.0.lines().next().unwrap_or_default())
    }
}

/// A parser's problem with the key that it came upon.
fn named(e: &serde_path_to_error::Error<serde_json::Error>) -> String {
    match e.path().iter().next() {
        Some(_) => e.to_string(),
        None => e.inner().to_string(),
    }
}

fn bad<T>(what: impl Into<String>) -> Result<T, ConfigError> {
    Err(ConfigError(what.into()))
}

/// Whom the node connects to: the part of a configuration that a reload changes.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamAddresses {
    /// The interpreter, unless uwsgi servers run everything.
    pub interpreter: Option<SocketAddr>,
    /// The membership service, if there is one.
    pub membership_service: Option<SocketAddr>,
    /// The index; the last tier has none.
    pub index: Option<SocketAddr>,
    /// uwsgi servers that run requests, in place of the interpreter.
    pub uwsgi_run_servers: Vec<SocketAddr>,
    /// uwsgi servers that take the calls to the tier below, in place of the index.
    pub uwsgi_call_servers: Vec<SocketAddr>,
}

impl UpstreamAddresses {
    /// The key that says of these links what a node that began with the others can't take over while it runs:
    /// what kind of peer does a job, or that there is one.
    pub fn first_incompatible_key(&self, begun: &UpstreamAddresses) -> Option<&'static str> {
        let kinds = |addresses: &UpstreamAddresses| {
            [
                ("runs", addresses.uwsgi_run_servers.is_empty()),
                ("vm", addresses.interpreter.is_none()),
                ("calls", addresses.uwsgi_call_servers.is_empty()),
                ("index", addresses.index.is_none()),
                ("members", addresses.membership_service.is_none()),
            ]
        };
        kinds(self).into_iter().zip(kinds(begun)).find(|(new, old)| new != old).map(|(new, _)| new.0)
    }
}

/// The files that a node is told by, read at its start and at each reload.
#[derive(Debug)]
pub struct ConfigFiles {
    /// The platform's JSON; by default the file that `BALANCER_CONFIG` names.
    pub config: Option<PathBuf>,
    /// The file that switches the uwsgi front on.
    pub uwsgi: Option<PathBuf>,
    /// The file that makes keys and results outlast the process.
    pub remembered: Option<PathBuf>,
    /// The file that makes the node one of a fleet whose nodes talk.
    pub fleet: Option<PathBuf>,
    /// The file that makes the node keep records of what it decides.
    pub records: Option<PathBuf>,
}

/// All that a node is told.
#[derive(Debug)]
pub struct Configuration {
    /// The platform's configuration.
    pub config: NodeConfig,
    /// The uwsgi front.
    pub uwsgi: Option<UwsgiConfig>,
    /// Where keys and results outlast the process.
    pub remembered: Option<ResultStoreConfig>,
    /// The fleet.
    pub fleet: Option<FleetConfig>,
    /// Where what is decided is recorded.
    pub records: Option<DecisionLogConfig>,
}

impl ConfigFiles {
    /// Reads and checks all there is.
    pub fn load(&self) -> Result<Configuration, ConfigError> {
        let named = self.config.clone().or_else(|| std::env::var_os("BALANCER_CONFIG").map(PathBuf::from));
        let Some(path) = named else {
            return bad("no configuration: name one with --config or BALANCER_CONFIG");
        };
        let mut config = NodeConfig::read(&path)?;
        let uwsgi = self.uwsgi.as_deref().map(UwsgiConfig::read).transpose()?;
        if let Some(uwsgi) = &uwsgi {
            (config.upstreams.uwsgi_run_servers, config.upstreams.uwsgi_call_servers) =
                (uwsgi.run_servers.clone(), uwsgi.call_servers.clone());
        }
        if config.upstreams.interpreter.is_none() && config.upstreams.uwsgi_run_servers.is_empty() {
            return bad("vm: missing, and no uwsgi servers run the requests in its place");
        }
        let remembered = self.remembered.as_deref().map(ResultStoreConfig::read).transpose()?;
        let fleet = self.fleet.as_deref().map(FleetConfig::read).transpose()?;
        if let Some(fleet) = &fleet {
            let max_idempotency_window = config.max_idempotency_window();
            if fleet.list.window() < max_idempotency_window {
                return bad(format!(
                    "fleet file, list.window_ms: {} at least, as the settings remember keys for that long",
                    max_idempotency_window.as_millis()
                ));
            }
            if fleet.links > config.sockets / 2 {
                return bad(format!(
                    "fleet file, links: half of limits.sockets ({}) at the most",
                    config.sockets
                ));
            }
        }
        let records = self.records.as_deref().map(DecisionLogConfig::read).transpose()?;
        Ok(Configuration { config, uwsgi, remembered, fleet, records })
    }

    /// The same for a start: a node has to be on the list that it begins with.
    pub fn load_for_startup(&self) -> Result<Configuration, ConfigError> {
        let told = self.load()?;
        if let Some(fleet) = &told.fleet {
            if fleet.list.index_of(NodeId::of(&fleet.name)).is_none() {
                return bad(format!("fleet file, name: {:?} is not on the list", fleet.name));
            }
        }
        Ok(told)
    }
}

/// The platform's configuration.
#[derive(Debug)]
pub struct NodeConfig {
    /// The node's name.
    pub name: String,
    /// Where front ends connect.
    pub listen: SocketAddr,
    /// Where operators call, if they do.
    pub ops: Option<SocketAddr>,
    /// Whom the node connects to.
    pub upstreams: UpstreamAddresses,
    /// Seed of the random numbers.
    pub seed: u64,
    /// How long after the notice to leave the process is stopped.
    pub stop: Duration,
    /// Descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes of memory that it may take.
    pub memory: usize,
    /// The settings of the decisions, and their names.
    pub settings: Parsed,
    /// All of it, as it was written.
    pub written: Value,
}

#[derive(Deserialize)]
struct Raw<'a> {
    name: String,
    listen: String,
    ops: Option<String>,
    vm: Option<String>,
    members: Option<String>,
    index: Option<String>,
    seed: String,
    stop_ms: u64,
    #[serde(default)]
    limits: Limits,
    #[serde(borrow)]
    settings: &'a RawValue,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
    memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits { sockets: 1024, memory_mb: 192 }
    }
}

impl NodeConfig {
    /// Reads the platform's JSON.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let mut json = serde_json::Deserializer::from_str(text);
        let raw: Raw = serde_path_to_error::deserialize(&mut json).map_err(|e| ConfigError(named(&e)))?;
        json.end().map_err(|e| ConfigError(e.to_string()))?;
        let settings = match oakwind_settings::parse(raw.settings.get()) {
            Ok(settings) => settings,
            Err(e) => return bad(e.to_string()),
        };
        if settings.classes.is_empty() {
            return bad("settings.services: names no class");
        }
        if let Some(i) = settings.settings.classes.iter().position(|class| class.deadline.is_zero()) {
            return bad(format!("settings.services[{i}].deadline: 0 is no time to answer in"));
        }
        // Guards against keys that would be forgotten while their tries still come.
        let forgets = |class: &Class| class.effect == Effect::IdempotencyKey && class.window.is_zero();
        if let Some(i) = settings.settings.classes.iter().position(forgets) {
            return bad(format!("settings.services[{i}].window: missing or 0, and its keys may come again"));
        }
        let written = serde_json::from_str(text).map_err(|e| ConfigError(e.to_string()))?;
        let Ok(seed) = u64::from_str_radix(&raw.seed, 16) else {
            return bad(format!("seed: {:?} is not hexadecimal", raw.seed));
        };
        if raw.limits.sockets < 32 {
            return bad(format!("limits.sockets: {} is too few, 32 at least", raw.limits.sockets));
        }
        Ok(NodeConfig {
            listen: address("listen", &raw.listen)?,
            ops: raw.ops.as_deref().map(|a| address("ops", a)).transpose()?,
            upstreams: UpstreamAddresses {
                interpreter: raw.vm.as_deref().map(|a| address("vm", a)).transpose()?,
                membership_service: raw.members.as_deref().map(|a| address("members", a)).transpose()?,
                index: raw.index.as_deref().map(|a| address("index", a)).transpose()?,
                uwsgi_run_servers: Vec::new(),
                uwsgi_call_servers: Vec::new(),
            },
            name: raw.name,
            seed,
            stop: Duration::from_millis(raw.stop_ms),
            sockets: raw.limits.sockets,
            memory: raw.limits.memory_mb.saturating_mul(1024 * 1024),
            settings,
            written,
        })
    }

    /// The longest that any key is remembered, with some to spare.
    pub fn max_idempotency_window(&self) -> Duration {
        let classes = self.settings.settings.classes.iter();
        let max_idempotency_window =
            classes.map(|class| class.window.max(class.deadline)).max().unwrap_or_default();
        max_idempotency_window + Duration::from_secs(1)
    }

    /// The first key of `before` that this lacks. Guards a node that runs against a file that is not whole: what
    /// is left out would be taken for its default. Of the members of a list, those keys are needed that each had.
    pub fn first_missing_key(&self, before: &NodeConfig) -> Option<String> {
        lacking(&before.written, &self.written).into_iter().next()
    }

    /// Reads the file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        NodeConfig::parse(&text_of(path)?)
    }
}

/// Where `now` lacks something that `before` has.
fn lacking(before: &Value, now: &Value) -> Vec<String> {
    let within = |key: &str, rest: Vec<String>| {
        let named =
            rest.into_iter().map(|rest| if rest.is_empty() { key.into() } else { format!("{key}.{rest}") });
        named.collect::<Vec<String>>()
    };
    match (before, now) {
        (Value::Object(before), Value::Object(now)) => {
            let first_missing_key = |(key, old): (&String, &Value)| match now.get(key) {
                Some(new) => within(key, lacking(old, new)),
                None => vec![key.clone()],
            };
            before.iter().flat_map(first_missing_key).collect()
        }
        (Value::Array(before), Value::Array(now)) => {
            let first_missing_key = |(i, new): (usize, &Value)| {
                let beside_each = before.iter().map(|old| lacking(old, new));
                let all =
                    beside_each.reduce(|all, one| all.into_iter().filter(|key| one.contains(key)).collect());
                within(&i.to_string(), all.unwrap_or_default())
            };
            now.iter().enumerate().flat_map(first_missing_key).collect()
        }
        (Value::Object(_) | Value::Array(_), _) => vec![String::new()],
        _ => Vec::new(),
    }
}

fn text_of(path: &Path) -> Result<String, ConfigError> {
    std::fs::read_to_string(path).map_err(|e| ConfigError(format!("{}: {e}", path.display())))
}

fn address(key: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().or_else(|_| bad(format!("{key}: {text:?} is not an address with a port")))
}

/// The uwsgi front, its servers and its virtual router.
#[derive(Debug, Clone, PartialEq)]
pub struct UwsgiConfig {
    /// Where uwsgi clients connect.
    pub listen: SocketAddr,
    /// uwsgi servers that run requests, in place of the interpreter.
    pub run_servers: Vec<SocketAddr>,
    /// uwsgi servers that take the calls to the tier below, in place of the index.
    pub call_servers: Vec<SocketAddr>,
    /// Unless it is there, the listener is always open.
    pub vrrp: Option<VrrpConfig>,
}

/// The virtual router that guards the uwsgi listener.
#[derive(Debug, Clone, PartialEq)]
pub struct VrrpConfig {
    /// Its number, 1 to 255.
    pub vrid: u8,
    /// 1 to 254, or 255 for the owner of the address.
    pub priority: u8,
    /// Between two advertisements.
    pub interval: Duration,
    /// Whether a higher priority takes over from a lower one that is active.
    pub preempt: bool,
    /// The addresses that the virtual router stands for.
    pub addresses: Vec<Ipv4Addr>,
    /// Where advertisements come in.
    pub listen: SocketAddr,
    /// Where they go.
    pub peers: Vec<SocketAddr>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawUwsgi {
    listen: String,
    #[serde(default)]
    runs: Vec<String>,
    #[serde(default)]
    calls: Vec<String>,
    vrrp: Option<RawVrrp>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawVrrp {
    vrid: u8,
    #[serde(default = "usual_priority")]
    priority: u8,
    #[serde(default = "usual_interval")]
    interval_ms: u64,
    #[serde(default = "yes")]
    preempt: bool,
    addresses: Vec<Ipv4Addr>,
    listen: String,
    peers: Vec<String>,
}

fn usual_priority() -> u8 {
    100
}

fn usual_interval() -> u64 {
    1000
}

fn yes() -> bool {
    true
}

/// Reads an operators' file in TOML; what is wrong with it is told with its line and key.
fn operators_file<'a, T: Deserialize<'a>>(what: &str, text: &'a str) -> Result<T, ConfigError> {
    let wrong = |key: String, e: &toml::de::Error| {
        let at = e.span().map_or(0, |span| text[..span.start.min(text.len())].lines().count().max(1));
        ConfigError(format!("{what} file, line {at}{key}: {}", e.message()))
    };
    let table = toml::Deserializer::parse(text).map_err(|e| wrong(String::new(), &e))?;
    serde_path_to_error::deserialize(table).map_err(|e| wrong(format!(", {}", e.path()), e.inner()))
}

impl UwsgiConfig {
    /// Reads the text of a uwsgi file.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let raw: RawUwsgi = operators_file("uwsgi", text)?;
        Ok(UwsgiConfig {
            listen: address("listen", &raw.listen)?,
            run_servers: addresses("runs", &raw.runs)?,
            call_servers: addresses("calls", &raw.calls)?,
            vrrp: raw.vrrp.map(VrrpConfig::from_raw).transpose()?,
        })
    }

    /// Reads the file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        UwsgiConfig::parse(&text_of(path)?)
    }
}

/// Where keys and results outlast the process.
#[derive(Debug, Clone, PartialEq)]
pub struct ResultStoreConfig {
    /// A folder that lasts, of this node alone.
    pub folder: PathBuf,
    /// Bytes that it may take.
    pub file: u64,
    /// Records that may share one wait for the disk.
    pub batch: usize,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRemembered {
    folder: PathBuf,
    #[serde(default = "usual_file_mb")]
    file_mb: u64,
    #[serde(default = "usual_batch")]
    batch: usize,
}

fn usual_file_mb() -> u64 {
    64
}

fn usual_batch() -> usize {
    1024
}

impl ResultStoreConfig {
    /// Reads the text of a file.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let RawRemembered { folder, file_mb, batch } = operators_file("remembered", text)?;
        if !folder.is_absolute() {
            return bad(format!("folder: {}: an absolute path is needed", folder.display()));
        }
        if !(4..=65_536).contains(&file_mb) {
            return bad("file_mb: 4 to 65536 are possible");
        }
        if !(1..=4096).contains(&batch) {
            return bad("batch: 1 to 4096 are possible");
        }
        Ok(ResultStoreConfig { folder, file: file_mb * 1024 * 1024, batch })
    }

    /// Reads the file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        ResultStoreConfig::parse(&text_of(path)?)
    }
}

/// Where what is decided is recorded.
#[derive(Debug, Clone, PartialEq)]
pub struct DecisionLogConfig {
    /// A folder of this node alone.
    pub folder: PathBuf,
    /// Bytes of a file, about.
    pub file: u64,
    /// Files that are kept.
    pub files: usize,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRecords {
    folder: PathBuf,
    #[serde(default = "usual_record_mb")]
    file_mb: u64,
    #[serde(default = "usual_record_files")]
    files: usize,
}

fn usual_record_mb() -> u64 {
    8
}

fn usual_record_files() -> usize {
    8
}

impl DecisionLogConfig {
    /// Reads the text of a file.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let RawRecords { folder, file_mb, files } = operators_file("records", text)?;
        if !folder.is_absolute() {
            return bad(format!("records file, folder: {}: an absolute path is needed", folder.display()));
        }
        if !(1..=1024).contains(&file_mb) {
            return bad("records file, file_mb: 1 to 1024 are possible");
        }
        if !(2..=1000).contains(&files) {
            return bad("records file, files: 2 to 1000 are possible");
        }
        Ok(DecisionLogConfig { folder, file: file_mb * 1024 * 1024, files })
    }

    /// Reads the file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        DecisionLogConfig::parse(&text_of(path)?)
    }
}

/// The fleet that a node is one of.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// This node's name on the list.
    pub name: String,
    /// Where peers connect.
    pub listen: SocketAddr,
    /// What is held for others may take so many bytes.
    pub bytes: usize,
    /// Links that may be open, both ways together.
    pub links: usize,
    /// Bytes a second for catching up.
    pub bytes_per_s: u64,
    /// Between two probes.
    pub probe: Duration,
    /// Where what this node has granted outlasts the process, if anywhere.
    pub folder: Option<ResultStoreConfig>,
    /// The numbered list.
    pub list: Arc<MembershipConfig>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFleet {
    name: String,
    listen: String,
    #[serde(default = "usual_memory_mb")]
    memory_mb: usize,
    #[serde(default = "usual_links")]
    links: usize,
    #[serde(default = "usual_kb_per_s")]
    kb_per_s: u64,
    #[serde(default = "usual_probe_ms")]
    probe_ms: u64,
    folder: Option<PathBuf>,
    #[serde(default = "usual_file_mb")]
    file_mb: u64,
    list: RawList,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawList {
    number: u64,
    #[serde(default = "usual_copies")]
    copies: usize,
    window_ms: u64,
    #[serde(rename = "member")]
    members: Vec<RawMember>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawMember {
    name: String,
    address: String,
    #[serde(default = "usual_zone")]
    zone: String,
}

fn usual_memory_mb() -> usize {
    64
}

fn usual_links() -> usize {
    128
}

fn usual_kb_per_s() -> u64 {
    16_000
}

fn usual_probe_ms() -> u64 {
    500
}

fn usual_copies() -> usize {
    3
}

fn usual_zone() -> String {
    "here".into()
}

impl FleetConfig {
    /// Reads the text of a fleet file.
    pub fn parse(text: &str) -> Result<Self, ConfigError> {
        let raw: RawFleet = operators_file("fleet", text)?;
        let must = |holds: bool, what: &str| if holds { Ok(()) } else { bad(format!("fleet file, {what}")) };
        must((1..=65_536).contains(&raw.memory_mb), "memory_mb: 1 to 65536 are possible")?;
        must((4..=65_536).contains(&raw.links), "links: 4 to 65536 are possible")?;
        must((64..=10_000_000).contains(&raw.kb_per_s), "kb_per_s: 64 to 10000000 are possible")?;
        must((50..=60_000).contains(&raw.probe_ms), "probe_ms: 50 to 60000 are possible")?;
        must((4..=65_536).contains(&raw.file_mb), "file_mb: 4 to 65536 are possible")?;
        must(
            raw.folder.as_ref().is_none_or(|folder| folder.is_absolute()),
            "folder: an absolute path is needed",
        )?;
        let members = raw.list.members.into_iter().enumerate().map(|(i, member)| {
            let address = address(&format!("fleet file, list.member[{i}].address"), &member.address)?;
            Ok(Member { name: member.name, address, zone: member.zone })
        });
        let plain = MembershipSpec {
            version: ConfigVersion(raw.list.number),
            replicas: raw.list.copies,
            window: Duration::from_millis(raw.list.window_ms),
            members: members.collect::<Result<_, ConfigError>>()?,
        };
        let list = MembershipConfig::new(plain).map_err(|e| ConfigError(format!("fleet file, {e}")))?;
        Ok(FleetConfig {
            listen: address("fleet file, listen", &raw.listen)?,
            bytes: raw.memory_mb * 1024 * 1024,
            links: raw.links,
            bytes_per_s: raw.kb_per_s * 1000,
            probe: Duration::from_millis(raw.probe_ms),
            folder: raw.folder.map(|folder| ResultStoreConfig {
                folder,
                file: raw.file_mb * 1024 * 1024,
                batch: usual_batch(),
            }),
            name: raw.name,
            list: Arc::new(list),
        })
    }

    /// Reads the file.
    pub fn read(path: &Path) -> Result<Self, ConfigError> {
        FleetConfig::parse(&text_of(path)?)
    }
}

impl VrrpConfig {
    fn from_raw(raw: RawVrrp) -> Result<Self, ConfigError> {
        if raw.vrid == 0 {
            return bad("vrrp.vrid: 0 is not a virtual router, 1 to 255 are");
        }
        if raw.priority == 0 {
            return bad("vrrp.priority: 0 is kept for giving up the role, 1 to 255 are free");
        }
        if !(10..=40_950).contains(&raw.interval_ms) || !raw.interval_ms.is_multiple_of(10) {
            return bad("vrrp.interval_ms: whole hundredths of a second are needed, from 10 to 40950");
        }
        if raw.addresses.is_empty() || raw.addresses.len() > 255 {
            return bad("vrrp.addresses: 1 to 255 are needed");
        }
        Ok(VrrpConfig {
            vrid: raw.vrid,
            priority: raw.priority,
            interval: Duration::from_millis(raw.interval_ms),
            preempt: raw.preempt,
            addresses: raw.addresses,
            listen: address("vrrp.listen", &raw.listen)?,
            peers: addresses("vrrp.peers", &raw.peers)?,
        })
    }
}

fn addresses(key: &str, texts: &[String]) -> Result<Vec<SocketAddr>, ConfigError> {
    texts.iter().map(|text| address(key, text)).collect()
}

#[cfg(test)]
mod tests;
