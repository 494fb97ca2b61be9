//! Transitions to another incarnation, and the state that a node discards then or after a suspension.

use std::time::Duration;

use super::{Action, Notification, Participation, ReplicaNode};
use crate::claims::coordinator::ClaimCoordinator;
use crate::ids::Incarnation;
use crate::recovery::staleness::StatePosition;
use crate::Time;

impl ReplicaNode {
    /// Called when a peer knows of a later incarnation of this node.
    pub(super) fn handle_superseded(&mut self, incarnation: Incarnation, out: &mut Vec<Action>) {
        if incarnation <= self.incarnation || self.participation != Participation::Active {
            return;
        }
        if self.had_quorum {
            self.participation = Participation::Superseded;
            out.push(Action::Notify(Notification::Superseded { incarnation }));
            return;
        }
        // The system clock was set back since the last incarnation, so this incarnation's number is too low.
        // Nothing has been granted under it yet, so the node can take a higher number.
        self.set_incarnation(incarnation.next(), out);
    }

    /// Called when a peer knows a later position of this node's state than the restored one. The node then
    /// discards its state and begins another incarnation, so that its grants in this one no longer count.
    pub(super) fn handle_stale_state(&mut self, now: Time, latest: StatePosition, out: &mut Vec<Action>) {
        let Some(restored) = self.restored.filter(|restored| restored.is_stale(&latest)) else { return };
        self.metrics.stale_states += 1;
        out.push(Action::Notify(Notification::StaleState { restored, latest }));
        self.begin_incarnation(now, self.incarnation.next(), out);
    }

    /// Participates again after another process of this node had taken over. Claims that were granted in the
    /// meantime are unknown to this process, so it begins an incarnation without state.
    pub(super) fn activate(&mut self, now: Time, incarnation: Incarnation, out: &mut Vec<Action>) {
        if self.participation != Participation::Deactivated {
            return;
        }
        self.participation = Participation::Active;
        self.begin_incarnation(now, incarnation.max(self.incarnation.next()), out);
    }

    /// Begins another incarnation with an empty replica table, and starts to catch up.
    fn begin_incarnation(&mut self, now: Time, incarnation: Incarnation, out: &mut Vec<Action>) {
        self.restored = None;
        self.reported_state_loss = false;
        self.table.reset(incarnation, now);
        self.has_quorum = false;
        self.had_quorum = false;
        self.incarnation_began_at = now;
        self.failure_detector.reset();
        self.with_claims(out, ClaimCoordinator::reject_collecting);
        self.set_incarnation(incarnation, out);
        self.state_transfer.start(&self.other_members());
    }

    fn set_incarnation(&mut self, incarnation: Incarnation, out: &mut Vec<Action>) {
        self.incarnation = incarnation;
        self.table.set_incarnation(incarnation);
        self.claims.set_incarnation(incarnation);
        self.failure_detector.set_incarnation(incarnation);
        out.push(Action::SendHello);
    }

    /// Called after the process was suspended. Liveness that was observed before the suspension is discarded.
    pub(super) fn resume(&mut self, suspended_for: Duration, out: &mut Vec<Action>) {
        self.metrics.suspensions += 1;
        self.has_quorum = false;
        self.failure_detector.reset();
        self.with_claims(out, ClaimCoordinator::reject_collecting);
        // The node's votes are still valid, but it may have missed runs that completed in the meantime.
        self.state_transfer.start(&self.other_members());
        out.push(Action::Notify(Notification::Resumed { suspended_for }));
    }
}
