//! The task that connects a replica node to its links, its folder and its clock.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use oakwind_fleet::claims::coordinator::ClaimOutcome;
use oakwind_fleet::message::RejectReason;
use oakwind_fleet::replica_node::{Event, ReplicaNode, Settings, TICK_INTERVAL};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{Interval, MissedTickBehavior};

use super::claim::{request_of, ClaimResponse};
use super::completeness_marker::CompletenessMarker;
use super::error::PeerStartError;
use super::link::LinkEvent;
use super::links::LinkTable;
use super::metrics::PeerMetrics;
use super::monotonic_clock::{incarnation_now, MonotonicClock};
use super::replica_host::ReplicaHost;
use super::vote_store::{self, OpenVoteStore};
use crate::clock;
use crate::config::FleetConfig;
use crate::exchange::Exchange;
use crate::log;
use crate::result_store::{ResultStore, StoreEvent};
use crate::sockets::{self, AddressUse};

/// Events of links that may wait; a link that has more waits.
const LINK_EVENT_CAPACITY: usize = 1024;
/// Between two attempts to accept a link after one failed, as for lack of descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// What connects the driver to the rest of the process.
pub(super) struct Channels {
    /// Events from the handle.
    pub(super) events: mpsc::Receiver<Event>,
    /// Responses for the handle.
    pub(super) responses: mpsc::Sender<ClaimResponse>,
    /// Has the status of the backend, and receives whether this node is recovering.
    pub(super) exchange: Exchange,
}

/// The task, before it runs.
pub(crate) struct PeerDriver {
    config: FleetConfig,
    seed: u64,
    clock: MonotonicClock,
    channels: Channels,
    metrics: Rc<PeerMetrics>,
    /// None while a predecessor has the address.
    listener: Option<TcpListener>,
    /// None while a predecessor has the folder, or if there is no folder.
    opened: Option<OpenVoteStore>,
}

impl PeerDriver {
    /// A driver that has neither its address nor its folder yet.
    pub(super) fn new(
        config: FleetConfig,
        seed: u64,
        clock: MonotonicClock,
        channels: Channels,
        metrics: Rc<PeerMetrics>,
    ) -> PeerDriver {
        PeerDriver { config, seed, clock, channels, metrics, listener: None, opened: None }
    }

    /// Takes the address and the folder.
    ///
    /// # Errors
    ///
    /// If one of them cannot be used.
    pub(super) fn open(&mut self) -> Result<(), PeerStartError> {
        let address = self.config.listen;
        let listener = sockets::listen(address, AddressUse::Exclusive);
        self.listener = Some(listener.map_err(|source| PeerStartError::Listen { address, source })?);
        self.opened = vote_store::open(&self.config)?;
        Ok(())
    }

    /// Runs for as long as the process. With a predecessor it begins when that lets go.
    pub(crate) async fn run(mut self) {
        if self.listener.is_none() {
            if !self.wait_for_predecessor().await {
                return;
            }
            self.opened = vote_store::open_with_retries(&self.config).await;
        }
        if let Some(listener) = &self.listener {
            let address = listener.local_addr().unwrap_or(self.config.listen);
            log!("fleet: listening: address={address}");
        }
        RunningDriver::start(self).run().await;
    }

    /// Rejects all requests until the predecessor lets go; false if the handle is gone.
    async fn wait_for_predecessor(&mut self) -> bool {
        loop {
            match self.channels.events.recv().await {
                Some(Event::Activated(_)) => return true,
                Some(Event::RunRequested(request)) => {
                    let outcome = ClaimOutcome::Rejected(RejectReason::NoQuorum);
                    let response = ClaimResponse { id: request_of(request.attempt), outcome };
                    // The run gate ends only with the process.
                    let _ = self.channels.responses.send(response).await;
                }
                Some(_) => {}
                None => return false,
            }
        }
    }
}

/// The task while it runs.
struct RunningDriver {
    config: FleetConfig,
    clock: MonotonicClock,
    channels: Channels,
    metrics: Rc<PeerMetrics>,
    listener: Option<TcpListener>,
    link_events: mpsc::Receiver<LinkEvent>,
    store: Option<ResultStore>,
    host: ReplicaHost,
    /// Whether the replica node knows that a backend runs requests.
    backend_reported: bool,
}

/// What the task woke up for.
enum Wakeup {
    Tick,
    /// An event from the handle; none if the handle is gone.
    Handle(Option<Event>),
    Link(LinkEvent),
    Store(StoreEvent),
    Accepted(io::Result<TcpStream>),
}

impl RunningDriver {
    fn start(driver: PeerDriver) -> RunningDriver {
        let PeerDriver { config, seed, clock, channels, metrics, listener, opened } = driver;
        let (store, restored) = match opened {
            Some(opened) => (Some(opened.store), opened.restored),
            None => (None, None),
        };
        let marker = config
            .vote_store
            .as_ref()
            .map(|store| CompletenessMarker::new(&store.folder, restored.is_some()));
        let settings = Settings {
            name: config.name.clone(),
            incarnation: incarnation_now(),
            seed,
            max_table_bytes: config.max_replica_bytes,
            transfer_bytes_per_s: config.transfer_bytes_per_second,
            probe_period: config.probe_interval,
            restored,
            is_durable: store.is_some(),
        };
        let (link_event_sender, link_events) = mpsc::channel(LINK_EVENT_CAPACITY);
        let node = ReplicaNode::new(settings, config.membership.clone(), clock.now());
        let links = LinkTable::new(config.max_links / 2, link_event_sender);
        let host = ReplicaHost::new(node, links, clock, marker);
        let backend_reported = false;
        RunningDriver {
            config,
            clock,
            channels,
            metrics,
            listener,
            link_events,
            store,
            host,
            backend_reported,
        }
    }

    async fn run(mut self) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            if !self.host.accepts_links() {
                self.listener = None;
            }
            let event = match self.wait(&mut ticks).await {
                Wakeup::Tick => Some(self.on_tick()),
                Wakeup::Handle(None) => return,
                Wakeup::Handle(event) => event,
                Wakeup::Link(event) => self.host.on_link_event(event),
                Wakeup::Store(event) => stored_event(&event),
                Wakeup::Accepted(accepted) => {
                    self.on_accepted(accepted).await;
                    None
                }
            };
            if let Some(event) = event {
                self.move_store(&event).await;
                self.host.handle(event, self.store.as_ref());
            }
            self.report().await;
        }
    }

    /// Waits for what comes next. A tick goes before all else: a node that was suspended notices that before it acts.
    async fn wait(&mut self, ticks: &mut Interval) -> Wakeup {
        tokio::select! {
            biased;
            _ = ticks.tick() => Wakeup::Tick,
            event = self.channels.events.recv() => Wakeup::Handle(event),
            Some(event) = self.link_events.recv() => Wakeup::Link(event),
            event = next_store_event(self.store.as_mut()) => Wakeup::Store(event),
            accepted = accept(self.listener.as_ref()) => Wakeup::Accepted(accepted),
        }
    }

    fn on_tick(&mut self) -> Event {
        if self.host.accepts_links() && self.listener.is_none() {
            // The other process may have the address for a moment more.
            self.listener = sockets::listen(self.config.listen, AddressUse::Exclusive).ok();
        }
        self.host.update_metrics(&self.metrics);
        // Before any node hears of it.
        self.host.advance_marker();
        let status = self.channels.exchange.status();
        let status = status.borrow();
        if status.health.is_some() && !std::mem::replace(&mut self.backend_reported, true) {
            return Event::BackendStarted { warm_at: status.warm_at.map(|at| self.clock.time_of(at)) };
        }
        Event::Tick
    }

    async fn on_accepted(&mut self, accepted: io::Result<TcpStream>) {
        match accepted {
            Ok(stream) => self.host.accept(stream),
            Err(error) => {
                log!("fleet: link not accepted: error={error}");
                clock::until(clock::now() + ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }

    /// Closes the folder when another process takes over, and opens it when this one does.
    async fn move_store(&mut self, event: &Event) {
        match event {
            Event::Deactivated => {
                self.store = None;
                self.host.release_marker();
            }
            Event::Activated(_) if self.store.is_none() => {
                let opened = vote_store::open_with_retries(&self.config).await;
                self.store = opened.map(|opened| opened.store);
            }
            _ => {}
        }
    }

    /// Reports what the replica node has decided to the rest of the process.
    async fn report(&mut self) {
        for response in self.host.drain_responses() {
            // The run gate ends only with the process.
            let _ = self.channels.responses.send(response).await;
        }
        if let Some(is_recovering) = self.host.drain_recovering_change() {
            self.channels.exchange.set_recovering(is_recovering).await;
        }
    }
}

/// What the folder reports, as an event of the replica node.
fn stored_event(event: &StoreEvent) -> Option<Event> {
    match event {
        StoreEvent::Written { request, durable } => {
            Some(Event::StoreFinished { sequence: u64::from(request.0), stored: *durable })
        }
        StoreEvent::Opened(_) => None,
    }
}

async fn accept(listener: Option<&TcpListener>) -> io::Result<TcpStream> {
    match listener {
        Some(listener) => listener.accept().await.map(|(stream, _)| stream),
        None => std::future::pending().await,
    }
}

async fn next_store_event(store: Option<&mut ResultStore>) -> StoreEvent {
    match store {
        Some(store) => store.next_event().await,
        None => std::future::pending().await,
    }
}
