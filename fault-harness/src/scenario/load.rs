//! The `[[class]]` and `[load]` tables: what clients request, how often, and the weight of an answer.

use std::collections::BTreeMap;

use serde::Deserialize;

use super::defaults::{eight, half, one_f64, quarter};

/// A class of requests.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// The method it goes by.
    pub name: String,
    /// Its part of all requests.
    pub share: f64,
    /// Mean work on one core of speed 1.
    pub work_ms: f64,
    /// How far work is spread: standard deviation over mean.
    #[serde(default = "half")]
    pub cv: f64,
    /// The latency objective: an answer within this time earns the full weight.
    #[serde(alias = "aim_ms")]
    pub latency_objective_ms: u64,
    /// How long a client waits.
    pub deadline_ms: u64,
    /// Weight of a request, for each millisecond of its mean work.
    #[serde(default = "one_f64", alias = "worth")]
    pub weight: f64,
    /// Fraction of the weight that an answer between latency objective and deadline earns.
    #[serde(default, alias = "late_worth")]
    pub late_weight: f64,
    /// Whether its requests have an idempotency key, which must not run twice within its window.
    #[serde(default, alias = "keyed")]
    pub idempotency_key: bool,
    /// For classes with keys: how long a key may come again.
    #[serde(default, alias = "window_ms")]
    pub idempotency_window_ms: u64,
    /// Whether its runs call the dependency, half way through.
    #[serde(default, alias = "calls")]
    pub calls_dependency: bool,
    /// Fraction of the weight that is earned without that call; 0 means that the call must not be skipped.
    #[serde(default, alias = "skip_worth")]
    pub skip_weight: f64,
}

/// The requests that clients send.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// First attempts a second; in its place `load` may stand.
    pub rate: Option<f64>,
    /// The fraction of what all cores can do when warm.
    pub load: Option<f64>,
    /// Stretches in which more or less is asked for, or some requests are costly.
    #[serde(default, rename = "step")]
    pub steps: Vec<LoadStep>,
    /// The tenants that send requests, and the fraction of each.
    #[serde(default = "one_tenant")]
    pub tenants: BTreeMap<String, f64>,
    /// How wrong hints of cost are: the standard deviation of their logarithm.
    #[serde(default = "quarter")]
    pub hint_error: f64,
    /// The fraction of requests with an idempotency key that clients send a second time, not marked as a retry, whatever
    /// came of the first.
    #[serde(default, alias = "repeats")]
    pub repeat_fraction: f64,
    /// How long after the first they do, between these.
    #[serde(default = "repeat_after")]
    pub repeat_after_ms: [f64; 2],
    /// Where a repeat goes.
    #[serde(default)]
    pub repeat_at: RepeatAt,
}

/// Where a repeat goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RepeatAt {
    /// To the node that the first went to.
    #[default]
    Same,
    /// To another one.
    Other,
    /// To whichever the frontend picks.
    Any,
}

/// A stretch of the load.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadStep {
    /// When it begins.
    pub from_s: f64,
    /// When it is over.
    pub to_s: f64,
    /// The rate, as a multiple of the usual one.
    #[serde(default = "one_f64", alias = "times")]
    pub rate_factor: f64,
    /// The fraction of the requests that are costly.
    #[serde(default, alias = "costly")]
    pub costly_fraction: f64,
    /// The work of a costly request, as a multiple of what it was drawn as.
    #[serde(default = "eight", alias = "costly_times")]
    pub costly_factor: f64,
}

fn repeat_after() -> [f64; 2] {
    [200.0, 3000.0]
}

fn one_tenant() -> BTreeMap<String, f64> {
    BTreeMap::from([("acme".into(), 1.0)])
}
