//! The server side: what clients speak to.

pub mod guests;
pub mod jsonrpc;
pub mod uwsgi;

use std::io;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::clock;
use guests::{Guest, Standing};

/// How long, and how often, a connection is read from after its last answer.
const PARTING: Duration = Duration::from_millis(200);
const PARTING_READS: u32 = 32;

/// Closes a connection so that its last answer arrives: over unread bytes the system would reset it. What a
/// client goes on to send is read for a moment and no further, and only while there is room.
pub async fn part(stream: &mut TcpStream, guest: &Guest) -> io::Result<()> {
    stream.shutdown().await?;
    guest.is(Standing::Stranger);
    let until = clock::now() + PARTING;
    let mut rest = [0; 4096];
    for _ in 0..PARTING_READS {
        tokio::select! {
            read = stream.read(&mut rest) => if read? == 0 { return Ok(()) },
            () = guest.asked_to_leave() => return Ok(()),
            () = clock::until(until) => return Ok(()),
        }
    }
    Ok(())
}

/// Whether so many KB may be booked for a request. Guards the sum of what is booked.
fn booked(kb: f64) -> bool {
    kb > 0.0 && kb < 2_000.0
}
