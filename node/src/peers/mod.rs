//! Talk among the nodes of a fleet: what the decisions of `oakwind-fleet` say goes out on links, what comes in goes to
//! them, and what they tell a try goes to the keeper. No decision is made here.

pub mod links;
pub mod message_codec;
mod vote_store;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use oakwind_admission::RequestId;
use oakwind_fleet::claim_coordinator::{AttemptId, ClaimOutcome, RunRequest};
use oakwind_fleet::ids::{ConfigVersion, Incarnation, LinkId, NodeId};
use oakwind_fleet::key_state::{Key, RunResult};
use oakwind_fleet::message::{Hello, Message, RejectReason};
use oakwind_fleet::replica_node::{
    Action, Event, Notification, ReplicaMetrics, ReplicaNode, Settings, StoreSequence, TICK_INTERVAL,
};
use oakwind_fleet::replica_table::StoredRecord;
use oakwind_fleet::Time;
use sha2::{Digest, Sha256};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::clock::{self, Unix};
use crate::config::FleetConfig as Config;
use crate::exchange::Exchange;
use crate::result_store::record::{Record, RecordState};
use crate::result_store::{ResultStore, StoreEvent};
use crate::{log, sockets};
use links::{Heard, Links};
use vote_store::{Marker, Opened};

/// What may wait for the peers, and what they may have to tell; who finds no room is turned away.
const WAITING: usize = 4096;
/// Frames that may wait; who sends more waits.
const INBOX: usize = 1024;

/// This node's own clock: it does not go back when the system's does, nor stand still while the process does.
#[derive(Debug, Clone, Copy)]
struct Steady {
    begun: Instant,
}

impl Steady {
    fn now(&self) -> Time {
        // An hour ahead, so that what was before the process has a time too.
        Duration::from_secs(3600) + self.begun.elapsed()
    }

    /// A point on the Unix clock.
    fn of(&self, at: Unix) -> Time {
        let (now, unix) = (self.now(), clock::now());
        if at >= unix {
            now + (at - unix)
        } else {
            now.saturating_sub(unix - at)
        }
    }
}

/// A run as the peers are asked about it.
pub struct ClaimParameters<'a> {
    /// The try.
    pub id: RequestId,
    /// Its key.
    pub key: Bytes,
    /// Its body.
    pub body: &'a [u8],
    /// How long the key is remembered.
    pub until: Unix,
    /// When its request came.
    pub received_at: Unix,
    /// When its caller stops waiting.
    pub deadline: Unix,
}

/// What operators see of it.
#[derive(Debug, Default)]
pub struct PeerMetrics {
    figures: Cell<ReplicaMetrics>,
    /// The number of the list that it goes by.
    pub membership_version: Cell<ConfigVersion>,
    others: RefCell<Vec<(&'static str, u64)>>,
}

impl PeerMetrics {
    /// All figures by name.
    pub fn values(&self) -> Vec<(&'static str, u64)> {
        let figures = self.figures.get();
        let mut all = vec![
            ("fleet_granted", figures.granted),
            ("fleet_turned", figures.rejected),
            ("fleet_became", figures.remote_outcomes),
            ("fleet_unknown", figures.unknown_outcomes),
            ("fleet_held", figures.replicated),
            ("fleet_unheld", figures.unreplicated),
            ("fleet_votes", figures.votes_granted),
            ("fleet_votes_refused", figures.votes_rejected),
            ("fleet_learnt", figures.records_received),
            ("fleet_given", figures.records_sent),
            ("fleet_conflicts", figures.conflicts),
            ("fleet_slept", figures.suspensions),
            ("fleet_sent_away", figures.transfers_deferred),
            ("fleet_outdated", figures.stale_states),
        ];
        all.extend(self.others.borrow().iter());
        all
    }
}

/// The keeper's part in it.
pub struct Peers {
    orders: mpsc::Sender<Event>,
    told: mpsc::Receiver<(RequestId, ClaimOutcome)>,
    clock: Steady,
    /// What operators see.
    pub metrics: Rc<PeerMetrics>,
}

impl Peers {
    /// Asks for a claim; false if there is no room to ask.
    pub fn request_claim(&self, asked: &ClaimParameters) -> bool {
        let digest = Sha256::digest(asked.body);
        let wanted = RunRequest {
            attempt: token(asked.id),
            key: asked.key.clone(),
            body: digest.iter().take(16).fold(0, |all, byte| all << 8 | u128::from(*byte)),
            expires_at: self.clock.of(asked.until),
            received_at: self.clock.of(asked.received_at),
            received_unix_ms: clock::millis(asked.received_at),
            deadline: self.clock.of(asked.deadline),
        };
        self.order(Event::RunRequested(wanted))
    }

    /// A run has ended; false if there is no room to tell.
    pub fn run_finished(&self, id: RequestId, fate: RunResult) -> bool {
        self.order(Event::RunCompleted(token(id), fate))
    }

    /// A run never began.
    pub fn run_never_started(&self, id: RequestId) -> bool {
        self.order(Event::RunCancelled(token(id)))
    }

    /// Another process of this node takes over.
    pub fn retire(&self) {
        self.order(Event::Deactivated);
    }

    /// This process begins, or goes on, as the other one has let go or is gone.
    pub fn resume(&self) {
        self.order(Event::Activated(incarnation()));
    }

    /// Whether a process before this one may still run what it began.
    pub fn set_predecessor_running(&self, beside: bool) {
        self.order(Event::PredecessorAlive(beside));
    }

    fn order(&self, event: Event) -> bool {
        let taken = self.orders.try_send(event).is_ok();
        if !taken {
            log!("fleet: no room for one more question to the peers");
        }
        taken
    }

    /// The way to tell it of another list.
    pub fn lists(&self) -> mpsc::Sender<Event> {
        self.orders.clone()
    }

    /// The next that they have to say.
    pub async fn next_outcome(&mut self) -> (RequestId, ClaimOutcome) {
        match self.told.recv().await {
            Some(told) => told,
            None => std::future::pending().await,
        }
    }
}

fn token(id: RequestId) -> AttemptId {
    AttemptId(u64::from(id.0))
}

fn incarnation() -> Incarnation {
    Incarnation(u64::try_from(clock::now().as_micros()).unwrap_or(u64::MAX))
}

/// The task that talks to peers.
pub struct Driver {
    config: Config,
    clock: Steady,
    seed: u64,
    orders: mpsc::Receiver<Event>,
    tell: mpsc::Sender<(RequestId, ClaimOutcome)>,
    metrics: Rc<PeerMetrics>,
    /// Open before the task runs, unless a process before this one still has it.
    listener: Option<TcpListener>,
    /// The folder, if there is one and it is open.
    opened: Option<Opened>,
    /// Where it learns that something runs requests, and tells whether front ends may come.
    exchange: Exchange,
}

/// A node's talk with its peers, to be run. `beside` if a process before this one still has the address and the folder.
///
/// # Errors
///
/// One line that names the key in the file.
pub fn new(config: Config, seed: u64, beside: bool, exchange: Exchange) -> Result<(Peers, Driver), String> {
    let (orders, ordered) = mpsc::channel(WAITING);
    let (tell, told) = mpsc::channel(WAITING);
    let clock = Steady { begun: Instant::now() };
    let metrics = Rc::<PeerMetrics>::default();
    let mut driver = Driver {
        clock,
        seed,
        orders: ordered,
        tell,
        metrics: metrics.clone(),
        listener: None,
        opened: None,
        config,
        exchange,
    };
    if !beside {
        let address = driver.config.listen;
        let listener = sockets::listen(address, false);
        driver.listener = Some(listener.map_err(|e| format!("fleet file, listen: {address}: {e}"))?);
        driver.opened = vote_store::open(&driver.config)?;
    }
    Ok((Peers { orders, told, clock, metrics }, driver))
}

impl Driver {
    /// Waits until the process before lets go; false if there is nobody left to talk for.
    async fn begins(&mut self) -> bool {
        loop {
            match self.orders.recv().await {
                Some(Event::Activated(_)) => return true,
                Some(Event::RunRequested(wanted)) => {
                    let said = ClaimOutcome::Rejected(RejectReason::NoQuorum);
                    // The keeper ends only with the process.
                    let _ = self.tell.send((request(wanted.attempt), said)).await;
                }
                Some(_) => {}
                None => return false,
            }
        }
    }

    /// Talks for as long as the process. One that takes over begins when the process before lets go.
    pub async fn run(mut self) {
        if self.listener.is_none() {
            if !self.begins().await {
                return;
            }
            self.opened = vote_store::open_soon(&self.config).await;
        }
        let Driver { config, clock, seed, mut orders, tell, metrics, mut listener, opened, exchange } = self;
        let (mut folder, kept) = opened.unzip();
        let settings = Settings {
            name: config.name.clone(),
            incarnation: incarnation(),
            seed,
            max_table_bytes: config.bytes,
            transfer_bytes_per_s: config.bytes_per_s,
            probe_period: config.probe,
            restored: kept.flatten(),
            is_durable: folder.is_some(),
        };
        let (heard, mut inbox) = mpsc::channel(INBOX);
        let marker =
            config.folder.as_ref().map(|folder| Marker::new(&folder.folder, settings.restored.is_some()));
        let state = exchange.status();
        let mut talk = Talk {
            fleet: ReplicaNode::new(settings, config.list.clone(), clock.now()),
            links: Links::new(config.links / 2, heard),
            clock,
            marker,
            later: VecDeque::new(),
            unsaid: VecDeque::new(),
            listens: true,
            hold: None,
        };
        let mut runs = false;
        if let Some(listener) = &listener {
            log!("fleet: peers connect to {}", listener.local_addr().unwrap_or(config.listen));
        }
        let mut tick = tokio::time::interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            if !talk.listens {
                listener = None;
            }
            let event = tokio::select! {
                biased;
                _ = tick.tick() => {
                    if talk.listens && listener.is_none() {
                        // The process before this one may hold the address for a moment.
                        listener = sockets::listen(config.listen, false).ok();
                    }
                    talk.show(&metrics);
                    // Before anybody hears of it.
                    talk.marks();
                    let state = state.borrow();
                    if state.health.is_some() && !std::mem::replace(&mut runs, true) {
                        Some(Event::BackendStarted { warm_at: state.warm_at.map(|at| clock.of(at)) })
                    } else {
                        Some(Event::Tick)
                    }
                }
                ordered = orders.recv() => match ordered {
                    Some(event) => Some(event),
                    None => return,
                },
                Some(heard) = inbox.recv() => talk.heard(heard),
                told = written(&mut folder) => match told {
                    StoreEvent::Written(number, kept) => Some(Event::StoreFinished {
                        sequence: u64::from(number.0),
                        stored: kept,
                    }),
                    StoreEvent::Opened(_) => None,
                },
                accepted = accept(&listener) => {
                    match accepted {
                        Ok(stream) => talk.links.accept(stream),
                        Err(e) => {
                            log!("fleet: a link was not accepted: {e}");
                            clock::until(clock::now() + Duration::from_millis(20)).await;
                        }
                    }
                    None
                }
            };
            match &event {
                // The process that takes over has it next.
                Some(Event::Deactivated) => {
                    folder = None;
                    talk.marker.iter_mut().for_each(Marker::rest);
                }
                Some(Event::Activated(_)) if folder.is_none() => {
                    folder = vote_store::open_soon(&config).await.map(|(folder, _)| folder);
                }
                _ => {}
            }
            if let Some(event) = event {
                talk.take(event, &folder);
            }
            for (id, said) in talk.unsaid.drain(..) {
                // The keeper ends only with the process.
                let _ = tell.send((id, said)).await;
            }
            if let Some(held) = talk.hold.take() {
                exchange.set_recovering(held).await;
            }
        }
    }
}

fn request(token: AttemptId) -> RequestId {
    RequestId(u32::try_from(token.0).unwrap_or(0))
}

async fn accept(listener: &Option<TcpListener>) -> io::Result<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}

async fn written(folder: &mut Option<ResultStore>) -> StoreEvent {
    match folder {
        Some(folder) => folder.next_event().await,
        None => std::future::pending().await,
    }
}

/// The decisions and the links.
struct Talk {
    fleet: ReplicaNode,
    links: Links,
    clock: Steady,
    /// What says in the folder whether that can be relied on.
    marker: Option<Marker>,
    /// What follows from what was done.
    later: VecDeque<Event>,
    /// What tries are to be told.
    unsaid: VecDeque<(RequestId, ClaimOutcome)>,
    /// Whether peers may connect here.
    listens: bool,
    /// Whether front ends are to be held off, where that has changed.
    hold: Option<bool>,
}

impl Talk {
    /// What a link has to tell, as the decisions take it.
    fn heard(&mut self, heard: Heard) -> Option<Event> {
        match heard {
            Heard::Message(link, frame) => {
                if let Message::Hello(hello) = &frame {
                    self.greeted(link, hello)?;
                }
                let Some((from, incarnation)) = self.links.peer(link) else {
                    log!("fleet: a link has ended with nonsense: it did not greet");
                    self.links.end(link);
                    return None;
                };
                Some(Event::MessageReceived { link, from, incarnation, message: frame })
            }
            Heard::Gone(link) => match self.links.gone(link)? {
                (node, true) => Some(Event::LinkBroken(node)),
                (node, false) => Some(Event::PeerUnreachable(node)),
            },
        }
    }

    /// The other end of a link says who it is; none if that can't be.
    fn greeted(&mut self, link: LinkId, hello: &Hello) -> Option<()> {
        let node = NodeId::of(&hello.name);
        let newest = self.fleet.configs().newest().version();
        let known = self.fleet.configs().all_members().contains(&node)
            || hello.configs.last().is_some_and(|signature| signature.version > newest);
        let meant = hello.to == self.fleet.id() && node != self.fleet.id();
        let dialled = self.links.dialled(link).is_none_or(|dialled| dialled == node);
        if !known || !meant || !dialled {
            log!("fleet: a link was closed: {:?} is not on the list, or means another node", hello.name);
            self.links.end(link);
            return None;
        }
        let first = self.links.peer(link).is_none();
        self.links.greeted(link, node, hello.incarnation);
        if first && self.links.dialled(link).is_none() {
            let hello = Message::Hello(self.fleet.hello(node));
            self.links.write(link, &hello);
        }
        Some(())
    }

    fn take(&mut self, event: Event, folder: &Option<ResultStore>) {
        match &event {
            Event::Deactivated => {
                self.listens = false;
                self.links.end_accepted();
            }
            Event::Activated(_) => self.listens = true,
            _ => {}
        }
        self.later.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = self.later.pop_front() {
            self.fleet.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.act(action, folder);
            }
        }
    }

    fn act(&mut self, action: Action, folder: &Option<ResultStore>) {
        match action {
            Action::Send(to, frame) => {
                let Talk { fleet, links, .. } = self;
                let configs = fleet.configs();
                let address =
                    || configs.iter().rev().find_map(|config| config.member(to).map(|member| member.address));
                let sent = links.send(to, address, || Message::Hello(fleet.hello(to)), &frame);
                // Once is enough for all that is said to it in one go.
                let told = |event: &Event| matches!(event, Event::PeerUnreachable(node) if *node == to);
                if sent.is_err() && !self.later.iter().any(told) {
                    self.later.push_back(Event::PeerUnreachable(to));
                }
            }
            Action::Respond(link, frame) => self.links.write(link, &frame),
            Action::NotifyAttempt(token, said) => self.unsaid.push_back((request(token), said)),
            Action::Store { sequence, key, record } => self.store(sequence, key, record, folder),
            Action::SendHello => {
                for (link, node) in self.links.all() {
                    let hello = Message::Hello(self.fleet.hello(node));
                    self.links.write(link, &hello);
                }
                let members = self.fleet.configs().all_members();
                self.links.keep(|node| members.contains(&node));
            }
            Action::SetPermissions(permissions) => self.hold = Some(!permissions.accept_clients),
            Action::Notify(note) => {
                let mark = self.fleet.position();
                if let Some(marker) = &mut self.marker {
                    match note {
                        Notification::TableComplete { .. } => marker.holds(mark),
                        Notification::StaleState { .. } => marker.void(),
                        _ => {}
                    }
                }
                match note {
                    // Each at a place of its own: guards the others against being left out of the log.
                    Notification::StageChanged(step) => log!("fleet: recovery: {step}"),
                    note => log!("fleet: {note}"),
                }
            }
        }
    }

    /// Has the folder say how far it reaches.
    fn marks(&mut self) {
        let mark = self.fleet.position();
        self.marker.iter_mut().for_each(|marker| marker.reaches(mark));
    }

    /// Has the folder keep what is known of a key; where it can't, what waits for that is told so.
    fn store(
        &mut self,
        sequence: StoreSequence,
        key: Key,
        record: Option<StoredRecord>,
        folder: &Option<ResultStore>,
    ) {
        let recorder = folder.as_ref().and_then(|folder| folder.writer.as_ref());
        let (state, result, keep) = match &record {
            Some(stored) => {
                // Everything in it can be written.
                let bytes = postcard::to_allocvec(stored).unwrap_or_default();
                (RecordState::Succeeded, Bytes::from(bytes), Duration::from_millis(stored.record.retain_ms))
            }
            None => (RecordState::NeverStarted, Bytes::new(), Duration::ZERO),
        };
        let until = clock::now() + keep;
        let record = Record {
            number: 0,
            written_at: Duration::ZERO,
            expires_at: until,
            body_digest: 0,
            state,
            key,
            result,
        };
        // The number comes back as it went: so many are never under way.
        let wrapped = RequestId((sequence & u64::from(u32::MAX)) as u32);
        if !recorder.is_some_and(|recorder| recorder.write(wrapped, record)) {
            self.later.push_back(Event::StoreFinished { sequence, stored: false });
        }
    }

    fn show(&self, metrics: &PeerMetrics) {
        metrics.figures.set(self.fleet.metrics());
        metrics.membership_version.set(self.fleet.configs().newest().version());
        let (counts, traffic) = (self.fleet.liveness_counts(), &self.links.traffic);
        let size = self.fleet.table().size();
        let mut others = metrics.others.borrow_mut();
        others.clear();
        others.extend([
            ("fleet_list", self.fleet.configs().newest().version().0),
            ("fleet_lists", self.fleet.configs().count() as u64),
            ("fleet_stage", self.fleet.stage() as u64),
            ("fleet_waits_ms", clock::millis(self.fleet.time_until_complete(self.clock.now()))),
            ("fleet_level", u64::from(self.fleet.has_quorum())),
            ("fleet_sound", u64::from(self.fleet.is_complete())),
            ("fleet_alive", counts.alive),
            ("fleet_suspect", counts.suspect),
            ("fleet_lost", counts.dead),
            ("fleet_behind", self.fleet.open_donors() as u64),
            ("fleet_open", self.fleet.open_claims() as u64),
            ("fleet_keys", size.keys as u64),
            ("fleet_bytes", size.bytes as u64),
            ("fleet_links", self.links.count() as u64),
            ("fleet_links_cut", traffic.cut.get()),
            ("fleet_nonsense", traffic.nonsense.get()),
            ("fleet_later_frames", traffic.later.get()),
            ("fleet_frames_in", traffic.frames_in.get()),
            ("fleet_frames_out", traffic.frames_out.get()),
            ("fleet_bytes_in", traffic.bytes_in.get()),
            ("fleet_bytes_out", traffic.bytes_out.get()),
        ]);
    }
}
