//! The `[[class]]` and `[load]` tables: what clients request, how often, and what an answer is worth.

use std::collections::BTreeMap;

use serde::Deserialize;

use super::defaults::{eight, half, one_f64, quarter};

/// A class of requests.
#[derive(Debug, Clone, Deserialize)]
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
    /// Answers within this are worth all.
    pub aim_ms: u64,
    /// How long a client waits.
    pub deadline_ms: u64,
    /// What one is worth.
    #[serde(default = "one_f64")]
    pub worth: f64,
    /// The part of that for an answer after the aim.
    #[serde(default)]
    pub late_worth: f64,
    /// Whether it must not run twice within its window.
    #[serde(default)]
    pub keyed: bool,
    /// For keyed classes: how long a key may come again.
    #[serde(default)]
    pub window_ms: u64,
    /// Whether its runs make a call to the dependency, half way through.
    #[serde(default)]
    pub calls: bool,
    /// The part of the worth that is left without that call.
    #[serde(default)]
    pub skip_worth: f64,
}

/// The requests that clients send.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// First attempts a second; in its place `load` may stand.
    pub rate: Option<f64>,
    /// The part of what all cores can do when warm.
    pub load: Option<f64>,
    /// Stretches in which more or less is asked for, or some requests are costly.
    #[serde(default, rename = "step")]
    pub steps: Vec<Step>,
    /// The tenants that send requests, and the fraction of each.
    #[serde(default = "one_tenant")]
    pub tenants: BTreeMap<String, f64>,
    /// How wrong hints of cost are: the standard deviation of their logarithm.
    #[serde(default = "quarter")]
    pub hint_error: f64,
    /// The part of keyed requests that clients send a second time, unmarked, whatever came of the first.
    #[serde(default)]
    pub repeats: f64,
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
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// When it begins.
    pub from_s: f64,
    /// When it is over.
    pub to_s: f64,
    /// So many times the usual rate.
    #[serde(default = "one_f64")]
    pub times: f64,
    /// This part of the requests is costly.
    #[serde(default)]
    pub costly: f64,
    /// Costly ones take so many times the work.
    #[serde(default = "eight")]
    pub costly_times: f64,
}

fn repeat_after() -> [f64; 2] {
    [200.0, 3000.0]
}

fn one_tenant() -> BTreeMap<String, f64> {
    BTreeMap::from([("acme".into(), 1.0)])
}
