//! The configuration of a node: the platform's JSON file, and the operators' TOML files that enable optional
//! parts.
//!
//! All files are read and checked together, at startup and at each reload. An error in any of them is a
//! [`ConfigError`], a line that names the key, and none of the files is then used.

mod decision_log;
mod error;
mod fleet;
mod missing_keys;
mod node;
mod parse;
mod result_store;
mod upstreams;
mod uwsgi;

use std::path::PathBuf;

pub(crate) use decision_log::DecisionLogConfig;
pub(crate) use error::ConfigError;
pub(crate) use fleet::FleetConfig;
pub(crate) use node::NodeConfig;
use parse::OperatorsFile;
pub(crate) use result_store::ResultStoreConfig;
pub(crate) use upstreams::UpstreamAddresses;
pub(crate) use uwsgi::{UwsgiConfig, VrrpConfig};

/// Environment variable with the path of the platform's file, which is used if the command line names none.
const CONFIG_VARIABLE: &str = "BALANCER_CONFIG";

/// The paths of the configuration files, as given on the command line.
#[derive(Debug)]
pub(crate) struct ConfigFiles {
    /// The platform's JSON file; if none, the file that `BALANCER_CONFIG` names.
    pub(crate) config: Option<PathBuf>,
    /// The operators' file that enables the uwsgi frontend.
    pub(crate) uwsgi: Option<PathBuf>,
    /// The operators' file that enables the result store.
    pub(crate) result_store: Option<PathBuf>,
    /// The operators' file that makes the node a member of a fleet.
    pub(crate) fleet: Option<PathBuf>,
    /// The operators' file that enables the decision log.
    pub(crate) decision_log: Option<PathBuf>,
}

/// The checked contents of all configuration files.
#[derive(Debug)]
pub(crate) struct Configuration {
    /// The platform's configuration.
    pub(crate) node: NodeConfig,
    /// The uwsgi frontend; none if it is not enabled.
    pub(crate) uwsgi: Option<UwsgiConfig>,
    /// The result store; none if idempotency keys and results are kept in memory only.
    pub(crate) result_store: Option<ResultStoreConfig>,
    /// The fleet; none if the node is not a member of one.
    pub(crate) fleet: Option<FleetConfig>,
    /// The decision log; none if decisions are not recorded.
    pub(crate) decision_log: Option<DecisionLogConfig>,
}

impl ConfigFiles {
    /// Reads and checks all files.
    ///
    /// # Errors
    ///
    /// If a file cannot be read or is not valid, or if the files contradict each other.
    pub(crate) fn load(&self) -> Result<Configuration, ConfigError> {
        let mut node = NodeConfig::read(&self.node_config_path()?)?;
        let uwsgi = self.uwsgi.as_deref().map(UwsgiConfig::read).transpose()?;
        if let Some(uwsgi) = &uwsgi {
            node.upstreams.uwsgi_run_servers.clone_from(&uwsgi.run_servers);
            node.upstreams.uwsgi_call_servers.clone_from(&uwsgi.call_servers);
        }
        if node.upstreams.interpreter.is_none() && node.upstreams.uwsgi_run_servers.is_empty() {
            let problem = "missing, and no uwsgi servers are configured to run requests instead";
            return Err(ConfigError::inconsistent("vm", problem));
        }
        let result_store = self.result_store.as_deref().map(ResultStoreConfig::read).transpose()?;
        let fleet = self.fleet.as_deref().map(FleetConfig::read).transpose()?;
        if let Some(fleet) = &fleet {
            fleet.check_against(&node)?;
        }
        let decision_log = self.decision_log.as_deref().map(DecisionLogConfig::read).transpose()?;
        Ok(Configuration { node, uwsgi, result_store, fleet, decision_log })
    }

    /// Reads and checks all files at startup, when the node must be a member of its configured fleet.
    ///
    /// # Errors
    ///
    /// As for [`ConfigFiles::load`], or if the node is not a member of the fleet.
    pub(crate) fn load_for_startup(&self) -> Result<Configuration, ConfigError> {
        let configuration = self.load()?;
        if let Some(fleet) = &configuration.fleet {
            fleet.check_membership()?;
        }
        Ok(configuration)
    }

    fn node_config_path(&self) -> Result<PathBuf, ConfigError> {
        let from_environment = || std::env::var_os(CONFIG_VARIABLE).map(PathBuf::from);
        self.config.clone().or_else(from_environment).ok_or(ConfigError::NoFile)
    }
}

#[cfg(test)]
mod tests;
