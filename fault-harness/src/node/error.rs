//! Why a node cannot be started.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// Why a node cannot be started.
#[derive(Debug, Error)]
pub enum StartError {
    /// The scenario names a build that no option names.
    #[error("no --program {0}=PATH names the build {0:?}")]
    UnknownBuild(String),
    /// The program cannot be executed.
    #[error("{}: the program cannot be started: {source}", path.display())]
    Program {
        /// The executable.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// One of the node's files or directories cannot be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or directory.
        path: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The services that it connects to do not listen.
    #[error("the services that the node connects to do not listen")]
    NoListeners,
}

impl StartError {
    /// A function that names the file or directory of an I/O error.
    pub(super) fn file(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> StartError {
        let path = path.into();
        move |source| StartError::File { path, source }
    }
}
