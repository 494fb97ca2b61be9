//! The successor's side of a handover: this process takes over from the process that serves.

use std::io;
use std::path::PathBuf;

use bytes::BytesMut;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;

use super::message::{self, PredecessorMessage, REPLY_TIMEOUT, SUPERSEDED, TAKE_OVER};
use crate::clock;
use crate::exchange::{Exchange, HandoverState};
use crate::line_codec::ProtocolError;
use crate::log;

/// Takes over from the predecessor and passes its table and later outcomes to the dispatcher. Returns once
/// the predecessor has ended or the state transfer has failed.
pub(crate) async fn take_over(socket_path: PathBuf, exchange: Exchange) {
    let received = async {
        let mut predecessor = UnixStream::connect(socket_path).await?;
        receive_state(&mut predecessor, &exchange).await
    };
    match received.await {
        Ok(()) => log!("handover: predecessor ended, state transfer complete"),
        Err(error) => log!("handover: state transfer from the predecessor incomplete: error={error}"),
    }
    exchange.predecessor_done().await;
}

/// Why the state transfer from the predecessor did not complete.
#[derive(Debug, Error)]
enum HandoverError {
    /// Connecting, reading or writing failed.
    #[error("connection to the predecessor failed: {0}")]
    Connection(#[from] io::Error),
    /// The predecessor sent a line that is not a valid message.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The predecessor ended before it had sent its whole table.
    #[error("the predecessor ended before it had sent its whole table of keys")]
    PredecessorEnded,
    /// The predecessor did not send its whole table in time.
    #[error("the predecessor did not send its whole table of keys within {REPLY_TIMEOUT:?}")]
    TimedOut,
}

/// State that was received from the predecessor and not yet passed to the dispatcher.
#[derive(Default)]
struct Received {
    state: HandoverState,
    table_complete: bool,
}

impl Received {
    fn decode(&mut self, input: &mut BytesMut) -> Result<(), ProtocolError> {
        while let Some(message) = message::decode(input)? {
            match message {
                PredecessorMessage::DigestSeed(seed) => self.state.digest_seed = seed,
                PredecessorMessage::Record(record) => self.state.records.push(record),
                PredecessorMessage::TableComplete => self.table_complete = true,
            }
        }
        Ok(())
    }

    /// Removes and returns the state to pass to the dispatcher now: none before the table is complete, then
    /// each record once. An empty table is passed as well, because the dispatcher waits for it.
    fn drain_ready(&mut self, exchange: &Exchange) -> Option<HandoverState> {
        let is_awaited = !self.state.records.is_empty() || exchange.status().borrow().awaiting_state;
        if !self.table_complete || !is_awaited {
            return None;
        }
        let records = std::mem::take(&mut self.state.records);
        Some(HandoverState { digest_seed: self.state.digest_seed, records })
    }
}

/// Receives the predecessor's state until the predecessor ends. It is an error if it ends before its table is
/// complete.
async fn receive_state(predecessor: &mut UnixStream, exchange: &Exchange) -> Result<(), HandoverError> {
    predecessor.write_all(TAKE_OVER).await?;
    let table_deadline = clock::now() + REPLY_TIMEOUT;
    let mut status = exchange.status();
    let mut input = BytesMut::new();
    let mut received = Received::default();
    let mut is_superseded = false;
    let mut superseded_sent = false;
    loop {
        received.decode(&mut input)?;
        if let Some(state) = received.drain_ready(exchange) {
            exchange.receive_state(state).await;
        }
        tokio::select! {
            read = predecessor.read_buf(&mut input) => match read? {
                0 if received.table_complete => return Ok(()),
                0 => return Err(HandoverError::PredecessorEnded),
                _ => {}
            },
            handed_over = status.wait_for(|status| status.handed_over), if !is_superseded => {
                is_superseded = handed_over.is_ok();
            }
            () = clock::until(table_deadline), if !received.table_complete => {
                return Err(HandoverError::TimedOut);
            }
        }
        if is_superseded && !superseded_sent {
            superseded_sent = true;
            predecessor.write_all(SUPERSEDED).await?;
        }
    }
}
