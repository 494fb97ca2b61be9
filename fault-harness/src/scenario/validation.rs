//! Checks a scenario whole before anything starts: a function for each table, a line for each mistake.

use super::{
    Class, Fault, FaultKind, Fleet, Frontends, Load, LoadStep, Mistakes, Replication, Scenario, StoredState,
    Traffic,
};

/// Requests that one scenario may ask for. Guards the memory, where the whole history stays until the end.
const MAX_REQUESTS: f64 = 300_000.0;
/// Nodes that one machine can hold.
const MAX_NODES: usize = 64;
/// Frontends that one machine can hold.
const MAX_FRONTENDS: usize = 64;
/// Cores that an interpreter may have.
const MAX_CORES: u32 = 64;
/// Replicas that a key may have.
const MAX_REPLICAS: usize = 9;
/// The longest scenario, in seconds.
const MAX_SECONDS: f64 = 7200.0;

/// Collects mistakes in the order in which the keys are checked.
#[derive(Default)]
struct Findings {
    mistakes: Mistakes,
}

impl Findings {
    /// Records a mistake about this key unless the condition holds.
    fn require(&mut self, holds: bool, key: &str, requirement: &str) {
        if !holds {
            self.mistakes.push(format!("{key}: {requirement}"));
        }
    }
}

/// All mistakes of a scenario whose keys and types are right.
pub(super) fn mistakes(scenario: &Scenario) -> Mistakes {
    let mut findings = Findings::default();
    let seconds = scenario.seconds;
    findings.require(seconds > 0.0 && seconds <= MAX_SECONDS, "seconds", "above 0 and at most 7200");
    check_fleet(&scenario.fleet, &mut findings);
    check_node_references(scenario, &mut findings);
    findings.require(!scenario.classes.is_empty(), "class", "at least one");
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
    findings.mistakes
}

fn check_fleet(fleet: &Fleet, findings: &mut Findings) {
    findings.require((1..=MAX_NODES).contains(&fleet.nodes), "fleet.nodes", "1 to 64");
    findings.require(!fleet.zones.is_empty(), "fleet.zones", "at least one");
    check_interpreter(fleet, findings);
    findings.require(fleet.sockets >= 32, "fleet.sockets", "32 at least");
    let vrrp = fleet.vrrp.as_ref();
    findings.require(vrrp.is_none_or(|vrrp| vrrp.interval_ms >= 10), "fleet.vrrp.interval_ms", "10 or more");
    if let Some(replication) = &fleet.peers {
        check_replication(replication, fleet.nodes, findings);
    }
}

fn check_interpreter(fleet: &Fleet, findings: &mut Findings) {
    findings.require((1..=MAX_CORES).contains(&fleet.cores), "fleet.cores", "1 to 64");
    let [slowest, fastest] = fleet.speed;
    findings.require(
        slowest > 0.0 && slowest <= fastest,
        "fleet.speed",
        "two numbers above 0, the lower first",
    );
    findings.require(is_positive_fraction(fleet.warm_from), "fleet.warm_from", "above 0 and at most 1");
    findings.require(fleet.warm_s >= 0.0, "fleet.warm_s", "0 or more");
    findings.require(fleet.thrash_at >= 1.0, "fleet.thrash_at", "1 or more");
    findings.require(is_positive_fraction(fleet.thrash), "fleet.thrash", "above 0 and at most 1");
    findings.require(fleet.memory_kb > 0.0, "fleet.memory_kb", "above 0");
    findings.require(fleet.run_factor >= 1.0, "fleet.run_factor", "1 or more");
    findings.require(
        fleet.read_ms >= 0.0 && fleet.connect_ms >= 0.0,
        "fleet.read_ms",
        "0 or more, as connect_ms",
    );
}

fn check_replication(replication: &Replication, nodes: usize, findings: &mut Findings) {
    findings.require((1..=MAX_REPLICAS).contains(&replication.replicas), "fleet.peers.replicas", "1 to 9");
    findings.require(replication.probe_ms >= 50, "fleet.peers.probe_ms", "50 or more");
    findings.require(
        replication.joining_nodes < nodes,
        "fleet.peers.joining_nodes",
        "fewer than there are nodes",
    );
}

/// The nodes that `fleet.programs` and `fleet.clocks` name.
fn check_node_references(scenario: &Scenario, findings: &mut Findings) {
    let node_names = scenario.node_names();
    for (program, nodes) in &scenario.fleet.programs {
        let key = format!("fleet.programs.{program}");
        for node in nodes {
            findings.require(node_names.contains(node), &key, &format!("there is no node {node:?}"));
        }
    }
    for (node, clock) in &scenario.fleet.clocks {
        let key = format!("fleet.clocks.{node}");
        findings.require(node_names.contains(node), &key, "there is no such node");
        findings.require(is_clock(clock), &key, "is not AT:BY in milliseconds");
    }
}

fn check_class(scenario: &Scenario, position: usize, class: &Class, findings: &mut Findings) {
    let mut require = |holds: bool, name: &str, requirement: &str| {
        findings.require(holds, &format!("class[{position}].{name}"), requirement);
    };
    require(class.share > 0.0, "share", "above 0");
    require(class.work_ms > 0.0, "work_ms", "above 0");
    require(class.cv >= 0.0, "cv", "0 or more");
    let is_within_deadline =
        class.latency_objective_ms > 0 && class.latency_objective_ms <= class.deadline_ms;
    require(is_within_deadline, "latency_objective_ms", "above 0 and at most the deadline");
    require(
        !class.idempotency_key || class.idempotency_window_ms > 0,
        "idempotency_window_ms",
        "above 0 in a class with idempotency keys",
    );
    require(
        !class.calls_dependency || scenario.dependency.is_some(),
        "calls_dependency",
        "there is no [dependency]",
    );
    require(is_fraction(class.late_weight), "late_weight", "0 to 1");
}

/// The rate of requests, which follows from `[load]`, `[fleet]` and the classes together.
fn check_rate(scenario: &Scenario, findings: &mut Findings) {
    let load = &scenario.load;
    findings.require(load.rate.is_some() != load.load.is_some(), "load", "either rate or load");
    let rate = scenario.rate();
    findings.require(rate > 0.0 && rate.is_finite(), "load.rate", "above 0");
    let highest_factor = load.steps.iter().map(|step| step.rate_factor).fold(1.0, f64::max);
    let most_requests = rate * scenario.seconds * highest_factor;
    findings.require(most_requests <= MAX_REQUESTS, "load.rate", "over 300000 requests in all");
}

fn check_load(load: &Load, findings: &mut Findings) {
    for (position, step) in load.steps.iter().enumerate() {
        check_step(position, step, findings);
    }
    findings.require(
        !load.tenants.is_empty() && load.tenants.values().all(|share| *share > 0.0),
        "load.tenants",
        "at least one, each share above 0",
    );
    findings.require(is_fraction(load.repeat_fraction), "load.repeat_fraction", "0 to 1");
    findings.require(
        is_interval(load.repeat_after_ms),
        "load.repeat_after_ms",
        "two numbers, the lower first",
    );
}

fn check_step(position: usize, step: &LoadStep, findings: &mut Findings) {
    let mut require = |holds: bool, name: &str, requirement: &str| {
        findings.require(holds, &format!("load.step[{position}].{name}"), requirement);
    };
    require(step.from_s >= 0.0 && step.from_s < step.to_s, "from_s", "before to_s");
    require(step.rate_factor >= 0.0, "rate_factor", "0 or more");
    require(is_fraction(step.costly_fraction), "costly_fraction", "0 to 1");
}

fn check_frontends(frontends: &Frontends, findings: &mut Findings) {
    findings.require((1..=MAX_FRONTENDS).contains(&frontends.count), "frontends.count", "1 to 64");
    findings.require(!frontends.load_balancing.is_empty(), "frontends.load_balancing", "at least one");
    findings.require(is_fraction(frontends.retry_after_honoured), "frontends.retry_after_honoured", "0 to 1");
    findings.require(frontends.retries >= -1, "frontends.retries", "-1 or more");
    findings.require(frontends.backoff_ms > 0.0, "frontends.backoff_ms", "above 0");
    findings.require(
        is_interval(frontends.registry_delay_ms),
        "frontends.registry_delay_ms",
        "two numbers, the lower first",
    );
}

/// `[dependency]`, `[rules]` and `[registry]`.
fn check_services(scenario: &Scenario, findings: &mut Findings) {
    if let Some(dependency) = &scenario.dependency {
        findings.require(dependency.slots > 0, "dependency.slots", "above 0");
        findings.require(dependency.work_ms > 0.0, "dependency.work_ms", "above 0");
    }
    findings.require(scenario.rules.slack_ms >= 0.0, "rules.slack_ms", "0 or more");
    findings.require(scenario.registry.heartbeat_timeout_s > 0.0, "members.heartbeat_timeout_s", "above 0");
}

/// The check of one `[[fault]]`.
struct FaultCheck<'a> {
    scenario: &'a Scenario,
    node_names: &'a [String],
    fault: &'a Fault,
    position: usize,
    findings: &'a mut Findings,
}

impl FaultCheck<'_> {
    fn require(&mut self, holds: bool, name: &str, requirement: &str) {
        let key = format!("fault[{}].{name}", self.position);
        self.findings.require(holds, &key, requirement);
    }

    fn check(&mut self) {
        self.check_time();
        self.check_targets();
        self.check_restart();
        self.check_duration();
        self.check_traffic();
    }

    /// When it strikes.
    fn check_time(&mut self) {
        let fault = self.fault;
        self.require(fault.at_s.is_some() != fault.when.is_some(), "at_s", "either at_s or when");
        let repeats_rightly =
            fault.repeat_every_s.is_none_or(|interval| interval >= 1.0 && fault.at_s.is_some());
        self.require(repeats_rightly, "repeat_every_s", "1 or more, with at_s");
        let seconds = self.scenario.seconds;
        let is_within = fault.at_s.is_none_or(|at| at >= 0.0 && at < seconds);
        self.require(is_within, "at_s", "within the scenario's seconds");
        let names_a_node = fault.when.as_ref().is_none_or(|when| self.node_names.contains(&when.node));
        self.require(names_a_node, "when.node", "there is no such node");
    }

    /// What it strikes, and in how many waves.
    fn check_targets(&mut self) {
        let fault = self.fault;
        let selectors = [!fault.nodes.is_empty(), fault.zone.is_some(), fault.fraction.is_some()];
        let given = selectors.iter().filter(|given| **given).count();
        let strikes_nodes = !matches!(fault.what, FaultKind::Dependency | FaultKind::Registry);
        self.require(
            !strikes_nodes || given == 1,
            "nodes",
            "one of nodes, zone and fraction names its targets",
        );
        for node in &fault.nodes {
            self.require(self.node_names.contains(node), "nodes", &format!("there is no node {node:?}"));
        }
        let is_zone = fault.zone.as_ref().is_none_or(|zone| self.scenario.fleet.zones.contains(zone));
        self.require(is_zone, "zone", "there is no such zone");
        self.require(fault.fraction.is_none_or(is_positive_fraction), "fraction", "above 0 and at most 1");
        let counts_frontends = fault.what != FaultKind::Frontends || fault.fraction.is_some();
        self.require(counts_frontends, "fraction", "of the frontends, for `frontends`");
        self.require(fault.waves >= 1, "waves", "1 or more");
    }

    /// The clock that a restarted node sees.
    fn check_restart(&mut self) {
        let is_clock = self.fault.clock.as_ref().is_none_or(|clock| is_clock(clock));
        self.require(is_clock, "clock", "is not AT:BY in milliseconds");
    }

    /// How long it lasts, and what is left of a speed or of slots meanwhile.
    fn check_duration(&mut self) {
        let fault = self.fault;
        let lasts = matches!(
            fault.what,
            FaultKind::Pause
                | FaultKind::Slow
                | FaultKind::Partition
                | FaultKind::Link
                | FaultKind::Dependency
                | FaultKind::Registry
        );
        let only_resets =
            fault.what == FaultKind::Link && fault.traffic == Traffic { reset: true, ..Traffic::default() };
        let has_duration = fault.duration_s.is_some_and(|seconds| seconds > 0.0);
        self.require(!lasts || only_resets || has_duration, "duration_s", "above 0: this fault lasts");
        self.require(fault.factor >= 0.0, "factor", "0 or more");
    }

    /// The links and their traffic, and the folder that a restarted node finds.
    fn check_traffic(&mut self) {
        let (fault, fleet) = (self.fault, &self.scenario.fleet);
        let is_link = fault.what == FaultKind::Link;
        self.require(!is_link || !fault.between.is_empty(), "between", "says whose traffic suffers");
        let changes_traffic = fault.traffic != Traffic::default();
        self.require(!is_link || changes_traffic, "traffic", "says what happens to it");
        let has_folder = fleet.folder || fleet.peers.as_ref().is_some_and(|peers| peers.folder);
        self.require(
            fault.folder == StoredState::Intact || has_folder,
            "folder",
            "neither fleet.folder nor fleet.peers.folder is on",
        );
        let fractions = [fault.traffic.loss, fault.traffic.duplicate, fault.traffic.reorder];
        self.require(fractions.into_iter().all(is_fraction), "traffic", "fractions are 0 to 1");
    }
}

fn is_fraction(value: f64) -> bool {
    (0.0..=1.0).contains(&value)
}

fn is_positive_fraction(value: f64) -> bool {
    value > 0.0 && value <= 1.0
}

/// Whether these are two bounds, neither below 0 and the lower first.
fn is_interval([low, high]: [f64; 2]) -> bool {
    low >= 0.0 && low <= high
}

/// Whether this says when and by how much a clock is set.
fn is_clock(text: &str) -> bool {
    text.split_once(':').is_some_and(|(at, by)| at.parse::<u64>().is_ok() && by.parse::<i64>().is_ok())
}
