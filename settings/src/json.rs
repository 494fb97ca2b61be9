//! The JSON form of the settings. The keys are fixed by the simulator and by operators' files; the fields are named
//! after the admission module's settings.

use serde::Deserialize;

/// The root object of the settings.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct SettingsJson {
    #[serde(rename = "services")]
    pub(crate) classes: Vec<ClassJson>,
    pub(crate) specifics: ServerJson,
    pub(crate) safety: SafetyJson,
    #[serde(default)]
    pub(crate) limits: LimitsJson,
    #[serde(default)]
    pub(crate) tenants: Vec<TenantJson>,
    /// `work` if weights apply per unit of work; per request otherwise.
    #[serde(default, rename = "countedBy")]
    pub(crate) weight_unit: String,
    /// Fraction of the weight that a request beyond its tenant's quota keeps.
    #[serde(default = "one", rename = "overShareWorth")]
    pub(crate) over_quota_weight: f64,
    #[serde(default)]
    pub(crate) servers: u32,
    /// Minimum time between two calls of the admission module, in microseconds.
    #[serde(default, rename = "tick")]
    pub(crate) min_handle_interval_us: u64,
}

/// A class of requests; times are in microseconds.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct ClassJson {
    #[serde(default)]
    pub(crate) name: String,
    /// Time from the first attempt of a request within which an answer earns the full weight.
    #[serde(rename = "slo")]
    pub(crate) latency_objective_us: u64,
    #[serde(rename = "deadline")]
    pub(crate) deadline_us: u64,
    /// Extension of the latency objective, as a multiple of the request's work.
    #[serde(default, rename = "aimStretch")]
    pub(crate) objective_stretch: f64,
    /// `repeatable`, `by_key` or `once`.
    pub(crate) effect: String,
    /// Idempotency window.
    #[serde(default, rename = "window")]
    pub(crate) window_us: u64,
    /// Weight of a request.
    #[serde(default = "one", rename = "worth")]
    pub(crate) weight: f64,
    /// Fraction of the weight that a response after the latency objective keeps.
    #[serde(default, rename = "lateWorth")]
    pub(crate) late_weight: f64,
}

/// Settings of one server; times are in microseconds.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct ServerJson {
    pub(crate) cores: u32,
    pub(crate) memory_kb: f64,
    /// Memory of a running request, as a multiple of a queued one's.
    #[serde(default = "one", rename = "runFactor")]
    pub(crate) running_memory_factor: f64,
    /// Memory of a retained idempotency key, in KB.
    #[serde(default, rename = "entryKb")]
    pub(crate) key_memory_kb: f64,
    /// `off`, `shared` or `tier`.
    #[serde(default, rename = "dependsOn")]
    pub(crate) dependency: String,
    #[serde(default)]
    pub(crate) callers: u32,
    /// This server's share of the dependency's concurrent calls.
    #[serde(default, rename = "callsOut")]
    pub(crate) dependency_share: f64,
    /// Period over which the share of concurrent calls is averaged.
    #[serde(default, rename = "shareSpan")]
    pub(crate) share_span_us: u64,
    /// How long the dependency keeps working on a call that has timed out.
    #[serde(default, rename = "staysFor")]
    pub(crate) linger_us: u64,
    /// Whether each class calls the dependency, in the order of the services.
    #[serde(default, rename = "classCalls")]
    pub(crate) calls_by_class: Vec<bool>,
    /// Fraction of the weight that a request served without its call keeps, in the order of the services.
    #[serde(default, rename = "classSkipWorth")]
    pub(crate) skip_weight_by_class: Vec<f64>,
    /// How long a response may be reused.
    #[serde(default, rename = "fresh")]
    pub(crate) response_reuse_us: u64,
    /// Names of the gauges, in the order in which their values are reported.
    #[serde(default)]
    pub(crate) gauges: Vec<String>,
    /// Idle timeout that callers apply to connections.
    #[serde(default, rename = "idle")]
    pub(crate) idle_timeout_us: u64,
    /// Whether the server starts cold and has to warm up.
    #[serde(default, rename = "justStarted")]
    pub(crate) is_cold: bool,
    /// Whether arrivals carry the time remaining until the deadline.
    #[serde(default, rename = "passesDeadline")]
    pub(crate) sends_deadline: bool,
    /// `off`, `drop` or `pause`.
    #[serde(default)]
    pub(crate) preemption: String,
    /// `off`, `level`, `credit` or `weight`.
    #[serde(default)]
    pub(crate) signal: String,
}

/// Limits that keep the server from overload collapse; times are in microseconds.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct SafetyJson {
    /// Speed at a cold start, as a fraction of full speed.
    #[serde(default = "one", rename = "coldShare")]
    pub(crate) cold_speed: f64,
    /// Grace period of a drain.
    #[serde(rename = "drainGrace")]
    pub(crate) drain_grace_us: u64,
    /// Maximum concurrency per core.
    #[serde(rename = "fallMultiple")]
    pub(crate) max_concurrency_per_core: f64,
    /// Maximum duration of the warm-up.
    #[serde(default, rename = "warmAfter")]
    pub(crate) warm_up_time_us: u64,
}

/// What callers honour in rejections; times are in microseconds.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct LimitsJson {
    #[serde(rename = "maxRetryAfter")]
    pub(crate) max_retry_after_us: u64,
    pub(crate) retry_after: bool,
}

/// A tenant and its quota.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct TenantJson {
    #[serde(default)]
    pub(crate) name: String,
    /// Quota in requests per second over all servers.
    #[serde(default)]
    pub(crate) quota_per_s: f64,
}

/// Default of factors and fractions.
fn one() -> f64 {
    1.0
}
