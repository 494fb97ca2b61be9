//! The membership service: which nodes are listed, and which were at an earlier time, as frontends see the list with
//! a delay.

use super::Ms;

#[derive(Debug, Clone, Default)]
struct Entry {
    /// When it last reported.
    heard: Option<Ms>,
    listed: bool,
}

/// The service.
#[derive(Debug, Clone)]
pub struct Members {
    lapse: Ms,
    entries: Vec<Entry>,
    /// Every change, in order: when, which node, whether it is listed from then on.
    changes: Vec<(Ms, usize, bool)>,
    deaf: bool,
}

impl Members {
    /// A service that drops nodes which have not reported for so long.
    pub fn new(nodes: usize, lapse: Ms) -> Members {
        Members { lapse, entries: vec![Entry::default(); nodes], changes: Vec::new(), deaf: false }
    }

    /// A node reports that it is up, or that it leaves.
    pub fn report(&mut self, now: Ms, node: usize, up: bool) {
        if self.deaf {
            return;
        }
        self.entries[node].heard = up.then_some(now);
        self.list(now, node, up);
    }

    /// Hears nobody from now on, or hears again; no entry lapses meanwhile.
    pub fn deaf(&mut self, now: Ms, deaf: bool) {
        self.advance(now);
        if self.deaf && !deaf {
            self.entries.iter_mut().filter(|entry| entry.listed).for_each(|entry| entry.heard = Some(now));
        }
        self.deaf = deaf;
    }

    fn list(&mut self, at: Ms, node: usize, listed: bool) {
        if self.entries[node].listed != listed {
            self.entries[node].listed = listed;
            self.changes.push((at, node, listed));
        }
    }

    /// Lets time pass: nodes that do not report are dropped.
    pub fn advance(&mut self, now: Ms) {
        if self.deaf {
            return;
        }
        for node in 0..self.entries.len() {
            if let Some(over) =
                self.entries[node].heard.map(|heard| heard + self.lapse).filter(|over| *over <= now)
            {
                self.entries[node].heard = None;
                self.list(over, node, false);
            }
        }
    }

    /// Whether each node was listed at a time.
    pub fn listed_at(&mut self, now: Ms, at: Ms) -> Vec<bool> {
        self.advance(now);
        let mut listed = vec![false; self.entries.len()];
        for (_, node, up) in self.changes.iter().filter(|(when, ..)| *when <= at) {
            listed[*node] = *up;
        }
        listed
    }
}

#[cfg(test)]
mod tests;
