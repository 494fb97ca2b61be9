//! The nodes of a play and everything that they connect to, set up but not started.

use std::cell::{Cell, RefCell};
use std::path::Path;
use std::rc::Rc;

use tokio::task::spawn_local;

use super::{Options, PlayError};
use crate::model::registry::Registry;
use crate::model::{ms_of_seconds, Ms};
use crate::node::{Node, ServiceRelays, StartError};
use crate::play_context::PlayContext;
use crate::relay::Relay;
use crate::scenario::Scenario;
use crate::schedule::{generator, schedule, Injection, RandomStream};
use crate::simulated::dependency::Dependency;
use crate::simulated::frontends::{Frontend, NodeEndpoints, Shared};

/// Time within which all nodes have to be ready; otherwise the play fails.
const READY_TIMEOUT: Ms = 30_000.0;
/// Interval between two checks whether all nodes are ready.
const READY_POLL_INTERVAL: Ms = 50.0;

/// The nodes, frontends and simulated services of a play.
pub(super) struct Testbed {
    pub(super) context: Rc<PlayContext>,
    pub(super) nodes: Vec<Rc<Node>>,
    pub(super) frontends: Vec<Rc<Frontend>>,
    /// The simulated dependency; absent if the scenario has none.
    pub(super) dependency: Option<Rc<Dependency>>,
    pub(super) registry: Rc<RefCell<Registry>>,
    /// Faults that wait for an event that has not occurred yet.
    pub(super) pending_injections: RefCell<Vec<Injection>>,
    /// The number of the next link disturbance.
    pub(super) next_disturbance: Cell<u64>,
}

/// Creates relays with consecutive numbers; the number selects a relay's random stream.
struct RelayFactory<'a> {
    context: &'a PlayContext,
    made: u64,
}

impl RelayFactory<'_> {
    fn relay(&mut self) -> Relay {
        self.made += 1;
        Relay::new(self.context.clock, generator(self.context.seed, RandomStream::Links, self.made))
    }
}

impl Testbed {
    /// Sets up all parts of a scenario and starts the simulated services.
    pub(super) fn new(
        scenario: &Scenario,
        options: &Options,
        seed: u64,
        folder: &Path,
    ) -> Result<Testbed, PlayError> {
        let context = PlayContext::new(scenario.clone(), schedule(scenario, seed), seed);
        let heartbeat_timeout = ms_of_seconds(scenario.registry.heartbeat_timeout_s);
        let registry = Rc::new(RefCell::new(Registry::new(scenario.fleet.nodes, heartbeat_timeout)));
        let dependency =
            scenario.dependency.clone().map(|settings| Dependency::new(context.clone(), settings));
        if let Some(dependency) = &dependency {
            spawn_local(dependency.clone().work());
        }
        let nodes = nodes(&context, options, folder)?;
        for node in &nodes {
            spawn_local(node.interpreter.clone().work());
            spawn_local(node.clone().serve_services(dependency.clone(), registry.clone()));
        }
        let frontends = frontends(&context, &nodes, &registry);
        Ok(Testbed {
            context,
            nodes,
            frontends,
            dependency,
            registry,
            pending_injections: RefCell::default(),
            next_disturbance: Cell::new(1),
        })
    }

    /// Waits until every node is healthy, can vote if it replicates, and is on the registry list of every
    /// frontend.
    pub(super) async fn wait_until_ready(&self) -> Result<(), PlayError> {
        let timeout = self.ready_timeout();
        let deadline = self.context.now() + timeout;
        loop {
            let now = self.context.now();
            let Some(node) = self.first_unready(now).await else { return Ok(()) };
            if now > deadline {
                return Err(PlayError::NotReady { node, timeout });
            }
            self.context.clock.until(now + READY_POLL_INTERVAL).await;
        }
    }

    /// The time to wait for readiness. Replicating nodes may have to wait for the longest idempotency window
    /// before they can vote.
    fn ready_timeout(&self) -> Ms {
        let scenario = &self.context.scenario;
        if scenario.fleet.peers.is_none() {
            return READY_TIMEOUT;
        }
        let window = scenario.classes.iter().map(|class| class.idempotency_window_ms).max().unwrap_or(0);
        READY_TIMEOUT + window as f64
    }

    /// The name of the first node that is not ready, if there is one.
    async fn first_unready(&self, now: Ms) -> Option<String> {
        let latest = self
            .context
            .schedule
            .frontends
            .iter()
            .map(|frontend| frontend.registry_delay)
            .fold(0.0, f64::max);
        let listed = self.registry.borrow_mut().listed_at(now, now - latest);
        for (node, is_listed) in self.nodes.iter().zip(&listed) {
            if !*is_listed || !node.is_healthy().await {
                return Some(node.name());
            }
            // Keyed requests can run only when the nodes that hold replicas of the key can vote.
            if node.peer_addresses.borrow().is_some() && !node.can_vote.get() {
                return Some(node.name());
            }
        }
        None
    }
}

fn nodes(context: &Rc<PlayContext>, options: &Options, folder: &Path) -> Result<Vec<Rc<Node>>, StartError> {
    let scenario = &context.scenario;
    let mut factory = RelayFactory { context, made: 0 };
    let mut nodes = Vec::new();
    for index in 0..scenario.fleet.nodes {
        let relays = ServiceRelays {
            frontends: (0..scenario.frontends.count).map(|_| factory.relay()).collect(),
            interpreter: factory.relay(),
            dependency: factory.relay(),
            registry: factory.relay(),
        };
        let log_enabled = options.out.is_some();
        let node = Node::new(context.clone(), index, relays, &options.programs, folder, log_enabled)?;
        nodes.push(node);
    }
    Ok(nodes)
}

fn frontends(
    context: &Rc<PlayContext>,
    nodes: &[Rc<Node>],
    registry: &Rc<RefCell<Registry>>,
) -> Vec<Rc<Frontend>> {
    let endpoints = nodes.iter().map(|node| NodeEndpoints {
        address: node.address.subscribe(),
        relays: node.relays.frontends.clone(),
        interpreter: node.interpreter.clone(),
    });
    let shared = Shared {
        nodes: Rc::new(endpoints.collect()),
        registry: registry.clone(),
        attempts: Rc::default(),
        first_nodes: Rc::default(),
    };
    let count = context.scenario.frontends.count;
    (0..count).map(|position| Frontend::new(context.clone(), position, shared.clone())).collect()
}
