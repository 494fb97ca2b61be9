//! Detects that a node has restored an old copy of its state, such as a backup of its disk. Such a node might
//! grant a key to a second claim, because it no longer knows that it has granted the key.
//!
//! A node reports the duration of its incarnation with its probes, and peers track it. Restored state
//! contains the position at which it was written. A copy from before the last incarnation is always detected:
//! a majority has heard of every incarnation that granted a claim, and a node hears a majority before its
//! next incarnation grants any. Within one incarnation the resolution of the detection is the interval
//! between probes.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, NodeId};

/// Number of seconds by which restored state may be older than the latest position that peers heard: the
/// position is written once a second, and its seconds are rounded down.
const TOLERANCE_SECONDS: u64 = 2;

/// A point in the lifetime of a node's state, ordered by incarnation and then by uptime.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StatePosition {
    /// The incarnation of the node.
    pub incarnation: Incarnation,
    /// Time since the incarnation began, in seconds.
    pub uptime_seconds: u64,
}

impl fmt::Display for StatePosition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}s", self.incarnation, self.uptime_seconds)
    }
}

impl StatePosition {
    /// Whether state that was written at this position is older than `latest` by more than the tolerance.
    pub fn is_stale(&self, latest: &StatePosition) -> bool {
        let tolerated = self.uptime_seconds.saturating_add(TOLERANCE_SECONDS);
        (self.incarnation, tolerated) < (latest.incarnation, latest.uptime_seconds)
    }
}

/// The latest positions that one node has reported.
#[derive(Debug, Clone, Copy)]
struct TrackedNode {
    current: StatePosition,
    /// The last reported position in the previous known incarnation.
    previous: Option<StatePosition>,
}

/// Tracks the latest positions that each peer has reported.
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

    /// Checks the state that a node restored when it began this incarnation. If the state is stale, returns
    /// the latest position that the node reported in an earlier incarnation.
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

    /// Removes all nodes except those for which the predicate holds.
    pub fn retain(&mut self, is_member: impl Fn(NodeId) -> bool) {
        self.nodes.retain(|node, _| is_member(*node));
    }
}

#[cfg(test)]
mod tests;
