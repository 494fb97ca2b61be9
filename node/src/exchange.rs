//! The only place where the client side and the server side meet. Fronts submit requests and receive exactly
//! one outcome for each; backends receive what is to be run, stopped and called, and report. No wire is known
//! here, and every queue is bounded.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use oakwind_settings::Parsed;
use tokio::sync::{mpsc, watch};

use crate::clock::Unix;
use crate::metrics::Metrics;
use crate::outcome::IdempotencyRecord;
pub use crate::outcome::{Completion, RequestOutcome};

/// Inputs that may wait for the core; who has more to say waits with it.
const INBOX: usize = 1024;
/// Commands that may wait for a backend. Runs are bounded by the survivable crowd, far below this.
const COMMANDS: usize = 4096;

/// One try of a request, as a front read it.
#[derive(Debug, Clone)]
pub struct Request {
    /// Its id on all links, new with every try.
    pub txn: Bytes,
    /// Position of its class in the settings.
    pub class: u16,
    /// Position of its tenant in the settings.
    pub tenant: u16,
    /// In keyed classes: the same for all tries of one request.
    pub key: Option<Bytes>,
    /// Who sent it, by number.
    pub caller: u32,
    /// The work to expect.
    pub cost_hint: Option<Duration>,
    /// Memory booked for it while it is held, in KB.
    pub memory_kb: f64,
    /// Its rank, from 0 to under 1.
    pub rank: f64,
    /// When it came to the machine.
    pub received_at: Unix,
    /// When its caller stops waiting.
    pub deadline: Unix,
    /// Its body, as it came.
    pub body: Bytes,
}

/// The right to give one request its outcome. Answering uses it up, so no request is answered twice, and the
/// room for the answer is set aside beforehand, so answering never waits.
#[derive(Debug)]
pub struct Responder {
    tag: u64,
    room: Option<mpsc::OwnedPermit<(u64, RequestOutcome)>>,
    /// Where the answer is counted, and for which class; set when the request is submitted.
    counted: Option<(Rc<Metrics>, u16)>,
}

impl Responder {
    /// A ticket on the answers' queue, or none while as many are out as the queue holds.
    pub fn new(answers: &mpsc::Sender<(u64, RequestOutcome)>, tag: u64) -> Option<Self> {
        answers.clone().try_reserve_owned().ok().map(|room| Responder {
            tag,
            room: Some(room),
            counted: None,
        })
    }

    /// Gives the outcome.
    pub fn answer(mut self, outcome: RequestOutcome) {
        if let Some((metrics, class)) = &self.counted {
            metrics.request_answered(*class, &outcome);
        }
        if let Some(room) = self.room.take() {
            room.send((self.tag, outcome));
        }
    }
}

impl Drop for Responder {
    /// However a request ends, it has ended once.
    fn drop(&mut self) {
        if let Some((metrics, _)) = &self.counted {
            metrics.request_finished();
        }
    }
}

/// One submission of a request, for the front that made it to give up. Guards a request against who submits
/// its id a second time: the id alone would not tell the two apart.
#[derive(Debug, Clone, PartialEq)]
pub struct SubmissionId {
    /// The request's id on the links.
    pub txn: Bytes,
    number: u64,
}

/// What a process hands to the next: at first the whole table of keys, then what changes in it.
#[derive(Debug, Default)]
pub struct HandoverState {
    /// How bodies are digested.
    pub digest_seed: u64,
    /// The keys.
    pub records: Vec<IdempotencyRecord>,
}

/// What the core is told.
#[derive(Debug)]
pub enum DispatcherEvent {
    /// A front read a request.
    Submitted(Rc<Request>, SubmissionId, Responder),
    /// The caller of this submission has gone; its ticket is void.
    Cancelled(SubmissionId),
    /// A backend reports.
    Backend(BackendEvent),
    /// The notice to leave: the process is stopped at the given time.
    Drain(Unix),
    /// Operators send front ends away, or let them come again.
    SetMaintenance(bool),
    /// The way back of this node holds front ends off, or lets them come.
    SetRecovering(bool),
    /// Other settings hold from now on, which follow the ones before; and the digest that they go by in records.
    Reconfigure(Box<Parsed>, String),
    /// A new process takes over; it is told here what this one knows.
    HandOver(mpsc::Sender<HandoverState>),
    /// That process has gone.
    SuccessorLost,
    /// What the process before this one knew, or what has changed in that.
    StateReceived(HandoverState),
    /// The process before this one tells nothing more.
    PredecessorDone,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq)]
pub enum CallOutcome {
    /// With a reply.
    Ok(Bytes),
    /// It failed and may have had its effect.
    Failed,
    /// Turned away: it never ran.
    Rejected,
    /// It ran out of time and may have had its effect.
    TimedOut,
    /// Nobody was reached: it never ran.
    Unreachable,
    /// It was cut off and may have had its effect.
    CutOff,
}

/// What backends report.
#[derive(Debug)]
pub enum BackendEvent {
    /// What runs requests is up; `cold` if it has only just started.
    Up {
        /// It was fresh at its start.
        cold: bool,
    },
    /// A run ended.
    Ended(Bytes, Completion),
    /// A run waits for a call with this body.
    CallNeeded(Bytes, Bytes),
    /// A call ended.
    CallEnded(Bytes, CallOutcome),
    /// The gauges, in the order of the settings.
    Gauges(Vec<f64>),
}

/// What the side that runs requests is told.
#[derive(Debug)]
pub enum RunCommand {
    /// Run a request.
    Run(Rc<Request>),
    /// Stop a run.
    Stop(Bytes),
    /// The reply to the call that a run waits for.
    Resolve(Bytes, Bytes),
    /// Go on without the call that a run waits for.
    Skip(Bytes),
    /// Ask for the gauges.
    Gauges,
}

/// What the side that makes calls is told.
#[derive(Debug)]
pub enum CallCommand {
    /// Make a call for a request and give it up at `until`.
    Call {
        /// The request.
        request: Rc<Request>,
        /// The body that the run gave.
        body: Bytes,
        /// When the call is given up.
        until: Unix,
    },
    /// Give up the call for a request.
    GiveUp(Bytes),
}

/// What the core tells everyone.
#[derive(Debug, Clone, PartialEq)]
pub struct NodeStatus {
    /// What the decisions say of this node's health; unset until they have begun.
    pub health: Option<bool>,
    /// Operators send front ends away.
    pub maintenance: bool,
    /// This node is on its way back and not far enough for front ends.
    pub recovering: bool,
    /// What runs requests started cold, and is warm from then on.
    pub warm_at: Option<Unix>,
    /// Connections idle for this long are closed; unset until the decisions have begun.
    pub idle_timeout: Option<Duration>,
    /// The notice to leave has come: when the process is stopped, and when the notice came.
    pub draining: Option<(Unix, Unix)>,
    /// A new process serves who comes now; this one answers what it has read.
    pub handed_over: bool,
    /// What the process before knew is still to come.
    pub awaiting_state: bool,
    /// The process before is still there.
    pub predecessor_alive: bool,
    /// Requests that arrive are still read.
    pub accepting: bool,
    /// After the notice to leave: all requests in hand have their answers.
    pub drained: bool,
}

impl NodeStatus {
    /// What health checks hear.
    pub fn healthy(&self) -> bool {
        self.health == Some(true) && !self.maintenance && !self.recovering
    }

    /// Whether requests can be served: the decisions have begun with all that the process before knew, and
    /// nothing makes this one leave.
    pub fn is_serving(&self) -> bool {
        self.health.is_some() && !self.awaiting_state && !self.handed_over && self.draining.is_none()
    }

    /// Whether two processes are this node now.
    pub fn shares_node(&self) -> bool {
        self.handed_over || self.predecessor_alive
    }

    /// Whether new connections are taken.
    pub fn accepts_clients(&self) -> bool {
        self.accepting && !self.handed_over
    }
}

/// The fronts' and backends' handle on the core.
#[derive(Clone)]
pub struct Exchange {
    inbox: mpsc::Sender<DispatcherEvent>,
    state: watch::Receiver<NodeStatus>,
    metrics: Rc<Metrics>,
    submitted: Rc<Cell<u64>>,
}

/// The core's ends of the exchange.
pub struct DispatcherEndpoints {
    /// What it is told.
    pub inbox: mpsc::Receiver<DispatcherEvent>,
    /// Commands to what runs requests.
    pub runs: mpsc::Sender<RunCommand>,
    /// Commands to what makes calls.
    pub calls: mpsc::Sender<CallCommand>,
    /// What everyone may see.
    pub state: watch::Sender<NodeStatus>,
    /// Where runs are counted.
    pub metrics: Rc<Metrics>,
}

/// The backends' ends of the exchange.
pub struct BackendEndpoints {
    /// Commands to what runs requests.
    pub runs: mpsc::Receiver<RunCommand>,
    /// Commands to what makes calls.
    pub calls: mpsc::Receiver<CallCommand>,
}

/// A new exchange: the handle, the core's ends and the backends' ends. `inheriting`: a process before this one
/// is to tell what it knows. `held`: front ends are to come later.
pub fn new(awaiting_state: bool, recovering: bool) -> (Exchange, DispatcherEndpoints, BackendEndpoints) {
    let (inbox, core_inbox) = mpsc::channel(INBOX);
    let (runs, backend_runs) = mpsc::channel(COMMANDS);
    let (calls, backend_calls) = mpsc::channel(COMMANDS);
    let state = NodeStatus {
        health: None,
        maintenance: false,
        recovering,
        warm_at: None,
        idle_timeout: None,
        draining: None,
        handed_over: false,
        awaiting_state,
        predecessor_alive: awaiting_state,
        accepting: true,
        drained: false,
    };
    let (state, seen) = watch::channel(state);
    let metrics = Rc::new(Metrics::default());
    let core = DispatcherEndpoints { inbox: core_inbox, runs, calls, state, metrics: metrics.clone() };
    let submitted = Rc::default();
    (
        Exchange { inbox, state: seen, metrics, submitted },
        core,
        BackendEndpoints { runs: backend_runs, calls: backend_calls },
    )
}

impl Exchange {
    /// Hands a request to the core; its outcome comes by the ticket.
    pub async fn submit(&self, request: Request, mut responder: Responder) -> SubmissionId {
        self.metrics.request_started();
        responder.counted = Some((self.metrics.clone(), request.class));
        let claim = SubmissionId { txn: request.txn.clone(), number: self.submitted.get() };
        self.submitted.set(claim.number + 1);
        self.tell(DispatcherEvent::Submitted(Rc::new(request), claim.clone(), responder)).await;
        claim
    }

    /// The caller has gone and no answer is owed.
    pub async fn cancelled(&self, claim: SubmissionId) {
        self.tell(DispatcherEvent::Cancelled(claim)).await;
    }

    /// A backend's report.
    pub async fn report(&self, report: BackendEvent) {
        self.tell(DispatcherEvent::Backend(report)).await;
    }

    /// The notice to leave.
    pub async fn drain(&self, stop: Unix) {
        self.tell(DispatcherEvent::Drain(stop)).await;
    }

    /// Operators send front ends away, or let them come again.
    pub async fn set_maintenance(&self, away: bool) {
        self.tell(DispatcherEvent::SetMaintenance(away)).await;
    }

    /// The way back of this node holds front ends off, or lets them come.
    pub async fn set_recovering(&self, held: bool) {
        self.tell(DispatcherEvent::SetRecovering(held)).await;
    }

    /// Other settings hold from now on, which follow the ones before.
    pub async fn reconfigure(&self, settings: Parsed, digest: String) {
        self.tell(DispatcherEvent::Reconfigure(Box::new(settings), digest)).await;
    }

    /// A new process takes over, and is told there what this one knows.
    pub async fn hand_over(&self, tell: mpsc::Sender<HandoverState>) {
        self.tell(DispatcherEvent::HandOver(tell)).await;
    }

    /// The process that took over has gone.
    pub async fn successor_lost(&self) {
        self.tell(DispatcherEvent::SuccessorLost).await;
    }

    /// What the process before this one knew.
    pub async fn receive_state(&self, estate: HandoverState) {
        self.tell(DispatcherEvent::StateReceived(estate)).await;
    }

    /// The process before this one tells nothing more.
    pub async fn predecessor_done(&self) {
        self.tell(DispatcherEvent::PredecessorDone).await;
    }

    /// What this process has done.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// What the core tells everyone.
    pub fn status(&self) -> watch::Receiver<NodeStatus> {
        self.state.clone()
    }

    async fn tell(&self, input: DispatcherEvent) {
        // The core ends only with the process, so what can't be told then is owed to nobody.
        let _ = self.inbox.send(input).await;
    }
}
