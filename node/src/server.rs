//! The server: puts a node together from its configuration and runs it until it has drained.
//!
//! | module | what it does |
//! | --- | --- |
//! | `startup` | opens listeners and links, and starts the tasks of a node |
//! | `accept` | accepts connections, and opens and closes the listeners of the frontends |
//! | `capacity` | shares the file descriptors out between clients and backends |
//! | `reload` | applies changed configuration files while the node runs |
//! | `shutdown` | signals, and the drain before the process ends |

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
    /// A configuration file can't be served.
    #[error("{0}")]
    Config(ConfigError),
    /// The asynchronous runtime could not be built.
    #[error("no runtime: {0}")]
    Runtime(io::Error),
    /// The handlers of signals could not be installed.
    #[error("no signals: {0}")]
    Signals(io::Error),
    /// An address could not be listened at.
    #[error("{key}: {address}: {source}")]
    Bind {
        /// The configuration key of the address.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// The result store could not be opened.
    #[error("remembered file, {0}")]
    ResultStore(#[source] StoreError),
    /// The node could not take its place in its fleet.
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
/// Where the configuration is not valid, or an address or a folder that it names can't be opened.
pub(crate) fn serve(files: &ConfigFiles) -> Result<(), StartupError> {
    let loaded = files.load_for_startup().map_err(StartupError::Config)?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(StartupError::Runtime)?;
    runtime.block_on(LocalSet::new().run_until(startup::run(files, loaded)))
}
