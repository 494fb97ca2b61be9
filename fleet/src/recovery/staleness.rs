//! Detects that a node restored an old copy of its state, such as a backup of its disk. Such a node might
//! grant a claim on a key that it granted to another claim before.
//!
//! Peers track how long each incarnation of a node lasted, as the node reports it with its probes. The
//! restored state carries the position at which it was written. A copy from before the last incarnation is
//! always detected, as a majority has heard of every incarnation that granted a claim, and a majority is
//! heard before the next one grants any. Within one incarnation the detection is as fine as probes are
//! frequent.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, NodeId};

/// Restored state may be this many seconds older than the latest that peers heard: it is written once a
/// second, and seconds are rounded down.
const TOLERANCE_SECONDS: u64 = 2;

/// A point in the lifetime of a node's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StatePosition {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// How long the incarnation had lasted, in seconds.
    pub uptime_seconds: u64,
}

impl fmt::Display for StatePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}s", self.incarnation, self.uptime_seconds)
    }
}

impl StatePosition {
    /// Whether state that was written here lacks something that was known at `latest`.
    pub fn is_stale(&self, latest: &StatePosition) -> bool {
        let tolerated = self.uptime_seconds.saturating_add(TOLERANCE_SECONDS);
        (self.incarnation, tolerated) < (latest.incarnation, latest.uptime_seconds)
    }
}

/// The latest positions of one node.
#[derive(Debug, Clone, Copy)]
struct TrackedNode {
    current: StatePosition,
    /// The last position of the incarnation before.
    previous: Option<StatePosition>,
}

/// Tracks the latest position that each peer has reported.
#[derive(Debug, Clone, Default)]
pub struct StalenessTracker {
    nodes: BTreeMap<NodeId, TrackedNode>,
}

impl StalenessTracker {
    /// Records that a node reported this position.
    pub fn record(&mut self, node: NodeId, position: StatePosition) {
        let initial = TrackedNode { current: position, previous: None };
        let tracked = self.nodes.entry(node).or_insert(initial);
        if position.incarnation > tracked.current.incarnation {
            *tracked = TrackedNode { current: position, previous: Some(tracked.current) };
        } else {
            tracked.current = tracked.current.max(position);
        }
    }

    /// Checks the state that a node restored when it began this incarnation. Returns the latest position
    /// from before the incarnation if the restored state is older.
    pub fn check(
        &self,
        node: NodeId,
        incarnation: Incarnation,
        restored: StatePosition,
    ) -> Option<StatePosition> {
        let tracked = self.nodes.get(&node)?;
        let began_later = tracked.current.incarnation < incarnation;
        let latest = if began_later { Some(tracked.current) } else { tracked.previous };
        latest.filter(|latest| restored.is_stale(latest))
    }

    /// Drops all nodes but those for which the predicate holds.
    pub fn retain(&mut self, is_member: impl Fn(NodeId) -> bool) {
        self.nodes.retain(|node, _| is_member(*node));
    }
}

#[cfg(test)]
mod tests;
