//! The server: assembles a node from its configuration and runs it until it has drained.
//!
//! | module | what it does |
//! | --- | --- |
//! | `startup` | opens listeners and links, and starts the tasks of a node |
//! | `accept` | accepts connections, and opens and closes the listeners of the frontends |
//! | `capacity` | divides the file descriptors between clients and backends |
//! | `reload` | applies changed configuration files while the node runs |
//! | `shutdown` | handles signals, and drains the node before the process ends |

mod accept;
mod capacity;
mod reload;
mod shutdown;
mod startup;

use std::io;
use std::net::SocketAddr;

use thiserror::Error;
use tokio::task::LocalSet;

use crate::config::{ConfigError, ConfigFiles};
use crate::decision_log::DecisionLogError;
use crate::peers::PeerStartError;
use crate::result_store::StoreError;

/// Why a node did not start.
#[derive(Debug, Error)]
pub(crate) enum StartupError {
    /// A configuration file can't be read, or the configuration is not valid.
    #[error("{0}")]
    Config(ConfigError),
    /// The asynchronous runtime could not be built.
    #[error("cannot start the asynchronous runtime: {0}")]
    Runtime(io::Error),
    /// The signal handlers could not be installed.
    #[error("cannot install the signal handlers: {0}")]
    Signals(io::Error),
    /// A listener or UDP socket could not be opened.
    #[error("{key}: cannot listen at {address}: {source}")]
    Bind {
        /// The configuration key of the address.
        key: &'static str,
        /// Address that the key configures.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The result store could not be opened.
    #[error("remembered file, {0}")]
    ResultStore(#[source] StoreError),
    /// The part of the node that talks to its peers could not be started.
    #[error("{0}")]
    Peers(#[source] PeerStartError),
    /// The decision log could not be opened.
    #[error("{0}")]
    DecisionLog(#[source] DecisionLogError),
}

/// Serves until SIGTERM or SIGINT, then drains. All tasks run on the calling thread.
///
/// # Errors
///
/// If the configuration is not valid, or an address or a folder that it names can't be opened.
pub(crate) fn serve(files: &ConfigFiles) -> Result<(), StartupError> {
    let loaded = files.load_for_startup().map_err(StartupError::Config)?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(StartupError::Runtime)?;
    runtime.block_on(LocalSet::new().run_until(startup::run(files, loaded)))
}
