//! The exchange is the only place where frontends and backends meet. Frontends submit requests and receive
//! exactly one outcome for each; backends receive commands and report events. The dispatcher connects
//! the two. This module knows no wire protocol, and every queue in it is bounded.

mod command;
mod event;
mod request;
mod status;

use std::cell::Cell;
use std::rc::Rc;

use oakwind_settings::NamedSettings;
use tokio::sync::{mpsc, watch};

use crate::clock::UnixTime;
use crate::metrics::Metrics;
pub(crate) use crate::outcome::{Completion, RequestOutcome};
pub(crate) use command::{CallCommand, RunCommand};
pub(crate) use event::{BackendEvent, CallOutcome, DispatcherEvent, HandoverState};
pub(crate) use request::{Answer, Request, RequestTag, Responder, Submission, SubmissionId, TransactionId};
pub(crate) use status::{NodeStatus, ShutdownNotice, StartMode};

/// Capacity of the dispatcher's event queue. A task that reports an event waits while the queue is full.
const EVENT_QUEUE_CAPACITY: usize = 1024;
/// Capacity of the command queue of each backend. The runs that are admitted at a time are bounded far below this.
const COMMAND_QUEUE_CAPACITY: usize = 4096;

/// The handle by which frontends, backends and operators reach the dispatcher.
#[derive(Clone)]
pub(crate) struct Exchange {
    events: mpsc::Sender<DispatcherEvent>,
    status: watch::Receiver<NodeStatus>,
    metrics: Rc<Metrics>,
    /// Number of requests submitted so far; numbers the submissions.
    submitted: Rc<Cell<u64>>,
}

/// The dispatcher's ends of the queues, the published status and the metrics.
pub(crate) struct DispatcherEndpoints {
    pub(crate) events: mpsc::Receiver<DispatcherEvent>,
    /// Commands to the backend that runs requests.
    pub(crate) runs: mpsc::Sender<RunCommand>,
    /// Commands to the backend that makes calls.
    pub(crate) calls: mpsc::Sender<CallCommand>,
    /// The published status of the node.
    pub(crate) status: watch::Sender<NodeStatus>,
    /// Counters of requests and runs.
    pub(crate) metrics: Rc<Metrics>,
}

/// The backends' ends of the command queues.
pub(crate) struct BackendEndpoints {
    /// Commands to the backend that runs requests.
    pub(crate) runs: mpsc::Receiver<RunCommand>,
    /// Commands to the backend that makes calls.
    pub(crate) calls: mpsc::Receiver<CallCommand>,
}

/// All ends of a new exchange.
pub(crate) struct Endpoints {
    /// The handle for frontends, backends and operators.
    pub(crate) exchange: Exchange,
    pub(crate) dispatcher: DispatcherEndpoints,
    pub(crate) backend: BackendEndpoints,
}

/// Creates an exchange for a process that starts in `mode`.
pub(crate) fn new(mode: StartMode) -> Endpoints {
    let (events, dispatcher_events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let (runs, backend_runs) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    let (calls, backend_calls) = mpsc::channel(COMMAND_QUEUE_CAPACITY);
    let (published, status) = watch::channel(NodeStatus::new(mode));
    let metrics = Rc::new(Metrics::default());
    let dispatcher = DispatcherEndpoints {
        events: dispatcher_events,
        runs,
        calls,
        status: published,
        metrics: metrics.clone(),
    };
    Endpoints {
        exchange: Exchange { events, status, metrics, submitted: Rc::default() },
        dispatcher,
        backend: BackendEndpoints { runs: backend_runs, calls: backend_calls },
    }
}

impl Exchange {
    /// Submits a request. Its outcome is sent through `responder`.
    pub(crate) async fn submit(&self, request: Request, mut responder: Responder) -> SubmissionId {
        self.metrics.request_started();
        responder.count_in(self.metrics.clone(), request.class);
        let sequence = self.submitted.replace(self.submitted.get() + 1);
        let id = SubmissionId::new(request.txn.clone(), sequence);
        let submission = Submission { request: Rc::new(request), id: id.clone(), responder };
        self.send(DispatcherEvent::Submitted(submission)).await;
        id
    }

    /// Reports that the client of a submission has disconnected or cancelled it, so that it gets no answer.
    pub(crate) async fn cancelled(&self, id: SubmissionId) {
        self.send(DispatcherEvent::Cancelled(id)).await;
    }

    /// Reports an event of a backend.
    pub(crate) async fn report(&self, event: BackendEvent) {
        self.send(DispatcherEvent::Backend(event)).await;
    }

    /// Starts the drain after a shutdown notice: the process is stopped at `stops_at`.
    pub(crate) async fn drain(&self, stops_at: UnixTime) {
        self.send(DispatcherEvent::Drain(stops_at)).await;
    }

    /// Turns maintenance mode on or off, as an operator requested.
    pub(crate) async fn set_maintenance(&self, on: bool) {
        self.send(DispatcherEvent::SetMaintenance(on)).await;
    }

    /// Reports whether this node is recovering. A recovering node takes no clients.
    pub(crate) async fn set_recovering(&self, on: bool) {
        self.send(DispatcherEvent::SetRecovering(on)).await;
    }

    /// Applies new settings, which must be able to follow the present ones. `digest` identifies them in decision
    /// records.
    pub(crate) async fn reconfigure(&self, settings: NamedSettings, digest: String) {
        self.send(DispatcherEvent::Reconfigure { settings: Box::new(settings), digest }).await;
    }

    /// Reports a successor process that can't serve yet. `updates` receives the state as in
    /// [`Self::begin_handover`], if this process drains before the successor takes over.
    pub(crate) async fn successor_stands_by(&self, updates: mpsc::Sender<HandoverState>) {
        self.send(DispatcherEvent::SuccessorStandsBy(updates)).await;
    }

    /// Starts a handover to a successor process. `updates` receives the whole state first, then each change of it.
    pub(crate) async fn begin_handover(&self, updates: mpsc::Sender<HandoverState>) {
        self.send(DispatcherEvent::BeginHandover(updates)).await;
    }

    /// Reports that one item of the queue of updates has been written to the successor.
    pub(crate) async fn update_written(&self) {
        self.send(DispatcherEvent::UpdateWritten).await;
    }

    /// Reports that the successor process has ended.
    pub(crate) async fn successor_lost(&self) {
        self.send(DispatcherEvent::SuccessorLost).await;
    }

    /// Passes on the state of the predecessor process, or a change of it.
    pub(crate) async fn receive_state(&self, state: HandoverState) {
        self.send(DispatcherEvent::StateReceived(state)).await;
    }

    /// Reports that the predecessor process transfers nothing more.
    pub(crate) async fn predecessor_done(&self) {
        self.send(DispatcherEvent::PredecessorDone).await;
    }

    /// Returns the metrics of this process.
    pub(crate) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns a receiver of the status that the dispatcher publishes for this node.
    pub(crate) fn status(&self) -> watch::Receiver<NodeStatus> {
        self.status.clone()
    }

    async fn send(&self, event: DispatcherEvent) {
        // The dispatcher ends only with the process, so an event that can no longer be sent has no recipient.
        let _ = self.events.send(event).await;
    }
}
