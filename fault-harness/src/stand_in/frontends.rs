//! Frontends and the clients behind them, on connections with the nodes.

mod connection;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;

use super::interpreter::Interpreter;
use crate::history::Event;
use crate::model::frontend::{Affinity, AttemptOutcome, ClientCall, Frontend, NextStep, LATEST_RETRY_MARGIN};
use crate::model::registry::Registry;
use crate::model::Ms;
use crate::play_context::{PlayContext, Written};
use crate::relay::Line;
use crate::scenario::NodeEvent;
use crate::wire;
use connection::{Connection, OpenAttempt};

/// Attempts that may be open on a connection.
const MAX_OPEN_ATTEMPTS: usize = 32;
/// Lines that wait to be written on a connection.
const WRITE_QUEUE: usize = 64;
/// After an answer's last moment the caller still listens so long, to tell a late answer from none.
const LISTEN_MARGIN: Ms = 100.0;
/// Between two looks for idle connections.
const TIDY_INTERVAL: Ms = 250.0;
/// Attempts have ids from here on.
const FIRST_ATTEMPT_ID: u64 = 1 << 40;

/// Where frontends reach a node.
pub struct NodeEndpoints {
    /// Its current address; none while it is down.
    pub address: watch::Receiver<Option<SocketAddr>>,
    /// The line from each frontend.
    pub lines: Vec<Line>,
    /// Its interpreter, which is told what was written.
    pub interpreter: Rc<Interpreter>,
}

/// One frontend.
pub struct FrontEnd {
    context: Rc<PlayContext>,
    number: usize,
    late: Ms,
    habits: RefCell<Frontend>,
    nodes: Rc<Vec<NodeEndpoints>>,
    members: Rc<RefCell<Registry>>,
    connections: RefCell<Vec<Rc<Connection>>>,
    attempts: Rc<Cell<u64>>,
    /// The node that each request went to first.
    first_nodes: Rc<RefCell<HashMap<usize, usize>>>,
}

/// What frontends share.
#[derive(Clone)]
pub struct Shared {
    /// The endpoints of all nodes.
    pub nodes: Rc<Vec<NodeEndpoints>>,
    /// The membership service.
    pub members: Rc<RefCell<Registry>>,
    /// Attempts so far, of all frontends.
    pub attempts: Rc<Cell<u64>>,
    /// The node that each request went to first.
    pub first_nodes: Rc<RefCell<HashMap<usize, usize>>>,
}

impl FrontEnd {
    /// A frontend of the plan.
    pub fn new(context: Rc<PlayContext>, number: usize, shared: Shared) -> Rc<FrontEnd> {
        let schedule = &context.schedule.frontends[number];
        let rng =
            crate::schedule::generator(context.seed, crate::schedule::RandomStream::Frontends, number as u64);
        let habits = Frontend::new(
            &context.scenario.frontends,
            schedule.load_balancing,
            schedule.honours_retry_after,
            context.scenario.fleet.nodes,
            rng,
        );
        let late = schedule.registry_delay;
        let Shared { nodes, members, attempts, first_nodes } = shared;
        Rc::new(FrontEnd {
            context,
            number,
            late,
            habits: RefCell::new(habits),
            nodes,
            members,
            connections: RefCell::default(),
            attempts,
            first_nodes,
        })
    }

    fn listed(&self) -> Vec<bool> {
        let now = self.context.now();
        self.members.borrow_mut().listed_at(now, now - self.late)
    }

    /// Takes one client's request to its end.
    pub async fn client(self: Rc<Self>, n: usize) {
        let ask = &self.context.schedule.requests[n];
        let class = &self.context.scenario.classes[ask.class];
        let asked = self.context.now();
        self.context.note(Event::RequestSent { request: n, class: ask.class, repeats: ask.repeats });
        let first = ask.repeats.and_then(|first| self.first_nodes.borrow().get(&first).copied());
        let pin = Affinity::of(ask.repeats.is_some(), first, self.context.scenario.load.repeat_at);
        let due = asked + class.deadline_ms as f64;
        let mut journey = ClientCall::new(due, pin, &self.habits.borrow());
        let mut step = journey.proceed(asked, &mut self.habits.borrow_mut(), &self.listed());
        let mut attempts = 0;
        let end = loop {
            step = match step {
                NextStep::Attempt(node) => {
                    attempts += 1;
                    self.first_nodes.borrow_mut().entry(n).or_insert(node);
                    let answer = self.attempt(node, n, due).await;
                    let listed = self.listed();
                    journey.on_outcome(
                        self.context.now(),
                        node,
                        answer,
                        &mut self.habits.borrow_mut(),
                        &listed,
                    )
                }
                NextStep::WaitUntil(until) => {
                    self.context.clock.until(until).await;
                    let listed = self.listed();
                    journey.proceed(self.context.now(), &mut self.habits.borrow_mut(), &listed)
                }
                NextStep::Finished(end) => break end,
            };
        };
        self.context.note(Event::RequestEnded { request: n, outcome: end, attempts });
    }

    /// One attempt at a node. It is sent again, once, if it crosses a close.
    async fn attempt(&self, node: usize, n: usize, due: Ms) -> AttemptOutcome {
        for again in [true, false] {
            let Ok(connection) = self.connection(node).await else { return AttemptOutcome::ConnectionLost };
            match self.send(&connection, n, due).await {
                Some(answer) => return answer,
                None if again => {}
                None => break,
            }
        }
        AttemptOutcome::ConnectionLost
    }

    /// Writes an attempt and waits for its answer; none where it crossed a close.
    async fn send(&self, connection: &Rc<Connection>, n: usize, due: Ms) -> Option<AttemptOutcome> {
        let (context, node) = (&self.context, connection.node);
        let txn = FIRST_ATTEMPT_ID + self.attempts.replace(self.attempts.get() + 1);
        let id = connection.next_id.replace(connection.next_id.get() + 1);
        let arrived_at = context.now();
        if let Some(answer) = self.wait_until_read(connection, txn, due).await {
            return Some(answer);
        }
        let line = self.request_line(id, txn, n, arrived_at, due);
        let out = connection.out.borrow().clone()?;
        let (reply, mut answer) = oneshot::channel();
        let (now, was_alone) = (context.now(), connection.open.borrow().is_empty());
        connection.last_used.set(now);
        let open = OpenAttempt { txn, written_at: now, was_alone, reply: Some(reply) };
        connection.open.borrow_mut().insert(id, open);
        context.writes(txn, Written { n, node });
        context.note(Event::AttemptWritten {
            attempt: txn,
            request: n,
            node,
            frontend: self.number,
            deadline: due,
        });
        self.nodes[node].interpreter.holds(txn, context.schedule.requests[n].memory_kb);
        context.happened(node, NodeEvent::AttemptWritten);
        // Where the connection has ended meanwhile, its end answers.
        let _ = out.send(line).await;
        let listen_until = due + context.scenario.rules.slack_ms + LISTEN_MARGIN;
        tokio::select! {
            biased;
            answer = &mut answer => answer.ok(),
            () = context.clock.until(listen_until) => {
                self.withdraw(connection, id, txn, &out);
                Some(AttemptOutcome::TimedOut)
            }
        }
    }

    /// Waits until the node's machine has read an attempt; an answer if it will not be written.
    async fn wait_until_read(&self, connection: &Connection, txn: u64, due: Ms) -> Option<AttemptOutcome> {
        let (context, interpreter) = (&self.context, &self.nodes[connection.node].interpreter);
        if context.scenario.fleet.read_ms <= 0.0 {
            return None;
        }
        connection.unread.set(connection.unread.get() + 1);
        let read = tokio::select! {
            biased;
            read = interpreter.reads(txn) => Some(read.is_ok()),
            () = context.clock.until(due) => None,
        };
        connection.unread.set(connection.unread.get() - 1);
        match read {
            // Nobody writes what its client no longer waits for.
            Some(true) if context.now() + LATEST_RETRY_MARGIN >= due => Some(AttemptOutcome::TimedOut),
            Some(true) => None,
            Some(false) => Some(AttemptOutcome::ConnectionLost),
            None => {
                interpreter.unread(txn);
                Some(AttemptOutcome::TimedOut)
            }
        }
    }

    fn request_line(&self, id: u64, txn: u64, n: usize, arrived_at: Ms, due: Ms) -> String {
        let context = &self.context;
        let request = &context.schedule.requests[n];
        let class = &context.scenario.classes[request.class];
        let key = class.idempotency_key.then(|| format!("{:032x}", request.repeats.unwrap_or(n)));
        wire::Request {
            id,
            txn: &format!("{txn:016x}"),
            class: &class.name,
            door: context.clock.unix_ms(arrived_at),
            front: self.number,
            team: &request.tenant,
            limit: (due - arrived_at).max(1.0) as u64,
            cpu: request.cost_hint.max(0.01),
            ram: request.memory_kb,
            key: key.as_deref(),
            content: &BASE64.encode(context.body(n)),
        }
        .to_string()
    }

    /// Tells the node that nobody waits for an attempt any more.
    fn withdraw(&self, connection: &Connection, id: u64, txn: u64, out: &mpsc::Sender<String>) {
        self.context.note(Event::AttemptCancelled { attempt: txn });
        self.nodes[connection.node].interpreter.over(txn);
        if let Some(open) = connection.open.borrow_mut().get_mut(&id) {
            open.reply = None;
        }
        // The connection may have ended.
        let _ = out.try_send(wire::withdraw(id));
    }

    /// A connection with capacity, new if there is none.
    async fn connection(&self, node: usize) -> std::io::Result<Rc<Connection>> {
        let fits = |c: &&Rc<Connection>| {
            c.node == node
                && !c.is_draining.get()
                && c.open.borrow().len() + c.unread.get() < MAX_OPEN_ATTEMPTS
        };
        if let Some(kept) = self.connections.borrow().iter().rfind(fits) {
            return Ok(kept.clone());
        }
        let endpoints = &self.nodes[node];
        if endpoints.interpreter.is_overloaded() {
            return Err(std::io::ErrorKind::ConnectionRefused.into());
        }
        let address = (*endpoints.address.borrow()).ok_or(std::io::ErrorKind::ConnectionRefused)?;
        let stream = endpoints.lines[self.number].open(address).await?;
        self.context.note(Event::ConnectionOpened { node, frontend: self.number });
        endpoints.interpreter.connected();
        let (out, lines) = mpsc::channel(WRITE_QUEUE);
        let connection = Rc::new(Connection {
            node,
            out: RefCell::new(Some(out)),
            open: RefCell::default(),
            answered: RefCell::default(),
            next_id: Cell::new(1),
            unread: Cell::new(0),
            last_used: Cell::new(self.context.now()),
            is_draining: Cell::new(false),
        });
        self.connections.borrow_mut().push(connection.clone());
        let (context, interpreter) = (self.context.clone(), endpoints.interpreter.clone());
        spawn_local(connection.clone().run(context, interpreter, stream, lines));
        Ok(connection)
    }

    /// Closes connections that are idle, and forgets those that have ended; for as long as the play.
    pub async fn tidy(self: Rc<Self>) {
        let idle = self.context.scenario.frontends.idle_timeout_s * 1000.0;
        loop {
            let now = self.context.now();
            for connection in self.connections.borrow().iter() {
                let is_over = connection.is_draining.get() || now - connection.last_used.get() > idle;
                if is_over && connection.open.borrow().is_empty() && connection.unread.get() == 0 {
                    connection.is_draining.set(true);
                    connection.out.borrow_mut().take();
                }
            }
            self.connections.borrow_mut().retain(|connection| connection.out.borrow().is_some());
            self.context.clock.until(now + TIDY_INTERVAL).await;
        }
    }

    /// It restarts: its connections end, and what was open on them is cancelled.
    pub fn restart(&self) {
        for connection in self.connections.borrow_mut().drain(..) {
            connection.is_draining.set(true);
            connection.out.borrow_mut().take();
            for open in std::mem::take(&mut *connection.open.borrow_mut()).into_values() {
                self.context.note(Event::AttemptCancelled { attempt: open.txn });
                self.nodes[connection.node].interpreter.over(open.txn);
                if let Some(reply) = open.reply {
                    // Its client may have stopped waiting.
                    let _ = reply.send(AttemptOutcome::ConnectionLost);
                }
            }
        }
        self.habits.borrow_mut().restart();
    }
}
