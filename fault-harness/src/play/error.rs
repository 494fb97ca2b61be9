//! Why a play did not reach its end.

use std::io;

use thiserror::Error;

use crate::model::Ms;
use crate::node::StartError;

/// Why a play did not reach its end.
#[derive(Debug, Error)]
pub enum PlayError {
    /// The play was interrupted by a signal.
    #[error("interrupted; every process is ended")]
    Interrupted,
    /// A node does not serve in time after its start.
    #[error("{node} does not serve within {timeout:.0} ms after its start")]
    NotReady {
        /// The node's name.
        node: String,
        /// How long the play has waited.
        timeout: Ms,
    },
    /// A node cannot be started.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A socket, a signal handler or a directory of the play cannot be made.
    #[error("the play cannot be set up: {0}")]
    Setup(#[from] io::Error),
}
