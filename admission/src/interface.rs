//! What an embedding server tells the decision module and what it is told in return.
//! Only types and plain defaults; every decision is in `admission.rs`.

use std::time::Duration;

/// One try of a request, as read by this server. Never used twice in one life of the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// Position of a class in [`Settings::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u16);

/// Position of a tenant in [`Settings::tenant_quotas`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u16);

/// A caller (balancer) as this server sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u32);

/// Names a timer the module asked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u32);

/// How often a request may have its effect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Running it again does no harm.
    Idempotent,
    /// Repeats within the window must join the first run.
    IdempotencyKey,
    /// Must never run twice; callers repeat it only when it provably never ran.
    AtMostOnce,
}

/// One class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// An answer within this time of the first try earns full worth.
    pub latency_objective: Duration,
    /// The aim grows by this many times the request's own work, never past the deadline.
    pub objective_stretch: f64,
    /// How long a client waits altogether.
    pub deadline: Duration,
    /// How often it may have its effect.
    pub effect: Effect,
    /// For keyed classes: how long after arriving a request may come again.
    pub window: Duration,
    /// What one request is worth.
    pub weight: f64,
    /// The part of the worth still earned between aim and deadline.
    pub late_weight: f64,
    /// Its requests may call what lies below.
    pub calls: bool,
    /// The part of the worth earned when a call is left out; 0 forbids leaving it out.
    pub skip_weight: f64,
}

impl Default for Class {
    fn default() -> Self {
        Class {
            latency_objective: Duration::from_secs(1),
            objective_stretch: 0.0,
            deadline: Duration::from_secs(5),
            effect: Effect::Idempotent,
            window: Duration::from_secs(5),
            weight: 1.0,
            late_weight: 0.0,
            calls: false,
            skip_weight: 0.0,
        }
    }
}

/// What requests call while they run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Dependency {
    /// Nothing.
    Off,
    /// One service that all servers share.
    Shared {
        /// This server's part of the calls it survives, as a mean number in hand; may be below 1.
        share: f64,
        /// The time that mean is taken over.
        span: Duration,
        /// The longest a call that was given up stays in the dependency's hands.
        linger: Duration,
    },
    /// A further tier that runs this same code.
    Tier,
}

/// What can be done to work that already runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Preemption {
    /// Nothing.
    Off,
    /// It can be stopped; its progress is lost and it returns to the hold.
    Drop,
    /// It can be paused and taken up again; it keeps its memory.
    Pause,
}

/// What callers do with the advertised value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Nothing; advertising is not allowed.
    Off,
    /// They send nothing here whose rank is below the value.
    Level,
    /// Each has at most that many requests out here; a fraction counts by chance.
    Credit,
    /// The chance that a caller does not skip this server.
    Weight,
}

/// What a server knows at its start.
///
/// Values that make no sense do no harm beyond themselves: zero cores, servers or callers count as one, so does
/// a crowd below one a core; no memory refuses all; a zero deadline gives an answer at once; a zero share of a
/// dependency allows one call at most. A request of a class that is not listed is refused.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// For each tenant, the requests a second over all servers that fit in its share.
    pub tenant_quotas: Vec<f64>,
    /// What a request beyond its tenant's share is worth, as a part of its class's worth.
    pub over_quota_weight: f64,
    /// Worth counts for each unit of work, not for each request.
    pub weight_by_work: bool,
    /// Servers in this tier at the start, this one included.
    pub servers: u32,
    /// Callers of this tier at the start.
    pub callers: u32,
    /// Cores of this server.
    pub cores: u32,
    /// Memory for held and running requests and remembered keys.
    pub memory_kb: f64,
    /// Memory of a running or paused request, as a multiple of the same request held.
    pub running_memory_factor: f64,
    /// Memory of one remembered key.
    pub key_memory_kb: f64,
    /// What lies below.
    pub dependency: Dependency,
    /// What can be done to running work.
    pub preemption: Preemption,
    /// What callers do with the advertised value.
    pub signal: Signal,
    /// The answer to a read may be used for others this long; zero means never.
    pub response_reuse: Duration,
    /// The server has only just started and is cold.
    pub cold: bool,
    /// A cold server starts at no less than this part of its speed.
    pub cold_speed: f64,
    /// It is warm after this long at most.
    pub warm_up_time: Duration,
    /// Arrivals say how long their caller still waits.
    pub sends_deadline: bool,
    /// Callers close connections idle for this long.
    pub idle: Duration,
    /// Refusals may carry a retry-after.
    pub retry_after: bool,
    /// The longest retry-after that callers follow.
    pub max_retry_after: Duration,
    /// Nothing that arrives this long after the notice to leave may run.
    pub drain_grace: Duration,
    /// Requests a core that a warm server survives on its cores; kept at every moment, whatever the span.
    pub max_concurrency_per_core: f64,
    /// The shortest gap between two calls of `handle`.
    pub tick: Duration,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            classes: vec![Class::default()],
            tenant_quotas: Vec::new(),
            over_quota_weight: 1.0,
            weight_by_work: false,
            servers: 1,
            callers: 1,
            cores: 1,
            memory_kb: 1_000_000.0,
            running_memory_factor: 1.0,
            key_memory_kb: 0.0,
            dependency: Dependency::Off,
            preemption: Preemption::Off,
            signal: Signal::Off,
            response_reuse: Duration::ZERO,
            cold: false,
            cold_speed: 1.0,
            warm_up_time: Duration::ZERO,
            sends_deadline: false,
            idle: Duration::from_secs(30),
            retry_after: true,
            max_retry_after: Duration::from_secs(1),
            drain_grace: Duration::from_secs(1),
            max_concurrency_per_core: 4.0,
            tick: Duration::from_millis(1),
        }
    }
}

/// A request that has been read.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// This try.
    pub id: RequestId,
    /// The known try that this one repeats.
    pub repeats: Option<RequestId>,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// A rough hint of its work, as time on a standard core.
    pub cost_hint: Option<Duration>,
    /// Its memory while held.
    pub memory_kb: f64,
    /// How long ago it reached the machine.
    pub age: Duration,
    /// Its place from 0 to 1, see [`Signal::Level`].
    pub rank: f64,
    /// The caller it came from.
    pub caller: CallerId,
    /// How long the caller still waits, if it says.
    pub time_left: Option<Duration>,
}

impl Arrival {
    /// A plain first try with no hint, no memory to speak of and no stated patience.
    pub fn new(id: RequestId, class: ClassId) -> Self {
        Arrival {
            id,
            repeats: None,
            class,
            tenant: TenantId(0),
            cost_hint: None,
            memory_kb: 1.0,
            age: Duration::ZERO,
            rank: 0.5,
            caller: CallerId(0),
            time_left: None,
        }
    }
}

/// How a run or a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// It worked.
    Ok,
    /// It failed and may have had its effect.
    Error,
    /// A call, or a run, was refused without being seen.
    Rejected,
    /// A call was given up on and may have had its effect.
    TimedOut,
    /// A call could not reach what lies below.
    Unreachable,
    /// A call was cut off and may have had its effect.
    CutOff,
    /// A run was stopped, or ended at a call because it was already answered or its caller gone.
    Cancelled,
    /// Nothing was started, because the request was already over.
    Skipped,
}

/// What the server measures of itself, where it measures it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Gauges {
    /// How much of the cores was busy of late, 0 to 1.
    pub busy: Option<f64>,
    /// Everything that wants a core right now.
    pub runnable: Option<f64>,
}

/// What happened.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request was read and is now held.
    Arrived(Arrival),
    /// A run or a join ended; `Ok` and `Error` went to the caller unless it was answered before.
    Finished {
        /// The request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// Since the action that started it.
        took: Duration,
    },
    /// A running request has left the cores and waits for [`Action::Call`].
    CallNeeded(RequestId),
    /// A call ended; after `Ok` the request runs on by itself, otherwise it still waits.
    CallReturned {
        /// The request.
        id: RequestId,
        /// How the call ended.
        outcome: Outcome,
        /// Since the call was made.
        took: Duration,
    },
    /// The caller is known gone; no answer is owed.
    Cancelled(RequestId),
    /// Notice to leave; the server is stopped after this long.
    Drain(Duration),
    /// A timer is due.
    Timer(TimerId, Gauges),
}

/// What the server is to do, in this order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start a held request or take up a paused one.
    Run(RequestId),
    /// Stop running work (see [`Preemption`]); does not answer it.
    Pause(RequestId),
    /// Final answer: turned away, this try never ran.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the caller should keep away.
        retry_after: Option<Duration>,
        /// Ask the caller not to try elsewhere.
        give_up: bool,
    },
    /// Final answer: failed, nothing is promised.
    Fail(RequestId),
    /// Answer a held request from the request it repeats.
    Coalesce(RequestId),
    /// Remember the request, or renew its entry, for this long.
    RetainKey(RequestId, Duration),
    /// Forget the request's entry.
    ReleaseKey(RequestId),
    /// Make the call that a request waits for, given up after this long.
    Call(RequestId, Duration),
    /// Carry on without the call.
    SkipCall(RequestId),
    /// What health checks hear from now on.
    SetHealth {
        /// Good or bad.
        good: bool,
        /// Answered from this setting alone.
        cheap: bool,
    },
    /// The free value that callers see from now on (see [`Signal`]).
    Advertise(f64),
    /// Close connections idle for this long.
    IdleLimit(Duration),
    /// Ask for a [`Event::Timer`] after this long.
    SetTimer(TimerId, Duration),
}
