//! The successor's side of a handover: this process takes over from the process that serves.

use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::BytesMut;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::UnixStream;
use tokio::sync::watch;

use super::message::{self, PredecessorMessage, STAND_BY, SUPERSEDED, TAKE_OVER};
use crate::clock;
use crate::exchange::{Exchange, HandoverState};
use crate::line_codec::ProtocolError;
use crate::log;

/// Delay between two connections to a predecessor that closes them. One of an earlier release does so until this
/// process can serve.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(100);

/// Takes over from the predecessor once this process is `listening`, and passes the predecessor's table and later
/// outcomes to the dispatcher. The table comes earlier if the predecessor drains before that. Returns once the
/// predecessor has ended. A predecessor that is silent has not ended, and keys that it has run may be unknown here
/// until it sends its table.
pub(crate) async fn take_over(socket_path: PathBuf, exchange: Exchange, listening: watch::Receiver<bool>) {
    loop {
        let mut received = Received::default();
        match receive_from(&socket_path, &exchange, listening.clone(), &mut received).await {
            Ok(()) => {
                log!("handover: predecessor ended, state transfer complete");
                break;
            }
            Err(error) if received.table_complete || error.is_end_of_predecessor() => {
                log!("handover: state transfer from the predecessor incomplete: error={error}");
                break;
            }
            // A process still waits for its successor, so the keys are not lost.
            Err(error) => log!("handover: connection to the predecessor lost, retrying: error={error}"),
        }
        clock::until(clock::now() + RECONNECT_INTERVAL).await;
    }
    exchange.predecessor_done().await;
}

/// Why the state transfer from the predecessor did not complete.
#[derive(Debug, Error)]
enum HandoverError {
    /// No process waits for a successor.
    #[error("connection to the predecessor failed: {0}")]
    NoPredecessor(#[source] io::Error),
    /// Reading or writing failed.
    #[error("connection to the predecessor failed: {0}")]
    Connection(#[from] io::Error),
    /// The predecessor sent a line that is not a valid message.
    #[error(transparent)]
    Protocol(#[from] ProtocolError),
    /// The predecessor closed the connection before it had sent its whole table.
    #[error("the predecessor ended before it had sent its whole table of keys")]
    PredecessorEnded,
}

impl HandoverError {
    /// Whether the predecessor has ended. Any other error leaves it possible that it lives and has the keys.
    fn is_end_of_predecessor(&self) -> bool {
        matches!(self, HandoverError::NoPredecessor(_))
    }
}

/// What was received from the predecessor.
#[derive(Default)]
struct Received {
    /// State that was not yet passed to the dispatcher.
    state: HandoverState,
    table_complete: bool,
    table_passed: bool,
}

impl Received {
    fn decode(&mut self, input: &mut BytesMut) -> Result<(), ProtocolError> {
        while let Some(message) = message::decode(input)? {
            match message {
                PredecessorMessage::DigestSeed(seed) => self.state.digest_seed = seed,
                PredecessorMessage::Record(record) => self.state.records.push(record),
                PredecessorMessage::LostKeys { expire_at } => self.state.lost_keys_expire_at = expire_at,
                PredecessorMessage::TableComplete => self.table_complete = true,
            }
        }
        Ok(())
    }

    /// Removes and returns the state to pass to the dispatcher now: none before the table is complete, then
    /// each record once. An empty table is passed as well, because the dispatcher waits for it.
    fn drain_ready(&mut self) -> Option<HandoverState> {
        let has_news = !self.state.records.is_empty() || !self.table_passed;
        if !self.table_complete || !has_news {
            return None;
        }
        self.table_passed = true;
        let records = std::mem::take(&mut self.state.records);
        Some(HandoverState { records, ..self.state })
    }
}

/// Connects to the predecessor and receives its state until it ends. It is an error if the connection ends before
/// the table is complete.
async fn receive_from(
    socket_path: &Path,
    exchange: &Exchange,
    mut listening: watch::Receiver<bool>,
    received: &mut Received,
) -> Result<(), HandoverError> {
    let mut predecessor = connect(socket_path).await?;
    let mut status = exchange.status();
    let mut input = BytesMut::new();
    let mut take_over_sent = false;
    let mut superseded_sent = false;
    if !*listening.borrow() {
        predecessor.write_all(STAND_BY).await?;
    }
    loop {
        received.decode(&mut input)?;
        if let Some(state) = received.drain_ready() {
            exchange.receive_state(state).await;
        }
        tokio::select! {
            biased;
            Ok(_) = listening.wait_for(|listening| *listening), if !take_over_sent => {
                take_over_sent = true;
                predecessor.write_all(TAKE_OVER).await?;
            }
            read = predecessor.read_buf(&mut input) => match read? {
                0 if received.table_complete => return Ok(()),
                0 => return Err(HandoverError::PredecessorEnded),
                _ => {}
            },
            Ok(_) = status.wait_for(|status| status.handed_over), if !superseded_sent => {
                superseded_sent = true;
                predecessor.write_all(SUPERSEDED).await?;
            }
        }
    }
}

async fn connect(socket_path: &Path) -> Result<UnixStream, HandoverError> {
    UnixStream::connect(socket_path).await.map_err(|error| match error.kind() {
        io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused => HandoverError::NoPredecessor(error),
        _ => HandoverError::Connection(error),
    })
}
