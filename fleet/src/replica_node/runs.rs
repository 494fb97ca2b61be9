//! Claims on keys for the node's own attempts.

use super::{Action, Participation, ReplicaNode};
use crate::claims::coordinator::{ClaimAction, ClaimCoordinator, ClaimOutcome, RunRequest};
use crate::message::RejectReason;
use crate::Time;

impl ReplicaNode {
    /// Returns the reason why this node currently neither makes nor grants claims; `None` if it does.
    pub(super) fn reason_not_to_claim(&self) -> Option<RejectReason> {
        if self.participation == Participation::Superseded {
            Some(RejectReason::Superseded)
        } else if self.configs.newest().index_of(self.id).is_none() {
            Some(RejectReason::NotMember)
        } else if !self.has_quorum {
            Some(RejectReason::NoQuorum)
        } else {
            None
        }
    }

    pub(super) fn request_run(&mut self, now: Time, request: RunRequest, out: &mut Vec<Action>) {
        let exceeds_window = request.window_ends_at.saturating_sub(now) > self.configs.newest().window();
        let reason = self.reason_not_to_claim().or(exceeds_window.then_some(RejectReason::DeadlineExceeded));
        if let Some(reason) = reason {
            self.metrics.rejected += 1;
            return out.push(Action::NotifyAttempt(request.attempt, ClaimOutcome::Rejected(reason)));
        }
        let mut actions = Vec::new();
        self.claims.request_run(now, request, &self.configs, &mut actions);
        self.apply_claim_actions(actions, out);
    }

    pub(super) fn with_claims(
        &mut self,
        out: &mut Vec<Action>,
        act: impl FnOnce(&mut ClaimCoordinator, &mut Vec<ClaimAction>),
    ) {
        let mut actions = Vec::new();
        act(&mut self.claims, &mut actions);
        self.apply_claim_actions(actions, out);
    }

    pub(super) fn apply_claim_actions(&mut self, actions: Vec<ClaimAction>, out: &mut Vec<Action>) {
        for action in actions {
            match action {
                ClaimAction::Send(node, message) => self.send(node, message, out),
                ClaimAction::Notify(attempt, outcome) => {
                    self.metrics.count_outcome(&outcome);
                    out.push(Action::NotifyAttempt(attempt, outcome));
                }
            }
        }
    }
}
