//! The frontends, to which clients connect: one module for each protocol, and the connection limit and the
//! closing of connections, which all of them share.

pub(crate) mod connection_limiter;
pub(crate) mod jsonrpc;
pub(crate) mod uwsgi;
mod write_backlog;

use std::io;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest, Ready};
use tokio::net::TcpStream;

use crate::clock;
use crate::outcome::RESERVED_KEY_START;
use connection_limiter::{ConnectionGuard, ConnectionState};

/// Time for which a connection is still read from after its last response.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of reads from a connection after its last response.
const MAX_LINGER_READS: u32 = 32;
/// Maximum number of bytes that each of these reads drops.
const LINGER_BUFFER_BYTES: usize = 4096;
/// Exclusive upper limit of the memory that a request may book, in KB. A single absurd value would distort
/// the sum of all booked memory.
const MAX_MEMORY_KB: f64 = 2_000.0;

/// Closes a connection without losing its last response: the operating system resets a connection that is
/// closed with unread input. Further input is therefore read and dropped until the client closes the
/// connection too, for at most [`LINGER_TIMEOUT`], and only while no other connection needs the slot.
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

/// Closes a connection for which there is no slot, after dropping the input that has already arrived.
pub(crate) async fn reject(mut stream: TcpStream) {
    // The connection is closed either way.
    let _ = drain_available(&mut stream).await;
}

/// Drops the input that has already arrived, without waiting for more.
async fn drain_available(stream: &mut TcpStream) -> io::Result<()> {
    // Lets the runtime poll the socket for input.
    tokio::task::yield_now().await;
    shut_down_and_drain(stream).now_or_never().unwrap_or(Ok(()))
}

/// Shuts down the sending half of the connection and drops input until the client shuts down its half.
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

/// Lets the runtime poll a new connection, so that it knows before the first read whether the client has left already. A
/// connection is read without being polled when it is new.
async fn poll_new_connection() {
    tokio::task::yield_now().await;
}

/// Whether the client has closed the connection, or its sending half, as far as the runtime knows. What it sent before can
/// still be read then, but it no longer waits for responses.
fn has_client_left(stream: &TcpStream) -> bool {
    let ready = stream.ready(Interest::READABLE).now_or_never();
    ready.is_some_and(|ready| ready.is_ok_and(Ready::is_read_closed))
}

/// Whether a client may use this idempotency key, as far as its length permits it.
fn is_client_key(key: &[u8]) -> bool {
    key.first().is_some_and(|first| *first != RESERVED_KEY_START)
}

/// Whether a request may book this much memory.
fn is_valid_memory(memory_kb: f64) -> bool {
    memory_kb > 0.0 && memory_kb < MAX_MEMORY_KB
}
