//! The operators' file that makes a node a member of a fleet whose nodes replicate idempotency keys.

use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use oakwind_fleet::ids::{ConfigVersion, NodeId};
use oakwind_fleet::membership::config::{Member, MembershipConfig, MembershipSpec};
use serde::Deserialize;

use super::error::ConfigError;
use super::node::NodeConfig;
use super::parse::{check_absolute, check_range, parse_address, OperatorsFile, MEBIBYTE};
use super::result_store::{default_file_mb, ResultStoreConfig, DEFAULT_BATCH, FILE_MB_RANGE};

const MEMORY_MB_RANGE: RangeInclusive<u64> = 1..=65_536;
const DEFAULT_MEMORY_MB: u64 = 64;
const LINKS_RANGE: RangeInclusive<u64> = 4..=65_536;
const DEFAULT_LINKS: usize = 128;
const KB_PER_S_RANGE: RangeInclusive<u64> = 64..=10_000_000;
const DEFAULT_KB_PER_S: u64 = 16_000;
/// Bytes in a kilobyte, the unit of `kb_per_s`.
const KILOBYTE: u64 = 1000;
const PROBE_MS_RANGE: RangeInclusive<u64> = 50..=60_000;
const DEFAULT_PROBE_MS: u64 = 500;
const DEFAULT_REPLICAS: usize = 3;
/// The zone of members that name none.
const DEFAULT_ZONE: &str = "here";

/// The settings of a node as a member of its fleet.
#[derive(Debug, Clone)]
pub(crate) struct FleetConfig {
    /// This node's name in the membership configuration.
    pub(crate) name: String,
    /// The address that peers connect to.
    pub(crate) listen: SocketAddr,
    /// Maximum memory of the replicas held for other nodes, in bytes.
    pub(crate) max_replica_bytes: usize,
    /// Maximum number of open links, inbound and outbound together.
    pub(crate) max_links: usize,
    /// Maximum rate of state transfers in each direction, in bytes a second.
    pub(crate) transfer_bytes_per_second: u64,
    /// Time between two probes of the failure detector.
    pub(crate) probe_interval: Duration,
    /// The store that makes this node's votes survive a restart; none if they are kept in memory only.
    pub(crate) vote_store: Option<ResultStoreConfig>,
    /// The membership configuration.
    pub(crate) membership: Arc<MembershipConfig>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawFleet {
    name: String,
    listen: String,
    #[serde(default = "default_memory_mb")]
    memory_mb: u64,
    #[serde(default = "default_links")]
    links: usize,
    #[serde(default = "default_kb_per_s")]
    kb_per_s: u64,
    #[serde(default = "default_probe_ms")]
    probe_ms: u64,
    folder: Option<PathBuf>,
    #[serde(default = "default_file_mb")]
    file_mb: u64,
    list: RawMembership,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawMembership {
    number: u64,
    #[serde(default = "default_replicas")]
    copies: usize,
    window_ms: u64,
    #[serde(rename = "member")]
    members: Vec<RawMember>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawMember {
    name: String,
    address: String,
    #[serde(default = "default_zone")]
    zone: String,
}

fn default_memory_mb() -> u64 {
    DEFAULT_MEMORY_MB
}

fn default_links() -> usize {
    DEFAULT_LINKS
}

fn default_kb_per_s() -> u64 {
    DEFAULT_KB_PER_S
}

fn default_probe_ms() -> u64 {
    DEFAULT_PROBE_MS
}

fn default_replicas() -> usize {
    DEFAULT_REPLICAS
}

fn default_zone() -> String {
    DEFAULT_ZONE.into()
}

impl OperatorsFile for FleetConfig {
    const FILE: &'static str = "fleet";
    type Raw = RawFleet;

    fn from_raw(raw: RawFleet) -> Result<Self, ConfigError> {
        check_range("fleet file, memory_mb", raw.memory_mb, MEMORY_MB_RANGE)?;
        check_range("fleet file, links", raw.links as u64, LINKS_RANGE)?;
        check_range("fleet file, kb_per_s", raw.kb_per_s, KB_PER_S_RANGE)?;
        check_range("fleet file, probe_ms", raw.probe_ms, PROBE_MS_RANGE)?;
        check_range("fleet file, file_mb", raw.file_mb, FILE_MB_RANGE)?;
        if let Some(folder) = &raw.folder {
            check_absolute("fleet file, folder", folder)?;
        }
        let max_store_bytes = raw.file_mb * MEBIBYTE;
        Ok(FleetConfig {
            membership: Arc::new(raw.list.try_into()?),
            listen: parse_address("fleet file, listen", &raw.listen)?,
            max_replica_bytes: usize::try_from(raw.memory_mb * MEBIBYTE).unwrap_or(usize::MAX),
            max_links: raw.links,
            transfer_bytes_per_second: raw.kb_per_s * KILOBYTE,
            probe_interval: Duration::from_millis(raw.probe_ms),
            vote_store: raw.folder.map(|folder| ResultStoreConfig {
                folder,
                max_bytes: max_store_bytes,
                max_batch: DEFAULT_BATCH,
            }),
            name: raw.name,
        })
    }
}

impl FleetConfig {
    /// Checks the limits that depend on the platform's configuration.
    pub(super) fn check_against(&self, node: &NodeConfig) -> Result<(), ConfigError> {
        let window = node.settings.max_idempotency_window();
        if self.membership.window() < window {
            let problem =
                format!("{} at least, as the settings remember keys for that long", window.as_millis());
            return Err(ConfigError::inconsistent("fleet file, list.window_ms", problem));
        }
        if self.max_links > node.max_descriptors / 2 {
            let problem = format!("must be at most half of limits.sockets ({})", node.max_descriptors);
            return Err(ConfigError::inconsistent("fleet file, links", problem));
        }
        Ok(())
    }

    /// Checks that this node is a member of the fleet, which is required at startup.
    pub(super) fn check_membership(&self) -> Result<(), ConfigError> {
        if self.membership.index_of(NodeId::of(&self.name)).is_none() {
            let problem = format!("{:?} is not on the list", self.name);
            return Err(ConfigError::inconsistent("fleet file, name", problem));
        }
        Ok(())
    }
}

impl TryFrom<RawMembership> for MembershipConfig {
    type Error = ConfigError;

    fn try_from(raw: RawMembership) -> Result<Self, ConfigError> {
        let members = raw.members.into_iter().enumerate().map(|(i, member)| {
            let key = format!("fleet file, list.member[{i}].address");
            let address = parse_address(&key, &member.address)?;
            Ok(Member { name: member.name, address, zone: member.zone })
        });
        let spec = MembershipSpec {
            version: ConfigVersion(raw.number),
            replicas: raw.copies,
            window: Duration::from_millis(raw.window_ms),
            members: members.collect::<Result<_, ConfigError>>()?,
        };
        MembershipConfig::new(spec).map_err(|error| ConfigError::Malformed(format!("fleet file, {error}")))
    }
}
