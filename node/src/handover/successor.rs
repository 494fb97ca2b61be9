//! The successor's side: this process takes over from the one that serves.

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

/// Takes over, and passes on to the dispatcher what the predecessor knows and goes on to report. Returns once the
/// predecessor has ended.
pub(crate) async fn take_over(socket_path: PathBuf, exchange: Exchange) {
    let received = async {
        let mut predecessor = UnixStream::connect(socket_path).await?;
        receive_state(&mut predecessor, &exchange).await
    };
    match received.await {
        Ok(()) => log!("handover: the predecessor has ended"),
        Err(error) => log!("handover: the state of the predecessor is incomplete: error={error}"),
    }
    exchange.predecessor_done().await;
}

/// Why the predecessor's state is not, or not completely, known.
#[derive(Debug, Error)]
enum HandoverError {
    /// The connection failed.
    #[error("connection failed: {0}")]
    Connection(#[from] io::Error),
    /// The predecessor sent what is no message of the handover.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The predecessor ended before it had sent its whole table.
    #[error("the predecessor ended before its table was complete")]
    PredecessorEnded,
    /// The predecessor did not send its whole table in time.
    #[error("the table was not complete within {REPLY_TIMEOUT:?}")]
    TimedOut,
}

/// What has been received and not yet passed on.
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

    /// What the dispatcher is to get now: nothing before the table is complete, then every record once. The table is
    /// passed on even if it is empty, as the dispatcher waits for it.
    fn drain_ready(&mut self, exchange: &Exchange) -> Option<HandoverState> {
        let is_awaited = !self.state.records.is_empty() || exchange.status().borrow().awaiting_state;
        if !self.table_complete || !is_awaited {
            return None;
        }
        let records = std::mem::take(&mut self.state.records);
        Some(HandoverState { digest_seed: self.state.digest_seed, records })
    }
}

/// Receives the predecessor's state until that ends. Ending before its table is complete is an error.
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
