//! A membership configuration: the versioned list of a fleet's members, and which of them hold replicas of
//! a key.
//!
//! Replicas are placed by rendezvous hashing (Thaler and Ravishankar 1998): the members with the highest
//! scores of a hash of member and key, in different zones where there are enough. Placement depends on the
//! configuration alone and never on who is reachable, so that two halves of a partitioned fleet can't
//! choose different replicas.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::digest::{digest, mix, DigestKind};
use crate::ids::{ConfigVersion, NodeId};

/// The most members that a configuration may have.
pub const MAX_MEMBERS: usize = 1000;
/// The most replicas that a key may have.
pub const MAX_REPLICAS: usize = 9;
/// The longest name of a member or a zone, in bytes.
const MAX_NAME_BYTES: usize = 64;
/// The longest idempotency window.
const MAX_WINDOW: Duration = Duration::from_secs(24 * 60 * 60);
/// An error names at most this many members.
const MAX_NAMES_IN_ERROR: usize = 5;

/// Why a configuration is invalid, or can't follow the previous one. The text names the key in the
/// operators' file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The version is 0.
    #[error("list.number: 1 or more")]
    VersionZero,
    /// There are no members, or too many.
    #[error("list.members: 1 to {MAX_MEMBERS} nodes, not {count}")]
    MemberCount {
        /// The number of members.
        count: usize,
    },
    /// The number of replicas is out of range.
    #[error("list.copies: 1 to {MAX_REPLICAS}, not {count}")]
    ReplicaCount {
        /// The number of replicas.
        count: usize,
    },
    /// The idempotency window is zero or too long.
    #[error("list.window_ms: above 0 and at most a day, not {window:?}")]
    Window {
        /// The window.
        window: Duration,
    },
    /// The name or the zone of a member is empty or too long.
    #[error("list.members[{index}]: name and zone need 1 to {MAX_NAME_BYTES} bytes")]
    Name {
        /// The member's index.
        index: usize,
    },
    /// Two members have the same name.
    #[error("list.members[{index}].name: {name:?} is there twice")]
    DuplicateName {
        /// The index of the second one.
        index: usize,
        /// The name.
        name: String,
    },
    /// Some keys would lose a quorum of their replicas at once.
    #[error(
        "list.members: without {names} ({count} in all) some keys lose {lost} of their {replicas} replicas at once; \
         remove them in steps"
    )]
    QuorumLost {
        /// The first members that are removed or moved to another address.
        names: String,
        /// The number of members that are removed or moved.
        count: usize,
        /// The most replicas that one key loses.
        lost: usize,
        /// The replicas that a key has.
        replicas: usize,
    },
}

/// A member of the fleet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where its peers reach it, as this node sees it.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
}

/// The content of a configuration as operators write it and peers send it, not validated yet.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MembershipSpec {
    /// The version.
    pub version: ConfigVersion,
    /// The replicas of each key.
    pub replicas: usize,
    /// The idempotency window: the longest time that a key is retained.
    pub window: Duration,
    /// The members.
    pub members: Vec<Member>,
}

impl MembershipSpec {
    fn validate(&self) -> Result<(), ConfigError> {
        if self.version == ConfigVersion(0) {
            return Err(ConfigError::VersionZero);
        }
        if !(1..=MAX_MEMBERS).contains(&self.members.len()) {
            return Err(ConfigError::MemberCount { count: self.members.len() });
        }
        if !(1..=MAX_REPLICAS).contains(&self.replicas) {
            return Err(ConfigError::ReplicaCount { count: self.replicas });
        }
        if self.window.is_zero() || self.window > MAX_WINDOW {
            return Err(ConfigError::Window { window: self.window });
        }
        self.validate_names()
    }

    fn validate_names(&self) -> Result<(), ConfigError> {
        let is_valid = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        let mut ids = BTreeSet::new();
        for (index, member) in self.members.iter().enumerate() {
            if !is_valid(&member.name) || !is_valid(&member.zone) {
                return Err(ConfigError::Name { index });
            }
            if !ids.insert(NodeId::of(&member.name)) {
                return Err(ConfigError::DuplicateName { index, name: member.name.clone() });
            }
        }
        Ok(())
    }

    /// Addresses are left out: two nodes may reach a third one by different addresses.
    fn digest(&self) -> u64 {
        let mut text = format!("{} {} {}", self.version, self.replicas, self.window.as_millis());
        for member in &self.members {
            text += &format!("\n{:?} {:?}", member.name, member.zone);
        }
        digest(DigestKind::MembershipConfig, text.as_bytes())
    }
}

/// A member that may hold a replica of a key; the highest score comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    score: u64,
    index: usize,
}

/// A valid membership configuration.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MembershipConfig {
    spec: MembershipSpec,
    ids: Vec<NodeId>,
    /// The number of each member's zone, by the member's index.
    zones: Vec<usize>,
    zone_count: usize,
    digest: u64,
}

impl MembershipConfig {
    /// Validates a configuration.
    ///
    /// # Errors
    ///
    /// Returns the first fault that is found.
    pub fn new(spec: MembershipSpec) -> Result<MembershipConfig, ConfigError> {
        spec.validate()?;
        let mut zone_numbers: BTreeMap<&str, usize> = BTreeMap::new();
        let mut zones = Vec::with_capacity(spec.members.len());
        for member in &spec.members {
            let next = zone_numbers.len();
            zones.push(*zone_numbers.entry(&member.zone).or_insert(next));
        }
        Ok(MembershipConfig {
            ids: spec.members.iter().map(|member| NodeId::of(&member.name)).collect(),
            zone_count: zone_numbers.len(),
            zones,
            digest: spec.digest(),
            spec,
        })
    }

    /// Returns the version.
    pub fn version(&self) -> ConfigVersion {
        self.spec.version
    }

    /// Returns the idempotency window: the longest time that a key is retained.
    pub fn window(&self) -> Duration {
        self.spec.window
    }

    /// Returns the content from which the configuration was made.
    pub fn spec(&self) -> &MembershipSpec {
        &self.spec
    }

    /// Returns the digest of everything that nodes must agree on: all but the addresses.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns the members' ids in the order of the configuration.
    pub fn ids(&self) -> &[NodeId] {
        &self.ids
    }

    /// Returns a member's index in the configuration.
    pub fn index_of(&self, node: NodeId) -> Option<usize> {
        self.ids.iter().position(|id| *id == node)
    }

    /// Returns the member with this id.
    pub fn member(&self, node: NodeId) -> Option<&Member> {
        self.index_of(node).map(|index| &self.spec.members[index])
    }

    /// Returns the number of replicas that each key has.
    pub fn replica_count(&self) -> usize {
        self.spec.replicas.min(self.ids.len())
    }

    /// Returns the number of a key's replicas that make a quorum: a majority.
    pub fn quorum(&self) -> usize {
        self.replica_count() / 2 + 1
    }

    /// Returns the members that hold replicas of a key, the highest score first.
    pub fn replicas_of(&self, key: &[u8]) -> Vec<NodeId> {
        let key = mix(digest(DigestKind::Key, key));
        let candidate = |index: usize| Candidate { score: mix(self.ids[index].0 ^ key), index };
        // The best member of each zone, and then, if there are fewer zones than replicas, the best of the
        // others.
        let mut best_by_zone: Vec<Option<Candidate>> = vec![None; self.zone_count];
        for (index, zone) in self.zones.iter().enumerate() {
            best_by_zone[*zone] = best_by_zone[*zone].max(Some(candidate(index)));
        }
        let mut chosen: Vec<Candidate> = best_by_zone.into_iter().flatten().collect();
        chosen.sort_unstable_by_key(|candidate| Reverse(*candidate));
        chosen.truncate(self.replica_count());
        while chosen.len() < self.replica_count() {
            let others = (0..self.ids.len()).map(candidate).filter(|other| !chosen.contains(other));
            let Some(next) = others.max() else { break };
            chosen.push(next);
        }
        chosen.into_iter().map(|candidate| self.ids[candidate.index]).collect()
    }

    /// Returns the most replicas of one key that these nodes can hold together.
    pub fn max_replicas_among(&self, nodes: &BTreeSet<NodeId>) -> usize {
        let mut by_zone: BTreeMap<usize, usize> = BTreeMap::new();
        for (id, zone) in self.ids.iter().zip(&self.zones) {
            if nodes.contains(id) {
                *by_zone.entry(*zone).or_default() += 1;
            }
        }
        // One replica in each zone; those for which there are not enough zones may be anywhere.
        let beyond_zones = self.replica_count().saturating_sub(self.zone_count);
        let second_in_zone: usize = by_zone.values().map(|count| count - 1).sum();
        (by_zone.len() + second_in_zone.min(beyond_zones)).min(self.replica_count())
    }

    /// Checks that this configuration can follow another one: no key may lose a quorum of its replicas at
    /// once. A member with a new address counts as another node under the same name.
    ///
    /// # Errors
    ///
    /// Returns [`ConfigError::QuorumLost`] if some key would lose a quorum.
    pub fn check_follows(&self, previous: &MembershipConfig) -> Result<(), ConfigError> {
        let is_replaced = |member: &&Member| {
            let now = self.member(NodeId::of(&member.name));
            now.is_none_or(|now| now.address != member.address)
        };
        let replaced: Vec<&Member> = previous.spec.members.iter().filter(is_replaced).collect();
        let ids = replaced.iter().map(|member| NodeId::of(&member.name)).collect();
        let lost = previous.max_replicas_among(&ids);
        if lost < previous.quorum() {
            return Ok(());
        }
        let names: Vec<&str> =
            replaced.iter().map(|member| member.name.as_str()).take(MAX_NAMES_IN_ERROR).collect();
        Err(ConfigError::QuorumLost {
            names: names.join(", "),
            count: replaced.len(),
            lost,
            replicas: previous.replica_count(),
        })
    }
}

#[cfg(test)]
mod tests;
