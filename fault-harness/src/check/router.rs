//! The rule about the virtual router: two nodes that can receive each other's advertisements must not both
//! keep the active role.

use std::collections::BTreeSet;

use super::verdict::{Rule, Violations};
use crate::history::Event;
use crate::model::Ms;

/// Whether more than one node is active although the nodes can receive each other's advertisements, and since
/// when.
#[derive(Debug, Clone, Copy, Default)]
enum DualActiveState {
    #[default]
    None,
    Since(Ms),
    /// Already reported; reported again only after the state has ended and begun again.
    Reported,
}

/// The nodes that are active, and what keeps advertisements from being received.
#[derive(Debug, Default)]
pub(super) struct RouterRoles {
    active: BTreeSet<usize>,
    paused: BTreeSet<usize>,
    /// Number of disturbances of the links among nodes that are in effect.
    disturbances: usize,
    dual_active: DualActiveState,
}

impl RouterRoles {
    /// Handles an event, and records a violation for a dual-active state that has lasted longer than
    /// `max_dual_active`. The rule is not checked while any link among nodes is disturbed or any node is
    /// paused, since the history does not say which nodes receive each other's advertisements then.
    pub(super) fn observe(
        &mut self,
        at: Ms,
        event: &Event,
        max_dual_active: Ms,
        violations: &mut Violations,
    ) {
        self.update_roles(event);
        let can_receive = self.disturbances == 0 && self.paused.is_empty();
        if !can_receive || self.active.len() < 2 {
            self.dual_active = DualActiveState::None;
            return;
        }
        let since = match self.dual_active {
            DualActiveState::None => at,
            DualActiveState::Since(since) => since,
            DualActiveState::Reported => return,
        };
        self.dual_active = DualActiveState::Since(since);
        if at - since > max_dual_active {
            violations.record(at, Rule::DualActive, self.describe());
            self.dual_active = DualActiveState::Reported;
        }
    }

    /// Updates which nodes are active and what keeps advertisements from being received.
    fn update_roles(&mut self, event: &Event) {
        match event {
            Event::RouterRole { node, active: true } => {
                self.active.insert(*node);
            }
            Event::RouterRole { node, active: false } | Event::NodeDown { node, .. } => {
                self.active.remove(node);
            }
            Event::Paused { node, paused: true } => {
                self.paused.insert(*node);
            }
            Event::Paused { node, paused: false } => {
                self.paused.remove(node);
            }
            Event::PeerLinksDisturbed { disturbed: true } => self.disturbances += 1,
            Event::PeerLinksDisturbed { disturbed: false } => {
                self.disturbances = self.disturbances.saturating_sub(1);
            }
            _ => {}
        }
    }

    fn describe(&self) -> String {
        let names: Vec<String> = self.active.iter().map(|node| format!("n{}", node + 1)).collect();
        format!("{} all hold the active role of the virtual router", names.join(" and "))
    }
}
