//! An upgrade in place: a successor process takes over from the one that serves, so that to clients both are one node.
//!
//! The two meet on a Unix socket in `$TMPDIR` and exchange lines:
//!
//! | from | line | meaning |
//! | --- | --- | --- |
//! | successor | `TAKE` | it listens and can serve; the predecessor sends its clients over and closes its listeners |
//! | successor | `PASSED` | another process has taken over from it in turn |
//! | predecessor | `SEED HEX` | the seed of body digests |
//! | predecessor | `KEY DIGEST EXPIRY STATE KEY-LENGTH LENGTH` | an idempotency key; the key and its result follow, `LENGTH` bytes in all |
//! | predecessor | `ALL` | the table is complete; each `KEY` after that reports how a run ended |
//!
//! Between the two, neither process starts a run of a new key: the predecessor rejects keys that it does not know, and
//! the successor buffers attempts with keys. So no key runs twice, whichever process gets its attempts.
//!
//! The other process may be of an older release, so the lines and the name of the socket are stable.

mod message;
mod predecessor;
mod successor;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use tokio::net::UnixStream;

pub(crate) use predecessor::serve_successors;
pub(crate) use successor::take_over;

/// The socket where the process that serves this address waits for its successor. There is none without a folder for
/// it, or where every process gets a port of its own.
pub(crate) fn socket_path(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|_| listen.port() != 0)?;
    let name = listen.to_string().replace([':', '[', ']'], "_");
    Some(PathBuf::from(folder).join(format!("oakwind-{name}.sock")))
}

/// Whether a process waits for its successor at this socket.
pub(crate) async fn has_predecessor(socket_path: Option<&Path>) -> bool {
    match socket_path {
        Some(path) => UnixStream::connect(path).await.is_ok(),
        None => false,
    }
}

#[cfg(test)]
mod tests;
