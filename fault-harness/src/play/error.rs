//! Errors that end a play early.

use std::io;

use thiserror::Error;

use crate::model::Ms;
use crate::node::StartError;

/// An error that ends a play early.
#[derive(Debug, Error)]
pub enum PlayError {
    /// SIGINT or SIGTERM interrupted the play.
    #[error("the play was interrupted by a signal; all node processes have been ended")]
    Interrupted,
    /// A node was not ready in time after its start.
    #[error("node {node} was not ready within {timeout:.0} ms after its start")]
    NotReady {
        /// The node's name.
        node: String,
        /// How long the play waited for all nodes.
        timeout: Ms,
    },
    /// A node cannot be started.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A socket, a signal handler or a directory of the play cannot be created.
    #[error("the play cannot be set up: {0}")]
    Setup(#[from] io::Error),
}
