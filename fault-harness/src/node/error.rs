//! Errors at the start of a node.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

/// An error that prevents the start of a node.
#[derive(Debug, Error)]
pub enum StartError {
    /// The scenario names a build for which there is no `--program` option.
    #[error("the scenario names the build {0:?}, but there is no option --program {0}=PATH")]
    UnknownBuild(String),
    /// The program cannot be executed.
    #[error("{}: the program cannot be started: {source}", path.display())]
    Program {
        /// The executable.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// One of the node's files or directories cannot be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or directory.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The simulated services of the node have no listening sockets yet.
    #[error("the simulated services of the node are not listening")]
    NoListeners,
}

impl StartError {
    /// Returns a function that adds the path of the file or directory to an I/O error.
    pub(super) fn file(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> StartError {
        let path = path.into();
        move |source| StartError::File { path, source }
    }
}
