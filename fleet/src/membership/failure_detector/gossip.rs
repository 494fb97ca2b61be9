//! Gossip about members: the merging of received updates, and the queue of updates to send. Probes and
//! acknowledgements carry the updates, and each update is sent a bounded number of times.

use std::cmp::Reverse;

use super::{FailureDetector, SUSPICION_PERIODS};
use crate::message::{GossipUpdate, Liveness};
use crate::Time;

/// Maximum number of gossip updates in one message.
pub(super) const MAX_UPDATES_PER_MESSAGE: usize = 8;
/// An update is sent this many times the bit length of the number of members, about its binary logarithm.
const RETRANSMIT_FACTOR: u32 = 3;

/// An update with the number of times that it is still to be sent.
#[derive(Debug, Clone)]
struct QueuedUpdate {
    update: GossipUpdate,
    transmissions_left: u32,
}

/// The updates that are still to be sent, at most one for each member.
#[derive(Debug, Clone, Default)]
pub(super) struct GossipQueue {
    updates: Vec<QueuedUpdate>,
}

impl GossipQueue {
    /// Queues an update, which replaces an earlier one about the same member.
    pub(super) fn push(&mut self, update: GossipUpdate, member_count: usize) {
        self.updates.retain(|queued| queued.update.node != update.node);
        let log_of_members = (usize::BITS - member_count.leading_zeros()).max(1);
        let transmissions_left = RETRANSMIT_FACTOR * log_of_members;
        self.updates.push(QueuedUpdate { update, transmissions_left });
    }

    /// Returns the updates for the next message: those with the most transmissions left.
    pub(super) fn next_updates(&mut self) -> Vec<GossipUpdate> {
        self.updates.sort_by_key(|queued| Reverse(queued.transmissions_left));
        let mut updates = Vec::new();
        for queued in self.updates.iter_mut().take(MAX_UPDATES_PER_MESSAGE) {
            queued.transmissions_left -= 1;
            updates.push(queued.update);
        }
        self.updates.retain(|queued| queued.transmissions_left > 0);
        updates
    }
}

impl FailureDetector {
    /// Merges updates that were received from another member; a message holds at most
    /// [`MAX_UPDATES_PER_MESSAGE`], and any further ones are ignored.
    pub(super) fn merge_gossip(&mut self, now: Time, updates: Vec<GossipUpdate>) {
        for update in updates.into_iter().take(MAX_UPDATES_PER_MESSAGE) {
            if update.node == self.this_node {
                self.refute(update);
            } else {
                self.merge_update(now, update);
            }
        }
    }

    /// Refutes a suspicion against this node if it concerns the current version of the node.
    fn refute(&mut self, update: GossipUpdate) {
        let is_current = update.version >= self.local_version
            && update.version.incarnation == self.local_version.incarnation;
        if update.liveness == Liveness::Alive || !is_current {
            return;
        }
        self.local_version.refutations = update.version.refutations.saturating_add(1);
        let alive =
            GossipUpdate { node: self.this_node, version: self.local_version, liveness: Liveness::Alive };
        self.gossip_queue.push(alive, self.members.len());
    }

    fn merge_update(&mut self, now: Time, update: GossipUpdate) {
        let Some(member) = self.members.get_mut(&update.node) else { return };
        if (update.version, update.liveness) <= (member.version, member.liveness) {
            return;
        }
        // A member that this node hears is only suspected if others report it as dead, so that this node
        // probes it before it declares the member dead.
        let is_heard = member.liveness == Liveness::Alive;
        member.version = update.version;
        member.liveness =
            if is_heard && update.liveness == Liveness::Dead { Liveness::Suspect } else { update.liveness };
        member.dead_at = now + self.probe_period * SUSPICION_PERIODS;
        self.next_death_at = self.next_death_at.min(member.dead_at);
        self.gossip_queue.push(update, self.members.len());
    }
}
