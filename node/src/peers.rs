//! The fleet's I/O: links to other nodes, the messages on them and the vote store. This module passes what it
//! receives to the replica node of `oakwind-fleet` and carries out the actions that the replica node returns.
//! It makes no decision of its own.
//!
//! The run gate holds a [`Peers`] handle. The task of a [`PeerDriver`] owns the rest: a [`replica_host`] with
//! the replica node and the [`links`], and the [`vote_store`].

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

/// Capacity of the queue of events to the driver and of the queue of responses from it. While the event queue
/// is full, requests for claims are rejected.
const QUEUE_CAPACITY: usize = 4096;

/// Handle with which the run gate requests claims from the fleet and reports the ends of runs.
pub(crate) struct Peers {
    events: mpsc::Sender<Event>,
    responses: mpsc::Receiver<ClaimResponse>,
    clock: MonotonicClock,
    /// Counters and gauges of the replica node and its links; the driver updates them.
    pub(crate) metrics: Rc<PeerMetrics>,
}

/// Creates the handle and the driver of this node; the caller runs the driver. If a predecessor still holds
/// the address and the vote store, the driver opens them only after the predecessor has released them.
///
/// # Errors
///
/// If the address cannot be listened on or the vote store cannot be opened.
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
    /// Requests a claim; a [`ClaimResponse`] follows. Returns false, with no response to follow, if the event
    /// queue is full.
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

    /// Reports the result of a run. After a success, a response with
    /// [`StoredByQuorum`](oakwind_fleet::claims::coordinator::ClaimOutcome::StoredByQuorum) follows. Returns
    /// false if the event queue is full.
    pub(crate) fn run_finished(&self, id: RequestId, result: RunResult) -> bool {
        self.send(Event::RunCompleted(attempt_of(id), result))
    }

    /// Reports that a run never started. Returns false if the event queue is full.
    pub(crate) fn run_never_started(&self, id: RequestId) -> bool {
        self.send(Event::RunCancelled(attempt_of(id)))
    }

    /// Reports that a successor process takes over this node's membership in the fleet.
    pub(crate) fn deactivate(&self) {
        self.send(Event::Deactivated);
    }

    /// Reports that this process takes over the node's membership in the fleet: the other process has
    /// released it or has ended.
    pub(crate) fn activate(&self) {
        self.send(Event::Activated(incarnation_now()));
    }

    /// Sets whether a predecessor may still be executing runs that it started.
    pub(crate) fn set_predecessor_running(&self, is_running: bool) {
        self.send(Event::PredecessorAlive(is_running));
    }

    /// The sender of driver events, for proposing another membership configuration.
    pub(crate) fn event_sender(&self) -> mpsc::Sender<Event> {
        self.events.clone()
    }

    fn send(&self, event: Event) -> bool {
        let sent = self.events.try_send(event).is_ok();
        if !sent {
            log!("fleet: event queue full, event dropped: capacity={QUEUE_CAPACITY}");
        }
        sent
    }

    /// Waits for the next response to a claim; waits forever once the driver has ended.
    pub(crate) async fn next_response(&mut self) -> ClaimResponse {
        match self.responses.recv().await {
            Some(response) => response,
            None => std::future::pending().await,
        }
    }
}
