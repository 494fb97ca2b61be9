//! The fleet's I/O: the links with other nodes, their messages and the folder of votes. What the replica node of
//! `oakwind-fleet` decides is carried out here, and what arrives goes to it; no decision is made here.
//!
//! The run gate has a [`Peers`] handle. Behind it the task of a [`PeerDriver`] owns everything else: a [`replica_host`]
//! with the replica node and the [`links`], and the [`vote_store`].

mod completeness_marker;
mod connection;
mod driver;
mod links;
mod message_codec;
mod metrics;
mod monotonic_clock;
mod replica_host;
mod vote_store;

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use oakwind_admission::RequestId;
use oakwind_fleet::claim_coordinator::{AttemptId, ClaimOutcome, RunRequest};
use oakwind_fleet::ids::Incarnation;
use oakwind_fleet::key_state::RunResult;
use oakwind_fleet::replica_node::Event;
use sha2::{Digest, Sha256};
use tokio::sync::mpsc;

use crate::clock::{self, UnixTime};
use crate::config::FleetConfig;
use crate::exchange::Exchange;
use crate::log;
use crate::result_store::StoreError;
pub(crate) use driver::PeerDriver;
use metrics::PeerMetrics;
use monotonic_clock::MonotonicClock;

/// Events that may wait for the driver, and outcomes that may wait to be read. A request beyond that is rejected.
const QUEUE_CAPACITY: usize = 4096;
/// Bytes of a body's SHA-256 digest that tell bodies apart.
const BODY_DIGEST_BYTES: usize = 16;

/// Why a node cannot take its place in its fleet.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PeerStartError {
    /// The address cannot be listened on.
    #[error("fleet file, listen: {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: io::Error,
    },
    /// The folder of votes cannot be opened.
    #[error("fleet file, {0}")]
    VoteStore(#[from] StoreError),
}

/// The run of an attempt, for which the peers are asked for a claim.
pub(crate) struct ClaimParameters<'a> {
    /// The attempt.
    pub(crate) id: RequestId,
    /// Its key.
    pub(crate) key: Bytes,
    /// Its body.
    pub(crate) body: &'a [u8],
    /// When the key expires.
    pub(crate) expires_at: UnixTime,
    /// When its request was received.
    pub(crate) received_at: UnixTime,
    /// When its caller stops waiting.
    pub(crate) deadline: UnixTime,
}

/// The run gate's handle on the fleet.
pub(crate) struct Peers {
    events: mpsc::Sender<Event>,
    outcomes: mpsc::Receiver<(RequestId, ClaimOutcome)>,
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
    let (outcome_sender, outcomes) = mpsc::channel(QUEUE_CAPACITY);
    let clock = MonotonicClock::start();
    let metrics = Rc::<PeerMetrics>::default();
    let channels = driver::Channels { events: event_receiver, outcomes: outcome_sender, exchange };
    let mut driver = PeerDriver::new(config, seed, clock, channels, metrics.clone());
    if !has_predecessor {
        driver.open()?;
    }
    Ok((Peers { events, outcomes, clock, metrics }, driver))
}

impl Peers {
    /// Asks for a claim; its outcome follows. Returns false if the queue is full, and then nothing follows.
    pub(crate) fn request_claim(&self, claim: &ClaimParameters) -> bool {
        self.send(Event::RunRequested(RunRequest {
            attempt: attempt_of(claim.id),
            key: claim.key.clone(),
            body: body_digest(claim.body),
            expires_at: self.clock.time_of(claim.expires_at),
            received_at: self.clock.time_of(claim.received_at),
            received_unix_ms: clock::millis(claim.received_at),
            deadline: self.clock.time_of(claim.deadline),
        }))
    }

    /// A run has finished; for a success [`ClaimOutcome::Replicated`] follows. Returns false if the queue is full.
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

    /// The next outcome; it never comes once the driver has ended.
    pub(crate) async fn next_outcome(&mut self) -> (RequestId, ClaimOutcome) {
        match self.outcomes.recv().await {
            Some(outcome) => outcome,
            None => std::future::pending().await,
        }
    }
}

fn attempt_of(id: RequestId) -> AttemptId {
    AttemptId(u64::from(id.0))
}

fn request_of(attempt: AttemptId) -> RequestId {
    // Every attempt came from a request.
    RequestId(u32::try_from(attempt.0).unwrap_or(0))
}

/// The incarnation that begins now. It is above those of earlier processes, as the clock is.
fn incarnation_now() -> Incarnation {
    Incarnation(u64::try_from(clock::now().as_micros()).unwrap_or(u64::MAX))
}

fn body_digest(body: &[u8]) -> u128 {
    let digest = Sha256::digest(body);
    digest.iter().take(BODY_DIGEST_BYTES).fold(0, |value, byte| value << 8 | u128::from(*byte))
}
