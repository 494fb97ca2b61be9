//! The operators' file of the uwsgi frontend, its uwsgi servers and its virtual router.

use std::net::{Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::time::Duration;

use serde::Deserialize;

use super::error::ConfigError;
use super::parse::{check_range, parse_address, parse_addresses, OperatorsFile};

/// Allowed identifiers of a virtual router (RFC 9568, section 5.2.3).
const VRID_RANGE: RangeInclusive<u64> = 1..=255;
/// Allowed priorities. 0 is reserved for the advertisement by which the active node gives up its role.
const PRIORITY_RANGE: RangeInclusive<u64> = 1..=255;
const DEFAULT_PRIORITY: u8 = 100;
const DEFAULT_INTERVAL_MS: u64 = 1000;
/// Milliseconds in a centisecond, the unit of the advertisement interval.
const CENTISECOND_MS: u64 = 10;
/// The longest interval that an advertisement can state, which is 4095 centiseconds.
const MAX_INTERVAL_MS: u64 = 4095 * CENTISECOND_MS;
/// The maximum number of addresses that an advertisement can list.
const MAX_ADDRESSES: u64 = 255;

/// The uwsgi frontend, its servers and its virtual router.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct UwsgiConfig {
    /// The address that uwsgi clients connect to.
    pub(crate) listen: SocketAddr,
    /// uwsgi servers that run requests instead of the interpreter.
    pub(crate) run_servers: Vec<SocketAddr>,
    /// uwsgi servers that answer the calls to the tier below instead of the index.
    pub(crate) call_servers: Vec<SocketAddr>,
    /// The virtual router; without one the listener is always open.
    pub(crate) vrrp: Option<VrrpConfig>,
}

/// The virtual router that opens and closes the uwsgi listener.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct VrrpConfig {
    /// The identifier of the virtual router, 1 to 255.
    pub(crate) vrid: u8,
    /// The priority of this node, 1 to 254, or 255 for the owner of the addresses.
    pub(crate) priority: u8,
    /// Time between two advertisements.
    pub(crate) interval: Duration,
    /// Whether a higher priority takes over from a lower one that is active.
    pub(crate) preempt: bool,
    /// The addresses of the virtual router.
    pub(crate) addresses: Vec<Ipv4Addr>,
    /// The address at which advertisements are received.
    pub(crate) listen: SocketAddr,
    /// The addresses to which advertisements are sent.
    pub(crate) peers: Vec<SocketAddr>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct RawUwsgi {
    listen: String,
    #[serde(default)]
    runs: Vec<String>,
    #[serde(default)]
    calls: Vec<String>,
    vrrp: Option<RawVrrp>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawVrrp {
    vrid: u8,
    #[serde(default = "default_priority")]
    priority: u8,
    #[serde(default = "default_interval_ms")]
    interval_ms: u64,
    #[serde(default = "default_preempt")]
    preempt: bool,
    addresses: Vec<Ipv4Addr>,
    listen: String,
    peers: Vec<String>,
}

fn default_priority() -> u8 {
    DEFAULT_PRIORITY
}

fn default_interval_ms() -> u64 {
    DEFAULT_INTERVAL_MS
}

fn default_preempt() -> bool {
    true
}

impl OperatorsFile for UwsgiConfig {
    const FILE: &'static str = "uwsgi";
    type Raw = RawUwsgi;

    fn from_raw(raw: RawUwsgi) -> Result<Self, ConfigError> {
        Ok(UwsgiConfig {
            listen: parse_address("uwsgi file, listen", &raw.listen)?,
            run_servers: parse_addresses("uwsgi file, runs", &raw.runs)?,
            call_servers: parse_addresses("uwsgi file, calls", &raw.calls)?,
            vrrp: raw.vrrp.map(VrrpConfig::try_from).transpose()?,
        })
    }
}

impl TryFrom<RawVrrp> for VrrpConfig {
    type Error = ConfigError;

    fn try_from(raw: RawVrrp) -> Result<Self, ConfigError> {
        check_range("uwsgi file, vrrp.vrid", raw.vrid.into(), VRID_RANGE)?;
        check_range("uwsgi file, vrrp.priority", raw.priority.into(), PRIORITY_RANGE)?;
        let interval_key = "uwsgi file, vrrp.interval_ms";
        check_range(interval_key, raw.interval_ms, CENTISECOND_MS..=MAX_INTERVAL_MS)?;
        if !raw.interval_ms.is_multiple_of(CENTISECOND_MS) {
            let problem = format!("{} is not a multiple of {CENTISECOND_MS}", raw.interval_ms);
            return Err(ConfigError::inconsistent(interval_key, problem));
        }
        check_range("uwsgi file, vrrp.addresses", raw.addresses.len() as u64, 1..=MAX_ADDRESSES)?;
        Ok(VrrpConfig {
            vrid: raw.vrid,
            priority: raw.priority,
            interval: Duration::from_millis(raw.interval_ms),
            preempt: raw.preempt,
            addresses: raw.addresses,
            listen: parse_address("uwsgi file, vrrp.listen", &raw.listen)?,
            peers: parse_addresses("uwsgi file, vrrp.peers", &raw.peers)?,
        })
    }
}
