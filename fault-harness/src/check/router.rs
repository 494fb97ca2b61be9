//! The rule about the virtual router: two nodes that can hear each other do not both keep the active role.

use std::collections::BTreeSet;

use super::verdict::{Breaches, Rule};
use crate::history::Event;
use crate::model::Ms;

/// Since when more than one node is active though they can hear each other.
#[derive(Debug, Clone, Copy, Default)]
enum Conflict {
    #[default]
    None,
    Since(Ms),
    /// Reported once, until it is over.
    Reported,
}

/// Follows which nodes are active.
#[derive(Debug, Default)]
pub(super) struct RouterRoles {
    active: BTreeSet<usize>,
    paused: BTreeSet<usize>,
    /// Disturbances of the links among nodes that are in effect.
    disturbances: usize,
    conflict: Conflict,
}

impl RouterRoles {
    /// Takes in an event, and records a conflict that has lasted too long.
    pub(super) fn observe(&mut self, at: Ms, event: &Event, longest_conflict: Ms, breaches: &mut Breaches) {
        self.follow(event);
        let can_hear = self.disturbances == 0 && self.paused.is_empty();
        if !can_hear || self.active.len() < 2 {
            self.conflict = Conflict::None;
            return;
        }
        let since = match self.conflict {
            Conflict::None => at,
            Conflict::Since(since) => since,
            Conflict::Reported => return,
        };
        self.conflict = Conflict::Since(since);
        if at - since > longest_conflict {
            breaches.record(at, Rule::DualActive, self.describe());
            self.conflict = Conflict::Reported;
        }
    }

    fn follow(&mut self, event: &Event) {
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
                self.disturbances = self.disturbances.saturating_sub(1)
            }
            _ => {}
        }
    }

    fn describe(&self) -> String {
        let names: Vec<String> = self.active.iter().map(|node| format!("n{}", node + 1)).collect();
        format!("{} are all active", names.join(" and "))
    }
}
