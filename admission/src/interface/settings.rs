//! The settings of a server.

use std::time::Duration;

use super::class::Class;
use super::environment::{Dependency, Preemption, Signal};

/// The settings of a server.
///
/// Invalid values have limited effects: zero cores, servers or callers count as one, and so does a maximum
/// concurrency below one request per core; without memory every request is rejected; a zero deadline means an
/// immediate answer; a zero share of the dependency allows one call at most. A request of a class that is not
/// listed is rejected.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The classes of requests; [`ClassId`](crate::ClassId) is the position.
    pub classes: Vec<Class>,
    /// Quota of each tenant, in requests per second over all servers; [`TenantId`](crate::TenantId) is the position.
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
    /// The module only looks whether it is zero; the embedding server enforces the duration, as it names in
    /// [`Arrival::retry_of`](crate::Arrival::retry_of) no attempt whose response is older.
    pub response_reuse: Duration,
    /// Whether the server has just started and has to warm up (slow start).
    pub cold: bool,
    /// Speed at a cold start, at the least, as a fraction of full speed.
    pub cold_speed: f64,
    /// The longest time that warming up takes.
    pub warm_up_time: Duration,
    /// Whether arrivals carry [`Arrival::remaining_time`](crate::Arrival::remaining_time).
    pub sends_deadline: bool,
    /// Idle timeout of connections at the callers.
    pub idle_timeout: Duration,
    /// Whether a rejection may carry a retry-after.
    pub retry_after: bool,
    /// The longest retry-after that callers honor.
    pub max_retry_after: Duration,
    /// Grace period of a drain: requests that arrive later than this after [`Event::Drain`](crate::Event::Drain) must
    /// not run.
    pub drain_grace: Duration,
    /// Maximum safe concurrency per core of a warm server; never exceeded, not even for a moment.
    pub max_concurrency_per_core: f64,
    /// The shortest time between two calls of [`Admission::handle`](crate::Admission::handle).
    pub min_handle_interval: Duration,
}

/// The default memory, in kB: a gigabyte.
const DEFAULT_MEMORY_KB: f64 = 1_000_000.0;
/// The default idle timeout of connections at the callers.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The default of the longest retry-after that callers honor, and of the grace period of a drain.
const DEFAULT_GRACE: Duration = Duration::from_secs(1);
/// The default of the maximum safe concurrency per core.
const DEFAULT_MAX_CONCURRENCY_PER_CORE: f64 = 4.0;
/// The default of the shortest time between two batches.
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
