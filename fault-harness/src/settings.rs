//! The files that a node of a scenario is started with.

use std::net::SocketAddr;
use std::path::Path;

use serde_json::{json, Value};

use crate::model::interpreter::FALL_MULTIPLE;
use crate::scenario::Scenario;

/// What comes later than this after the notice to leave is not run.
pub const DRAIN_GRACE_MS: f64 = 2000.0;
/// The longest advice to stay away.
const MAX_RETRY_AFTER_MS: u64 = 1000;
/// A node's folder takes so much at the most.
const FOLDER_MB: u64 = 16;

/// Where a node reaches its peers.
#[derive(Debug, Clone, Copy)]
pub struct Peers {
    /// The interpreter.
    pub vm: SocketAddr,
    /// The index.
    pub index: SocketAddr,
    /// The membership service.
    pub members: SocketAddr,
}

/// The platform's configuration of a node.
pub fn config(scenario: &Scenario, name: &str, seed: u64, peers: &Peers) -> String {
    let calls = scenario.dependency.is_some();
    let mut config = json!({
        "name": name, "listen": "127.0.0.1:0", "vm": peers.vm, "members": peers.members,
        "seed": format!("{seed:x}"), "stop_ms": scenario.fleet.stop_ms,
        "limits": {"memory_mb": scenario.fleet.memory_mb, "sockets": scenario.fleet.sockets},
        "settings": settings(scenario),
    });
    if calls {
        config["index"] = json!(peers.index);
    }
    config.to_string()
}

fn settings(scenario: &Scenario) -> Value {
    let micros = |ms: f64| (ms * 1000.0) as u64;
    let fleet = &scenario.fleet;
    let services: Vec<Value> = scenario
        .classes
        .iter()
        .map(|class| {
            json!({"name": class.name, "slo": class.latency_objective_ms * 1000, "deadline": class.deadline_ms * 1000,
                "effect": if class.idempotency_key { "by_key" } else { "repeatable" },
                "window": class.idempotency_window_ms * 1000, "worth": class.weight, "lateWorth": class.late_weight})
        })
        .collect();
    let shares: f64 = scenario.load.tenants.values().sum();
    let rate = scenario.capacity() * 1000.0 / scenario.mean_work();
    let tenants: Vec<Value> = scenario
        .load
        .tenants
        .iter()
        .map(|(name, share)| json!({"name": name, "quotaPerS": rate * share / shares}))
        .collect();
    let of_classes =
        |of: fn(&crate::scenario::Class) -> Value| scenario.classes.iter().map(of).collect::<Vec<Value>>();
    json!({
        "services": services, "countedBy": "work", "overShareWorth": 0.1, "servers": fleet.nodes, "tick": 4000,
        "specifics": {"cores": fleet.cores, "memoryKb": fleet.memory_kb, "runFactor": fleet.run_factor, "entryKb": 1.0,
            "dependsOn": if scenario.dependency.is_some() { "tier" } else { "off" }, "callers": scenario.frontends.count,
            "classCalls": of_classes(|class| json!(class.calls_dependency)),
            "classSkipWorth": of_classes(|class| json!(class.skip_weight)),
            "idle": micros(scenario.frontends.idle_timeout_s * 1000.0), "passesDeadline": true, "preemption": "pause",
            "gauges": ["cpu_busy", "runnable", "mem_used"]},
        "safety": {"coldShare": fleet.warm_from, "warmAfter": micros(fleet.warm_s * 1000.0),
            "drainGrace": micros(DRAIN_GRACE_MS), "fallMultiple": FALL_MULTIPLE},
        "limits": {"maxRetryAfter": MAX_RETRY_AFTER_MS * 1000, "retryAfter": true},
        "tenants": tenants,
    })
}

/// The virtual router that all nodes are.
const VRID: u8 = 51;
/// The priority of the first node; each of the others has one less than the one before.
const HIGHEST: usize = 200;

/// The file that makes a node one of a virtual router: where it hears, and where it reaches each of the others.
pub fn router(position: usize, interval_ms: u64, listen: SocketAddr, peers: &[SocketAddr]) -> String {
    let peers: Vec<String> = peers.iter().map(|peer| format!("'{peer}'")).collect();
    format!(
        "listen = '127.0.0.1:0'\n[vrrp]\nvrid = {VRID}\npriority = {}\ninterval_ms = {interval_ms}\n\
         addresses = ['127.0.0.1']\nlisten = '{listen}'\npeers = [{}]\n",
        HIGHEST - position,
        peers.join(", ")
    )
}

/// The file that makes a node's keys and results outlast it.
pub fn remembered(folder: &Path) -> String {
    format!("folder = '{}'\nfile_mb = {FOLDER_MB}\n", folder.display())
}

/// Where peers of a node connect, and where it reaches each node of a list, itself among them.
#[derive(Debug, Clone)]
pub struct Place {
    /// Where its peers connect.
    pub listen: SocketAddr,
    /// Where it reaches each node.
    pub reaches: Vec<SocketAddr>,
}

/// The file that makes a node one of a fleet whose nodes talk; `listed` are the nodes of the list by position.
pub fn fleet(
    scenario: &Scenario,
    position: usize,
    place: &Place,
    folder: &Path,
    number: u64,
    listed: &[usize],
) -> String {
    let Some(peers) = &scenario.fleet.peers else { return String::new() };
    let longest = scenario
        .classes
        .iter()
        .map(|class| class.idempotency_window_ms.max(class.deadline_ms))
        .max()
        .unwrap_or(0);
    let names = scenario.node_names();
    let mut text = format!(
        "name = '{}'\nlisten = '{}'\nmemory_mb = {FOLDER_MB}\nlinks = {}\nprobe_ms = {}\n",
        names[position],
        place.listen,
        (2 * names.len()).max(4),
        peers.probe_ms
    );
    if peers.folder {
        text += &format!("folder = '{}'\nfile_mb = {FOLDER_MB}\n", folder.display());
    }
    text +=
        &format!("[list]\nnumber = {number}\ncopies = {}\nwindow_ms = {}\n", peers.replicas, longest + 1000);
    for other in listed {
        let zone = &scenario.fleet.zones[scenario.zone_of(*other)];
        text += &format!(
            "[[list.member]]\nname = '{}'\naddress = '{}'\nzone = '{zone}'\n",
            names[*other], place.reaches[*other]
        );
    }
    text
}
