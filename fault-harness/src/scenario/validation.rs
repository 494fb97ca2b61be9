//! Validation of a scenario before anything is started, with a function for each table. All mistakes are
//! reported, not only the first.

mod fault;
mod findings;

use super::{Class, Fleet, Frontends, Load, LoadStep, Replication, Scenario, ScenarioError};
use fault::FaultCheck;
use findings::Findings;

/// Maximum number of requests of a scenario. It bounds memory usage, because the whole history is kept in
/// memory until the end.
const MAX_REQUESTS: f64 = 300_000.0;
/// Maximum number of nodes, since all of them run on one machine.
const MAX_NODES: usize = 64;
/// Maximum number of frontends, since all of them run on one machine.
const MAX_FRONTENDS: usize = 64;
/// Maximum number of cores of an interpreter.
const MAX_CORES: u32 = 64;
/// Maximum number of replicas of a key.
const MAX_REPLICAS: usize = 9;
/// Maximum duration of a scenario, in seconds.
const MAX_SECONDS: f64 = 7200.0;
/// Minimum limit of descriptors with which the program can run.
const MIN_SOCKETS: u64 = 32;
/// Minimum interval between two advertisements of a virtual router, in milliseconds.
const MIN_VRRP_INTERVAL_MS: u64 = 10;
/// Minimum interval between two probes, in milliseconds.
const MIN_PROBE_MS: u64 = 50;

/// Returns all mistakes of a scenario that was deserialized without an error.
pub(super) fn validate(scenario: &Scenario) -> Vec<ScenarioError> {
    let mut findings = Findings::default();
    let seconds = scenario.seconds;
    let requirement = "above 0 and at most 7200";
    findings.require(seconds > 0.0 && seconds <= MAX_SECONDS, "seconds", seconds, requirement);
    check_fleet(&scenario.fleet, &mut findings);
    check_node_references(scenario, &mut findings);
    findings.require_consistent(!scenario.classes.is_empty(), "class", "at least one [[class]] is required");
    for (position, class) in scenario.classes.iter().enumerate() {
        check_class(scenario, position, class, &mut findings);
    }
    check_rate(scenario, &mut findings);
    check_load(&scenario.load, &mut findings);
    check_frontends(&scenario.frontends, &mut findings);
    check_services(scenario, &mut findings);
    let node_names = scenario.node_names();
    for (position, fault) in scenario.faults.iter().enumerate() {
        FaultCheck { scenario, node_names: &node_names, fault, position, findings: &mut findings }.check();
    }
    findings.into_errors()
}

fn check_fleet(fleet: &Fleet, findings: &mut Findings) {
    findings.require((1..=MAX_NODES).contains(&fleet.nodes), "fleet.nodes", fleet.nodes, "from 1 to 64");
    findings.require_consistent(!fleet.zones.is_empty(), "fleet.zones", "at least one zone is required");
    check_interpreter(fleet, findings);
    findings.require(fleet.sockets >= MIN_SOCKETS, "fleet.sockets", fleet.sockets, "32 or more");
    if let Some(vrrp) = &fleet.vrrp {
        let interval = vrrp.interval_ms;
        findings.require(interval >= MIN_VRRP_INTERVAL_MS, "fleet.vrrp.interval_ms", interval, "10 or more");
    }
    if let Some(replication) = &fleet.peers {
        check_replication(replication, fleet.nodes, findings);
    }
}

fn check_interpreter(fleet: &Fleet, findings: &mut Findings) {
    findings.require((1..=MAX_CORES).contains(&fleet.cores), "fleet.cores", fleet.cores, "from 1 to 64");
    let [slowest, fastest] = fleet.speed;
    let is_speed = slowest > 0.0 && slowest <= fastest;
    let speeds = format!("{:?}", fleet.speed);
    findings.require(is_speed, "fleet.speed", speeds, "two numbers above 0, the lower first");
    findings.require_positive_fraction("fleet.warm_from", fleet.warm_from);
    findings.require(fleet.warm_s >= 0.0, "fleet.warm_s", fleet.warm_s, "0 or more");
    findings.require(fleet.thrash_at >= 1.0, "fleet.thrash_at", fleet.thrash_at, "1 or more");
    findings.require_positive_fraction("fleet.thrash", fleet.thrash);
    findings.require(fleet.memory_kb > 0.0, "fleet.memory_kb", fleet.memory_kb, "above 0");
    findings.require(fleet.run_factor >= 1.0, "fleet.run_factor", fleet.run_factor, "1 or more");
    findings.require(fleet.read_ms >= 0.0, "fleet.read_ms", fleet.read_ms, "0 or more");
    findings.require(fleet.connect_ms >= 0.0, "fleet.connect_ms", fleet.connect_ms, "0 or more");
}

fn check_replication(replication: &Replication, nodes: usize, findings: &mut Findings) {
    let Replication { replicas, probe_ms, joining_nodes, .. } = *replication;
    findings.require((1..=MAX_REPLICAS).contains(&replicas), "fleet.peers.replicas", replicas, "from 1 to 9");
    findings.require(probe_ms >= MIN_PROBE_MS, "fleet.peers.probe_ms", probe_ms, "50 or more");
    let leaves_members = joining_nodes < nodes;
    findings.require(leaves_members, "fleet.peers.joining_nodes", joining_nodes, "less than fleet.nodes");
}

/// Checks that the nodes in `fleet.programs` and `fleet.clocks` exist.
fn check_node_references(scenario: &Scenario, findings: &mut Findings) {
    let node_names = scenario.node_names();
    for (program, nodes) in &scenario.fleet.programs {
        for node in nodes {
            findings.require_node(&node_names, &format!("fleet.programs.{program}"), node);
        }
    }
    for (node, clock) in &scenario.fleet.clocks {
        let key = format!("fleet.clocks.{node}");
        findings.require_node(&node_names, &key, node);
        findings.require_clock(&key, clock);
    }
}

fn check_class(scenario: &Scenario, position: usize, class: &Class, findings: &mut Findings) {
    let key = |name: &str| format!("class[{position}].{name}");
    findings.require(class.share > 0.0, &key("share"), class.share, "above 0");
    findings.require(class.work_ms > 0.0, &key("work_ms"), class.work_ms, "above 0");
    findings.require(class.cv >= 0.0, &key("cv"), class.cv, "0 or more");
    let objective = class.latency_objective_ms;
    let is_objective = objective > 0 && objective <= class.deadline_ms;
    let requirement = "above 0 and at most deadline_ms";
    findings.require(is_objective, &key("latency_objective_ms"), objective, requirement);
    let window = class.idempotency_window_ms;
    let has_window = !class.idempotency_key || window > 0;
    let requirement = "above 0 in a class with idempotency keys";
    findings.require(has_window, &key("idempotency_window_ms"), window, requirement);
    let has_dependency = !class.calls_dependency || scenario.dependency.is_some();
    let requirement = "the scenario has no [dependency] to call";
    findings.require_consistent(has_dependency, &key("calls_dependency"), requirement);
    findings.require_fraction(&key("late_weight"), class.late_weight);
}

/// Checks the rate of requests, which depends on `[load]`, `[fleet]` and the classes.
fn check_rate(scenario: &Scenario, findings: &mut Findings) {
    let load = &scenario.load;
    let has_one_rate = load.rate.is_some() != load.load.is_some();
    findings.require_consistent(has_one_rate, "load", "exactly one of rate and load is required");
    let rate = scenario.rate();
    findings.require(rate > 0.0 && rate.is_finite(), "load.rate", rate, "above 0");
    let highest_factor = load.steps.iter().map(|step| step.rate_factor).fold(1.0, f64::max);
    let count = rate * scenario.seconds * highest_factor;
    if count > MAX_REQUESTS || count.is_nan() {
        findings.add(ScenarioError::TooManyRequests { key: "load.rate", count, max: MAX_REQUESTS });
    }
}

fn check_load(load: &Load, findings: &mut Findings) {
    for (position, step) in load.steps.iter().enumerate() {
        check_step(position, step, findings);
    }
    findings.require_consistent(!load.tenants.is_empty(), "load.tenants", "at least one tenant is required");
    for (tenant, share) in &load.tenants {
        findings.require(*share > 0.0, &format!("load.tenants.{tenant}"), share, "above 0");
    }
    findings.require_fraction("load.repeat_fraction", load.repeat_fraction);
    findings.require_interval("load.repeat_after_ms", load.repeat_after_ms);
}

fn check_step(position: usize, step: &LoadStep, findings: &mut Findings) {
    let key = |name: &str| format!("load.step[{position}].{name}");
    let is_period = step.from_s >= 0.0 && step.from_s < step.to_s;
    findings.require(is_period, &key("from_s"), step.from_s, "0 or more and less than to_s");
    findings.require(step.rate_factor >= 0.0, &key("rate_factor"), step.rate_factor, "0 or more");
    findings.require_fraction(&key("costly_fraction"), step.costly_fraction);
}

fn check_frontends(frontends: &Frontends, findings: &mut Findings) {
    let count = frontends.count;
    findings.require((1..=MAX_FRONTENDS).contains(&count), "frontends.count", count, "from 1 to 64");
    let has_policy = !frontends.load_balancing.is_empty();
    findings.require_consistent(has_policy, "frontends.load_balancing", "at least one policy is required");
    findings.require_fraction("frontends.retry_after_honoured", frontends.retry_after_honoured);
    findings.require(frontends.retries >= -1, "frontends.retries", frontends.retries, "-1 or more");
    findings.require(frontends.backoff_ms > 0.0, "frontends.backoff_ms", frontends.backoff_ms, "above 0");
    findings.require_interval("frontends.registry_delay_ms", frontends.registry_delay_ms);
}

/// Checks `[dependency]`, `[rules]` and `[registry]`.
fn check_services(scenario: &Scenario, findings: &mut Findings) {
    if let Some(dependency) = &scenario.dependency {
        findings.require(dependency.slots > 0, "dependency.slots", dependency.slots, "above 0");
        findings.require(dependency.work_ms > 0.0, "dependency.work_ms", dependency.work_ms, "above 0");
    }
    let slack = scenario.rules.slack_ms;
    findings.require(slack >= 0.0, "rules.slack_ms", slack, "0 or more");
    let timeout = scenario.registry.heartbeat_timeout_s;
    findings.require(timeout > 0.0, "registry.heartbeat_timeout_s", timeout, "above 0");
}
