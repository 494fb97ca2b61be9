//! A membership configuration: the versioned list of a fleet's members, and the placement of replicas.
//!
//! Replicas are placed by rendezvous hashing (Thaler and Ravishankar 1998): the score of a member for a key
//! is a hash of both, and the members with the highest scores hold the replicas, in different zones if there
//! are enough zones. Placement depends only on the configuration and not on which members are reachable, so
//! that two sides of a network partition can't choose different replicas.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::digest::{digest, mix, DigestKind};
use crate::ids::{ConfigVersion, NodeId};

/// Maximum number of members in a configuration.
pub const MAX_MEMBERS: usize = 1000;
/// Maximum number of replicas of a key.
pub const MAX_REPLICAS: usize = 9;
/// Maximum length of the name of a member or a zone in bytes.
const MAX_NAME_BYTES: usize = 64;
/// Maximum idempotency window.
const MAX_WINDOW: Duration = Duration::from_secs(24 * 60 * 60);
/// Maximum number of members that an error names.
const MAX_NAMES_IN_ERROR: usize = 5;

/// The reason why a configuration is invalid or can't follow the previous one. The text names the key in the
/// operators' file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ConfigError {
    /// The version is 0.
    #[error("list.number: must be at least 1, but is 0")]
    VersionZero,
    /// The number of members is out of range.
    #[error("list.members: must have 1 to {MAX_MEMBERS} members, but has {count}")]
    MemberCount {
        /// Number of members in the configuration.
        count: usize,
    },
    /// The number of replicas is out of range.
    #[error("list.copies: must be 1 to {MAX_REPLICAS}, but is {count}")]
    ReplicaCount {
        /// Number of replicas in the configuration.
        count: usize,
    },
    /// The idempotency window is zero or too long.
    #[error("list.window_ms: must be above 0 and at most one day, but is {window:?}")]
    Window {
        /// The idempotency window in the configuration.
        window: Duration,
    },
    /// The name or the zone of a member is empty or too long.
    #[error("list.members[{index}]: name and zone must each have 1 to {MAX_NAME_BYTES} bytes")]
    Name {
        /// Index of the member, from 0.
        index: usize,
    },
    /// Two members have the same name.
    #[error("list.members[{index}].name: {name:?} is also the name of an earlier member")]
    DuplicateName {
        /// Index of the second member with the name.
        index: usize,
        /// The duplicate name.
        name: String,
    },
    /// The change removes or moves so many members that some keys would lose a quorum of their replicas.
    #[error(
        "list.members: without {names} ({count} in all) some keys lose {lost} of their {replicas} replicas \
         at once; remove or move these members in steps"
    )]
    QuorumLost {
        /// Names of the first members (at most `MAX_NAMES_IN_ERROR`) that are removed or get another address.
        names: String,
        /// Number of members that are removed or get another address.
        count: usize,
        /// Maximum number of replicas that one key loses.
        lost: usize,
        /// Number of replicas that each key has.
        replicas: usize,
    },
}

/// A member as a configuration describes it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Member {
    /// Name of the node, unique in the configuration; the node's id is derived from it.
    pub name: String,
    /// Address at which this node reaches the member; other nodes may use another address.
    pub address: SocketAddr,
    /// Failure domain; the replicas of a key are placed in different zones if there are enough.
    pub zone: String,
}

/// The content of a configuration, not validated yet, from the operators' file or from a peer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MembershipSpec {
    /// Version, at least 1.
    pub version: ConfigVersion,
    /// Number of replicas of each key, from 1 to [`MAX_REPLICAS`].
    pub replicas: usize,
    /// Idempotency window: how long a key is retained; at most one day.
    pub window: Duration,
    /// The members, at most [`MAX_MEMBERS`].
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

    /// Returns the digest of everything but the addresses, because two nodes may reach a third one at
    /// different addresses.
    fn digest(&self) -> u64 {
        let mut text = format!("{} {} {}", self.version, self.replicas, self.window.as_millis());
        for member in &self.members {
            text += &format!("\n{:?} {:?}", member.name, member.zone);
        }
        digest(DigestKind::MembershipConfig, text.as_bytes())
    }
}

/// A member that may hold a replica of a key. Candidates are ordered by their score.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Candidate {
    score: u64,
    index: usize,
}

/// A validated membership configuration.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct MembershipConfig {
    spec: MembershipSpec,
    ids: Vec<NodeId>,
    /// Number of each member's zone, by the member's index.
    zones: Vec<usize>,
    zone_count: usize,
    digest: u64,
}

impl MembershipConfig {
    /// Validates a configuration.
    ///
    /// # Errors
    ///
    /// Returns the first error that is found.
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

    /// Returns the idempotency window, for which a key is retained.
    pub fn window(&self) -> Duration {
        self.spec.window
    }

    /// Returns the content from which the configuration was created.
    pub fn spec(&self) -> &MembershipSpec {
        &self.spec
    }

    /// Returns the digest of everything that nodes must agree on, which excludes the addresses.
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

    /// Returns the number of replicas of each key: the configured number, or that of the members if lower.
    pub fn replica_count(&self) -> usize {
        self.spec.replicas.min(self.ids.len())
    }

    /// Returns the number of a key's replicas that form a quorum: a majority.
    pub fn quorum(&self) -> usize {
        self.replica_count() / 2 + 1
    }

    /// Returns the members that hold the replicas of a key: the best member of each zone and then, if there
    /// are fewer zones than replicas, other members, each in descending order of their scores.
    pub fn replicas_of(&self, key: &[u8]) -> Vec<NodeId> {
        let key = mix(digest(DigestKind::Key, key));
        let candidate = |index: usize| Candidate { score: mix(self.ids[index].0 ^ key), index };
        // Choose the best member of each zone and then, if there are fewer zones than replicas, the best of
        // the other members.
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

    /// Returns the maximum number of replicas of one key that these nodes can hold together.
    pub fn max_replicas_among(&self, nodes: &BTreeSet<NodeId>) -> usize {
        let mut by_zone: BTreeMap<usize, usize> = BTreeMap::new();
        for (id, zone) in self.ids.iter().zip(&self.zones) {
            if nodes.contains(id) {
                *by_zone.entry(*zone).or_default() += 1;
            }
        }
        // Each zone holds one replica; the replicas in excess of the number of zones may be in any zone.
        let beyond_zones = self.replica_count().saturating_sub(self.zone_count);
        let second_in_zone: usize = by_zone.values().map(|count| count - 1).sum();
        (by_zone.len() + second_in_zone.min(beyond_zones)).min(self.replica_count())
    }

    /// Checks that this configuration can follow another one: no key may lose a quorum of its replicas in one
    /// change. A member with a new address counts as replaced, because it may be another node with the same
    /// name.
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
