//! Errors of starting the decision log.

use std::io;
use std::path::PathBuf;

/// Reason why the decision log cannot be started.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DecisionLogError {
    /// The lock file in the folder cannot be opened.
    #[error("records file, folder: {}: {source}", folder.display())]
    Folder {
        /// Folder of the log, as configured.
        folder: PathBuf,
        /// Error of opening the lock file.
        source: io::Error,
    },
    /// The operating system refused to start the writer thread.
    #[error("the writer thread of the decision log cannot be started: {0}")]
    Thread(#[source] io::Error),
}
