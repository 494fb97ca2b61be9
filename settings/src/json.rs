//! The JSON form of the settings; the keys are given by the simulator and the operators' files.

use serde::Deserialize;

/// The whole settings params.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Params {
    pub(crate) services: Vec<Service>,
    pub(crate) specifics: Specifics,
    pub(crate) safety: Safety,
    #[serde(default)]
    pub(crate) limits: Limits,
    #[serde(default)]
    pub(crate) tenants: Vec<Tenant>,
    /// `work` if weights apply per unit of work.
    #[serde(default)]
    pub(crate) counted_by: String,
    /// Fraction of the weight beyond a tenant's quota.
    #[serde(default = "one")]
    pub(crate) over_share_worth: f64,
    #[serde(default)]
    pub(crate) servers: u32,
    /// Shortest time between two calls of the module, in microseconds.
    #[serde(default)]
    pub(crate) tick: u64,
}

/// A class of requests; times are in microseconds.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Service {
    #[serde(default)]
    pub(crate) name: String,
    /// Latency objective.
    pub(crate) slo: u64,
    pub(crate) deadline: u64,
    /// Extension of the latency objective, as a multiple of the work.
    #[serde(default)]
    pub(crate) aim_stretch: f64,
    /// `repeatable`, `by_key` or `once`.
    pub(crate) effect: String,
    /// Idempotency window.
    #[serde(default)]
    pub(crate) window: u64,
    /// Weight of a request.
    #[serde(default = "one")]
    pub(crate) worth: f64,
    /// Fraction of the weight after the latency objective.
    #[serde(default)]
    pub(crate) late_worth: f64,
}

/// What is specific to one server; times are in microseconds.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Specifics {
    pub(crate) cores: u32,
    pub(crate) memory_kb: f64,
    /// Memory of a running request, as a multiple of a queued one's.
    #[serde(default = "one")]
    pub(crate) run_factor: f64,
    /// Memory of a retained idempotency key.
    #[serde(default)]
    pub(crate) entry_kb: f64,
    /// `off`, `shared` or `tier`.
    #[serde(default)]
    pub(crate) depends_on: String,
    #[serde(default)]
    pub(crate) callers: u32,
    /// Share of the dependency's concurrent calls.
    #[serde(default)]
    pub(crate) calls_out: f64,
    /// Period over which the share is a mean.
    #[serde(default)]
    pub(crate) share_span: u64,
    /// How long the dependency goes on with a call that timed out.
    #[serde(default)]
    pub(crate) stays_for: u64,
    /// Whether each class calls the dependency, in the order of the services.
    #[serde(default)]
    pub(crate) class_calls: Vec<bool>,
    /// Fraction of the weight without the call, in the order of the services.
    #[serde(default)]
    pub(crate) class_skip_worth: Vec<f64>,
    /// How long a response may be reused.
    #[serde(default)]
    pub(crate) fresh: u64,
    /// Names of the gauges, in the order of their values.
    #[serde(default)]
    pub(crate) gauges: Vec<String>,
    /// Idle timeout of connections at the callers.
    #[serde(default)]
    pub(crate) idle: u64,
    /// Whether the server has to warm up.
    #[serde(default)]
    pub(crate) just_started: bool,
    /// Whether arrivals carry the time left.
    #[serde(default)]
    pub(crate) passes_deadline: bool,
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
pub(crate) struct Safety {
    /// Speed at a cold start, as a fraction of full speed.
    #[serde(default = "one")]
    pub(crate) cold_share: f64,
    /// Grace period of a drain.
    pub(crate) drain_grace: u64,
    /// Maximum concurrency per core.
    pub(crate) fall_multiple: f64,
    /// Longest time that warming up takes.
    #[serde(default)]
    pub(crate) warm_after: u64,
}

/// What callers honor; times are in microseconds.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
pub(crate) struct Limits {
    pub(crate) max_retry_after: u64,
    pub(crate) retry_after: bool,
}

/// A tenant and its quota.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Tenant {
    #[serde(default)]
    pub(crate) name: String,
    /// Requests per second over all servers.
    #[serde(default)]
    pub(crate) quota_per_s: f64,
}

/// The default of factors and fractions.
fn one() -> f64 {
    1.0
}
