//! The nodes of a play and everything they talk to, set up but not started.

use std::cell::{Cell, RefCell};
use std::io;
use std::path::Path;
use std::rc::Rc;

use tokio::task::spawn_local;

use super::Options;
use crate::model::registry::Registry;
use crate::model::Ms;
use crate::node::Machine;
use crate::play_context::PlayContext;
use crate::relay::Line;
use crate::scenario::Scenario;
use crate::schedule::{generator, schedule, Injection, RandomStream};
use crate::stand_in::dependency::Tier;
use crate::stand_in::frontends::{FrontEnd, NodeEndpoints, Shared};

/// All nodes serve within this, or the play does not begin.
const READY_TIMEOUT: Ms = 30_000.0;
/// Between two looks whether all nodes serve.
const READY_POLL_INTERVAL: Ms = 50.0;

/// The parts of a play.
pub(super) struct Testbed {
    pub(super) context: Rc<PlayContext>,
    pub(super) machines: Vec<Rc<Machine>>,
    pub(super) frontends: Vec<Rc<FrontEnd>>,
    /// The dependency, if requests call one.
    pub(super) dependency: Option<Rc<Tier>>,
    pub(super) members: Rc<RefCell<Registry>>,
    /// Strikes whose event has not come yet.
    pub(super) pending_injections: RefCell<Vec<Injection>>,
    /// The number of the next disturbance of links.
    pub(super) next_disturbance: Cell<u64>,
}

/// Makes lines with numbers that count up; the number decides a line's random numbers.
struct LineFactory<'a> {
    context: &'a PlayContext,
    made: u64,
}

impl LineFactory<'_> {
    fn line(&mut self) -> Line {
        self.made += 1;
        Line::new(self.context.clock, generator(self.context.seed, RandomStream::Links, self.made))
    }
}

impl Testbed {
    /// Sets up all parts of a scenario; the stand-ins run from now on.
    pub(super) fn new(
        scenario: &Scenario,
        options: &Options,
        seed: u64,
        folder: &Path,
    ) -> io::Result<Testbed> {
        let context = PlayContext::new(scenario.clone(), schedule(scenario, seed), seed);
        let lapse = scenario.registry.heartbeat_timeout_s * 1000.0;
        let members = Rc::new(RefCell::new(Registry::new(scenario.fleet.nodes, lapse)));
        let dependency = scenario.dependency.clone().map(|shape| Tier::new(context.clone(), shape));
        if let Some(dependency) = &dependency {
            spawn_local(dependency.clone().work());
        }
        let machines = machines(&context, options, folder)?;
        for machine in &machines {
            spawn_local(machine.interpreter.clone().work());
            spawn_local(machine.clone().serve_peers(dependency.clone(), members.clone()));
        }
        let frontends = frontends(&context, &machines, &members);
        Ok(Testbed {
            context,
            machines,
            frontends,
            dependency,
            members,
            pending_injections: RefCell::default(),
            next_disturbance: Cell::new(1),
        })
    }

    /// Waits until every node serves and every frontend sees it on its list.
    pub(super) async fn ready(&self) -> io::Result<()> {
        let deadline = self.context.now() + self.ready_timeout();
        loop {
            let now = self.context.now();
            if self.is_ready(now).await {
                return Ok(());
            }
            if now > deadline {
                return Err(io::Error::new(
                    io::ErrorKind::TimedOut,
                    "not every node serves in time after its start",
                ));
            }
            self.context.clock.until(now + READY_POLL_INTERVAL).await;
        }
    }

    /// Nodes that replicate may have to wait for the longest idempotency window before they vote.
    fn ready_timeout(&self) -> Ms {
        let scenario = &self.context.scenario;
        if scenario.fleet.peers.is_none() {
            return READY_TIMEOUT;
        }
        let window = scenario.classes.iter().map(|class| class.idempotency_window_ms).max().unwrap_or(0);
        READY_TIMEOUT + window as f64
    }

    async fn is_ready(&self, now: Ms) -> bool {
        let latest =
            self.context.schedule.frontends.iter().map(|front| front.registry_delay).fold(0.0, f64::max);
        let listed = self.members.borrow_mut().listed_at(now, now - latest);
        for (machine, is_listed) in self.machines.iter().zip(&listed) {
            if !*is_listed || !machine.healthy().await {
                return false;
            }
            // Keyed requests run once the nodes that hold replicas can vote.
            if machine.place.borrow().is_some() && !machine.can_vote.get() {
                return false;
            }
        }
        true
    }
}

fn machines(context: &Rc<PlayContext>, options: &Options, folder: &Path) -> io::Result<Vec<Rc<Machine>>> {
    let scenario = &context.scenario;
    let mut factory = LineFactory { context, made: 0 };
    let mut machines = Vec::new();
    for node in 0..scenario.fleet.nodes {
        let clients = (0..scenario.frontends.count).map(|_| factory.line()).collect();
        let services = [factory.line(), factory.line(), factory.line()];
        let machine = Machine::new(
            context.clone(),
            node,
            services,
            clients,
            &options.programs,
            folder,
            options.out.is_some(),
        )?;
        machines.push(machine);
    }
    Ok(machines)
}

fn frontends(
    context: &Rc<PlayContext>,
    machines: &[Rc<Machine>],
    members: &Rc<RefCell<Registry>>,
) -> Vec<Rc<FrontEnd>> {
    let endpoints = machines.iter().map(|machine| NodeEndpoints {
        address: machine.address.subscribe(),
        lines: machine.clients.clone(),
        interpreter: machine.interpreter.clone(),
    });
    let shared = Shared {
        nodes: Rc::new(endpoints.collect()),
        members: members.clone(),
        attempts: Rc::default(),
        first_nodes: Rc::default(),
    };
    let count = context.scenario.frontends.count;
    (0..count).map(|position| FrontEnd::new(context.clone(), position, shared.clone())).collect()
}
