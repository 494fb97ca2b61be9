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
use crate::metrics::Figures;
use crate::outcome::KeyRecord;
pub use crate::outcome::{End, Outcome};

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
    pub hint: Option<Duration>,
    /// Memory booked for it while it is held, in KB.
    pub kb: f64,
    /// Its rank, from 0 to under 1.
    pub rank: f64,
    /// When it came to the machine.
    pub door: Unix,
    /// When its caller stops waiting.
    pub due: Unix,
    /// Its body, as it came.
    pub body: Bytes,
}

/// The right to give one request its outcome. Answering uses it up, so no request is answered twice, and the
/// room for the answer is set aside beforehand, so answering never waits.
#[derive(Debug)]
pub struct Ticket {
    tag: u64,
    room: Option<mpsc::OwnedPermit<(u64, Outcome)>>,
    /// Where the answer is counted, and for which class; set when the request is submitted.
    counted: Option<(Rc<Figures>, u16)>,
}

impl Ticket {
    /// A ticket on the answers' queue, or none while as many are out as the queue holds.
    pub fn new(answers: &mpsc::Sender<(u64, Outcome)>, tag: u64) -> Option<Self> {
        answers.clone().try_reserve_owned().ok().map(|room| Ticket { tag, room: Some(room), counted: None })
    }

    /// Gives the outcome.
    pub fn answer(mut self, outcome: Outcome) {
        if let Some((figures, class)) = &self.counted {
            figures.answered(*class, &outcome);
        }
        if let Some(room) = self.room.take() {
            room.send((self.tag, outcome));
        }
    }
}

impl Drop for Ticket {
    /// However a request ends, it has ended once.
    fn drop(&mut self) {
        if let Some((figures, _)) = &self.counted {
            figures.ended();
        }
    }
}

/// One submission of a request, for the front that made it to give up. Guards a request against who submits
/// its id a second time: the id alone would not tell the two apart.
#[derive(Debug, Clone, PartialEq)]
pub struct Claim {
    /// The request's id on the links.
    pub txn: Bytes,
    number: u64,
}

/// What a process hands to the next: at first the whole table of keys, then what changes in it.
#[derive(Debug, Default)]
pub struct Estate {
    /// How bodies are digested.
    pub seed: u64,
    /// The keys.
    pub keys: Vec<KeyRecord>,
}

/// What the core is told.
#[derive(Debug)]
pub enum Input {
    /// A front read a request.
    Submitted(Rc<Request>, Claim, Ticket),
    /// The caller of this submission has gone; its ticket is void.
    Gone(Claim),
    /// A backend reports.
    Report(Report),
    /// The notice to leave: the process is stopped at the given time.
    Drain(Unix),
    /// Operators send front ends away, or let them come again.
    Away(bool),
    /// The way back of this node holds front ends off, or lets them come.
    Hold(bool),
    /// Other settings hold from now on, which follow the ones before; and the digest that they go by in records.
    Retune(Box<Parsed>, String),
    /// A new process takes over; it is told here what this one knows.
    HandOver(mpsc::Sender<Estate>),
    /// That process has gone.
    HeirGone,
    /// What the process before this one knew, or what has changed in that.
    Inherit(Estate),
    /// The process before this one tells nothing more.
    InheritanceOver,
}

/// How a call ended.
#[derive(Debug, Clone, PartialEq)]
pub enum CallEnd {
    /// With a reply.
    Ok(Bytes),
    /// It failed and may have had its effect.
    Failed,
    /// Turned away: it never ran.
    Refused,
    /// It ran out of time and may have had its effect.
    TimedOut,
    /// Nobody was reached: it never ran.
    Unreachable,
    /// It was cut off and may have had its effect.
    CutOff,
}

/// What backends report.
#[derive(Debug)]
pub enum Report {
    /// What runs requests is up; `cold` if it has only just started.
    Up {
        /// It was fresh at its start.
        cold: bool,
    },
    /// A run ended.
    Ended(Bytes, End),
    /// A run waits for a call with this body.
    CallNeeded(Bytes, Bytes),
    /// A call ended.
    CallEnded(Bytes, CallEnd),
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
pub struct State {
    /// What the decisions say of this node's health; unset until they have begun.
    pub good: Option<bool>,
    /// Operators send front ends away.
    pub away: bool,
    /// This node is on its way back and not far enough for front ends.
    pub held: bool,
    /// What runs requests started cold, and is warm from then on.
    pub warm_at: Option<Unix>,
    /// Connections idle for this long are closed; unset until the decisions have begun.
    pub idle: Option<Duration>,
    /// The notice to leave has come: when the process is stopped, and when the notice came.
    pub draining: Option<(Unix, Unix)>,
    /// A new process serves who comes now; this one answers what it has read.
    pub handed: bool,
    /// What the process before knew is still to come.
    pub inheriting: bool,
    /// The process before is still there.
    pub succeeds: bool,
    /// Requests that arrive are still read.
    pub open: bool,
    /// After the notice to leave: all requests in hand have their answers.
    pub answered: bool,
}

impl State {
    /// What health checks hear.
    pub fn healthy(&self) -> bool {
        self.good == Some(true) && !self.away && !self.held
    }

    /// Whether requests can be served: the decisions have begun with all that the process before knew, and
    /// nothing makes this one leave.
    pub fn serves(&self) -> bool {
        self.good.is_some() && !self.inheriting && !self.handed && self.draining.is_none()
    }

    /// Whether two processes are this node now.
    pub fn shares(&self) -> bool {
        self.handed || self.succeeds
    }

    /// Whether new connections are taken.
    pub fn takes_clients(&self) -> bool {
        self.open && !self.handed
    }
}

/// The fronts' and backends' handle on the core.
#[derive(Clone)]
pub struct Exchange {
    inbox: mpsc::Sender<Input>,
    state: watch::Receiver<State>,
    figures: Rc<Figures>,
    submitted: Rc<Cell<u64>>,
}

/// The core's ends of the exchange.
pub struct CoreEnds {
    /// What it is told.
    pub inbox: mpsc::Receiver<Input>,
    /// Commands to what runs requests.
    pub runs: mpsc::Sender<RunCommand>,
    /// Commands to what makes calls.
    pub calls: mpsc::Sender<CallCommand>,
    /// What everyone may see.
    pub state: watch::Sender<State>,
    /// Where runs are counted.
    pub figures: Rc<Figures>,
}

/// The backends' ends of the exchange.
pub struct BackendEnds {
    /// Commands to what runs requests.
    pub runs: mpsc::Receiver<RunCommand>,
    /// Commands to what makes calls.
    pub calls: mpsc::Receiver<CallCommand>,
}

/// A new exchange: the handle, the core's ends and the backends' ends. `inheriting`: a process before this one
/// is to tell what it knows. `held`: front ends are to come later.
pub fn new(inheriting: bool, held: bool) -> (Exchange, CoreEnds, BackendEnds) {
    let (inbox, core_inbox) = mpsc::channel(INBOX);
    let (runs, backend_runs) = mpsc::channel(COMMANDS);
    let (calls, backend_calls) = mpsc::channel(COMMANDS);
    let state = State {
        good: None,
        away: false,
        held,
        warm_at: None,
        idle: None,
        draining: None,
        handed: false,
        inheriting,
        succeeds: inheriting,
        open: true,
        answered: false,
    };
    let (state, seen) = watch::channel(state);
    let figures = Rc::new(Figures::default());
    let core = CoreEnds { inbox: core_inbox, runs, calls, state, figures: figures.clone() };
    let submitted = Rc::default();
    (
        Exchange { inbox, state: seen, figures, submitted },
        core,
        BackendEnds { runs: backend_runs, calls: backend_calls },
    )
}

impl Exchange {
    /// Hands a request to the core; its outcome comes by the ticket.
    pub async fn submit(&self, request: Request, mut ticket: Ticket) -> Claim {
        self.figures.taken();
        ticket.counted = Some((self.figures.clone(), request.class));
        let claim = Claim { txn: request.txn.clone(), number: self.submitted.get() };
        self.submitted.set(claim.number + 1);
        self.tell(Input::Submitted(Rc::new(request), claim.clone(), ticket)).await;
        claim
    }

    /// The caller has gone and no answer is owed.
    pub async fn gone(&self, claim: Claim) {
        self.tell(Input::Gone(claim)).await;
    }

    /// A backend's report.
    pub async fn report(&self, report: Report) {
        self.tell(Input::Report(report)).await;
    }

    /// The notice to leave.
    pub async fn drain(&self, stop: Unix) {
        self.tell(Input::Drain(stop)).await;
    }

    /// Operators send front ends away, or let them come again.
    pub async fn send_away(&self, away: bool) {
        self.tell(Input::Away(away)).await;
    }

    /// The way back of this node holds front ends off, or lets them come.
    pub async fn hold(&self, held: bool) {
        self.tell(Input::Hold(held)).await;
    }

    /// Other settings hold from now on, which follow the ones before.
    pub async fn retune(&self, settings: Parsed, digest: String) {
        self.tell(Input::Retune(Box::new(settings), digest)).await;
    }

    /// A new process takes over, and is told there what this one knows.
    pub async fn hand_over(&self, tell: mpsc::Sender<Estate>) {
        self.tell(Input::HandOver(tell)).await;
    }

    /// The process that took over has gone.
    pub async fn heir_gone(&self) {
        self.tell(Input::HeirGone).await;
    }

    /// What the process before this one knew.
    pub async fn inherit(&self, estate: Estate) {
        self.tell(Input::Inherit(estate)).await;
    }

    /// The process before this one tells nothing more.
    pub async fn inheritance_over(&self) {
        self.tell(Input::InheritanceOver).await;
    }

    /// What this process has done.
    pub fn figures(&self) -> &Figures {
        &self.figures
    }

    /// What the core tells everyone.
    pub fn state(&self) -> watch::Receiver<State> {
        self.state.clone()
    }

    async fn tell(&self, input: Input) {
        // The core ends only with the process, so what can't be told then is owed to nobody.
        let _ = self.inbox.send(input).await;
    }
}
