//! The platform's configuration file, in JSON.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use oakwind_admission::{Class, Effect};
use oakwind_settings::NamedSettings;
use serde::Deserialize;
use serde_json::value::{RawValue, Value};

use super::error::{first_line, ConfigError};
use super::missing_keys::missing_keys;
use super::parse::{parse_address, read_text, MEBIBYTE};
use super::upstreams::UpstreamAddresses;
use crate::hexadecimal;

/// Minimum of `limits.sockets`, below which a node can't work.
const MIN_DESCRIPTORS: usize = 32;
const DEFAULT_DESCRIPTORS: usize = 1024;
const DEFAULT_MEMORY_MB: usize = 192;

/// The platform's configuration.
#[derive(Debug)]
pub(crate) struct NodeConfig {
    /// The node's name.
    pub(crate) name: String,
    /// The address that JSON-RPC clients connect to.
    pub(crate) listen: SocketAddr,
    /// The address of the admin interface; none if it is disabled.
    pub(crate) ops: Option<SocketAddr>,
    /// The services that the node connects to.
    pub(crate) upstreams: UpstreamAddresses,
    /// The seed of the random number generators.
    pub(crate) seed: u64,
    /// Time from the shutdown notice until the platform stops the process.
    pub(crate) stop_timeout: Duration,
    /// Maximum number of file descriptors that the process may have open.
    pub(crate) max_descriptors: usize,
    /// Maximum memory of the process, in bytes.
    pub(crate) max_memory_bytes: usize,
    /// The settings of the admission module, with the names of classes and tenants.
    pub(crate) settings: NamedSettings,
    /// The complete file as JSON.
    pub(crate) json: Value,
}

#[derive(Deserialize)]
struct RawNodeConfig<'a> {
    name: String,
    listen: String,
    ops: Option<String>,
    vm: Option<String>,
    members: Option<String>,
    index: Option<String>,
    seed: String,
    stop_ms: u64,
    #[serde(default)]
    limits: RawLimits,
    #[serde(borrow)]
    settings: &'a RawValue,
}

#[derive(Deserialize)]
#[serde(default)]
struct RawLimits {
    sockets: usize,
    memory_mb: usize,
}

impl Default for RawLimits {
    fn default() -> Self {
        RawLimits { sockets: DEFAULT_DESCRIPTORS, memory_mb: DEFAULT_MEMORY_MB }
    }
}

impl NodeConfig {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// If the file cannot be read or is not valid.
    pub(crate) fn read(path: &Path) -> Result<Self, ConfigError> {
        NodeConfig::parse(&read_text(path)?)
    }

    /// Parses and checks the text of a file.
    ///
    /// # Errors
    ///
    /// If the text is not a valid configuration.
    pub(crate) fn parse(text: &str) -> Result<Self, ConfigError> {
        let raw = parse_json(text)?;
        let settings = parse_settings(raw.settings)?;
        let json = serde_json::from_str(text).map_err(|error| ConfigError::malformed(&error))?;
        let seed = parse_seed(&raw.seed)?;
        check_descriptors(raw.limits.sockets)?;
        Ok(NodeConfig {
            listen: parse_address("listen", &raw.listen)?,
            ops: parse_optional_address("ops", raw.ops.as_deref())?,
            upstreams: UpstreamAddresses {
                interpreter: parse_optional_address("vm", raw.vm.as_deref())?,
                membership_service: parse_optional_address("members", raw.members.as_deref())?,
                index: parse_optional_address("index", raw.index.as_deref())?,
                uwsgi_run_servers: Vec::new(),
                uwsgi_call_servers: Vec::new(),
            },
            name: raw.name,
            seed,
            stop_timeout: Duration::from_millis(raw.stop_ms),
            max_descriptors: raw.limits.sockets,
            max_memory_bytes: raw.limits.memory_mb.saturating_mul(MEBIBYTE as usize),
            settings,
            json,
        })
    }

    /// The first key of the configuration `before` that this one lacks. A running node does not apply such a
    /// file: it may be incomplete, and its missing keys would take their defaults. In a list, only keys that
    /// every member had are required.
    pub(crate) fn first_missing_key(&self, before: &NodeConfig) -> Option<String> {
        missing_keys(&before.json, &self.json).into_iter().next()
    }
}

/// Parses an address whose key is optional.
fn parse_optional_address(key: &str, text: Option<&str>) -> Result<Option<SocketAddr>, ConfigError> {
    text.map(|text| parse_address(key, text)).transpose()
}

fn parse_json(text: &str) -> Result<RawNodeConfig<'_>, ConfigError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let raw = serde_path_to_error::deserialize(&mut json).map_err(|error| malformed_json(&error))?;
    json.end().map_err(|error| ConfigError::malformed(&error))?;
    Ok(raw)
}

/// Converts an error of the JSON parser, which names the key if there is one.
fn malformed_json(error: &serde_path_to_error::Error<serde_json::Error>) -> ConfigError {
    let has_key = error.path().iter().next().is_some();
    ConfigError::Malformed(if has_key { first_line(error) } else { first_line(error.inner()) })
}

fn parse_settings(raw: &RawValue) -> Result<NamedSettings, ConfigError> {
    let parsed = oakwind_settings::parse(raw.get()).map_err(|error| ConfigError::malformed(&error))?;
    let classes = &parsed.settings.classes;
    if parsed.classes.is_empty() {
        return Err(ConfigError::inconsistent("settings.services", "must have at least one class"));
    }
    if let Some(i) = classes.iter().position(|class| class.deadline.is_zero()) {
        let key = format!("settings.services[{i}].deadline");
        return Err(ConfigError::inconsistent(key, "must be greater than 0"));
    }
    // Without a window, a key would be forgotten while attempts with it may still arrive.
    let lacks_window =
        |class: &Class| class.effect == Effect::IdempotencyKey && class.idempotency_window.is_zero();
    if let Some(i) = classes.iter().position(lacks_window) {
        let key = format!("settings.services[{i}].window");
        return Err(ConfigError::inconsistent(key, "missing or 0, but required for a class with keys"));
    }
    Ok(parsed)
}

fn parse_seed(text: &str) -> Result<u64, ConfigError> {
    hexadecimal::parse(text).ok_or_else(|| ConfigError::Invalid {
        key: "seed".into(),
        value: text.into(),
        expected: "a hexadecimal number of 64 bits",
    })
}

fn check_descriptors(count: usize) -> Result<(), ConfigError> {
    if count < MIN_DESCRIPTORS {
        let problem = format!("{count} is too low, must be at least {MIN_DESCRIPTORS}");
        return Err(ConfigError::inconsistent("limits.sockets", problem));
    }
    Ok(())
}
