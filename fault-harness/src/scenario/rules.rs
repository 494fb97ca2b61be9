//! The `[rules]` table: parameters of the rules that the checker applies.

use serde::{Deserialize, Serialize};

/// The scope within which an idempotency key may run only once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RunScope {
    /// Once on each node.
    #[default]
    Node,
    /// Once in the whole fleet.
    Fleet,
}

/// Default time after its deadline at which an answer still counts, in milliseconds.
const DEFAULT_SLACK_MS: f64 = 150.0;

/// Parameters of the rules that the checker applies.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// The scope within which an idempotency key may run only once.
    #[serde(alias = "once")]
    pub run_once_per: RunScope,
    /// Time after its deadline at which an answer still counts, in milliseconds.
    pub slack_ms: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules { run_once_per: RunScope::Node, slack_ms: DEFAULT_SLACK_MS }
    }
}
