//! The `[rules]` table: what the checker holds the fleet to.

use serde::{Deserialize, Serialize};

/// Within what an idempotency key may run once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum RunScope {
    /// Each node.
    #[default]
    Node,
    /// The whole fleet.
    Fleet,
}

/// What the checker holds the fleet to.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Within what an idempotency key may run once.
    #[serde(alias = "once")]
    pub run_once_per: RunScope,
    /// An answer still counts that comes so long after its deadline.
    pub slack_ms: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules { run_once_per: RunScope::Node, slack_ms: 150.0 }
    }
}
