//! Opens listeners and connections. No connection holds small writes back, and none is waited for without an end.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::clock::{self, UnixTime};

/// Connections that the system may keep until they are accepted.
const BACKLOG: u32 = 1024;

/// Opens a listener; `shared` if a next process may open it too while this one serves.
///
/// # Errors
///
/// Where the system does not give the address.
pub fn listen(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(shared)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// The next connection.
///
/// # Errors
///
/// Where the system has none to give.
pub async fn accept(listener: &TcpListener) -> io::Result<TcpStream> {
    listener.accept().await.map(|(stream, _)| prompt(stream))
}

/// Closes a listener and returns the connections that the system had taken for it, as it says at this moment: what the
/// runtime knows may be older. Guards requests on those connections, which closing alone would reset.
pub fn close(listener: TcpListener) -> Vec<TcpStream> {
    let Ok(listener) = listener.into_std() else { return Vec::new() };
    let taken = std::iter::from_fn(|| listener.accept().ok()).take(BACKLOG as usize);
    let taken = taken.filter_map(|(stream, _)| {
        stream.set_nonblocking(true).ok()?;
        TcpStream::from_std(stream).ok()
    });
    taken.map(prompt).collect()
}

/// A connection to a peer, made until then or not at all.
///
/// # Errors
///
/// Where the peer takes none, or not in time.
pub async fn connect(address: SocketAddr, until: UnixTime) -> io::Result<TcpStream> {
    tokio::select! {
        connected = TcpStream::connect(address) => connected.map(prompt),
        () = clock::until(until) => Err(io::ErrorKind::TimedOut.into()),
    }
}

/// Small writes on it do not wait for company; where the system refuses that, it costs time alone.
fn prompt(stream: TcpStream) -> TcpStream {
    let _ = stream.set_nodelay(true);
    stream
}

#[cfg(test)]
mod tests;
