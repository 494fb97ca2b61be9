//! Tracks whether a replica's state is complete and, after a loss of state, how far it has caught up.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::NodeId;
use crate::membership::active_configs::ActiveConfigs;
use crate::membership::config::MembershipConfig;
use crate::message::Completeness;
use crate::{Time, LATE_READ_GRACE};

/// Completeness of a replica's state.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum SyncState {
    /// No state is missing.
    Complete,
    /// State was lost and is not recovered in full.
    Partial {
        /// When the state was lost.
        since: Time,
        /// Donors that have sent their whole tables since then, and the completeness of those tables.
        donors: BTreeMap<NodeId, Completeness>,
    },
}

impl SyncState {
    /// Returns the state of a replica that has lost its state at `now`.
    pub(super) fn lost(now: Time) -> SyncState {
        SyncState::Partial { since: now, donors: BTreeMap::new() }
    }

    /// Records that a donor has sent its whole table.
    pub(super) fn record(&mut self, donor: NodeId, completeness: Completeness) {
        if let SyncState::Partial { donors, .. } = self {
            donors.insert(donor, completeness);
        }
    }

    /// Whether a donor has sent its whole table since state was lost. True if no state was lost.
    pub(super) fn has_synced_from(&self, donor: NodeId) -> bool {
        match self {
            SyncState::Complete => true,
            SyncState::Partial { donors, .. } => donors.contains_key(&donor),
        }
    }

    /// Returns the completeness of the table, as it is reported to other nodes. Only donors that are complete
    /// themselves count, so that nodes which have all lost their state can't make each other complete.
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

    /// Whether the replica can vote for a key. This holds if, in each configuration, every quorum that a lost
    /// vote of this replica could have been part of contains another replica whose table this one has merged.
    /// A donor that is not complete itself counts only if the same holds for its own lost votes.
    pub(super) fn can_vote_for(&self, this_node: NodeId, key: &[u8], configs: &ActiveConfigs) -> bool {
        let SyncState::Partial { donors, .. } = self else { return true };
        configs.iter().all(|config| {
            let accounts_for_lost_vote = |donor: NodeId| match donors.get(&donor) {
                Some(Completeness::Complete) => true,
                Some(Completeness::PartialFrom(synced_from)) => {
                    intersects_every_quorum(config, key, donor, |other| synced_from.contains(&other))
                }
                None => false,
            };
            intersects_every_quorum(config, key, this_node, accounts_for_lost_vote)
        })
    }

    /// Returns the longest time until all lost state has expired; `None` if no state is missing.
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

/// Whether every quorum of a key's replicas that contains `node` also contains another replica that satisfies
/// the predicate. True if `node` is not a replica of the key.
///
/// A quorum that contains `node` omits `replica_count - quorum` of the other replicas, so it is certain to
/// contain one that satisfies the predicate only if more of them than that satisfy it.
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
