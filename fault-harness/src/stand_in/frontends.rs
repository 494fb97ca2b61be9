//! Front ends and the clients behind them, on connections with the nodes.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, DuplexStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;

use super::interpreter::Interpreter;
use crate::history::{Drop, Event, Kind};
use crate::model::frontend::{Answer, Front, Journey, Pin, Step, LATEST_RETRY_MARGIN};
use crate::model::registry::Members;
use crate::model::Ms;
use crate::play_context::{PlayContext, Written};
use crate::relay::Line;
use crate::scenario::Happening;
use crate::wire::{self, NodeMessage};

/// Requests that may be open on a connection.
const OPEN: usize = 32;
/// Lines that wait to be written on one.
const UNWRITTEN: usize = 64;
/// The longest answer.
const MAX_RESPONSE_BYTES: u64 = 64 * 1024;
/// A request that crosses a close within this is sent again, once.
const CROSSING: Ms = 50.0;
/// After an answer's last moment the caller still listens so long, to tell a late one from none.
const LISTENS: Ms = 100.0;

/// Where front ends reach a node.
pub struct NodeEndpoints {
    /// Its address of the day; none while it is down.
    pub address: watch::Receiver<Option<SocketAddr>>,
    /// The line from each front end.
    pub lines: Vec<Line>,
    /// Where its requests are booked.
    pub interpreter: Rc<Interpreter>,
}

struct Open {
    txn: u64,
    wrote: Ms,
    /// Nothing else was open when it was written.
    alone: bool,
    give: Option<oneshot::Sender<Answer>>,
}

struct Connection {
    node: usize,
    out: RefCell<Option<mpsc::Sender<String>>>,
    open: RefCell<BTreeMap<u64, Open>>,
    /// The tries that were answered here, to tell a second answer.
    answered: RefCell<HashMap<u64, u64>>,
    next: Cell<u64>,
    /// Requests on it that are still to be read.
    unread: Cell<usize>,
    used: Cell<Ms>,
    /// Nothing new is to be sent here.
    leaving: Cell<bool>,
}

/// One front end.
pub struct FrontEnd {
    context: Rc<PlayContext>,
    number: usize,
    late: Ms,
    habits: RefCell<Front>,
    doors: Rc<Vec<NodeEndpoints>>,
    members: Rc<RefCell<Members>>,
    connections: RefCell<Vec<Rc<Connection>>>,
    tries: Rc<Cell<u64>>,
    /// Where each request was tried first.
    went: Rc<RefCell<HashMap<usize, usize>>>,
}

/// What front ends share.
#[derive(Clone)]
pub struct Shared {
    /// The doors of all nodes.
    pub doors: Rc<Vec<NodeEndpoints>>,
    /// The membership service.
    pub members: Rc<RefCell<Members>>,
    /// Tries so far, of all.
    pub tries: Rc<Cell<u64>>,
    /// Where each request was tried first.
    pub went: Rc<RefCell<HashMap<usize, usize>>>,
}

impl FrontEnd {
    /// A front end of the plan.
    pub fn new(context: Rc<PlayContext>, number: usize, shared: Shared) -> Rc<FrontEnd> {
        let schedule = &context.schedule.fronts[number];
        let rng = crate::schedule::generator(context.seed, crate::schedule::Stream::Habits, number as u64);
        let habits = Front::new(
            &context.scenario.fronts,
            schedule.choose,
            schedule.heeds,
            context.scenario.fleet.nodes,
            rng,
        );
        let late = schedule.late;
        let Shared { doors, members, tries, went } = shared;
        Rc::new(FrontEnd {
            context,
            number,
            late,
            habits: RefCell::new(habits),
            doors,
            members,
            connections: RefCell::default(),
            tries,
            went,
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
        self.context.note(Event::Asked { n, class: ask.class, repeats: ask.repeats });
        let first = ask.repeats.and_then(|first| self.went.borrow().get(&first).copied());
        let pin = Pin::of(ask.repeats.is_some(), first, self.context.scenario.load.repeat_at);
        let due = asked + class.deadline_ms as f64;
        let mut journey = Journey::new(due, pin, &self.habits.borrow());
        let mut step = journey.go(asked, &mut self.habits.borrow_mut(), &self.listed());
        let mut tries = 0;
        let end = loop {
            step = match step {
                Step::Try(node) => {
                    tries += 1;
                    self.went.borrow_mut().entry(n).or_insert(node);
                    let answer = self.attempt(node, n, due).await;
                    let listed = self.listed();
                    journey.answered(self.context.now(), node, answer, &mut self.habits.borrow_mut(), &listed)
                }
                Step::Wait(until) => {
                    self.context.clock.until(until).await;
                    let listed = self.listed();
                    journey.go(self.context.now(), &mut self.habits.borrow_mut(), &listed)
                }
                Step::Over(end) => break end,
            };
        };
        self.context.note(Event::Over { n, end, tries });
    }

    /// One try at a node. One that crosses a close is sent again, once.
    async fn attempt(&self, node: usize, n: usize, due: Ms) -> Answer {
        for again in [true, false] {
            let Ok(connection) = self.connection(node).await else { return Answer::Gone };
            match self.send(&connection, n, due).await {
                Some(answer) => return answer,
                None if again => {}
                None => break,
            }
        }
        Answer::Gone
    }

    /// Writes a try and waits for its answer; none where it crossed a close.
    async fn send(&self, connection: &Rc<Connection>, n: usize, due: Ms) -> Option<Answer> {
        let (context, node) = (&self.context, connection.node);
        let txn = (1 << 40) + self.tries.replace(self.tries.get() + 1);
        let id = connection.next.replace(connection.next.get() + 1);
        let ask = &context.schedule.requests[n];
        let class = &context.scenario.classes[ask.class];
        let (came, interpreter) = (context.now(), &self.doors[node].interpreter);
        if context.scenario.fleet.read_ms > 0.0 {
            connection.unread.set(connection.unread.get() + 1);
            let read = tokio::select! {
                biased;
                read = interpreter.reads(txn) => Some(read.is_ok()),
                () = context.clock.until(due) => None,
            };
            connection.unread.set(connection.unread.get() - 1);
            match read {
                // Nobody writes what its client no longer waits for.
                Some(true) if context.now() + LATEST_RETRY_MARGIN >= due => return Some(Answer::Silent),
                Some(true) => {}
                Some(false) => return Some(Answer::Gone),
                None => {
                    interpreter.unread(txn);
                    return Some(Answer::Silent);
                }
            }
        }
        let now = context.now();
        let key = class.keyed.then(|| format!("{:032x}", ask.repeats.unwrap_or(n)));
        let line = wire::Request {
            id,
            txn: &format!("{txn:016x}"),
            class: &class.name,
            door: context.clock.unix_ms(came),
            front: self.number,
            team: &ask.tenant,
            limit: (due - came).max(1.0) as u64,
            cpu: ask.hint.max(0.01),
            ram: ask.kb,
            key: key.as_deref(),
            content: &BASE64.encode(context.body(n)),
        }
        .to_string();
        let out = connection.out.borrow().clone()?;
        let (give, mut answer) = oneshot::channel();
        let alone = connection.open.borrow().is_empty();
        connection.used.set(now);
        connection.open.borrow_mut().insert(id, Open { txn, wrote: now, alone, give: Some(give) });
        context.writes(txn, Written { n, node });
        context.note(Event::Wrote { txn, n, node, front: self.number, due });
        interpreter.holds(txn, ask.kb);
        context.happened(node, Happening::Written);
        // Where the connection has ended meanwhile, its end answers.
        let _ = out.send(line).await;
        let listens = due + context.scenario.rules.slack_ms + LISTENS;
        tokio::select! {
            biased;
            answer = &mut answer => answer.ok(),
            () = context.clock.until(listens) => {
                context.note(Event::Withdrew { txn });
                interpreter.over(txn);
                if let Some(open) = connection.open.borrow_mut().get_mut(&id) {
                    open.give = None;
                }
                // The connection may have ended.
                let _ = out.try_send(wire::withdraw(id));
                Some(Answer::Silent)
            }
        }
    }

    /// A connection with room, new if there is none.
    async fn connection(&self, node: usize) -> std::io::Result<Rc<Connection>> {
        let fits = |c: &&Rc<Connection>| {
            c.node == node && !c.leaving.get() && c.open.borrow().len() + c.unread.get() < OPEN
        };
        if let Some(kept) = self.connections.borrow().iter().rfind(fits) {
            return Ok(kept.clone());
        }
        let door = &self.doors[node];
        if door.interpreter.is_overloaded() {
            return Err(std::io::ErrorKind::ConnectionRefused.into());
        }
        let address = (*door.address.borrow()).ok_or(std::io::ErrorKind::ConnectionRefused)?;
        let stream = door.lines[self.number].open(address).await?;
        self.context.note(Event::Connected { node, front: self.number });
        door.interpreter.connected();
        let (out, lines) = mpsc::channel(UNWRITTEN);
        let connection = Rc::new(Connection {
            node,
            out: RefCell::new(Some(out)),
            open: RefCell::default(),
            answered: RefCell::default(),
            next: Cell::new(1),
            unread: Cell::new(0),
            used: Cell::new(self.context.now()),
            leaving: Cell::new(false),
        });
        self.connections.borrow_mut().push(connection.clone());
        let (context, interpreter) = (self.context.clone(), door.interpreter.clone());
        spawn_local(connection.clone().talk(context, interpreter, stream, lines));
        Ok(connection)
    }

    /// Closes connections that are idle, and forgets those that have ended; for as long as the play.
    pub async fn tidy(self: Rc<Self>) {
        let idle = self.context.scenario.fronts.idle_s * 1000.0;
        loop {
            let now = self.context.now();
            for connection in self.connections.borrow().iter() {
                let over = connection.leaving.get() || now - connection.used.get() > idle;
                if over && connection.open.borrow().is_empty() && connection.unread.get() == 0 {
                    connection.leaving.set(true);
                    connection.out.borrow_mut().take();
                }
            }
            self.connections.borrow_mut().retain(|connection| connection.out.borrow().is_some());
            self.context.clock.until(now + 250.0).await;
        }
    }

    /// It restarts: its connections end, and what was open on them is given up.
    pub fn restart(&self) {
        for connection in self.connections.borrow_mut().drain(..) {
            connection.leaving.set(true);
            connection.out.borrow_mut().take();
            for open in std::mem::take(&mut *connection.open.borrow_mut()).into_values() {
                self.context.note(Event::Withdrew { txn: open.txn });
                self.doors[connection.node].interpreter.over(open.txn);
                if let Some(give) = open.give {
                    // Its client may have given up.
                    let _ = give.send(Answer::Gone);
                }
            }
        }
        self.habits.borrow_mut().restart();
    }
}

impl Connection {
    /// Writes and reads until either end is done.
    async fn talk(
        self: Rc<Self>,
        context: Rc<PlayContext>,
        interpreter: Rc<Interpreter>,
        stream: DuplexStream,
        mut lines: mpsc::Receiver<String>,
    ) {
        let (reader, mut writer) = tokio::io::split(stream);
        let mut input = BufReader::new(reader);
        let writing = async {
            while let Some(line) = lines.recv().await {
                if writer.write_all(line.as_bytes()).await.is_err() {
                    break;
                }
            }
        };
        let reading = async {
            loop {
                let mut line = String::new();
                match (&mut input).take(MAX_RESPONSE_BYTES).read_line(&mut line).await {
                    Ok(length) if length > 0 => self.heard(&context, &interpreter, line.trim_end()),
                    _ => return,
                }
            }
        };
        tokio::select! {
            () = writing => {}
            () = reading => {}
        }
        self.leaving.set(true);
        self.out.borrow_mut().take();
        let now = context.now();
        for open in std::mem::take(&mut *self.open.borrow_mut()).into_values() {
            interpreter.over(open.txn);
            let Some(give) = open.give else { continue };
            let answered = !self.answered.borrow().is_empty();
            let crossed = answered && open.alone && now - open.wrote <= CROSSING;
            let why = match (crossed, answered) {
                (true, _) => Drop::Crossed,
                (false, true) => Drop::Used,
                (false, false) => Drop::Fresh,
            };
            context.note(Event::Dropped { txn: open.txn, why });
            if !crossed {
                // Its client may have given up.
                let _ = give.send(Answer::Gone);
            }
        }
    }

    fn heard(&self, context: &PlayContext, interpreter: &Interpreter, line: &str) {
        self.used.set(context.now());
        let (id, kind, answer) = match wire::parse_node_message(line) {
            NodeMessage::Draining => return self.leaving.set(true),
            NodeMessage::Served(id, content) => {
                match BASE64.decode(&content).ok().and_then(|bytes| String::from_utf8(bytes).ok()) {
                    Some(result) => {
                        let poorer = result.ends_with(" poorer");
                        (id, Kind::Served(result), Answer::Served { poorer })
                    }
                    None => return self.stray(context, None, line),
                }
            }
            NodeMessage::Refused(id, later, giveup) => {
                (id, Kind::Refused { later, giveup }, Answer::Refused { later, giveup })
            }
            NodeMessage::Failed(id) => (id, Kind::Failed, Answer::Failed),
            NodeMessage::Status(..) | NodeMessage::Noise => return self.stray(context, None, line),
        };
        let Some(open) = self.open.borrow_mut().remove(&id) else {
            let txn = self.answered.borrow().get(&id).copied();
            return self.stray(context, txn, line);
        };
        self.answered.borrow_mut().insert(id, open.txn);
        if matches!(kind, Kind::Served(_)) {
            context.happened(self.node, Happening::Served);
        }
        context.note(Event::Answered { txn: open.txn, kind });
        interpreter.over(open.txn);
        if let Some(give) = open.give {
            // Its client may have given up.
            let _ = give.send(answer);
        }
    }

    fn stray(&self, context: &PlayContext, txn: Option<u64>, line: &str) {
        let text = line.chars().take(200).collect();
        context.note(Event::Stray { node: self.node, txn, text });
    }
}
