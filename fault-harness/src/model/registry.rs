//! The registry: the list of nodes now and at earlier times, since frontends see changes of the list with a
//! delay.

use super::Ms;

#[derive(Debug, Clone, Default)]
struct Entry {
    /// Time of the last heartbeat; none for a node that deregistered or timed out.
    last_heartbeat: Option<Ms>,
    listed: bool,
}

/// A change of one node's place on the list.
#[derive(Debug, Clone, Copy)]
struct Change {
    at: Ms,
    node: usize,
    /// Whether the node is listed from `at` on.
    listed: bool,
}

/// The list of nodes, as heartbeats, deregistrations and timeouts determine it, with all its past changes.
#[derive(Debug, Clone)]
pub struct Registry {
    heartbeat_timeout: Ms,
    entries: Vec<Entry>,
    /// All changes; those of one node are in order of time.
    changes: Vec<Change>,
    is_unreachable: bool,
}

impl Registry {
    /// Creates a registry for `nodes` nodes that removes a node from the list `heartbeat_timeout` after its
    /// last heartbeat.
    pub fn new(nodes: usize, heartbeat_timeout: Ms) -> Registry {
        Registry {
            heartbeat_timeout,
            entries: vec![Entry::default(); nodes],
            changes: Vec::new(),
            is_unreachable: false,
        }
    }

    /// Handles a heartbeat of a node (`is_up`) or its deregistration (not `is_up`). Both are lost during an
    /// outage.
    pub fn on_heartbeat(&mut self, now: Ms, node: usize, is_up: bool) {
        if self.is_unreachable {
            return;
        }
        self.entries[node].last_heartbeat = is_up.then_some(now);
        self.set_listed(now, node, is_up);
    }

    /// Starts or ends an outage of the registry. The list is frozen during the outage; at its end every
    /// listed node gets a full heartbeat timeout to report.
    pub fn set_unreachable(&mut self, now: Ms, is_unreachable: bool) {
        self.advance(now);
        if self.is_unreachable && !is_unreachable {
            for entry in self.entries.iter_mut().filter(|entry| entry.listed) {
                entry.last_heartbeat = Some(now);
            }
        }
        self.is_unreachable = is_unreachable;
    }

    fn set_listed(&mut self, at: Ms, node: usize, listed: bool) {
        if self.entries[node].listed != listed {
            self.entries[node].listed = listed;
            self.changes.push(Change { at, node, listed });
        }
    }

    /// Advances the time to `now` and removes the nodes whose heartbeats have timed out from the list.
    pub fn advance(&mut self, now: Ms) {
        if self.is_unreachable {
            return;
        }
        for node in 0..self.entries.len() {
            let times_out_at = self.entries[node].last_heartbeat.map(|last| last + self.heartbeat_timeout);
            if let Some(at) = times_out_at.filter(|at| *at <= now) {
                self.entries[node].last_heartbeat = None;
                self.set_listed(at, node, false);
            }
        }
    }

    /// Returns, by node, whether it was on the list at `seen_at`.
    pub fn listed_at(&mut self, now: Ms, seen_at: Ms) -> Vec<bool> {
        self.advance(now);
        let mut listed = vec![false; self.entries.len()];
        for change in self.changes.iter().filter(|change| change.at <= seen_at) {
            listed[change.node] = change.listed;
        }
        listed
    }
}

#[cfg(test)]
mod tests;
