//! An upgrade in place: a successor process takes over from the process that serves. Clients see a single
//! node.
//!
//! The two processes connect through a Unix socket in `$TMPDIR` and exchange lines:
//!
//! | from | line | meaning |
//! | --- | --- | --- |
//! | successor | `STANDBY` | the successor runs and can't serve yet; if the predecessor drains before it can, it sends its state all the same |
//! | successor | `TAKE` | the successor listens and can serve; the predecessor directs its clients to it and closes its listeners |
//! | successor | `PASSED` | a further process has taken over from the successor |
//! | predecessor | `SEED HEX` | the seed of body digests |
//! | predecessor | `KEY DIGEST EXPIRY STATE KEY-LENGTH LENGTH` | an idempotency key; the key and its result follow, `LENGTH` bytes in total |
//! | predecessor | `KEY` with the key `\0lost` | keys were lost with an earlier process, and have expired at `EXPIRY` |
//! | predecessor | `ALL` | the table is complete; each later `KEY` reports how a run ended |
//!
//! No key runs twice, whichever process receives its attempts: after sending its table the
//! predecessor fails keys that it does not know, and until it has received the table the successor buffers
//! attempts with keys.
//!
//! The other process may be of an older release, so the lines and the name of the socket must not change. A
//! predecessor that does not know `STANDBY` closes the connection, and the successor connects again.
//!
//! `docs/handover.md` has the states of a handover, and which process holds the keys in each.

mod message;
mod predecessor;
mod successor;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use tokio::net::UnixStream;

pub(crate) use predecessor::serve_successors;
pub(crate) use successor::take_over;

/// The path of the socket on which the process that serves this address waits for its successor. None if
/// `TMPDIR` is not set, or if the port is 0, as each process is then assigned a port of its own.
pub(crate) fn socket_path(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|_| listen.port() != 0)?;
    let name = listen.to_string().replace([':', '[', ']'], "_");
    Some(PathBuf::from(folder).join(format!("oakwind-{name}.sock")))
}

/// Whether a process is waiting for its successor on this socket.
pub(crate) async fn has_predecessor(socket_path: Option<&Path>) -> bool {
    match socket_path {
        Some(path) => UnixStream::connect(path).await.is_ok(),
        None => false,
    }
}

#[cfg(test)]
mod tests;
