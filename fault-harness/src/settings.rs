//! The files that a node of a scenario is started with. Their keys are the program's own.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::path::Path;

use serde_json::{json, Value};

use crate::model::interpreter::MAX_MEAN_RUNS_PER_CORE;
use crate::model::{ms_of_seconds, MS_PER_SECOND};
use crate::scenario::{Class, Scenario};

/// What arrives later than this after the shutdown notice is not run.
pub const DRAIN_GRACE_MS: f64 = 2000.0;
/// The longest Retry-After.
const MAX_RETRY_AFTER_MS: u64 = 1000;
/// Microseconds in a millisecond; the settings have microseconds.
const US_PER_MS: u64 = 1000;
/// The settings' time between two decisions of the policy, in microseconds.
const TICK_US: u64 = 4000;
/// The weight of a request beyond its tenant's quota, as a fraction.
const OVER_QUOTA_FRACTION: f64 = 0.1;
/// Memory that the interpreter takes for each request beside its own, in KB.
const ENTRY_KB: f64 = 1.0;
/// A node's folder takes so much at the most, and its replica table as much memory.
const STORE_MB: u64 = 16;
/// A node accepts so many links for each node of the fleet.
const LINKS_PER_NODE: usize = 2;
/// A node accepts so many links at least.
const MIN_LINKS: usize = 4;
/// Replicas keep a key for so long after the longest window.
const WINDOW_MARGIN_MS: u64 = 1000;
/// The number of the virtual router that all nodes are.
const VIRTUAL_ROUTER_ID: u8 = 51;
/// The priority of the first node; each of the others has one less than the one before.
const HIGHEST_PRIORITY: usize = 200;

/// Where a node reaches the services around it.
#[derive(Debug, Clone, Copy)]
pub struct ServiceAddresses {
    /// The interpreter.
    pub interpreter: SocketAddr,
    /// The dependency.
    pub dependency: SocketAddr,
    /// The registry.
    pub registry: SocketAddr,
}

/// The platform's configuration of a node.
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

/// The settings of a class.
fn service(class: &Class) -> Value {
    json!({
        "name": class.name, "slo": class.latency_objective_ms * US_PER_MS,
        "deadline": class.deadline_ms * US_PER_MS,
        "effect": if class.idempotency_key { "by_key" } else { "repeatable" },
        "window": class.idempotency_window_ms * US_PER_MS,
        "worth": class.weight, "lateWorth": class.late_weight,
    })
}

/// The settings of the interpreter and of what it calls.
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

/// The quota of each tenant: its share of what the fleet can serve when warm.
fn tenants(scenario: &Scenario) -> Vec<Value> {
    let shares: f64 = scenario.load.tenants.values().sum();
    let rate = scenario.capacity() * MS_PER_SECOND / scenario.mean_work();
    let tenants = scenario.load.tenants.iter();
    tenants.map(|(name, share)| json!({"name": name, "quotaPerS": rate * share / shares})).collect()
}

fn us_of_ms(ms: f64) -> u64 {
    (ms * US_PER_MS as f64) as u64
}

/// The file that makes a node one of a virtual router: where it listens, and where it reaches each of the others.
pub fn router(position: usize, interval_ms: u64, listen: SocketAddr, peers: &[SocketAddr]) -> String {
    let peers: Vec<String> = peers.iter().map(|peer| format!("'{peer}'")).collect();
    format!(
        "listen = '127.0.0.1:0'\n[vrrp]\nvrid = {VIRTUAL_ROUTER_ID}\npriority = {}\n\
         interval_ms = {interval_ms}\naddresses = ['127.0.0.1']\nlisten = '{listen}'\npeers = [{}]\n",
        HIGHEST_PRIORITY - position,
        peers.join(", ")
    )
}

/// The file that makes a node's keys and results outlast its process.
pub fn result_store(folder: &Path) -> String {
    format!("folder = '{}'\nfile_mb = {STORE_MB}\n", folder.display())
}

/// Where peers of a node connect, and where it reaches each node of a fleet, itself among them.
#[derive(Debug, Clone)]
pub struct PeerAddresses {
    /// Where its peers connect.
    pub listen: SocketAddr,
    /// Where it reaches each node, by position.
    pub dial: Vec<SocketAddr>,
}

/// The file that makes a node one of a fleet that replicates; `members` are the nodes of the membership configuration of
/// this version, by position.
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
    let keep_keys = |class: &Class| class.idempotency_window_ms.max(class.deadline_ms);
    let window = scenario.classes.iter().map(keep_keys).max().unwrap_or(0) + WINDOW_MARGIN_MS;
    let mut text = format!(
        "name = '{}'\nlisten = '{}'\nmemory_mb = {STORE_MB}\nlinks = {links}\nprobe_ms = {}\n",
        names[position], addresses.listen, replication.probe_ms
    );
    if replication.folder {
        text += &result_store(folder);
    }
    // Writing to memory does not fail.
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
