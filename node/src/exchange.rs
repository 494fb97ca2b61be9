//! The exchange is the only place where frontends and backends meet. Frontends submit requests and receive exactly one
//! outcome for each; backends receive commands and report events. The dispatcher stands between them. No wire protocol
//! is known here, and every queue is bounded.

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

/// Events that may wait for the dispatcher. Who has more to report waits with them.
const EVENT_QUEUE_CAPACITY: usize = 1024;
/// Commands that may wait for a backend. The runs that are admitted at a time are bounded far below this.
const COMMAND_QUEUE_CAPACITY: usize = 4096;

/// The handle by which frontends, backends and operators reach the dispatcher.
#[derive(Clone)]
pub(crate) struct Exchange {
    events: mpsc::Sender<DispatcherEvent>,
    status: watch::Receiver<NodeStatus>,
    metrics: Rc<Metrics>,
    /// How many requests have been submitted.
    submitted: Rc<Cell<u64>>,
}

/// The dispatcher's ends of the exchange.
pub(crate) struct DispatcherEndpoints {
    /// Events for the dispatcher.
    pub(crate) events: mpsc::Receiver<DispatcherEvent>,
    /// Commands to the backend that runs requests.
    pub(crate) runs: mpsc::Sender<RunCommand>,
    /// Commands to the backend that makes calls.
    pub(crate) calls: mpsc::Sender<CallCommand>,
    /// What is published of the node.
    pub(crate) status: watch::Sender<NodeStatus>,
    /// Counters of requests and runs.
    pub(crate) metrics: Rc<Metrics>,
}

/// The backends' ends of the exchange.
pub(crate) struct BackendEndpoints {
    /// Commands to the backend that runs requests.
    pub(crate) runs: mpsc::Receiver<RunCommand>,
    /// Commands to the backend that makes calls.
    pub(crate) calls: mpsc::Receiver<CallCommand>,
}

/// All ends of a new exchange.
pub(crate) struct Endpoints {
    /// The handle on it.
    pub(crate) exchange: Exchange,
    /// The dispatcher's ends.
    pub(crate) dispatcher: DispatcherEndpoints,
    /// The backends' ends.
    pub(crate) backend: BackendEndpoints,
}

/// Creates an exchange.
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
    /// Submits a request; its outcome comes by the responder.
    pub(crate) async fn submit(&self, request: Request, mut responder: Responder) -> SubmissionId {
        self.metrics.request_started();
        responder.count_in(self.metrics.clone(), request.class);
        let sequence = self.submitted.replace(self.submitted.get() + 1);
        let id = SubmissionId::new(request.txn.clone(), sequence);
        let submission = Submission { request: Rc::new(request), id: id.clone(), responder };
        self.send(DispatcherEvent::Submitted(submission)).await;
        id
    }

    /// The client of a submission has disconnected or cancelled it, so it gets no answer.
    pub(crate) async fn cancelled(&self, id: SubmissionId) {
        self.send(DispatcherEvent::Cancelled(id)).await;
    }

    /// A backend reports an event.
    pub(crate) async fn report(&self, event: BackendEvent) {
        self.send(DispatcherEvent::Backend(event)).await;
    }

    /// The shutdown notice has come: the process is stopped at `stops_at`.
    pub(crate) async fn drain(&self, stops_at: UnixTime) {
        self.send(DispatcherEvent::Drain(stops_at)).await;
    }

    /// Operators turn maintenance mode on or off.
    pub(crate) async fn set_maintenance(&self, on: bool) {
        self.send(DispatcherEvent::SetMaintenance(on)).await;
    }

    /// The recovery of this node keeps clients off, or lets them come.
    pub(crate) async fn set_recovering(&self, on: bool) {
        self.send(DispatcherEvent::SetRecovering(on)).await;
    }

    /// Other settings apply from now on. They must follow the present ones, and `digest` names them in decision records.
    pub(crate) async fn reconfigure(&self, settings: NamedSettings, digest: String) {
        self.send(DispatcherEvent::Reconfigure { settings: Box::new(settings), digest }).await;
    }

    /// A successor process takes over. `updates` gets the whole state at first, then every change of it.
    pub(crate) async fn begin_handover(&self, updates: mpsc::Sender<HandoverState>) {
        self.send(DispatcherEvent::BeginHandover(updates)).await;
    }

    /// The successor process has ended.
    pub(crate) async fn successor_lost(&self) {
        self.send(DispatcherEvent::SuccessorLost).await;
    }

    /// The predecessor process has transferred its state, or a change of it.
    pub(crate) async fn receive_state(&self, state: HandoverState) {
        self.send(DispatcherEvent::StateReceived(state)).await;
    }

    /// The predecessor process reports nothing more.
    pub(crate) async fn predecessor_done(&self) {
        self.send(DispatcherEvent::PredecessorDone).await;
    }

    /// Counters of what this process has done.
    pub(crate) fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// What the dispatcher publishes of this node, to be watched.
    pub(crate) fn status(&self) -> watch::Receiver<NodeStatus> {
        self.status.clone()
    }

    async fn send(&self, event: DispatcherEvent) {
        // The dispatcher ends only with the process; then the event concerns nobody.
        let _ = self.events.send(event).await;
    }
}
