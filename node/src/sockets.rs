//! Opens TCP listeners and connections.
//!
//! Every connection sends small writes at once (`TCP_NODELAY`), and every connection attempt has a deadline.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::clock::{self, UnixTime};

/// Maximum number of connections that the system queues until they are accepted.
const ACCEPT_BACKLOG: u32 = 1024;

/// Whether other processes may listen at the same address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AddressUse {
    /// No other process may.
    Exclusive,
    /// Other processes may, as those of one node do in an upgrade in place.
    Shared,
}

/// Opens a listener.
///
/// # Errors
///
/// If the system does not grant the address.
pub(crate) fn listen(address: SocketAddr, address_use: AddressUse) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(address_use == AddressUse::Shared)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Waits for the next connection.
///
/// # Errors
///
/// If the system can't accept a connection, for instance because no file descriptor is left.
pub(crate) async fn accept(listener: &TcpListener) -> io::Result<TcpStream> {
    listener.accept().await.map(|(stream, _)| without_delay(stream))
}

/// Closes a listener and returns the connections that the system had queued for it. Only closing the listener
/// would reset these connections. The system is queried directly, as the readiness that the runtime knows may
/// be outdated.
pub(crate) fn close(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else { return Vec::new() };
    let queued = std::iter::from_fn(|| listener.accept().ok()).take(ACCEPT_BACKLOG as usize);
    let queued = queued.filter_map(|(stream, _)| {
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    });
    queued.map(without_delay).collect()
}

/// Connects to a peer.
///
/// # Errors
///
/// If the connection fails, or is not established by the deadline.
pub(crate) async fn connect(address: SocketAddr, deadline: UnixTime) -> io::Result<TcpStream> {
    tokio::select! {
        connected = TcpStream::connect(address) => connected.map(without_delay),
        () = clock::until(deadline) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Sets `TCP_NODELAY`. If that fails, small writes may be delayed, but the connection works.
fn without_delay(stream: TcpStream) -> TcpStream {
    let _ = stream.set_nodelay(true);
    stream
}

#[cfg(test)]
mod tests;
