//! The predecessor's side: this process serves and hands over to a successor.

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

/// Updates that may wait to be sent to the successor. If there are more, the handover ends.
const MAX_QUEUED_UPDATES: usize = 1024;

/// Waits for successors at this socket and hands over to the one that comes. If that ends, this process serves on and
/// waits for another, unless a third process has taken over from it.
pub(crate) async fn serve_successors(socket_path: &Path, exchange: Exchange) {
    loop {
        // A socket that is there is that of a process which has handed over or has ended.
        let _ = std::fs::remove_file(socket_path);
        let listener = match UnixListener::bind(socket_path) {
            Ok(listener) => listener,
            Err(error) => {
                let socket = socket_path.display();
                return log!("handover: no upgrade in place is possible: socket={socket} error={error}");
            }
        };
        loop {
            match run_handover(&listener, &exchange).await {
                HandoverOutcome::NotRequested => {}
                HandoverOutcome::Superseded => {
                    return log!("handover: another process has taken over in turn")
                }
                HandoverOutcome::SuccessorEnded => break,
            }
        }
        // A successor that fails must not leave clients without a server.
        log!("handover: the successor has ended");
        exchange.successor_lost().await;
    }
}

/// How a handover ended.
#[derive(Debug, PartialEq)]
pub(super) enum HandoverOutcome {
    /// It only asked whether a process serves here, or did not ask to take over.
    NotRequested,
    /// It took over and has ended.
    SuccessorEnded,
    /// It took over, and another process has taken over from it.
    Superseded,
}

/// Hands over to the next process that connects. Returns once it is known how that ended.
pub(super) async fn run_handover(listener: &UnixListener, exchange: &Exchange) -> HandoverOutcome {
    let mut successor = match listener.accept().await {
        Ok((successor, _)) => successor,
        Err(error) => {
            log!("handover: a successor was not accepted: error={error}");
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
    log!("handover: a successor takes over");
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
                    log!("handover: the successor is not reached: error={error}");
                    return HandoverOutcome::SuccessorEnded;
                }
                is_table = false;
            }
            // All that a successor sends after its request is that it is superseded.
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
