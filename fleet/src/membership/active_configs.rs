//! The membership configurations that are active at the same time (joint configurations, as in Raft).
//!
//! A claim needs a quorum in each active configuration. Members adopt the next configuration one by one. Once
//! the members that have not adopted it are too few to hold a quorum of the replicas of any key, the oldest
//! configuration is retired after one more idempotency window.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use thiserror::Error;

use crate::ids::{ConfigVersion, NodeId};
use crate::membership::config::{ConfigError, MembershipConfig};
use crate::message::ConfigSignature;
use crate::{Time, LATE_READ_GRACE};

/// Maximum number of active configurations. A further one can be adopted only after the oldest is retired.
pub const MAX_ACTIVE_CONFIGS: usize = 4;

/// The outcome of a valid proposal of a configuration by the operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proposal {
    /// The configuration is active now.
    Adopted,
    /// The configuration was already the newest active one.
    Unchanged,
}

/// The reason why a proposed configuration was not adopted. The text names the key in the operators' file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ProposalError {
    /// A newer configuration is active.
    #[error(
        "list.number: {proposed} is lower than {newest}, the version of the newest active configuration"
    )]
    Outdated {
        /// Version of the proposed configuration.
        proposed: ConfigVersion,
        /// Version of the newest active configuration.
        newest: ConfigVersion,
    },
    /// A different configuration with the same version is active.
    #[error(
        "list.number: {version} is the version of the active configuration, whose content differs; \
         raise the number with each change"
    )]
    VersionReused {
        /// Version of both configurations.
        version: ConfigVersion,
    },
    /// [`MAX_ACTIVE_CONFIGS`] configurations are active.
    #[error(
        "list.number: {MAX_ACTIVE_CONFIGS} configurations are active, the maximum; \
         wait until {oldest} is retired"
    )]
    TooManyActive {
        /// Version of the oldest active configuration.
        oldest: ConfigVersion,
    },
    /// The configuration can't follow the newest active one.
    #[error(transparent)]
    Invalid(#[from] ConfigError),
}

/// The active configurations and the versions that nodes have adopted.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ActiveConfigs {
    this_node: NodeId,
    /// Ordered by ascending version; never empty.
    active: Vec<Arc<MembershipConfig>>,
    /// The highest version that each node has announced.
    adopted: BTreeMap<NodeId, ConfigVersion>,
    /// When the oldest configuration is retired; set once enough of its members have adopted the next one.
    retires_at: Option<Time>,
    retired_through: ConfigVersion,
    /// Versions of configurations that were received from a peer, whose addresses may be valid only from that
    /// peer.
    from_peers: BTreeSet<ConfigVersion>,
}

impl ActiveConfigs {
    /// Creates the state of a node for which this configuration is the only active one.
    pub fn new(this_node: NodeId, config: Arc<MembershipConfig>) -> ActiveConfigs {
        ActiveConfigs {
            this_node,
            active: vec![config],
            adopted: BTreeMap::new(),
            retires_at: None,
            retired_through: ConfigVersion::default(),
            from_peers: BTreeSet::new(),
        }
    }

    /// Returns the newest configuration.
    pub fn newest(&self) -> &Arc<MembershipConfig> {
        &self.active[self.active.len() - 1]
    }

    /// Iterates over the active configurations from the oldest to the newest.
    pub fn iter(&self) -> std::slice::Iter<'_, Arc<MembershipConfig>> {
        self.active.iter()
    }

    /// Returns the number of active configurations.
    pub fn count(&self) -> usize {
        self.active.len()
    }

    /// Returns the active configuration with this version.
    pub fn get(&self, version: ConfigVersion) -> Option<&Arc<MembershipConfig>> {
        self.active.iter().find(|config| config.version() == version)
    }

    /// Returns the versions of the active configurations in ascending order.
    pub fn versions(&self) -> Vec<ConfigVersion> {
        self.active.iter().map(|config| config.version()).collect()
    }

    /// Returns the signatures of the active configurations in ascending order of version.
    pub fn signatures(&self) -> Vec<ConfigSignature> {
        let signature = |config: &Arc<MembershipConfig>| ConfigSignature {
            version: config.version(),
            digest: config.digest(),
        };
        self.active.iter().map(signature).collect()
    }

    /// Returns the members of all active configurations.
    pub fn all_members(&self) -> BTreeSet<NodeId> {
        self.active.iter().flat_map(|config| config.ids().iter().copied()).collect()
    }

    /// Returns the longest idempotency window of the active configurations.
    pub fn longest_window(&self) -> Time {
        self.active.iter().map(|config| config.window()).max().unwrap_or_default()
    }

    /// Whether an active configuration has the version of this signature but different content.
    pub fn conflicts_with(&self, other: ConfigSignature) -> bool {
        self.get(other.version).is_some_and(|config| config.digest() != other.digest)
    }

    /// Returns the highest version up to which all configurations are retired; 0 if none is.
    pub fn retired_through(&self) -> ConfigVersion {
        self.retired_through
    }

    /// Retires all configurations up to a version that another node has retired, except the newest. A
    /// retirement is final, so this node need not check its conditions again. Returns whether any
    /// configuration was active.
    pub fn retire_through(&mut self, version: ConfigVersion) -> bool {
        let before = self.active.len();
        let newest = self.newest().version();
        self.active.retain(|config| config.version() > version || config.version() == newest);
        let changed = self.active.len() != before;
        if changed {
            self.retires_at = None;
        }
        let below_newest = ConfigVersion(newest.0 - 1);
        self.retired_through = self.retired_through.max(version.min(below_newest));
        changed
    }

    /// Whether the configuration with this version is neither active nor retired.
    pub fn is_missing(&self, version: ConfigVersion) -> bool {
        version > self.retired_through && self.get(version).is_none()
    }

    /// Adopts a configuration that the operators propose.
    ///
    /// # Errors
    ///
    /// Returns the reason if the configuration can't be adopted.
    pub fn propose(&mut self, config: Arc<MembershipConfig>) -> Result<Proposal, ProposalError> {
        let version = config.version();
        let newest = self.newest().version();
        if version < newest {
            return Err(ProposalError::Outdated { proposed: version, newest });
        }
        if version == newest {
            return self.propose_same_version(config);
        }
        if self.active.len() >= MAX_ACTIVE_CONFIGS {
            return Err(ProposalError::TooManyActive { oldest: self.active[0].version() });
        }
        config.check_follows(self.newest())?;
        self.active.push(config);
        Ok(Proposal::Adopted)
    }

    /// Handles a proposed configuration that has the version of the newest active one.
    fn propose_same_version(&mut self, config: Arc<MembershipConfig>) -> Result<Proposal, ProposalError> {
        let version = config.version();
        let last = self.active.len() - 1;
        let known = &mut self.active[last];
        if *known == config {
            return Ok(Proposal::Unchanged);
        }
        // The known one was received from a peer; the proposed one has the addresses as seen from this node.
        if known.digest() == config.digest() && self.from_peers.remove(&version) {
            *known = config;
            return Ok(Proposal::Adopted);
        }
        Err(ProposalError::VersionReused { version })
    }

    /// Activates a configuration that was received from a peer, so that claims need a quorum in it too.
    /// Returns `false`, without a change, if the configuration is active or retired or the maximum number of
    /// configurations is active.
    pub fn add_from_peer(&mut self, config: Arc<MembershipConfig>) -> bool {
        if !self.is_missing(config.version()) || self.active.len() >= MAX_ACTIVE_CONFIGS {
            return false;
        }
        self.from_peers.insert(config.version());
        let index = self.active.partition_point(|known| known.version() < config.version());
        self.active.insert(index, config);
        self.retires_at = None;
        true
    }

    /// Records the newest version that a node has announced.
    pub fn record_adopted(&mut self, node: NodeId, newest: ConfigVersion) {
        let adopted = self.adopted.entry(node).or_default();
        *adopted = newest.max(*adopted);
    }

    /// Returns the members of the oldest configuration that are not known to have adopted the next one.
    fn lagging_members(&self) -> BTreeSet<NodeId> {
        let Some(next) = self.active.get(1) else { return BTreeSet::new() };
        let has_adopted = |node: &NodeId| {
            *node == self.this_node
                || self.adopted.get(node).is_some_and(|version| *version >= next.version())
        };
        self.active[0].ids().iter().copied().filter(|node| !has_adopted(node)).collect()
    }

    /// Advances the time. Returns the version of the oldest configuration if it is retired now.
    pub fn tick(&mut self, now: Time) -> Option<ConfigVersion> {
        let oldest = self.active[0].clone();
        if self.active.len() < 2 || oldest.max_replicas_among(&self.lagging_members()) >= oldest.quorum() {
            self.retires_at = None;
            return None;
        }
        // Until then, keys that only replicas of the oldest configuration know may still be retained.
        let retires_at = *self.retires_at.get_or_insert(now + oldest.window() + LATE_READ_GRACE);
        if now < retires_at {
            return None;
        }
        self.active.remove(0);
        self.retired_through = oldest.version();
        self.retires_at = None;
        let members = self.all_members();
        self.adopted.retain(|node, _| members.contains(node));
        Some(oldest.version())
    }
}

impl<'a> IntoIterator for &'a ActiveConfigs {
    type Item = &'a Arc<MembershipConfig>;
    type IntoIter = std::slice::Iter<'a, Arc<MembershipConfig>>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

#[cfg(test)]
mod tests;
