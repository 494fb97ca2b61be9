//! The membership configurations that are active at the same time (joint configurations, as in Raft).
//!
//! A claim needs a quorum in each of them. The oldest one retires one idempotency window after so many of
//! its members have adopted the next that no key can have a quorum of its replicas among the others.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use thiserror::Error;

use crate::ids::{ConfigVersion, NodeId};
use crate::membership::config::{ConfigError, MembershipConfig};
use crate::message::ConfigSignature;
use crate::{Time, LATE_READ_GRACE};

/// The most configurations that may be active at once; a further one waits until the oldest is retired.
pub const MAX_ACTIVE_CONFIGS: usize = 4;

/// What became of a configuration that operators proposed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Proposal {
    /// It is active now.
    Adopted,
    /// It was the newest one already.
    Unchanged,
}

/// Why a proposed configuration was not adopted. The text names the key in the operators' file.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum ProposalError {
    /// A newer configuration is active.
    #[error("list.number: {proposed} is lower than {newest}, which is active")]
    Outdated {
        /// The proposed version.
        proposed: ConfigVersion,
        /// The newest version.
        newest: ConfigVersion,
    },
    /// Another configuration of the same version is active.
    #[error("list.number: {version} is the version of the active configuration, which differs")]
    VersionReused {
        /// The version of both.
        version: ConfigVersion,
    },
    /// Too many configurations are active.
    #[error("list.number: {MAX_ACTIVE_CONFIGS} configurations are active; wait until {oldest} is retired")]
    TooManyActive {
        /// The oldest version.
        oldest: ConfigVersion,
    },
    /// It can't follow the newest configuration.
    #[error(transparent)]
    Invalid(#[from] ConfigError),
}

/// The active configurations, and who has adopted which.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ActiveConfigs {
    this_node: NodeId,
    /// In ascending order of version; never empty.
    active: Vec<Arc<MembershipConfig>>,
    /// The highest version that each node has announced.
    adopted: BTreeMap<NodeId, ConfigVersion>,
    /// When the oldest retires, once enough of its members have adopted the next.
    retires_at: Option<Time>,
    retired_through: ConfigVersion,
    /// Configurations that came from a peer: their addresses are as that peer sees them.
    from_peers: BTreeSet<ConfigVersion>,
}

impl ActiveConfigs {
    /// Creates the configurations of a node that knows one.
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

    /// Iterates over the active configurations, the oldest first.
    pub fn iter(&self) -> std::slice::Iter<'_, Arc<MembershipConfig>> {
        self.active.iter()
    }

    /// Returns the number of active configurations.
    pub fn count(&self) -> usize {
        self.active.len()
    }

    /// Returns the active configuration of this version.
    pub fn get(&self, version: ConfigVersion) -> Option<&Arc<MembershipConfig>> {
        self.active.iter().find(|config| config.version() == version)
    }

    /// Returns the versions of the active configurations, the oldest first.
    pub fn versions(&self) -> Vec<ConfigVersion> {
        self.active.iter().map(|config| config.version()).collect()
    }

    /// Returns the signatures of the active configurations, the oldest first.
    pub fn signatures(&self) -> Vec<ConfigSignature> {
        let signature = |config: &Arc<MembershipConfig>| ConfigSignature {
            version: config.version(),
            digest: config.digest(),
        };
        self.active.iter().map(signature).collect()
    }

    /// Returns every member of any active configuration.
    pub fn all_members(&self) -> BTreeSet<NodeId> {
        self.active.iter().flat_map(|config| config.ids().iter().copied()).collect()
    }

    /// Returns the longest idempotency window of the active configurations.
    pub fn longest_window(&self) -> Time {
        self.active.iter().map(|config| config.window()).max().unwrap_or_default()
    }

    /// Whether an active configuration has the same version as this one and another content.
    pub fn conflicts_with(&self, other: ConfigSignature) -> bool {
        self.get(other.version).is_some_and(|config| config.digest() != other.digest)
    }

    /// Returns the version up to which configurations are retired.
    pub fn retired_through(&self) -> ConfigVersion {
        self.retired_through
    }

    /// Retires all configurations up to a version, as another node has: once true, that stays true. Returns
    /// whether any was active.
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

    /// Whether a configuration of this version is unknown and not retired.
    pub fn is_missing(&self, version: ConfigVersion) -> bool {
        version > self.retired_through && self.get(version).is_none()
    }

    /// Adopts a configuration of the operators.
    ///
    /// # Errors
    ///
    /// Returns why it can't be adopted.
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

    /// Takes a configuration of the version that is the newest already.
    fn propose_same_version(&mut self, config: Arc<MembershipConfig>) -> Result<Proposal, ProposalError> {
        let version = config.version();
        let last = self.active.len() - 1;
        let known = &mut self.active[last];
        if *known == config {
            return Ok(Proposal::Unchanged);
        }
        // If it came from a peer before, its addresses were as that peer sees them.
        if known.digest() == config.digest() && self.from_peers.remove(&version) {
            *known = config;
            return Ok(Proposal::Adopted);
        }
        Err(ProposalError::VersionReused { version })
    }

    /// Activates a configuration that a peer has: claims need a quorum in it too from now on. Returns
    /// whether it is new.
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

    /// Records that a node has adopted configurations up to this version.
    pub fn record_adopted(&mut self, node: NodeId, newest: ConfigVersion) {
        let adopted = self.adopted.entry(node).or_default();
        *adopted = newest.max(*adopted);
    }

    /// Returns the members of the oldest configuration that are not known to have adopted the next.
    fn lagging_members(&self) -> BTreeSet<NodeId> {
        let Some(next) = self.active.get(1) else { return BTreeSet::new() };
        let has_adopted = |node: &NodeId| {
            *node == self.this_node
                || self.adopted.get(node).is_some_and(|version| *version >= next.version())
        };
        self.active[0].ids().iter().copied().filter(|node| !has_adopted(node)).collect()
    }

    /// Advances the time. Returns the version of the configuration that is retired, if one is.
    pub fn tick(&mut self, now: Time) -> Option<ConfigVersion> {
        let oldest = self.active[0].clone();
        if self.active.len() < 2 || oldest.max_replicas_among(&self.lagging_members()) >= oldest.quorum() {
            self.retires_at = None;
            return None;
        }
        // Until then a key may be retained that only replicas of this configuration know.
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
