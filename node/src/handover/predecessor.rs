//! The predecessor's side of a handover: this process serves and hands over to a successor.

use std::io;
use std::path::Path;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;

use super::message::{self, PredecessorMessage, SuccessorMessage, REPLY_TIMEOUT};
use crate::clock;
use crate::exchange::{Exchange, HandoverState};
use crate::log;

/// Capacity of the queue of updates to the successor. The dispatcher keeps the updates that find it full.
const MAX_QUEUED_UPDATES: usize = 1024;

/// Waits for successors on this socket and hands over to the first that requests it. If the successor ends,
/// this process serves again and waits for another one, unless a further process has taken over from the
/// successor.
pub(crate) async fn serve_successors(socket_path: &Path, exchange: Exchange) {
    loop {
        let listener = match bind(socket_path) {
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
                HandoverOutcome::StandbyEnded => {
                    log!("handover: successor ended before it took over");
                    exchange.successor_lost().await;
                }
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

/// Listens on the socket, in place of a process that has handed over or has ended. The path names a socket at any
/// time: a successor that found none would conclude that this process has ended.
fn bind(socket_path: &Path) -> io::Result<UnixListener> {
    let temporary_path = socket_path.with_file_name(format!(".oakwind-{}", std::process::id()));
    let _ = std::fs::remove_file(&temporary_path);
    let listener = UnixListener::bind(&temporary_path)?;
    std::fs::rename(&temporary_path, socket_path)?;
    Ok(listener)
}

/// How a connection from another process ended.
#[derive(Debug, PartialEq)]
pub(super) enum HandoverOutcome {
    /// The other process did not request to take over; it may only have checked whether a process serves
    /// here.
    NotRequested,
    /// The successor ended before it took over, and has no state of this process.
    StandbyEnded,
    /// The successor took over and has ended, or the connection to it was lost.
    SuccessorEnded,
    /// The successor took over, and a further process has taken over from it.
    Superseded,
}

/// The connection to another process of this node.
struct Link {
    stream: UnixStream,
    input: BytesMut,
}

impl Link {
    /// Waits for the next message; `None` if the other process has ended or the connection is lost. No input is
    /// lost if the wait is cancelled.
    async fn next_message(&mut self) -> Option<SuccessorMessage> {
        loop {
            if let Some(message) = message::decode_successor(&mut self.input) {
                return Some(message);
            }
            match self.stream.read_buf(&mut self.input).await {
                Ok(0) | Err(_) => return None,
                Ok(_) => {}
            }
        }
    }
}

/// Waits for the next process that connects, and for its first message. `None` if it sends none in time.
async fn next_candidate(listener: &UnixListener) -> Option<(Link, SuccessorMessage)> {
    let stream = match listener.accept().await {
        Ok((stream, _)) => stream,
        Err(error) => {
            log!("handover: connection not accepted, retrying: error={error}");
            clock::until(clock::now() + REPLY_TIMEOUT).await;
            return None;
        }
    };
    let mut link = Link { stream, input: BytesMut::new() };
    let message = tokio::select! {
        message = link.next_message() => message?,
        () = clock::until(clock::now() + REPLY_TIMEOUT) => return None,
    };
    Some((link, message))
}

/// Hands over to the next process that connects, if it requests to take over, now or once it can serve. Returns
/// once the handover has ended.
pub(super) async fn run_handover(listener: &UnixListener, exchange: &Exchange) -> HandoverOutcome {
    match next_candidate(listener).await {
        Some((link, SuccessorMessage::StandBy)) => serve_standby(listener, link, exchange).await,
        Some((link, SuccessorMessage::TakeOver)) => hand_over(link, exchange).await,
        Some((_, SuccessorMessage::Superseded)) | None => HandoverOutcome::NotRequested,
    }
}

/// Hands over to a successor that can serve.
async fn hand_over(link: Link, exchange: &Exchange) -> HandoverOutcome {
    log!("handover: successor takes over, state transfer begins");
    let (updates, queued) = mpsc::channel(MAX_QUEUED_UPDATES);
    let sender = updates.downgrade();
    exchange.begin_handover(updates).await;
    Handover { link, sender, queued, exchange, table_sent: false }.run().await
}

/// Keeps a successor that can't serve yet on standby, until it takes over, this process has to transfer its
/// state because it drains, or another process takes over instead. A second process that stands by is
/// disconnected; it connects again until it can serve.
async fn serve_standby(listener: &UnixListener, mut standby: Link, exchange: &Exchange) -> HandoverOutcome {
    log!("handover: successor stands by until it can serve");
    let (updates, mut queued) = mpsc::channel(MAX_QUEUED_UPDATES);
    let sender = updates.downgrade();
    exchange.successor_stands_by(updates).await;
    let mut next = Box::pin(next_candidate(listener));
    loop {
        tokio::select! {
            table = queued.recv() => {
                let Some(table) = table else { return HandoverOutcome::StandbyEnded };
                log!("handover: draining before the successor can serve, state transfer begins");
                let mut handover = Handover { link: standby, sender, queued, exchange, table_sent: false };
                return match handover.send_update(table).await {
                    Ok(()) => handover.run().await,
                    Err(outcome) => outcome,
                };
            }
            message = standby.next_message() => {
                let take_over = message.filter(|message| *message == SuccessorMessage::TakeOver);
                let Some(updates) = take_over.and_then(|_| sender.upgrade()) else {
                    return HandoverOutcome::StandbyEnded;
                };
                log!("handover: successor takes over, state transfer begins");
                exchange.begin_handover(updates).await;
                return Handover { link: standby, sender, queued, exchange, table_sent: false }.run().await;
            }
            candidate = &mut next => match candidate {
                Some((link, SuccessorMessage::TakeOver)) => {
                    drop(standby);
                    return hand_over(link, exchange).await;
                }
                _ => next = Box::pin(next_candidate(listener)),
            }
        }
    }
}

/// The transfer of state to a successor.
struct Handover<'a> {
    link: Link,
    /// The dispatcher's end of the queue; gone once the dispatcher sends no more updates.
    sender: mpsc::WeakSender<HandoverState>,
    queued: mpsc::Receiver<HandoverState>,
    exchange: &'a Exchange,
    table_sent: bool,
}

impl Handover<'_> {
    /// Sends the table and every later update, until the successor ends or is superseded.
    async fn run(&mut self) -> HandoverOutcome {
        loop {
            tokio::select! {
                update = self.queued.recv() => {
                    let Some(update) = update else { return HandoverOutcome::SuccessorEnded };
                    if let Err(outcome) = self.send_update(update).await {
                        return outcome;
                    }
                }
                message = self.link.next_message() => match message {
                    // The successor got the table while it stood by, and can serve now.
                    Some(SuccessorMessage::TakeOver) => {
                        let Some(updates) = self.sender.upgrade() else { return HandoverOutcome::SuccessorEnded };
                        self.exchange.begin_handover(updates).await;
                    }
                    // After its request a successor sends nothing except that it was superseded.
                    Some(_) => return HandoverOutcome::Superseded,
                    None => return HandoverOutcome::SuccessorEnded,
                },
            }
        }
    }

    /// Writes an update, the first of which is the table, and reports that to the dispatcher.
    async fn send_update(&mut self, update: HandoverState) -> Result<(), HandoverOutcome> {
        let mut output = encode_update(update, !self.table_sent);
        if let Err(error) = self.link.stream.write_all_buf(&mut output).await {
            log!("handover: state not sent to the successor: error={error}");
            return Err(HandoverOutcome::SuccessorEnded);
        }
        self.table_sent = true;
        self.exchange.update_written().await;
        Ok(())
    }
}

fn encode_update(update: HandoverState, is_table: bool) -> BytesMut {
    let mut output = BytesMut::new();
    if is_table {
        message::encode(&mut output, &PredecessorMessage::DigestSeed(update.digest_seed));
    }
    if !update.lost_keys_expire_at.is_zero() {
        let lost = PredecessorMessage::LostKeys { expire_at: update.lost_keys_expire_at };
        message::encode(&mut output, &lost);
    }
    for record in update.records {
        message::encode(&mut output, &PredecessorMessage::Record(record));
    }
    if is_table {
        message::encode(&mut output, &PredecessorMessage::TableComplete);
    }
    output
}
