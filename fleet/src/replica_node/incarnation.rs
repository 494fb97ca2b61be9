//! When a node begins another incarnation, and what it forgets then or when it was suspended.

use std::time::Duration;

use super::{Action, Notification, Participation, ReplicaNode};
use crate::claims::coordinator::ClaimCoordinator;
use crate::ids::Incarnation;
use crate::recovery::staleness::StatePosition;
use crate::Time;

impl ReplicaNode {
    /// Handles that a peer knows of a later incarnation of this node.
    pub(super) fn handle_superseded(&mut self, incarnation: Incarnation, out: &mut Vec<Action>) {
        if incarnation <= self.incarnation || self.participation != Participation::Active {
            return;
        }
        if self.had_quorum {
            self.participation = Participation::Superseded;
            out.push(Action::Notify(Notification::Superseded { incarnation }));
            return;
        }
        // The system's clock has gone back since the last incarnation. Nothing was granted under this
        // number yet.
        self.set_incarnation(incarnation.next(), out);
    }

    /// Handles that the restored state is stale: nothing in it can be relied on, and what the node granted
    /// in this incarnation must not count.
    pub(super) fn handle_stale_state(&mut self, now: Time, latest: StatePosition, out: &mut Vec<Action>) {
        let Some(restored) = self.restored.filter(|restored| restored.is_stale(&latest)) else { return };
        self.metrics.stale_states += 1;
        out.push(Action::Notify(Notification::StaleState { restored, latest }));
        self.begin_incarnation(now, self.incarnation.next(), out);
    }

    /// Takes part again after another process of this node had taken over. What other nodes granted
    /// meanwhile is unknown.
    pub(super) fn activate(&mut self, now: Time, incarnation: Incarnation, out: &mut Vec<Action>) {
        if self.participation != Participation::Deactivated {
            return;
        }
        self.participation = Participation::Active;
        self.begin_incarnation(now, incarnation.max(self.incarnation.next()), out);
    }

    /// Begins another incarnation without any state.
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

    /// Resumes after the process was suspended. Nothing that was heard before counts any more.
    pub(super) fn resume(&mut self, suspended_for: Duration, out: &mut Vec<Action>) {
        self.metrics.suspensions += 1;
        self.has_quorum = false;
        self.failure_detector.reset();
        self.with_claims(out, ClaimCoordinator::reject_collecting);
        // Its votes are still valid, but runs may have completed meanwhile that it has not heard of.
        self.state_transfer.start(&self.other_members());
        out.push(Action::Notify(Notification::Resumed { suspended_for }));
    }
}
