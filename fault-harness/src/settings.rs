//! The configuration files of a node in a scenario. Their keys are those that the node program reads.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;

use serde_json::{json, Value};

use crate::model::interpreter::MAX_MEAN_RUNS_PER_CORE;
use crate::model::{ms_of_seconds, MS_PER_SECOND};
use crate::scenario::{Class, Scenario};

/// Time after the shutdown notice from which on a node does not run newly received requests, in milliseconds.
pub const DRAIN_GRACE_MS: f64 = 2000.0;
/// Maximum Retry-After, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 1000;
/// Microseconds in a millisecond; times in the settings are in microseconds.
const US_PER_MS: u64 = 1000;
/// Interval between two decisions of the policy, in microseconds.
const TICK_US: u64 = 4000;
/// Fraction of its weight that a request beyond its tenant's quota has.
const OVER_QUOTA_FRACTION: f64 = 0.1;
/// Memory that the interpreter takes for each request in addition to the request's own memory, in KB.
const ENTRY_KB: f64 = 1.0;
/// Maximum size of the files in a node's folder, and maximum memory of its replica table, in MB.
const STORE_MB: u64 = 16;
/// Maximum number of links that a node accepts, per node of the fleet.
const LINKS_PER_NODE: usize = 2;
/// Lower bound of the maximum number of links that a node accepts.
const MIN_LINKS: usize = 4;
/// Time that replicas keep a key beyond the longest idempotency window or deadline, in milliseconds.
const WINDOW_MARGIN_MS: u64 = 1000;
/// The id (VRID) of the virtual router that the nodes form.
const VIRTUAL_ROUTER_ID: u8 = 51;
/// The VRRP priority of the first node; each further node has a priority lower by 1.
const HIGHEST_PRIORITY: usize = 200;

/// The addresses at which a node reaches its simulated services.
#[derive(Debug, Clone, Copy)]
pub struct ServiceAddresses {
    /// Address of its interpreter.
    pub interpreter: SocketAddr,
    /// Address of the dependency.
    pub dependency: SocketAddr,
    /// Address of the registry.
    pub registry: SocketAddr,
}

/// Content of `config.json`, the configuration that the platform gives to a node.
pub fn config(scenario: &Scenario, name: &str, seed: u64, services: &ServiceAddresses) -> String {
    let mut config = json!({
        "name": name, "listen": "127.0.0.1:0", "vm": services.interpreter, "members": services.registry,
        "seed": format!("{seed:x}"), "stop_ms": scenario.fleet.stop_ms,
        "limits": {"memory_mb": scenario.fleet.memory_mb, "sockets": scenario.fleet.sockets},
        "settings": settings(scenario),
    });
    if scenario.dependency.is_some() {
        config["index"] = json!(services.dependency);
    }
    config.to_string()
}

fn settings(scenario: &Scenario) -> Value {
    let fleet = &scenario.fleet;
    json!({
        "services": scenario.classes.iter().map(service).collect::<Vec<_>>(),
        "countedBy": "work", "overShareWorth": OVER_QUOTA_FRACTION, "servers": fleet.nodes, "tick": TICK_US,
        "specifics": specifics(scenario),
        "safety": {"coldShare": fleet.warm_from, "warmAfter": us_of_ms(ms_of_seconds(fleet.warm_s)),
            "drainGrace": us_of_ms(DRAIN_GRACE_MS), "fallMultiple": MAX_MEAN_RUNS_PER_CORE},
        "limits": {"maxRetryAfter": MAX_RETRY_AFTER_MS * US_PER_MS, "retryAfter": true},
        "tenants": tenants(scenario),
    })
}

/// The settings of a class of requests.
fn service(class: &Class) -> Value {
    json!({
        "name": class.name, "slo": class.latency_objective_ms * US_PER_MS,
        "deadline": class.deadline_ms * US_PER_MS,
        "effect": if class.idempotency_key { "by_key" } else { "repeatable" },
        "window": class.idempotency_window_ms * US_PER_MS,
        "worth": class.weight, "lateWorth": class.late_weight,
    })
}

/// The settings of the interpreter, its callers and the dependency.
fn specifics(scenario: &Scenario) -> Value {
    let fleet = &scenario.fleet;
    let by_class =
        |value: fn(&Class) -> Value| -> Vec<Value> { scenario.classes.iter().map(value).collect() };
    let idle_timeout = ms_of_seconds(scenario.frontends.idle_timeout_s);
    json!({
        "cores": fleet.cores, "memoryKb": fleet.memory_kb, "runFactor": fleet.run_factor, "entryKb": ENTRY_KB,
        "dependsOn": if scenario.dependency.is_some() { "tier" } else { "off" },
        "callers": scenario.frontends.count,
        "classCalls": by_class(|class| json!(class.calls_dependency)),
        "classSkipWorth": by_class(|class| json!(class.skip_weight)),
        "idle": us_of_ms(idle_timeout), "passesDeadline": true, "preemption": "pause",
        "gauges": ["cpu_busy", "runnable", "mem_used"],
    })
}

/// The quota of each tenant: its share of the rate that the fleet can serve when warm.
fn tenants(scenario: &Scenario) -> Vec<Value> {
    let shares: f64 = scenario.load.tenants.values().sum();
    let rate = scenario.capacity() * MS_PER_SECOND / scenario.mean_work();
    let tenants = scenario.load.tenants.iter();
    tenants.map(|(name, share)| json!({"name": name, "quotaPerS": rate * share / shares})).collect()
}

fn us_of_ms(ms: f64) -> u64 {
    (ms * US_PER_MS as f64) as u64
}

/// Content of `uwsgi.toml`, which makes a node a member of the virtual router. `listen` is the address for
/// its datagrams, `peers` are the addresses at which it reaches the other nodes.
pub fn router(position: usize, interval_ms: u64, listen: SocketAddr, peers: &[SocketAddr]) -> String {
    let peers: Vec<String> = peers.iter().map(|peer| format!("'{peer}'")).collect();
    format!(
        "listen = '127.0.0.1:0'\n[vrrp]\nvrid = {VIRTUAL_ROUTER_ID}\npriority = {}\n\
         interval_ms = {interval_ms}\naddresses = ['127.0.0.1']\nlisten = '{listen}'\npeers = [{}]\n",
        HIGHEST_PRIORITY - position,
        peers.join(", ")
    )
}

/// Content of `remembered.toml`, which makes a node store its keys and results in a folder.
pub fn result_store(folder: &Path) -> String {
    format!("folder = '{}'\nfile_mb = {STORE_MB}\n", folder.display())
}

/// The addresses of the replication connections of a node.
#[derive(Debug, Clone)]
pub struct PeerAddresses {
    /// The address on which the node listens for its peers.
    pub listen: SocketAddr,
    /// The address at which it reaches each node of the fleet, itself included, by position.
    pub dial: Vec<SocketAddr>,
}

/// Content of `fleet.toml`, which makes a node replicate. `members` are the positions of the nodes in the
/// membership configuration with this version.
pub fn fleet(
    scenario: &Scenario,
    position: usize,
    addresses: &PeerAddresses,
    folder: &Path,
    version: u64,
    members: &[usize],
) -> String {
    let Some(replication) = &scenario.fleet.peers else { return String::new() };
    let names = scenario.node_names();
    let links = (LINKS_PER_NODE * names.len()).max(MIN_LINKS);
    let retention_ms = |class: &Class| class.idempotency_window_ms.max(class.deadline_ms);
    let window = scenario.classes.iter().map(retention_ms).max().unwrap_or(0) + WINDOW_MARGIN_MS;
    let mut text = format!(
        "name = '{}'\nlisten = '{}'\nmemory_mb = {STORE_MB}\nlinks = {links}\nprobe_ms = {}\n",
        names[position], addresses.listen, replication.probe_ms
    );
    if replication.folder {
        text += &result_store(folder);
    }
    // Writing to a `String` cannot fail.
    let _ =
        write!(text, "[list]\nnumber = {version}\ncopies = {}\nwindow_ms = {window}\n", replication.replicas);
    for member in members {
        let zone = &scenario.fleet.zones[scenario.zone_of(*member)];
        let _ = write!(
            text,
            "[[list.member]]\nname = '{}'\naddress = '{}'\nzone = '{zone}'\n",
            names[*member], addresses.dial[*member]
        );
    }
    text
}
