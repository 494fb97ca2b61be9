//! The registry: which nodes are listed, and which were at an earlier time, as frontends see the list with a delay.

use super::Ms;

#[derive(Debug, Clone, Default)]
struct Entry {
    /// When the last heartbeat came; none for a node that left or timed out.
    last_heartbeat: Option<Ms>,
    listed: bool,
}

/// A change of the list.
#[derive(Debug, Clone, Copy)]
struct Change {
    at: Ms,
    node: usize,
    /// Whether the node is listed from then on.
    listed: bool,
}

/// The registry: the list of nodes as heartbeats, deregistrations and timeouts have left it, with its past.
#[derive(Debug, Clone)]
pub struct Registry {
    heartbeat_timeout: Ms,
    entries: Vec<Entry>,
    /// Every change, in order of time for each node.
    changes: Vec<Change>,
    is_unreachable: bool,
}

impl Registry {
    /// A registry of `nodes` nodes that drops one whose last heartbeat is `heartbeat_timeout` ago.
    pub fn new(nodes: usize, heartbeat_timeout: Ms) -> Registry {
        Registry {
            heartbeat_timeout,
            entries: vec![Entry::default(); nodes],
            changes: Vec::new(),
            is_unreachable: false,
        }
    }

    /// A node reports that it is up, or deregisters (`is_up` is false).
    pub fn on_heartbeat(&mut self, now: Ms, node: usize, is_up: bool) {
        if self.is_unreachable {
            return;
        }
        self.entries[node].last_heartbeat = is_up.then_some(now);
        self.set_listed(now, node, is_up);
    }

    /// Starts or ends an outage. Meanwhile the list is frozen; at its end every listed node gets a full timeout to report.
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

    /// Lets time pass: nodes whose heartbeats have stopped are dropped.
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

    /// Whether each node is listed in the list as it was at `seen_at`.
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
