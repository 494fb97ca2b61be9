//! The predecessor's side of a handover: this process serves and hands over to a successor.

use std::io;
use std::path::Path;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;

use super::message::{self, PredecessorMessage, REPLY_TIMEOUT, TAKE_OVER};
use crate::clock;
use crate::exchange::{Exchange, HandoverState};
use crate::log;

/// Capacity of the queue of updates to the successor. If it overflows, the handover ends.
const MAX_QUEUED_UPDATES: usize = 1024;

/// Waits for successors on this socket and hands over to the first that requests it. If the successor ends,
/// this process serves again and waits for another one, unless a further process has taken over from the
/// successor.
pub(crate) async fn serve_successors(socket_path: &Path, exchange: Exchange) {
    loop {
        // An existing socket file was left by a process that has handed over or has ended.
        let _ = std::fs::remove_file(socket_path);
        let listener = match UnixListener::bind(socket_path) {
            Ok(listener) => listener,
            Err(error) => {
                let socket = socket_path.display();
                return log!(
                    "handover: socket not bound, upgrades in place are disabled: socket={socket} error={error}"
                );
            }
        };
        loop {
            match run_handover(&listener, &exchange).await {
                HandoverOutcome::NotRequested => {}
                HandoverOutcome::Superseded => {
                    return log!("handover: successor superseded, another process has taken over in turn")
                }
                HandoverOutcome::SuccessorEnded => break,
            }
        }
        // If the successor fails, this process must serve again, or clients would be left without a server.
        log!("handover: successor ended, serving again unless draining");
        exchange.successor_lost().await;
    }
}

/// How a connection from another process ended.
#[derive(Debug, PartialEq)]
pub(super) enum HandoverOutcome {
    /// The other process did not request to take over; it may only have checked whether a process serves
    /// here.
    NotRequested,
    /// The successor took over and has ended, or the connection to it was lost.
    SuccessorEnded,
    /// The successor took over, and a further process has taken over from it.
    Superseded,
}

/// Hands over to the next process that connects, if it requests to take over. Returns once the handover has
/// ended.
pub(super) async fn run_handover(listener: &UnixListener, exchange: &Exchange) -> HandoverOutcome {
    let mut successor = match listener.accept().await {
        Ok((successor, _)) => successor,
        Err(error) => {
            log!("handover: connection not accepted, retrying: error={error}");
            clock::until(clock::now() + REPLY_TIMEOUT).await;
            return HandoverOutcome::NotRequested;
        }
    };
    let mut request = [0; TAKE_OVER.len()];
    tokio::select! {
        read = successor.read_exact(&mut request) => {
            if read.is_err() || request != TAKE_OVER {
                return HandoverOutcome::NotRequested;
            }
        }
        () = clock::until(clock::now() + REPLY_TIMEOUT) => return HandoverOutcome::NotRequested,
    }
    log!("handover: successor takes over, state transfer begins");
    let (updates, queued_updates) = mpsc::channel(MAX_QUEUED_UPDATES);
    exchange.begin_handover(updates).await;
    send_updates(&mut successor, queued_updates).await
}

/// Sends the table and every later update, until the successor ends or is superseded.
async fn send_updates(
    successor: &mut UnixStream,
    mut updates: mpsc::Receiver<HandoverState>,
) -> HandoverOutcome {
    let mut is_table = true;
    let mut input = [0];
    loop {
        tokio::select! {
            update = updates.recv() => {
                let Some(update) = update else { return HandoverOutcome::SuccessorEnded };
                if let Err(error) = send_update(successor, update, is_table).await {
                    log!("handover: state not sent to the successor: error={error}");
                    return HandoverOutcome::SuccessorEnded;
                }
                is_table = false;
            }
            // After its request a successor sends nothing except that it was superseded.
            read = successor.read(&mut input) => {
                let is_superseded = read.is_ok_and(|length| length > 0);
                return if is_superseded { HandoverOutcome::Superseded } else { HandoverOutcome::SuccessorEnded };
            }
        }
    }
}

async fn send_update(successor: &mut UnixStream, update: HandoverState, is_table: bool) -> io::Result<()> {
    let mut output = BytesMut::new();
    if is_table {
        message::encode(&mut output, &PredecessorMessage::DigestSeed(update.digest_seed));
    }
    for record in update.records {
        message::encode(&mut output, &PredecessorMessage::Record(record));
    }
    if is_table {
        message::encode(&mut output, &PredecessorMessage::TableComplete);
    }
    successor.write_all_buf(&mut output).await
}
