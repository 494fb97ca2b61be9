//! The `[rules]` table: what the checker holds the fleet to.

use serde::{Deserialize, Serialize};

/// Among whom a key may run once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Once {
    /// At each node.
    #[default]
    Node,
    /// In the whole fleet.
    Fleet,
}

/// What the checker holds the fleet to.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Rules {
    /// Among whom a key may run once.
    pub once: Once,
    /// An answer counts that comes so long after its due time.
    pub slack_ms: f64,
}

impl Default for Rules {
    fn default() -> Self {
        Rules { once: Once::Node, slack_ms: 150.0 }
    }
}
