//! The lists that are about. A claim needs a majority in each of them; an old one is over one window after so many of its
//! nodes have taken the next that no key can have a majority of its copies among the others.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::membership_config::{MembershipConfig, NodeId};
use crate::Time;

/// Lists that may be about at once; a further one has to wait until the oldest is over.
pub const MAX_ACTIVE_CONFIGS: usize = 4;

/// What became of a list that was offered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Offer {
    /// It is taken.
    Taken,
    /// It is the one that holds.
    Same,
    /// It is turned down, and why.
    TurnedDown(String),
}

/// The lists that are about, and who has taken which.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ActiveConfigs {
    /// By number; never empty.
    about: Vec<Arc<MembershipConfig>>,
    /// The highest number that each node has been heard with.
    heard: BTreeMap<NodeId, u64>,
    /// When the oldest is over.
    over_at: Option<Time>,
    /// Lists up to this number are over.
    over: u64,
    /// Those that a peer told of: their addresses are as that peer sees them.
    learnt: BTreeSet<u64>,
    me: NodeId,
}

impl ActiveConfigs {
    /// A node that knows of one list.
    pub fn new(me: NodeId, list: Arc<MembershipConfig>) -> ActiveConfigs {
        ActiveConfigs {
            heard: BTreeMap::new(),
            over_at: None,
            over: 0,
            learnt: BTreeSet::new(),
            me,
            about: vec![list],
        }
    }

    /// The one that holds: the newest.
    pub fn newest(&self) -> &Arc<MembershipConfig> {
        &self.about[self.about.len() - 1]
    }

    /// All that are about, the oldest first.
    pub fn about(&self) -> &[Arc<MembershipConfig>] {
        &self.about
    }

    /// Their numbers.
    pub fn numbers(&self) -> Vec<u64> {
        self.about.iter().map(|list| list.number()).collect()
    }

    /// Their numbers and digests.
    pub fn signed(&self) -> Vec<(u64, u64)> {
        self.about.iter().map(|list| (list.number(), list.digest())).collect()
    }

    /// Every node on any of them.
    pub fn everyone(&self) -> BTreeSet<NodeId> {
        self.about.iter().flat_map(|list| list.ids().iter().copied()).collect()
    }

    /// Whether a list of this number and digest contradicts one that is about.
    pub fn contradicted(&self, number: u64, digest: u64) -> bool {
        self.about.iter().any(|list| list.number() == number && list.digest() != digest)
    }

    /// Lists up to this number are over.
    pub fn over(&self) -> u64 {
        self.over
    }

    /// Another node knows that lists up to this number are over, which once true stays true. Returns whether that was
    /// news.
    pub fn are_over(&mut self, over: u64) -> bool {
        let before = self.about.len();
        let newest = self.newest().number();
        self.about.retain(|list| list.number() > over || list.number() == newest);
        let news = self.about.len() != before;
        if news {
            self.over_at = None;
        }
        self.over = self.over.max(over.min(newest - 1));
        news
    }

    /// Whether a list of this number is unknown and still of use.
    pub fn lacks(&self, number: u64) -> bool {
        number > self.over && !self.about.iter().any(|list| list.number() == number)
    }

    /// A list of the operators'.
    pub fn offer(&mut self, list: Arc<MembershipConfig>) -> Offer {
        let (number, newest) = (list.number(), self.newest().number());
        if number < newest {
            return Offer::TurnedDown(format!("list.number: {number} is lower than {newest}, which holds"));
        }
        if let Some(known) = self.about.last_mut().filter(|known| known.number() == number) {
            if *known == list {
                return Offer::Same;
            }
            // A peer was faster to tell of it; the addresses are as this node is to see them.
            if known.digest() == list.digest() && self.learnt.remove(&number) {
                *known = list;
                return Offer::Taken;
            }
            return Offer::TurnedDown(format!(
                "list.number: {number} is the number of the list that holds, and that one says something else"
            ));
        }
        if self.about.len() >= MAX_ACTIVE_CONFIGS {
            return Offer::TurnedDown(format!(
                "list.number: {MAX_ACTIVE_CONFIGS} lists are about; wait until {} is over",
                self.about[0].number()
            ));
        }
        if let Err(reason) = list.may_follow(self.newest()) {
            return Offer::TurnedDown(reason);
        }
        self.about.push(list);
        Offer::Taken
    }

    /// A list that a peer goes by: claims need a majority in it too from now on. Returns whether it was news.
    pub fn learn(&mut self, list: Arc<MembershipConfig>) -> bool {
        if !self.lacks(list.number()) || self.about.len() >= MAX_ACTIVE_CONFIGS {
            return false;
        }
        self.learnt.insert(list.number());
        let place = self.about.partition_point(|known| known.number() < list.number());
        self.about.insert(place, list);
        self.over_at = None;
        true
    }

    /// A node goes by lists up to this number.
    pub fn heard(&mut self, node: NodeId, newest: u64) {
        let heard = self.heard.entry(node).or_default();
        *heard = newest.max(*heard);
    }

    /// Nodes of the oldest list that are not known to have taken the next.
    fn behind(&self) -> BTreeSet<NodeId> {
        let Some(next) = self.about.get(1) else { return BTreeSet::new() };
        let has = |node: &NodeId| {
            *node == self.me || self.heard.get(node).is_some_and(|number| *number >= next.number())
        };
        self.about[0].ids().iter().copied().filter(|node| !has(node)).collect()
    }

    /// Lets go of a list that is over; returns its number.
    pub fn tick(&mut self, now: Time) -> Option<u64> {
        let oldest = self.about[0].clone();
        if self.about.len() < 2 || oldest.most_copies_among(&self.behind()) >= oldest.quorum() {
            self.over_at = None;
            return None;
        }
        // Until then something may be remembered that only this list's copies know.
        let over_at = *self.over_at.get_or_insert(now + oldest.window() + crate::LATE_READ_GRACE);
        if now < over_at {
            return None;
        }
        self.about.remove(0);
        (self.over, self.over_at) = (oldest.number(), None);
        let everyone = self.everyone();
        self.heard.retain(|node, _| everyone.contains(node));
        Some(oldest.number())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::membership_config::tests::{id, list, plain};
    use std::time::Duration;

    fn at(seconds: u64) -> Time {
        Duration::from_secs(seconds)
    }

    fn lists() -> ActiveConfigs {
        ActiveConfigs::new(id(1), Arc::new(list(1, &[1, 2, 3, 4], 1)))
    }

    #[test]
    fn a_higher_number_is_taken_and_a_lower_one_or_another_of_the_same_is_turned_down() {
        let mut lists = lists();
        let next = Arc::new(list(3, &[1, 2, 3, 4, 5], 1));
        assert_eq!(lists.offer(next.clone()), Offer::Taken);
        assert_eq!(lists.offer(next), Offer::Same);
        let down = |offer| matches!(offer, Offer::TurnedDown(reason) if reason.starts_with("list.number: "));
        assert!(down(lists.offer(Arc::new(list(2, &[1, 2, 3, 4], 1)))));
        let mut other = plain(3, &[1, 2, 3, 4, 5], 1);
        other.members[0].address.set_port(1);
        assert!(down(lists.offer(Arc::new(MembershipConfig::new(other).unwrap()))));
        assert!(matches!(lists.offer(Arc::new(list(4, &[1, 2, 3], 1))), Offer::TurnedDown(_)));
        assert_eq!(lists.numbers(), [1, 3]);
    }

    #[test]
    fn an_old_list_is_over_a_window_after_all_but_a_minority_have_the_next() {
        let mut lists = lists();
        lists.offer(Arc::new(list(2, &[1, 2, 3, 5], 1)));
        assert_eq!(lists.tick(at(1)), None);
        lists.heard(id(2), 2);
        assert_eq!(lists.tick(at(100)), None, "two that have not may be two copies of one key");
        lists.heard(id(3), 2);
        assert_eq!(lists.tick(at(200)), None);
        assert_eq!(lists.tick(at(217)), None, "what only its copies know may still be remembered");
        assert_eq!(lists.tick(at(218)), Some(1));
        assert_eq!(lists.numbers(), [2]);
        assert!(!lists.lacks(1), "it does not come back");
        let mut other = self::lists();
        other.offer(Arc::new(list(2, &[1, 2, 3, 5], 1)));
        assert!(
            other.are_over(lists.over()) && !other.are_over(lists.over()),
            "once over, it is over for all"
        );
        assert_eq!((other.numbers(), other.lacks(1)), (vec![2], false));
        assert_eq!(lists.tick(at(500)), None, "one holds");
    }

    #[test]
    fn a_list_that_a_peer_goes_by_counts_and_lists_have_a_bound() {
        let mut lists = lists();
        assert!(lists.learn(Arc::new(list(3, &[1, 2, 3, 4, 5], 1))));
        assert!(lists.learn(Arc::new(list(2, &[1, 2, 3, 4], 1))));
        assert!(!lists.learn(Arc::new(list(2, &[1, 2, 3, 4], 1))));
        assert_eq!(lists.numbers(), [1, 2, 3]);
        let mut seen_from_here = plain(3, &[1, 2, 3, 4, 5], 1);
        seen_from_here.members[0].address.set_port(1);
        let seen_from_here = Arc::new(MembershipConfig::new(seen_from_here).unwrap());
        assert_eq!(lists.offer(seen_from_here.clone()), Offer::Taken, "the operators' addresses hold");
        assert_eq!(lists.newest(), &seen_from_here);
        assert!(matches!(lists.offer(Arc::new(list(3, &[1, 2, 3, 4, 5], 1))), Offer::TurnedDown(_)));
        assert!(lists.contradicted(2, 1) && !lists.contradicted(7, 1));
        assert_eq!(lists.offer(Arc::new(list(4, &[1, 2, 3, 4, 5], 1))), Offer::Taken);
        let more = lists.offer(Arc::new(list(5, &[1, 2, 3, 4, 5], 1)));
        assert!(matches!(more, Offer::TurnedDown(reason) if reason.contains("wait until 1 is over")));
    }
}
