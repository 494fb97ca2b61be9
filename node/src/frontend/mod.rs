//! The server side: what clients speak to.

pub mod connection_limiter;
pub mod jsonrpc;
pub mod uwsgi;
mod write_backlog;

use std::io;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::clock;
use connection_limiter::{ConnectionGuard, Standing};

/// How long, and how often, a connection is read from after its last answer.
const PARTING: Duration = Duration::from_secs(2);
const PARTING_READS: u32 = 32;

/// Ends a connection so that its last answer arrives: closed over unread bytes, the system would reset it. What its
/// client goes on to send is read and dropped, as no answer could follow, until the client closes too: for a moment and
/// no further, and only while there is room.
pub async fn part(stream: &mut TcpStream, guest: &ConnectionGuard) -> io::Result<()> {
    guest.is(Standing::Stranger);
    let until = clock::now() + PARTING;
    let needed = async {
        if !guest.is_leaving() {
            guest.asked_to_leave().await;
        }
    };
    tokio::select! {
        biased;
        read = read_out(stream) => return read,
        () = needed => {}
        () = clock::until(until) => return Ok(()),
    }
    read_out_now(stream).await
}

/// The same for a connection that has no place: what has come by now is the last that is read of it.
pub async fn turn_away(mut stream: TcpStream) {
    // It is closed either way.
    let _ = read_out_now(&mut stream).await;
}

async fn read_out_now(stream: &mut TcpStream) -> io::Result<()> {
    // The system is asked what has come.
    tokio::task::yield_now().await;
    read_out(stream).now_or_never().unwrap_or(Ok(()))
}

/// Says that nothing more comes, and reads on until the other side says the same.
async fn read_out(stream: &mut TcpStream) -> io::Result<()> {
    stream.shutdown().await?;
    let mut rest = [0; 4096];
    for _ in 0..PARTING_READS {
        if stream.read(&mut rest).await? == 0 {
            break;
        }
    }
    Ok(())
}

/// Whether so many KB may be booked for a request. Guards the sum of what is booked.
fn booked(memory_kb: f64) -> bool {
    memory_kb > 0.0 && memory_kb < 2_000.0
}
