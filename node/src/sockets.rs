//! Opens listeners.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Connections that the system may keep until they are accepted.
const BACKLOG: u32 = 1024;

/// Opens a listener; `shared` if a next process may open it too while this one serves.
///
/// # Errors
///
/// Where the system does not give the address.
pub fn open(address: SocketAddr, shared: bool) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(shared)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
