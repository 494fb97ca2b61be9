//! Errors that keep a node from joining its fleet at startup.

use std::io;
use std::net::SocketAddr;

use crate::result_store::StoreError;

/// An error that keeps a node from joining its fleet at startup.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PeerStartError {
    /// Listening on the configured address failed.
    #[error("fleet file, listen: cannot listen on {address}: {source}")]
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The vote store cannot be opened.
    #[error("fleet file, {0}")]
    VoteStore(#[from] StoreError),
}
