//! The fleet's I/O: the links with other nodes, their messages and the folder of votes. What the replica node of
//! `oakwind-fleet` decides is carried out here, and what arrives goes to it; no decision is made here.
//!
//! The run gate has a [`Peers`] handle. Behind it the task of a [`PeerDriver`] owns everything else: a [`replica_host`]
//! with the replica node and the [`links`], and the [`vote_store`].

mod claim;
mod completeness_marker;
mod connection;
mod driver;
mod error;
mod link;
mod links;
mod message_codec;
mod metrics;
mod monotonic_clock;
mod replica_host;
mod vote_store;

use std::rc::Rc;

use oakwind_admission::RequestId;
use oakwind_fleet::claims::coordinator::RunRequest;
use oakwind_fleet::replica_node::Event;
use oakwind_fleet::replication::key_state::RunResult;
use tokio::sync::mpsc;

use crate::clock;
use crate::config::FleetConfig;
use crate::exchange::Exchange;
use crate::log;
use claim::attempt_of;
pub(crate) use claim::{ClaimParameters, ClaimResponse};
pub(crate) use driver::PeerDriver;
pub(crate) use error::PeerStartError;
use metrics::PeerMetrics;
use monotonic_clock::{incarnation_now, MonotonicClock};

/// Events that may wait for the driver, and responses that may wait to be read. A request beyond that is rejected.
const QUEUE_CAPACITY: usize = 4096;

/// The run gate's handle on the fleet.
pub(crate) struct Peers {
    events: mpsc::Sender<Event>,
    responses: mpsc::Receiver<ClaimResponse>,
    clock: MonotonicClock,
    /// Counters and gauges for operators.
    pub(crate) metrics: Rc<PeerMetrics>,
}

/// A node's place in its fleet: the handle, and the driver that is to be run. With a predecessor, which still has the address
/// and the folder, the driver begins once that has let go of them.
///
/// # Errors
///
/// If the address or the folder cannot be used.
pub(crate) fn new(
    config: FleetConfig,
    seed: u64,
    has_predecessor: bool,
    exchange: Exchange,
) -> Result<(Peers, PeerDriver), PeerStartError> {
    let (events, event_receiver) = mpsc::channel(QUEUE_CAPACITY);
    let (response_sender, responses) = mpsc::channel(QUEUE_CAPACITY);
    let clock = MonotonicClock::start();
    let metrics = Rc::<PeerMetrics>::default();
    let channels = driver::Channels { events: event_receiver, responses: response_sender, exchange };
    let mut driver = PeerDriver::new(config, seed, clock, channels, metrics.clone());
    if !has_predecessor {
        driver.open()?;
    }
    Ok((Peers { events, responses, clock, metrics }, driver))
}

impl Peers {
    /// Asks for a claim; a [`ClaimResponse`] follows. Returns false if the queue is full, and then nothing follows.
    pub(crate) fn request_claim(&self, claim: &ClaimParameters) -> bool {
        self.send(Event::RunRequested(RunRequest {
            attempt: attempt_of(claim.id),
            key: claim.key.clone(),
            body_digest: claim::body_digest(claim.body),
            window_ends_at: self.clock.time_of(claim.expires_at),
            received_at: self.clock.time_of(claim.received_at),
            received_unix_ms: clock::millis(claim.received_at),
            deadline: self.clock.time_of(claim.deadline),
        }))
    }

    /// A run has finished; for a success
    /// [`StoredByQuorum`](oakwind_fleet::claims::coordinator::ClaimOutcome::StoredByQuorum) follows. Returns false if the queue is full.
    pub(crate) fn run_finished(&self, id: RequestId, result: RunResult) -> bool {
        self.send(Event::RunCompleted(attempt_of(id), result))
    }

    /// A run never started. Returns false if the queue is full.
    pub(crate) fn run_never_started(&self, id: RequestId) -> bool {
        self.send(Event::RunCancelled(attempt_of(id)))
    }

    /// A successor takes over the node's place in the fleet.
    pub(crate) fn deactivate(&self) {
        self.send(Event::Deactivated);
    }

    /// This process takes the node's place in the fleet, as the other process has let go of it or is gone.
    pub(crate) fn activate(&self) {
        self.send(Event::Activated(incarnation_now()));
    }

    /// Whether a predecessor may still run what it started.
    pub(crate) fn set_predecessor_running(&self, is_running: bool) {
        self.send(Event::PredecessorAlive(is_running));
    }

    /// Where another membership configuration can be proposed.
    pub(crate) fn event_sender(&self) -> mpsc::Sender<Event> {
        self.events.clone()
    }

    fn send(&self, event: Event) -> bool {
        let sent = self.events.try_send(event).is_ok();
        if !sent {
            log!("fleet: event queue full: capacity={QUEUE_CAPACITY}");
        }
        sent
    }

    /// The next response to a claim; it never comes once the driver has ended.
    pub(crate) async fn next_response(&mut self) -> ClaimResponse {
        match self.responses.recv().await {
            Some(response) => response,
            None => std::future::pending().await,
        }
    }
}
