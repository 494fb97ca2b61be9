//! The task that connects a replica node to its links, its vote store and its clock.

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

/// Capacity of the queue of link events. While it is full, the links read no further messages.
const LINK_EVENT_CAPACITY: usize = 1024;
/// Delay before links are accepted again after a failure, for example when file descriptors ran out.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// Channels between the driver and the rest of the process.
pub(super) struct Channels {
    /// Events from the run gate's handle.
    pub(super) events: mpsc::Receiver<Event>,
    /// Responses to the run gate's handle.
    pub(super) responses: mpsc::Sender<ClaimResponse>,
    /// Provides the status of the backend and receives the recovery state of this node.
    pub(super) exchange: Exchange,
}

/// The driver before its task runs.
pub(crate) struct PeerDriver {
    config: FleetConfig,
    seed: u64,
    clock: MonotonicClock,
    channels: Channels,
    metrics: Rc<PeerMetrics>,
    /// None while a predecessor listens on the address.
    listener: Option<TcpListener>,
    /// None while a predecessor has the vote store open, or if no vote store is configured.
    opened: Option<OpenVoteStore>,
}

impl PeerDriver {
    /// Creates a driver that has opened neither its address nor its vote store.
    pub(super) fn new(
        config: FleetConfig,
        seed: u64,
        clock: MonotonicClock,
        channels: Channels,
        metrics: Rc<PeerMetrics>,
    ) -> PeerDriver {
        PeerDriver { config, seed, clock, channels, metrics, listener: None, opened: None }
    }

    /// Listens on the address and opens the vote store.
    ///
    /// # Errors
    ///
    /// If the address cannot be listened on or the vote store cannot be opened.
    pub(super) fn open(&mut self) -> Result<(), PeerStartError> {
        let address = self.config.listen;
        let listener = sockets::listen(address, AddressUse::Exclusive);
        self.listener = Some(listener.map_err(|source| PeerStartError::Listen { address, source })?);
        self.opened = vote_store::open(&self.config)?;
        Ok(())
    }

    /// Runs until the handle is dropped. If there is a predecessor, the address and the vote store are opened
    /// after the predecessor has released them.
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

    /// Rejects all requests for claims until the predecessor has released the node's membership; false if the
    /// handle was dropped.
    async fn wait_for_predecessor(&mut self) -> bool {
        loop {
            match self.channels.events.recv().await {
                Some(Event::Activated(_)) => return true,
                Some(Event::RunRequested(request)) => {
                    let outcome = ClaimOutcome::Rejected(RejectReason::NoQuorum);
                    let response = ClaimResponse { id: request_of(request.attempt), outcome };
                    // Sending fails only when the process ends, as the run gate lives as long as the process.
                    let _ = self.channels.responses.send(response).await;
                }
                Some(_) => {}
                None => return false,
            }
        }
    }
}

/// The state of the driver while its task runs.
struct RunningDriver {
    config: FleetConfig,
    clock: MonotonicClock,
    channels: Channels,
    metrics: Rc<PeerMetrics>,
    listener: Option<TcpListener>,
    link_events: mpsc::Receiver<LinkEvent>,
    store: Option<ResultStore>,
    host: ReplicaHost,
    /// Whether the start of the backend was reported to the replica node.
    backend_reported: bool,
}

/// What the task waits for.
enum Wakeup {
    Tick,
    /// An event from the handle; none if the handle was dropped.
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

    /// Waits for the next wakeup. Ticks have precedence, so that a node that was suspended detects the
    /// suspension before it acts on anything else.
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
            // A failure is retried at the next tick: the other process may not have closed its listener yet.
            self.listener = sockets::listen(self.config.listen, AddressUse::Exclusive).ok();
        }
        self.host.update_metrics(&self.metrics);
        // The marker is written before any peer learns of the new position.
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
                log!("fleet: link not accepted, retrying: error={error}");
                clock::until(clock::now() + ACCEPT_RETRY_INTERVAL).await;
            }
        }
    }

    /// Closes the vote store when another process takes over, and opens it when this process takes over.
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

    /// Passes the responses and the recovery state of the replica node to the rest of the process.
    async fn report(&mut self) {
        for response in self.host.drain_responses() {
            // Sending fails only when the process ends, as the run gate lives as long as the process.
            let _ = self.channels.responses.send(response).await;
        }
        if let Some(is_recovering) = self.host.drain_recovering_change() {
            self.channels.exchange.set_recovering(is_recovering).await;
        }
    }
}

/// Converts an event of the vote store to an event of the replica node; none if it does not concern the node.
fn stored_event(event: &StoreEvent) -> Option<Event> {
    match event {
        StoreEvent::Written { request, durable } => {
            Some(Event::StoreFinished { sequence: u64::from(request.0), stored: *durable })
        }
        StoreEvent::Opened(_) | StoreEvent::OpenFailed => None,
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
