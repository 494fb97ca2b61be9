//! Whether a replica has all the state that it had before, or how far it has caught up since it lost it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::NodeId;
use crate::membership::active_configs::ActiveConfigs;
use crate::membership::config::MembershipConfig;
use crate::message::Completeness;
use crate::{Time, LATE_READ_GRACE};

/// How far a replica has caught up.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum SyncState {
    /// Nothing is missing.
    Complete,
    /// State was lost.
    Partial {
        /// When it was lost.
        since: Time,
        /// Donors that have sent their whole tables since, and how complete those are.
        donors: BTreeMap<NodeId, Completeness>,
    },
}

impl SyncState {
    /// State is lost now.
    pub(super) fn lost(now: Time) -> SyncState {
        SyncState::Partial { since: now, donors: BTreeMap::new() }
    }

    /// Records that a donor has sent its whole table.
    pub(super) fn record(&mut self, donor: NodeId, completeness: Completeness) {
        if let SyncState::Partial { donors, .. } = self {
            donors.insert(donor, completeness);
        }
    }

    /// Whether a donor has sent its whole table since state was lost, or none was.
    pub(super) fn has_synced_from(&self, donor: NodeId) -> bool {
        match self {
            SyncState::Complete => true,
            SyncState::Partial { donors, .. } => donors.contains_key(&donor),
        }
    }

    /// How complete the table is, as other nodes are told. Only donors that are complete themselves count,
    /// so that nodes which all lost their state can't vouch for each other.
    pub(super) fn completeness(&self, this_node: NodeId, configs: &ActiveConfigs) -> Completeness {
        let SyncState::Partial { donors, .. } = self else { return Completeness::Complete };
        let is_complete =
            |(_, completeness): &(&NodeId, &Completeness)| **completeness == Completeness::Complete;
        let complete: Vec<NodeId> = donors.iter().filter(is_complete).map(|(donor, _)| *donor).collect();
        if configs.all_members().iter().all(|node| *node == this_node || complete.contains(node)) {
            return Completeness::Complete;
        }
        Completeness::PartialFrom(complete)
    }

    /// Whether the replica can vote for a key. True if, in each configuration, every quorum that a
    /// forgotten vote of this replica could belong to contains another replica whose knowledge this one has
    /// merged. Of a donor that is not complete itself, the same is required for its own forgotten votes.
    pub(super) fn can_vote_for(&self, this_node: NodeId, key: &[u8], configs: &ActiveConfigs) -> bool {
        let SyncState::Partial { donors, .. } = self else { return true };
        configs.iter().all(|config| {
            let knows_our_votes_on_key = |donor: NodeId| match donors.get(&donor) {
                Some(Completeness::Complete) => true,
                Some(Completeness::PartialFrom(synced_from)) => {
                    intersects_every_quorum(config, key, donor, |other| synced_from.contains(&other))
                }
                None => false,
            };
            intersects_every_quorum(config, key, this_node, knows_our_votes_on_key)
        })
    }

    /// How long it takes at most until everything that was lost has expired; none if nothing was lost.
    pub(super) fn time_until_complete(&self, now: Time, configs: &ActiveConfigs) -> Option<Duration> {
        match self {
            SyncState::Complete => None,
            SyncState::Partial { since, .. } => {
                let expires_at = *since + configs.longest_window() + LATE_READ_GRACE;
                Some(expires_at.saturating_sub(now))
            }
        }
    }
}

/// Whether every quorum of a key's replicas that `node` is part of has another member that satisfies the
/// predicate. True if the node holds no replica of the key.
///
/// A quorum containing `node` omits `replica_count - quorum` replicas; it contains a satisfying one for
/// certain only if more than that satisfy.
fn intersects_every_quorum(
    config: &MembershipConfig,
    key: &[u8],
    node: NodeId,
    satisfies: impl Fn(NodeId) -> bool,
) -> bool {
    let replicas = config.replicas_of(key);
    if !replicas.contains(&node) {
        return true;
    }
    let others = replicas.iter().filter(|other| **other != node && satisfies(**other)).count();
    others > config.replica_count() - config.quorum()
}
