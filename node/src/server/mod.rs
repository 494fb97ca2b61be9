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

use std::fmt::Display;
use std::io;
use std::net::SocketAddr;

use thiserror::Error;
use tokio::task::LocalSet;

use crate::config::{ConfigError, ConfigFiles};

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
    /// The result store, the links to peers or the decision log could not be opened.
    #[error("{0}")]
    Component(String),
}

impl StartupError {
    /// The error of a part that names its configuration key itself.
    fn component(error: &impl Display) -> Self {
        StartupError::Component(error.to_string())
    }
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
