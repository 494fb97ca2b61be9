//! The numbered list of a fleet, and which of its nodes hold copies of a key: the highest scores of a hash of node and
//! key (rendezvous hashing, Thaler and Ravishankar 1998), in different zones where the list has as many. Nothing else
//! decides that, least of all who is heard just now.

use std::collections::{BTreeMap, BTreeSet};
use std::hash::Hasher;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;

/// Nodes that a list may have.
pub const MAX_MEMBERS: usize = 1000;
/// Copies that a key may have.
pub const MAX_REPLICAS: usize = 9;
/// The longest name of a node or a zone, in bytes.
const MAX_NAME_BYTES: usize = 64;

/// A node, by a digest of its name: the same on every node and in every build.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub u64);

impl NodeId {
    /// The node of this name.
    pub fn of(name: &str) -> NodeId {
        NodeId(digest(1, name.as_bytes()))
    }
}

fn digest(kind: u64, bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(kind, 0);
    hasher.write(bytes);
    hasher.finish()
}

/// Spreads the bits of a number over all of it (the finalizer of splitmix64, Steele and others 2014).
fn spread(mut x: u64) -> u64 {
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A node as the list names it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where its peers reach it, as this node sees it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
}

/// A list as it is written and sent, not checked yet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MembershipSpec {
    /// Its number.
    pub number: u64,
    /// Copies of each key.
    pub copies: usize,
    /// The longest time that a key is remembered.
    pub window: Duration,
    /// The nodes.
    pub members: Vec<Member>,
}

/// A list that holds together.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MembershipConfig {
    plain: MembershipSpec,
    ids: Vec<NodeId>,
    zones: Vec<usize>,
    zone_count: usize,
    digest: u64,
}

impl MembershipConfig {
    /// Checks a list.
    ///
    /// # Errors
    ///
    /// One line that names the key at fault.
    pub fn new(plain: MembershipSpec) -> Result<MembershipConfig, String> {
        if plain.number == 0 {
            return Err("list.number: 1 or more".into());
        }
        if !(1..=MAX_MEMBERS).contains(&plain.members.len()) {
            return Err(format!("list.members: 1 to {MAX_MEMBERS} nodes"));
        }
        if !(1..=MAX_REPLICAS).contains(&plain.copies) {
            return Err(format!("list.copies: 1 to {MAX_REPLICAS}"));
        }
        if plain.window.is_zero() || plain.window > Duration::from_secs(86_400) {
            return Err("list.window_ms: above 0 and at most a day".into());
        }
        let mut ids = BTreeSet::new();
        for (i, member) in plain.members.iter().enumerate() {
            let named = |text: &str| !text.is_empty() && text.len() <= MAX_NAME_BYTES;
            if !named(&member.name) || !named(&member.zone) {
                return Err(format!("list.members[{i}]: name and zone need 1 to {MAX_NAME_BYTES} bytes"));
            }
            if !ids.insert(NodeId::of(&member.name)) {
                return Err(format!("list.members[{i}].name: {:?} is there twice", member.name));
            }
        }
        let mut numbers: BTreeMap<&str, usize> = BTreeMap::new();
        let zones = plain.members.iter().map(|member| {
            let next = numbers.len();
            *numbers.entry(&member.zone).or_insert(next)
        });
        let zones: Vec<usize> = zones.collect();
        // Addresses are left out: two nodes may reach a third by different ones.
        let mut text = format!("{} {} {}", plain.number, plain.copies, plain.window.as_millis());
        for member in &plain.members {
            text += &format!("\n{:?} {:?}", member.name, member.zone);
        }
        Ok(MembershipConfig {
            ids: plain.members.iter().map(|member| NodeId::of(&member.name)).collect(),
            zone_count: numbers.len(),
            zones,
            digest: digest(2, text.as_bytes()),
            plain,
        })
    }

    /// Its number.
    pub fn number(&self) -> u64 {
        self.plain.number
    }

    /// The longest time that a key is remembered.
    pub fn window(&self) -> Duration {
        self.plain.window
    }

    /// What it says, as it was written.
    pub fn plain(&self) -> &MembershipSpec {
        &self.plain
    }

    /// What two nodes that share it must agree on: all but the addresses.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The nodes in their order.
    pub fn ids(&self) -> &[NodeId] {
        &self.ids
    }

    /// A node's place in it.
    pub fn place(&self, node: NodeId) -> Option<usize> {
        self.ids.iter().position(|id| *id == node)
    }

    /// A node as it names it.
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.place(node).map(|place| &self.plain.members[place])
    }

    /// Copies that each key has.
    pub fn copies(&self) -> usize {
        self.plain.copies.min(self.ids.len())
    }

    /// So many of a key's copies are a majority.
    pub fn quorum(&self) -> usize {
        self.copies() / 2 + 1
    }

    /// The nodes that hold copies of a key, the first choice first.
    pub fn replicas_of(&self, key: &[u8]) -> Vec<NodeId> {
        let key = spread(digest(3, key));
        let score = |i: usize| (spread(self.ids[i].0 ^ key), i);
        // The best of each zone, and then, where there are fewer zones than copies, the best of the others.
        let mut best: Vec<Option<(u64, usize)>> = vec![None; self.zone_count];
        for (i, zone) in self.zones.iter().enumerate() {
            best[*zone] = best[*zone].max(Some(score(i)));
        }
        let mut chosen: Vec<(u64, usize)> = best.into_iter().flatten().collect();
        chosen.sort_unstable_by(|a, b| b.cmp(a));
        chosen.truncate(self.copies());
        while chosen.len() < self.copies() {
            let others = (0..self.ids.len()).map(score).filter(|other| !chosen.contains(other));
            let Some(next) = others.max() else { break };
            chosen.push(next);
        }
        chosen.into_iter().map(|(_, i)| self.ids[i]).collect()
    }

    /// The most of these nodes that can hold copies of one and the same key.
    pub fn most_copies_among(&self, nodes: &BTreeSet<NodeId>) -> usize {
        let mut by_zone: BTreeMap<usize, usize> = BTreeMap::new();
        for (id, zone) in self.ids.iter().zip(&self.zones) {
            if nodes.contains(id) {
                *by_zone.entry(*zone).or_default() += 1;
            }
        }
        // One copy to a zone, and what is left over to any.
        let left_over = self.copies().saturating_sub(self.zone_count);
        let more: usize = by_zone.values().map(|count| count - 1).sum();
        (by_zone.len() + more.min(left_over)).min(self.copies())
    }

    /// Whether this list may follow another: no key may lose a majority of its copies at once. A node that is reached
    /// elsewhere than before counts as another one under the same name.
    ///
    /// # Errors
    ///
    /// The reason, in one line.
    pub fn may_follow(&self, before: &MembershipConfig) -> Result<(), String> {
        let moved = |member: &&Member| {
            let now = self.member(NodeId::of(&member.name));
            now.is_none_or(|now| now.address != member.address)
        };
        let lost: Vec<&Member> = before.plain.members.iter().filter(moved).collect();
        let ids = lost.iter().map(|member| NodeId::of(&member.name)).collect();
        let most = before.most_copies_among(&ids);
        if most < before.quorum() {
            return Ok(());
        }
        let names: Vec<&str> = lost.iter().map(|member| member.name.as_str()).take(5).collect();
        Err(format!(
            "list.members: without {} ({} in all) some keys lose {most} of their {} copies at once; take them off in \
             steps",
            names.join(", "),
            lost.len(),
            before.copies()
        ))
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;

    /// The node of this number.
    pub(crate) fn id(n: usize) -> NodeId {
        NodeId::of(&format!("n{n}"))
    }

    /// So many milliseconds.
    pub(crate) fn at(millis: u64) -> Duration {
        Duration::from_millis(millis)
    }

    /// n1, n2 and so on, dealt out to so many zones.
    pub(crate) fn plain(number: u64, nodes: &[usize], zones: usize) -> MembershipSpec {
        let members = nodes.iter().map(|n| Member {
            name: format!("n{n}"),
            address: SocketAddr::from(([127, 0, 0, 1], 7000 + *n as u16)),
            zone: format!("z{}", n % zones),
        });
        MembershipSpec { number, copies: 3, window: Duration::from_secs(10), members: members.collect() }
    }

    pub(crate) fn list(number: u64, nodes: &[usize], zones: usize) -> MembershipConfig {
        MembershipConfig::new(plain(number, nodes, zones)).unwrap()
    }

    fn twelve() -> Vec<usize> {
        (1..=12).collect()
    }

    #[test]
    fn copies_lie_in_different_zones_and_are_spread_evenly() {
        let list = list(1, &twelve(), 3);
        let mut counts: BTreeMap<NodeId, usize> = BTreeMap::new();
        for n in 0..3000_u32 {
            let replicas_of = list.replicas_of(&n.to_be_bytes());
            let zones: BTreeSet<&str> =
                replicas_of.iter().map(|id| list.member(*id).unwrap().zone.as_str()).collect();
            assert_eq!((replicas_of.len(), zones.len()), (3, 3));
            replicas_of.into_iter().for_each(|id| *counts.entry(id).or_default() += 1);
        }
        assert!(counts.values().all(|count| (600..900).contains(count)), "{counts:?}");
    }

    #[test]
    fn fewer_zones_than_copies_are_all_used_and_fewer_nodes_as_well() {
        let two = list(1, &twelve(), 2);
        for n in 0..100_u32 {
            let replicas_of = two.replicas_of(&n.to_be_bytes());
            let zones: BTreeSet<&str> =
                replicas_of.iter().map(|id| two.member(*id).unwrap().zone.as_str()).collect();
            assert_eq!((replicas_of.len(), zones.len()), (3, 2));
        }
        let small = list(1, &[1, 2], 1);
        assert_eq!((small.replicas_of(b"k").len(), small.quorum()), (2, 2));
    }

    #[test]
    fn one_more_node_moves_few_copies() {
        let (before, after) = (list(1, &twelve(), 1), list(2, &(1..=13).collect::<Vec<_>>(), 1));
        let moved = |n: &u32| before.replicas_of(&n.to_be_bytes()) != after.replicas_of(&n.to_be_bytes());
        let moved = (0..1300_u32).filter(moved).count();
        assert!((200..400).contains(&moved), "three in thirteen: {moved}");
    }

    #[test]
    fn a_list_that_takes_a_majority_of_some_keys_copies_is_turned_down() {
        let before = list(1, &twelve(), 3);
        let without = |gone: &[usize]| {
            let left: Vec<usize> = twelve().into_iter().filter(|n| !gone.contains(n)).collect();
            list(2, &left, 3).may_follow(&before)
        };
        assert!(without(&[4]).is_ok());
        assert!(without(&[1, 4, 7, 10]).is_ok(), "a whole zone has one copy of each key at the most");
        let turned = without(&[1, 2]).unwrap_err();
        assert!(turned.contains("n1, n2 (2 in all)") && turned.contains("2 of their 3 copies"), "{turned}");
        let mut moved = plain(2, &twelve(), 3);
        moved.members[0].address.set_port(1);
        assert!(MembershipConfig::new(moved.clone()).unwrap().may_follow(&before).is_ok());
        moved.members[1].address.set_port(1);
        assert!(
            MembershipConfig::new(moved).unwrap().may_follow(&before).is_err(),
            "two other nodes under old names"
        );
    }

    #[test]
    fn the_bound_on_copies_among_nodes_holds_for_every_key() {
        for zones in 1..=4 {
            let list = list(1, &twelve(), zones);
            for gone in [&[1, 2][..], &[1, 5, 9], &[2, 3, 4, 8, 12]] {
                let ids: BTreeSet<NodeId> = gone.iter().map(|n| NodeId::of(&format!("n{n}"))).collect();
                let among =
                    |n: u32| list.replicas_of(&n.to_be_bytes()).iter().filter(|id| ids.contains(id)).count();
                let most = (0..20_000).map(among).max().unwrap();
                assert_eq!(most, list.most_copies_among(&ids), "{zones} zones, {gone:?}");
            }
        }
    }

    #[test]
    fn lists_that_do_not_hold_together_are_turned_down_with_the_key() {
        let wrong = |change: fn(&mut MembershipSpec)| {
            let mut plain = plain(1, &[1, 2, 3], 1);
            change(&mut plain);
            MembershipConfig::new(plain).unwrap_err()
        };
        assert!(wrong(|plain| plain.number = 0).starts_with("list.number"));
        assert!(wrong(|plain| plain.copies = 0).starts_with("list.copies"));
        assert!(wrong(|plain| plain.members.clear()).starts_with("list.members"));
        assert!(wrong(|plain| plain.window = Duration::ZERO).starts_with("list.window_ms"));
        assert!(wrong(|plain| plain.members[2].name = "n1".into()).starts_with("list.members[2].name"));
        assert!(wrong(|plain| plain.members[0].zone.clear()).starts_with("list.members[0]"));
    }

    #[test]
    fn addresses_are_no_part_of_what_nodes_must_agree_on_and_zones_are() {
        let mut plain = plain(1, &[1, 2, 3], 1);
        let digest = list(1, &[1, 2, 3], 1).digest();
        plain.members[0].address.set_port(1);
        assert_eq!(MembershipConfig::new(plain.clone()).unwrap().digest(), digest);
        plain.members[0].zone = "other".into();
        assert_ne!(MembershipConfig::new(plain).unwrap().digest(), digest);
    }
}
