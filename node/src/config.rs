//! The configuration of a node: the platform's JSON, and the operators' files that switch further parts on.
//!
//! All files are read and checked together, at the start and at each reload. What is wrong is a [`ConfigError`], one line
//! that names the key; nothing of a configuration with an error is used.

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

/// Names the platform's configuration where the command line does not.
const CONFIG_VARIABLE: &str = "BALANCER_CONFIG";

/// The files of a configuration, as the command line names them.
#[derive(Debug)]
pub(crate) struct ConfigFiles {
    /// The platform's JSON; by default the file that `BALANCER_CONFIG` names.
    pub(crate) config: Option<PathBuf>,
    /// Switches the uwsgi frontend on.
    pub(crate) uwsgi: Option<PathBuf>,
    /// Makes idempotency keys and results outlast the process.
    pub(crate) result_store: Option<PathBuf>,
    /// Makes the node a member of a fleet.
    pub(crate) fleet: Option<PathBuf>,
    /// Makes the node record its decisions.
    pub(crate) decision_log: Option<PathBuf>,
}

/// A whole configuration.
#[derive(Debug)]
pub(crate) struct Configuration {
    /// The platform's part.
    pub(crate) node: NodeConfig,
    /// The uwsgi frontend.
    pub(crate) uwsgi: Option<UwsgiConfig>,
    /// Where idempotency keys and results outlast the process.
    pub(crate) result_store: Option<ResultStoreConfig>,
    /// The fleet.
    pub(crate) fleet: Option<FleetConfig>,
    /// Where decisions are recorded.
    pub(crate) decision_log: Option<DecisionLogConfig>,
}

impl ConfigFiles {
    /// Reads and checks all files.
    ///
    /// # Errors
    ///
    /// If a file cannot be read or is not valid, or if they contradict each other.
    pub(crate) fn load(&self) -> Result<Configuration, ConfigError> {
        let mut node = NodeConfig::read(&self.node_config_path()?)?;
        let uwsgi = self.uwsgi.as_deref().map(UwsgiConfig::read).transpose()?;
        if let Some(uwsgi) = &uwsgi {
            node.upstreams.uwsgi_run_servers.clone_from(&uwsgi.run_servers);
            node.upstreams.uwsgi_call_servers.clone_from(&uwsgi.call_servers);
        }
        if node.upstreams.interpreter.is_none() && node.upstreams.uwsgi_run_servers.is_empty() {
            let problem = "missing, and no uwsgi servers run the requests in its place";
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

    /// Reads and checks all files for a start: the node has to be a member of the fleet that it starts with.
    ///
    /// # Errors
    ///
    /// As for [`ConfigFiles::load`].
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
