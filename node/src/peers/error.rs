//! Why a node cannot take its place in its fleet.

use std::io;
use std::net::SocketAddr;

use crate::result_store::StoreError;

/// Why a node cannot take its place in its fleet.
#[derive(Debug, thiserror::Error)]
pub(crate) enum PeerStartError {
    /// The address cannot be listened on.
    #[error("fleet file, listen: {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: io::Error,
    },
    /// The folder of votes cannot be opened.
    #[error("fleet file, {0}")]
    VoteStore(#[from] StoreError),
}
