//! The frontends: what clients connect to. One module a protocol; all share the limit of connections and the way in
//! which connections are closed.

pub(crate) mod connection_limiter;
pub(crate) mod jsonrpc;
pub(crate) mod uwsgi;
mod write_backlog;

use std::io;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::clock;
use connection_limiter::{ConnectionGuard, ConnectionState};

/// How long a connection is read from after its last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// How often a connection is read from after its last response.
const MAX_LINGER_READS: u32 = 32;
/// Bytes of each of these reads, which are dropped.
const LINGER_BUFFER_BYTES: usize = 4096;
/// A request books less memory than this, in KB: one absurd value would spoil the sum of all that is booked.
const MAX_MEMORY_KB: f64 = 2_000.0;

/// Closes a connection so that its last response arrives: the system resets a connection that is closed over unread
/// bytes. What the client goes on to send is read and dropped until it closes too, for [`LINGER_TIMEOUT`] at most, and
/// only while no other connection needs the slot.
pub(crate) async fn lingering_close(stream: &mut TcpStream, guard: &ConnectionGuard) -> io::Result<()> {
    guard.set_state(ConnectionState::Unproven);
    let deadline = clock::now() + LINGER_TIMEOUT;
    let evicted = async {
        if !guard.is_evicted() {
            guard.evicted().await;
        }
    };
    tokio::select! {
        biased;
        read = shut_down_and_drain(stream) => return read,
        () = evicted => {}
        () = clock::until(deadline) => return Ok(()),
    }
    drain_available(stream).await
}

/// Closes a connection for which there is no slot: what has arrived by now is the last that is read of it.
pub(crate) async fn reject(mut stream: TcpStream) {
    // The connection is closed either way.
    let _ = drain_available(&mut stream).await;
}

/// Drops what has arrived by now.
async fn drain_available(stream: &mut TcpStream) -> io::Result<()> {
    // Lets the runtime ask the system what has arrived.
    tokio::task::yield_now().await;
    shut_down_and_drain(stream).now_or_never().unwrap_or(Ok(()))
}

/// Ends the outgoing half of the connection and drops what arrives until the client ends its half.
async fn shut_down_and_drain(stream: &mut TcpStream) -> io::Result<()> {
    stream.shutdown().await?;
    let mut dropped = [0; LINGER_BUFFER_BYTES];
    for _ in 0..MAX_LINGER_READS {
        if stream.read(&mut dropped).await? == 0 {
            break;
        }
    }
    Ok(())
}

/// Whether a request may book so much memory.
fn is_valid_memory(memory_kb: f64) -> bool {
    memory_kb > 0.0 && memory_kb < MAX_MEMORY_KB
}
