//! The `[[class]]` and `[load]` tables: the requests of clients, their rate, and the weight of their answers.

use std::collections::BTreeMap;

use serde::Deserialize;

use super::defaults;

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The JSON-RPC method of its requests.
    pub name: String,
    /// Its share of all requests, relative to the shares of the other classes.
    pub share: f64,
    /// Mean CPU time of a run on a core of speed 1, in milliseconds.
    pub work_ms: f64,
    /// Coefficient of variation of the work: standard deviation over mean.
    #[serde(default = "defaults::variation")]
    pub cv: f64,
    /// The latency objective, in milliseconds: an answer within this time earns the full weight.
    #[serde(alias = "aim_ms")]
    pub latency_objective_ms: u64,
    /// Time that a client waits for an answer, in milliseconds.
    pub deadline_ms: u64,
    /// Weight of a request per millisecond of its mean work.
    #[serde(default = "defaults::weight", alias = "worth")]
    pub weight: f64,
    /// Fraction of the weight that an answer between the latency objective and the deadline earns.
    #[serde(default, alias = "late_worth")]
    pub late_weight: f64,
    /// Whether its requests have an idempotency key, which must not run twice within the idempotency window.
    #[serde(default, alias = "keyed")]
    pub idempotency_key: bool,
    /// Time within which an idempotency key may be repeated, in milliseconds; used only by classes with keys.
    #[serde(default, alias = "window_ms")]
    pub idempotency_window_ms: u64,
    /// Whether its runs call the dependency, after half of their work.
    #[serde(default, alias = "calls")]
    pub calls_dependency: bool,
    /// Fraction of the weight that is earned if the call is skipped; 0 means that it must not be skipped.
    #[serde(default, alias = "skip_worth")]
    pub skip_weight: f64,
}

/// The requests that clients send.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Rate of first attempts, per second; excludes `load`.
    pub rate: Option<f64>,
    /// Rate of first attempts, as a fraction of the capacity of all cores when warm; excludes `rate`.
    pub load: Option<f64>,
    /// Periods with a different rate, or in which some requests are costly.
    #[serde(default, rename = "step")]
    pub steps: Vec<LoadStep>,
    /// The tenants that send requests, with their shares of the requests.
    #[serde(default = "defaults::tenants")]
    pub tenants: BTreeMap<String, f64>,
    /// Error of cost hints: the standard deviation of the logarithm of hint over work.
    #[serde(default = "defaults::hint_error")]
    pub hint_error: f64,
    /// Fraction of requests with an idempotency key that clients send a second time, not marked as a retry,
    /// whatever the outcome of the first.
    #[serde(default, alias = "repeats")]
    pub repeat_fraction: f64,
    /// Range of the delay of a repeat after the original, in milliseconds.
    #[serde(default = "defaults::repeat_after_ms")]
    pub repeat_after_ms: [f64; 2],
    /// The node to which a repeat is sent.
    #[serde(default)]
    pub repeat_at: RepeatAt,
}

/// The node to which a repeat is sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RepeatAt {
    /// The node that got the original.
    #[default]
    Same,
    /// Another node than the one that got the original.
    Other,
    /// The node that the frontend picks.
    Any,
}

/// A period with a different load.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadStep {
    /// Start of the period, in seconds after the start of the load.
    pub from_s: f64,
    /// End of the period, in seconds after the start of the load.
    pub to_s: f64,
    /// Rate in the period, as a multiple of the rate outside of steps.
    #[serde(default = "defaults::rate_factor", alias = "times")]
    pub rate_factor: f64,
    /// Fraction of the requests that are costly.
    #[serde(default, alias = "costly")]
    pub costly_fraction: f64,
    /// Work of a costly request, as a multiple of the work drawn for it.
    #[serde(default = "defaults::costly_factor", alias = "costly_times")]
    pub costly_factor: f64,
}
