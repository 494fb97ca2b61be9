//! Whether what a node has kept of an earlier life is the last that was known of it. Others remember how long each life of
//! a node lasted, as it told them with its probes; what it kept says where it ends. Guards against an old copy of a folder
//! that is put back: its votes would be given twice.
//!
//! Exact for a copy from a life before the last, as a majority has heard of each life that voted, and a majority is heard
//! before the next one does. Within one life it is as fine as probes are frequent.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::membership_config::NodeId;

/// What a node kept may end so many seconds before the last that others heard of it: it is written down once a second, and
/// seconds are whole.
const TOLERANCE: u64 = 2;

/// A point in the lives of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StatePosition {
    /// The number of the life.
    pub incarnation: u64,
    /// How long that had lasted, in seconds.
    pub seconds: u64,
}

impl StatePosition {
    /// Whether what ends here lacks something that was known there.
    pub fn is_outdated_by(&self, known: &StatePosition) -> bool {
        (self.incarnation, self.seconds.saturating_add(TOLERANCE)) < (known.incarnation, known.seconds)
    }
}

#[derive(Debug, Clone, Copy)]
struct KeyState {
    now: StatePosition,
    before: Option<StatePosition>,
}

/// The last that is known of each node.
#[derive(Debug, Clone, Default)]
pub struct StalenessTracker {
    known: BTreeMap<NodeId, KeyState>,
}

impl StalenessTracker {
    /// A node was at this point of its lives.
    pub fn heard(&mut self, node: NodeId, mark: StatePosition) {
        let known = self.known.entry(node).or_insert(KeyState { now: mark, before: None });
        if mark.incarnation > known.now.incarnation {
            *known = KeyState { now: mark, before: Some(known.now) };
        } else {
            known.now = known.now.max(mark);
        }
    }

    /// A node in this life goes on from what it kept. Returns the last that was known of it before this life, if that is
    /// later.
    pub fn outdates(&self, node: NodeId, incarnation: u64, kept: StatePosition) -> Option<StatePosition> {
        let known = self.known.get(&node)?;
        let last = if known.now.incarnation < incarnation { Some(known.now) } else { known.before };
        last.filter(|last| kept.is_outdated_by(last))
    }

    /// Only these nodes are about.
    pub fn keep(&mut self, about: impl Fn(NodeId) -> bool) {
        self.known.retain(|node, _| about(*node));
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const NODE: NodeId = NodeId(1);

    fn mark(incarnation: u64, seconds: u64) -> StatePosition {
        StatePosition { incarnation, seconds }
    }

    #[test]
    fn what_ends_before_the_last_that_was_heard_is_outdated() {
        let mut marks = StalenessTracker::default();
        assert_eq!(marks.outdates(NODE, 5, mark(1, 0)), None, "nothing is known of it");
        marks.heard(NODE, mark(5, 40));
        assert_eq!(marks.outdates(NODE, 6, mark(5, 38)), None, "it was killed before it wrote that down");
        assert_eq!(marks.outdates(NODE, 6, mark(5, 37)), Some(mark(5, 40)));
        assert_eq!(marks.outdates(NODE, 6, mark(4, 9000)), Some(mark(5, 40)), "a life before the last");
        assert_eq!(marks.outdates(NODE, 6, mark(5, 60)), None, "it lived on unheard");
    }

    #[test]
    fn the_life_under_way_says_nothing_of_what_was_kept_before_it() {
        let mut marks = StalenessTracker::default();
        marks.heard(NODE, mark(5, 40));
        marks.heard(NODE, mark(6, 0));
        marks.heard(NODE, mark(6, 100));
        marks.heard(NODE, mark(6, 90));
        assert_eq!(marks.outdates(NODE, 6, mark(5, 39)), None);
        assert_eq!(marks.outdates(NODE, 6, mark(5, 10)), Some(mark(5, 40)));
        assert_eq!(marks.outdates(NODE, 7, mark(6, 50)), Some(mark(6, 100)));
        marks.heard(NODE, mark(4, 500));
        assert_eq!(marks.outdates(NODE, 7, mark(6, 99)), None, "word of an earlier life comes late");
    }

    #[test]
    fn nodes_that_are_on_no_list_are_forgotten() {
        let mut marks = StalenessTracker::default();
        marks.heard(NODE, mark(5, 40));
        marks.keep(|_| false);
        assert_eq!(marks.outdates(NODE, 6, mark(1, 0)), None);
    }
}
