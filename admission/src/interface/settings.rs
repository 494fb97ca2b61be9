//! The settings of a server.

use std::time::Duration;

use super::class::Class;
use super::environment::{Dependency, Preemption, Signal};

/// The settings of a server.
///
/// Invalid values have bounded effects: zero cores, servers or callers count as one, and a maximum
/// concurrency below one request per core counts as one per core. Without memory every request is rejected. A
/// zero deadline means an immediate answer. A zero share of the dependency allows at most one call at a time.
/// A request whose class is not listed is rejected.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The request classes; a [`ClassId`](crate::ClassId) is a position in this list.
    pub classes: Vec<Class>,
    /// Quota of each tenant, in requests per second over all servers; a [`TenantId`](crate::TenantId) is a
    /// position in this list.
    pub tenant_quotas: Vec<f64>,
    /// Fraction of its class's weight that a request beyond the quota of its tenant keeps.
    pub over_quota_weight: f64,
    /// Whether weights apply per unit of work instead of per request.
    pub weight_by_work: bool,
    /// Number of servers of this tier at startup, including this one.
    pub servers: u32,
    /// Number of callers of this tier at startup.
    pub callers: u32,
    /// Number of cores of this server.
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
    /// How callers use the value of [`Action::Advertise`](crate::Action::Advertise).
    pub signal: Signal,
    /// How long the response of an idempotent request may be reused for its retries; zero means never. The
    /// module only checks whether the value is zero. The embedding server enforces the duration: it names no
    /// attempt with an older response in [`Arrival::retry_of`](crate::Arrival::retry_of).
    pub response_reuse: Duration,
    /// Whether the server has just started and has to warm up (slow start).
    pub cold: bool,
    /// Minimum speed at a cold start, as a fraction of full speed.
    pub cold_speed: f64,
    /// The longest time that warm-up takes.
    pub warm_up_time: Duration,
    /// Whether arrivals carry [`Arrival::remaining_time`](crate::Arrival::remaining_time).
    pub sends_deadline: bool,
    /// Time after which callers close their idle connections.
    pub idle_timeout: Duration,
    /// Whether a rejection may carry a retry-after.
    pub retry_after: bool,
    /// The longest retry-after that callers honor.
    pub max_retry_after: Duration,
    /// Grace period of a drain: a request that arrives later than this after
    /// [`Event::Drain`](crate::Event::Drain) must not run.
    pub drain_grace: Duration,
    /// Maximum safe concurrency per core of a warm server. It is a hard limit and is never exceeded, even
    /// briefly.
    pub max_concurrency_per_core: f64,
    /// The shortest time between two calls of [`Admission::handle`](crate::Admission::handle).
    pub min_handle_interval: Duration,
}

/// Default memory, in kB: one gigabyte.
const DEFAULT_MEMORY_KB: f64 = 1_000_000.0;
/// Default time after which callers close their idle connections.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Default of both the longest retry-after that callers honor and the grace period of a drain.
const DEFAULT_GRACE: Duration = Duration::from_secs(1);
/// Default maximum safe concurrency per core.
const DEFAULT_MAX_CONCURRENCY_PER_CORE: f64 = 4.0;
/// Default of the shortest time between two batches of events.
const DEFAULT_MIN_HANDLE_INTERVAL: Duration = Duration::from_millis(1);

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
            memory_kb: DEFAULT_MEMORY_KB,
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
            idle_timeout: DEFAULT_IDLE_TIMEOUT,
            retry_after: true,
            max_retry_after: DEFAULT_GRACE,
            drain_grace: DEFAULT_GRACE,
            max_concurrency_per_core: DEFAULT_MAX_CONCURRENCY_PER_CORE,
            min_handle_interval: DEFAULT_MIN_HANDLE_INTERVAL,
        }
    }
}
