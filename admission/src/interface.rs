//! The interface between an embedding server and the admission module: settings, events and actions.
//! Only types and defaults; every decision is in `admission.rs`.

use std::time::Duration;

/// Identifies one attempt of a request on this server. Not reused while the server runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u32);

/// Position of a class in [`Settings::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u16);

/// Position of a tenant in [`Settings::tenant_quotas`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub u16);

/// Identifies a caller of this server: a client, or a server of the tier above.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallerId(pub u32);

/// Identifies a timer that the module has set.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TimerId(pub u32);

/// How often the effect of a request may occur.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times: the request is idempotent and may run again.
    Idempotent,
    /// Once within the idempotency window: a retry with the same key is coalesced with the first run.
    IdempotencyKey,
    /// Once at most: callers retry it only if it is known not to have run.
    AtMostOnce,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Latency objective: an answer within this time of the first attempt earns the full weight.
    pub latency_objective: Duration,
    /// The latency objective is extended by this multiple of the request's own work, at most to the deadline.
    pub objective_stretch: f64,
    /// How long a client waits for an answer in total.
    pub deadline: Duration,
    /// How often its effect may occur.
    pub effect: Effect,
    /// Idempotency window, for [`Effect::IdempotencyKey`]: how long after its arrival a request may be retried.
    pub window: Duration,
    /// Weight of a request in scheduling and under overload, relative to other classes.
    pub weight: f64,
    /// Fraction of the weight that an answer between latency objective and deadline earns.
    pub late_weight: f64,
    /// Whether its requests may call the dependency.
    pub calls: bool,
    /// Fraction of the weight that is earned if the call is skipped; 0 means that calls must not be skipped.
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

/// The dependency that requests call while they run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Dependency {
    /// None.
    Off,
    /// A service that all servers of the tier share.
    Shared {
        /// This server's share of the concurrent calls that the dependency survives, as a mean; may be below 1.
        share: f64,
        /// Period over which that mean is taken.
        span: Duration,
        /// The longest time for which the dependency goes on with a call that has timed out.
        linger: Duration,
    },
    /// A tier of servers that run this module themselves.
    Tier,
}

/// How running requests can be preempted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Preemption {
    /// They can't.
    Off,
    /// A request can be stopped; its progress is lost and it returns to the queue.
    Drop,
    /// A request can be paused and resumed; it keeps its memory.
    Pause,
}

/// How callers use the value of [`Action::Advertise`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// They don't; nothing may be advertised.
    Off,
    /// Minimum rank, 0 to 1: callers send no request here whose [`Arrival::rank`] is below it.
    Level,
    /// Maximum number of pending requests of each caller; a fraction is a probability for one more.
    Credit,
    /// Load balancing weight, 0 to 1: the probability that a caller doesn't skip this server.
    Weight,
}

/// The settings of a server.
///
/// Invalid values have limited effects: zero cores, servers or callers count as one, and so does a maximum
/// concurrency below one request per core; without memory every request is rejected; a zero deadline means an
/// immediate answer; a zero share of the dependency allows one call at most. A request of a class that is not
/// listed is rejected.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The classes of requests; [`ClassId`] is the position.
    pub classes: Vec<Class>,
    /// Quota of each tenant, in requests per second over all servers; [`TenantId`] is the position.
    pub tenant_quotas: Vec<f64>,
    /// Fraction of its class's weight that a request beyond its tenant's quota has.
    pub over_quota_weight: f64,
    /// Whether weights apply per unit of work instead of per request.
    pub weight_by_work: bool,
    /// Servers of this tier at the start, including this one.
    pub servers: u32,
    /// Callers of this tier at the start.
    pub callers: u32,
    /// Cores of this server.
    pub cores: u32,
    /// Memory for queued and running requests and retained keys, in kB.
    pub memory_kb: f64,
    /// Memory of a running or paused request, as a multiple of its memory while it is queued.
    pub running_memory_factor: f64,
    /// Memory of a retained key, in kB.
    pub key_memory_kb: f64,
    /// The dependency that requests call.
    pub dependency: Dependency,
    /// How running requests can be preempted.
    pub preemption: Preemption,
    /// How callers use the advertised value.
    pub signal: Signal,
    /// How long the response of an idempotent request may be reused for others; zero means never.
    pub response_reuse: Duration,
    /// Whether the server has just started and has to warm up (slow start).
    pub cold: bool,
    /// Speed at a cold start, at the least, as a fraction of full speed.
    pub cold_speed: f64,
    /// The longest time that warming up takes.
    pub warm_up_time: Duration,
    /// Whether arrivals carry [`Arrival::time_left`].
    pub sends_deadline: bool,
    /// Idle timeout of connections at the callers.
    pub idle: Duration,
    /// Whether a rejection may carry a retry-after.
    pub retry_after: bool,
    /// The longest retry-after that callers honor.
    pub max_retry_after: Duration,
    /// Grace period of a drain: requests that arrive later than this after [`Event::Drain`] must not run.
    pub drain_grace: Duration,
    /// Maximum concurrency per core that a warm server survives; never exceeded, not even for a moment.
    pub max_concurrency_per_core: f64,
    /// The shortest time between two calls of [`Admission::handle`](crate::Admission::handle).
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

/// An attempt of a request that the server has read.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// The attempt.
    pub id: RequestId,
    /// The known attempt that this one is a retry of.
    pub repeats: Option<RequestId>,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// A rough estimate of its work, as time on a standard core.
    pub cost_hint: Option<Duration>,
    /// Its memory while it is queued, in kB.
    pub memory_kb: f64,
    /// Time since it reached the machine.
    pub age: Duration,
    /// Its rank, 0 to 1, which callers compare with [`Signal::Level`].
    pub rank: f64,
    /// The caller it came from.
    pub caller: CallerId,
    /// How long the caller still waits, if the request says so.
    pub time_left: Option<Duration>,
}

impl Arrival {
    /// A first attempt with 1 kB of memory, no cost hint and no time left stated.
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
    /// It succeeded.
    Ok,
    /// It failed; its effect may have occurred.
    Error,
    /// A call or a run was rejected before it started.
    Rejected,
    /// A call timed out; its effect may have occurred.
    TimedOut,
    /// A call could not reach the dependency.
    Unreachable,
    /// The connection of a call was lost; its effect may have occurred.
    CutOff,
    /// A run was stopped, or ended at a call because it had been answered or its caller had disconnected.
    Cancelled,
    /// No run was started because the request had already ended.
    Skipped,
}

/// Load of the server, as far as it measures it.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Gauges {
    /// Recent utilization of the cores, 0 to 1.
    pub busy: Option<f64>,
    /// Number of threads or tasks that are running or ready to run.
    pub runnable: Option<f64>,
}

/// An event that the server reports to the module.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// A request was read and is now queued.
    Arrived(Arrival),
    /// A run or a coalesced request ended; `Ok` and `Error` were sent to the caller unless it had its answer.
    Finished {
        /// The request.
        id: RequestId,
        /// How it ended.
        outcome: Outcome,
        /// Time since the action that started it.
        took: Duration,
    },
    /// A running request waits for [`Action::Call`] and uses no core meanwhile.
    CallNeeded(RequestId),
    /// A call ended; after `Ok` the request continues by itself, otherwise it waits for another action.
    CallReturned {
        /// The request.
        id: RequestId,
        /// How the call ended.
        outcome: Outcome,
        /// Time since [`Action::Call`].
        took: Duration,
    },
    /// The caller has cancelled or disconnected; no answer is needed.
    Cancelled(RequestId),
    /// Shutdown notice: the server drains and is stopped after this time.
    Drain(Duration),
    /// A timer is due.
    Timer(TimerId, Gauges),
}

/// An instruction to the server, to be carried out in the order of the list.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start a queued request or resume a paused one.
    Run(RequestId),
    /// Preempt a running request (see [`Preemption`]); it is not answered by this.
    Pause(RequestId),
    /// Final answer: rejected; this attempt never ran.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the caller should wait before a retry.
        retry_after: Option<Duration>,
        /// Ask the caller not to retry on another server.
        give_up: bool,
    },
    /// Final answer: failed; the effect may have occurred or not.
    Fail(RequestId),
    /// Answer a queued retry with the result of the request that it repeats.
    Coalesce(RequestId),
    /// Retain the request's idempotency key for this time from now, or extend its retention.
    RetainKey(RequestId, Duration),
    /// Release the request's idempotency key.
    ReleaseKey(RequestId),
    /// Make the call that a request waits for, with this timeout.
    Call(RequestId, Duration),
    /// Continue the request without the call.
    SkipCall(RequestId),
    /// Set the response to health checks.
    SetHealth {
        /// Whether the server is healthy.
        good: bool,
        /// Whether health checks are answered from this value alone, without work.
        cheap: bool,
    },
    /// Set the value that is advertised to callers (see [`Signal`]).
    Advertise(f64),
    /// Set the time after which idle connections are closed.
    IdleLimit(Duration),
    /// Request an [`Event::Timer`] after this time.
    SetTimer(TimerId, Duration),
}
