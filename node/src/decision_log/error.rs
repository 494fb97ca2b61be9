//! Why no decision can be recorded.

use std::io;
use std::path::PathBuf;

/// Why no decision can be recorded.
#[derive(Debug, thiserror::Error)]
pub(crate) enum DecisionLogError {
    /// The folder cannot be used.
    #[error("records file, folder: {}: {source}", folder.display())]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// What is wrong with it.
        source: io::Error,
    },
    /// The writer thread could not be started.
    #[error("the writer thread of the decision log cannot be started: {0}")]
    Thread(#[source] io::Error),
}
