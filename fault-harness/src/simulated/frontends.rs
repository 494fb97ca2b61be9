//! Frontends and the clients behind them, which send attempts to the nodes over connections.

mod attempt;
mod connection;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

use super::interpreter::Interpreter;
use crate::history::Event;
use crate::model::frontend::{
    AttemptOutcome, AttemptPolicy, Frontend as FrontendModel, NextStep, RequestProgress,
};
use crate::model::registry::Registry;
use crate::model::{ms_of_seconds, Ms};
use crate::play_context::PlayContext;
use crate::relay::Relay;
use crate::schedule::{generator, RandomStream};
use attempt::Attempt;
use connection::Connection;

/// Maximum number of lines that wait to be written on a connection.
const WRITE_QUEUE: usize = 64;
/// Interval between checks for idle connections.
const IDLE_CHECK_INTERVAL: Ms = 250.0;

/// The endpoints of a node, as the frontends use them.
pub struct NodeEndpoints {
    /// Current address of its process; none while it is down.
    pub address: watch::Receiver<Option<SocketAddr>>,
    /// The relays to the node, by frontend.
    pub relays: Vec<Relay>,
    /// Interpreter of the node, which accounts for the requests that are written to the node.
    pub interpreter: Rc<Interpreter>,
}

/// State that all frontends share.
#[derive(Clone)]
pub struct Shared {
    /// Endpoints of all nodes, by position.
    pub nodes: Rc<Vec<NodeEndpoints>>,
    /// Registry from which the frontends take the list of nodes.
    pub registry: Rc<RefCell<Registry>>,
    /// Number of attempts of all frontends so far, from which the next id is derived.
    pub attempts: Rc<Cell<u64>>,
    /// Node to which each request was first sent, by position of the request.
    pub first_nodes: Rc<RefCell<HashMap<usize, usize>>>,
}

/// A simulated frontend.
pub struct Frontend {
    context: Rc<PlayContext>,
    number: usize,
    /// Delay with which it sees changes of the registry.
    registry_delay: Ms,
    model: RefCell<FrontendModel>,
    shared: Shared,
    connections: RefCell<Vec<Rc<Connection>>>,
}

impl Frontend {
    /// Creates the frontend at this position of the schedule.
    pub fn new(context: Rc<PlayContext>, number: usize, shared: Shared) -> Rc<Frontend> {
        let profile = &context.schedule.frontends[number];
        let registry_delay = profile.registry_delay;
        let model = FrontendModel::new(
            &context.scenario.frontends,
            profile.load_balancing,
            profile.honours_rejection_hints,
            context.scenario.fleet.nodes,
            generator(context.seed, RandomStream::Frontends, number as u64),
        );
        Rc::new(Frontend {
            context,
            number,
            registry_delay,
            model: RefCell::new(model),
            shared,
            connections: RefCell::default(),
        })
    }

    /// Returns, by node, whether it is on the list of the registry as this frontend sees it.
    fn listed(&self) -> Vec<bool> {
        let now = self.context.now();
        self.shared.registry.borrow_mut().listed_at(now, now - self.registry_delay)
    }

    /// Handles the request of one client from its first attempt to its end, and records both ends of the
    /// request in the history.
    pub async fn serve_client(self: Rc<Self>, request: usize) {
        let scheduled = &self.context.schedule.requests[request];
        let class = scheduled.class;
        let deadline = self.context.now() + self.context.scenario.classes[class].deadline_ms as f64;
        self.context.note(Event::RequestSent { request, class, repeats: scheduled.repeats });
        let mut progress =
            RequestProgress::new(deadline, self.attempt_policy(scheduled.repeats), &self.model.borrow());
        let mut step = self.proceed(&mut progress);
        let mut attempts = 0;
        let outcome = loop {
            step = match step {
                NextStep::Attempt(node) => {
                    attempts += 1;
                    self.shared.first_nodes.borrow_mut().entry(request).or_insert(node);
                    let outcome = self.send_attempt(node, request, deadline).await;
                    self.on_outcome(&mut progress, node, outcome)
                }
                NextStep::WaitUntil(until) => {
                    self.context.clock.until(until).await;
                    self.proceed(&mut progress)
                }
                NextStep::Finished(outcome) => break outcome,
            };
        };
        self.context.note(Event::RequestEnded { request, outcome, attempts });
    }

    /// The policy for the attempts of a request that repeats the given request, if any.
    fn attempt_policy(&self, repeats: Option<usize>) -> AttemptPolicy {
        let first_node = repeats.and_then(|first| self.shared.first_nodes.borrow().get(&first).copied());
        AttemptPolicy::of(repeats.is_some(), first_node, self.context.scenario.load.repeat_at)
    }

    fn proceed(&self, progress: &mut RequestProgress) -> NextStep {
        progress.proceed(self.context.now(), &mut self.model.borrow_mut(), &self.listed())
    }

    fn on_outcome(&self, progress: &mut RequestProgress, node: usize, outcome: AttemptOutcome) -> NextStep {
        let now = self.context.now();
        progress.on_outcome(now, node, outcome, &mut self.model.borrow_mut(), &self.listed())
    }

    /// Sends an attempt to a node. If the attempt crosses the close of an idle connection it is sent again,
    /// once.
    async fn send_attempt(&self, node: usize, request: usize, deadline: Ms) -> AttemptOutcome {
        for _ in 0..2 {
            let Ok(connection) = self.connection(node).await else { break };
            let attempt = Attempt { id: self.next_attempt_id(), request, deadline };
            if let Some(outcome) = self.send(&connection, attempt).await {
                return outcome;
            }
        }
        AttemptOutcome::ConnectionLost
    }

    /// Returns a connection to the node that has capacity for another attempt; opens one if there is none.
    async fn connection(&self, node: usize) -> io::Result<Rc<Connection>> {
        let is_usable = |connection: &&Rc<Connection>| connection.node == node && connection.has_capacity();
        if let Some(usable) = self.connections.borrow().iter().rfind(is_usable) {
            return Ok(usable.clone());
        }
        let endpoints = &self.shared.nodes[node];
        if endpoints.interpreter.is_read_queue_full() {
            return Err(io::ErrorKind::ConnectionRefused.into());
        }
        let address = (*endpoints.address.borrow()).ok_or(io::ErrorKind::ConnectionRefused)?;
        let stream = endpoints.relays[self.number].open(address).await?;
        self.context.note(Event::ConnectionOpened { node, frontend: self.number });
        endpoints.interpreter.accept_connection();
        let (out, lines) = mpsc::channel(WRITE_QUEUE);
        let connection = Connection::new(node, out, self.context.now());
        self.connections.borrow_mut().push(connection.clone());
        let context = self.context.clone();
        let interpreter = endpoints.interpreter.clone();
        spawn_local(connection.clone().run(context, interpreter, stream, lines));
        Ok(connection)
    }

    /// Closes idle and draining connections that have no open attempts, and removes those that have ended.
    /// Runs until the end of the play.
    pub async fn close_idle_connections(self: Rc<Self>) {
        let idle_timeout = ms_of_seconds(self.context.scenario.frontends.idle_timeout_s);
        loop {
            let now = self.context.now();
            for connection in self.connections.borrow().iter() {
                let is_idle = now - connection.last_used.get() > idle_timeout;
                if (connection.is_draining.get() || is_idle) && connection.is_unused() {
                    connection.stop_writing();
                }
            }
            self.connections.borrow_mut().retain(|connection| connection.out.borrow().is_some());
            self.context.clock.until(now + IDLE_CHECK_INTERVAL).await;
        }
    }

    /// Simulates a restart of the frontend: closes its connections and cancels the open attempts on them.
    pub fn restart(&self) {
        for connection in self.connections.borrow_mut().drain(..) {
            connection.stop_writing();
            for open in connection.take_open_attempts() {
                self.context.note(Event::AttemptCancelled { attempt: open.attempt });
                self.shared.nodes[connection.node].interpreter.close_request(open.attempt);
                open.end(AttemptOutcome::ConnectionLost);
            }
        }
        self.model.borrow_mut().restart();
    }
}
