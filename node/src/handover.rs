//! An upgrade in place: a new process takes over from the one that serves, so that to clients both are one node.
//! They meet on a Unix socket in `$TMPDIR`, and speak lines:
//!
//! | from | line | meaning |
//! | --- | --- | --- |
//! | new | `TAKE` | it listens and can serve; the old one sends its clients over and closes its listeners |
//! | new | `PASSED` | another process has taken over from it in turn |
//! | old | `SEED HEX` | how bodies are digested |
//! | old | `KEY DIGEST UNTIL FATE KEY LENGTH` | a remembered key; so many bytes of it and its result follow |
//! | old | `ALL` | the table is whole; each `KEY` after that tells how a run ended |
//!
//! Nothing new is run for a key on either side between the two: the old one turns keys away that it does not
//! know, and the new one holds keyed requests back. So no key runs twice, though either may get a try of it.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;

use crate::clock::{self, Unix};
use crate::exchange::{Exchange, HandoverState};
use crate::line_codec::{self, encode, Message, MAX_BODY};
use crate::log;
use crate::outcome::{IdempotencyRecord, RunState};

/// The old process owes its table this long after it was asked, and the new one its word after it connected.
const OWED: Duration = Duration::from_secs(2);
/// Ends of runs that may wait to be told. Who has more to tell ends the handing over.
const TOLD: usize = 1024;

/// Where the process that serves this address hears its successor; nowhere without a folder of their own, or
/// where every process gets a port of its own.
pub fn place(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|_| listen.port() != 0)?;
    let name = listen.to_string().replace([':', '[', ']'], "_");
    Some(PathBuf::from(folder).join(format!("oakwind-{name}.sock")))
}

/// Whether a process serves there now.
pub async fn serves_already(place: Option<&Path>) -> bool {
    match place {
        Some(place) => UnixStream::connect(place).await.is_ok(),
        None => false,
    }
}

/// Takes over, and tells the core what the old process knew and goes on to tell. Ends with that process.
pub async fn inherit(place: PathBuf, exchange: Exchange) {
    let ended = async {
        let mut old = UnixStream::connect(place).await?;
        learn(&mut old, &exchange).await
    };
    match ended.await {
        Ok(()) => log!("handover: the process before has ended"),
        Err(e) => log!("handover: not all is known of the process before: {e}"),
    }
    exchange.predecessor_done().await;
}

/// Learns what the old process knows, until it ends.
async fn learn(old: &mut UnixStream, exchange: &Exchange) -> io::Result<()> {
    old.write_all(b"TAKE\r\n").await?;
    let (mut input, mut estate, mut whole) = (BytesMut::new(), HandoverState::default(), false);
    let (mut state, owed) = (exchange.status(), clock::now() + OWED);
    let (mut passed, mut told) = (false, false);
    loop {
        while let Some(message) = line_codec::decode(&mut input, |words| words.next() == Some(b"KEY"))? {
            match &message.field(0)[..] {
                b"SEED" => estate.digest_seed = seed(&message)?,
                b"KEY" => estate.records.push(record(&message)?),
                b"ALL" => whole = true,
                _ => return Err(message.protocol_error().into()),
            }
        }
        if whole && (!estate.records.is_empty() || exchange.status().borrow().awaiting_state) {
            let keys = std::mem::take(&mut estate.records);
            exchange.receive_state(HandoverState { digest_seed: estate.digest_seed, records: keys }).await;
        }
        tokio::select! {
            read = old.read_buf(&mut input) => match read? {
                0 if whole => return Ok(()),
                0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                _ => {}
            },
            passed_on = state.wait_for(|state| state.handed_over), if !passed => passed = passed_on.is_ok(),
            () = clock::until(owed), if !whole => return Err(line_codec::ProtocolError::Incomplete.into()),
        }
        if passed && !std::mem::replace(&mut told, passed) {
            old.write_all(b"PASSED\r\n").await?;
        }
    }
}

/// Hears successors there, and hands over to the one that comes; again if that one ends, unless another
/// has taken over from it.
pub async fn bequeath(place: &Path, exchange: Exchange) {
    loop {
        // What is there is the socket of a process that has handed over, or has ended.
        let _ = std::fs::remove_file(place);
        let listener = match UnixListener::bind(place) {
            Ok(listener) => listener,
            Err(e) => return log!("handover: no upgrade in place is possible: {}: {e}", place.display()),
        };
        loop {
            match hand_over(&listener, &exchange).await {
                Heir::Asked => {}
                Heir::Passed => return log!("handover: another process has taken over in turn"),
                Heir::Ended => break,
            }
        }
        // Guards clients against a new process that fails: this one serves on.
        log!("handover: the new process has ended");
        exchange.successor_lost().await;
    }
}

/// What became of a process that came to take over.
enum Heir {
    /// It only asked whether a process serves here.
    Asked,
    /// It has ended.
    Ended,
    /// Another has taken over from it.
    Passed,
}

/// Hands over to the next that comes, and stays until it is known what becomes of that.
async fn hand_over(listener: &UnixListener, exchange: &Exchange) -> Heir {
    let mut heir = match listener.accept().await {
        Ok((heir, _)) => heir,
        Err(e) => {
            log!("handover: a successor was not heard: {e}");
            clock::until(clock::now() + OWED).await;
            return Heir::Asked;
        }
    };
    let mut word = [0; 6];
    tokio::select! {
        read = heir.read_exact(&mut word) => if read.is_err() || &word != b"TAKE\r\n" { return Heir::Asked },
        () = clock::until(clock::now() + OWED) => return Heir::Asked,
    }
    log!("handover: a new process takes over");
    let (tell, mut told) = mpsc::channel(TOLD);
    exchange.hand_over(tell).await;
    let (mut output, mut first, mut none) = (BytesMut::new(), true, [0]);
    loop {
        tokio::select! {
            estate = told.recv() => {
                let Some(HandoverState { digest_seed: seed, records: keys }) = estate else { return Heir::Ended };
                if first {
                    encode(&mut output, &[b"SEED", format!("{seed:x}").as_bytes()], None);
                }
                keys.iter().for_each(|key| put_record(&mut output, key));
                if std::mem::take(&mut first) {
                    encode(&mut output, &[b"ALL"], None);
                }
                if let Err(e) = heir.write_all_buf(&mut output).await {
                    log!("handover: the new process is not reached: {e}");
                    return Heir::Ended;
                }
            }
            read = heir.read(&mut none) => {
                return if read.is_ok_and(|read| read > 0) { Heir::Passed } else { Heir::Ended };
            }
        }
    }
}

fn seed(message: &Message) -> Result<u64, line_codec::ProtocolError> {
    let word = message.field(1);
    let text = std::str::from_utf8(&word).ok();
    text.and_then(|text| u64::from_str_radix(text, 16).ok()).ok_or_else(|| message.protocol_error())
}

fn put_record(output: &mut BytesMut, record: &IdempotencyRecord) {
    let IdempotencyRecord { key, body_digest: body, expires_at: until, state: fate } = record;
    let (word, result) = match fate {
        RunState::Pending => ("open", &[][..]),
        RunState::Succeeded(result) if key.len() + result.len() <= MAX_BODY => ("done", &result[..]),
        // Too long for a line: that it has run must be known all the same.
        RunState::Succeeded(_) | RunState::Failed => ("failed", &[][..]),
        RunState::NeverStarted => ("free", &[][..]),
    };
    let head = format!("{body:x} {} {word} {}", until.as_millis(), key.len());
    encode(output, &[b"KEY", head.as_bytes()], Some(&[key, result].concat()));
}

fn record(message: &Message) -> Result<IdempotencyRecord, line_codec::ProtocolError> {
    let rest = message.body.clone().unwrap_or_default();
    let end = Some(message.numeric_field(4)?)
        .filter(|end| *end <= rest.len())
        .ok_or_else(|| message.protocol_error())?;
    let fate = match &message.field(3)[..] {
        b"open" => RunState::Pending,
        b"done" => RunState::Succeeded(rest.slice(end..)),
        b"failed" => RunState::Failed,
        b"free" => RunState::NeverStarted,
        _ => return Err(message.protocol_error()),
    };
    let until: Unix = Duration::from_millis(message.numeric_field(2)?);
    // Kept results outlive the buffer that they were read into.
    let copied = |slice: &[u8]| Bytes::copy_from_slice(slice);
    Ok(IdempotencyRecord {
        key: copied(&rest[..end]),
        body_digest: seed(message)?,
        expires_at: until,
        state: if let RunState::Succeeded(result) = fate {
            RunState::Succeeded(copied(&result))
        } else {
            fate
        },
    })
}

#[cfg(test)]
mod tests;
