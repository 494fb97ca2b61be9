//! Calls to the tier below by way of the index.
//!
//! Each call has a connection to itself while it lasts, and a connection whose response is malformed, late or missing is
//! closed. So a fault costs no call but its own.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;

use super::CallBackend;
use crate::clock::{self, UnixTime};
use crate::config::UpstreamAddresses;
use crate::exchange::{CallOutcome, Request, TransactionId};
use crate::line_codec::{self, encode, LineConnection, Message, ProtocolError};
use crate::log;
use crate::sockets;

/// A connection is used again only if it has been idle for less than this. The index closes idle connections, and a call
/// that crosses the close would have no outcome that is known.
const MAX_IDLE: Duration = Duration::from_millis(250);
/// A call without a response is given up this long after its deadline: the index itself reports at the deadline that it
/// was slow.
const RESPONSE_GRACE: Duration = Duration::from_millis(150);
/// A response that has begun is complete after this long, or the connection is closed.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// A connection without a call on it.
struct IdleConnection {
    connection: LineConnection,
    address: SocketAddr,
    since: UnixTime,
    /// The request of the last call. No call for the same request is made here, as a second copy of the last response
    /// would be taken for its own.
    last_txn: TransactionId,
}

/// The client of the index.
pub(crate) struct Index {
    addresses: watch::Receiver<UpstreamAddresses>,
    /// The connection that was used last comes last.
    idle: RefCell<Vec<IdleConnection>>,
    max_idle: usize,
}

impl Index {
    /// A client of the index at the latest address; where that is none, no call reaches anybody. At most `max_idle`
    /// connections are kept for later calls.
    pub(crate) fn new(addresses: watch::Receiver<UpstreamAddresses>, max_idle: usize) -> Rc<Self> {
        Rc::new(Index { addresses, idle: RefCell::default(), max_idle })
    }

    /// Removes and returns an idle connection that can be used for a request.
    fn idle_connection(&self, txn: &TransactionId) -> Option<LineConnection> {
        self.close_stale_connections();
        let mut idle = self.idle.borrow_mut();
        let usable = idle.iter().rposition(|connection| connection.last_txn != *txn)?;
        Some(idle.remove(usable).connection)
    }

    fn keep_idle(&self, connection: LineConnection, address: SocketAddr, last_txn: TransactionId) {
        let mut idle = self.idle.borrow_mut();
        // What comes beside a response belongs to no call.
        if connection.input.is_empty() && idle.len() < self.max_idle {
            idle.push(IdleConnection { connection, address, since: clock::now(), last_txn });
        }
    }

    async fn exchange_messages(
        &self,
        txn: &TransactionId,
        body: &[u8],
        deadline: UnixTime,
    ) -> io::Result<CallOutcome> {
        let Some(address) = self.addresses.borrow().index else { return Ok(CallOutcome::Unreachable) };
        let mut connection = match self.idle_connection(txn) {
            Some(connection) => connection,
            None => match sockets::connect(address, deadline).await {
                Ok(stream) => LineConnection::new(stream),
                // A connection that was never made proves that the call never ran.
                Err(error) => {
                    log!("index: connection failed: address={address} error={error}");
                    return Ok(CallOutcome::Unreachable);
                }
            },
        };
        let remaining_ms = deadline.saturating_sub(clock::now()).as_millis().max(1).to_string();
        encode(&mut connection.output, &[b"GET", txn.as_bytes(), remaining_ms.as_bytes()], Some(body));
        let outcome = receive_response(&mut connection, txn, deadline).await?;
        if let Some(outcome) = outcome {
            self.keep_idle(connection, address, txn.clone());
            return Ok(outcome);
        }
        Ok(CallOutcome::TimedOut)
    }
}

/// Waits for the response to the call for a request; none where nothing comes in time.
async fn receive_response(
    connection: &mut LineConnection,
    txn: &TransactionId,
    deadline: UnixTime,
) -> io::Result<Option<CallOutcome>> {
    let give_up_at = deadline + RESPONSE_GRACE;
    let mut incomplete_since = None;
    loop {
        while let Some(message) = line_codec::decode(&mut connection.input, has_body)? {
            let outcome = decode_outcome(&message)?;
            if message.field(0) == txn.as_bytes() {
                return Ok(Some(outcome));
            }
            let received = TransactionId::from(message.field(0));
            log!("index: unexpected response ignored: txn={received}");
            incomplete_since = None;
        }
        incomplete_since =
            if connection.input.is_empty() { None } else { incomplete_since.or_else(|| Some(clock::now())) };
        let read_until =
            incomplete_since.map_or(give_up_at, |since| (since + RESPONSE_TIMEOUT).min(give_up_at));
        tokio::select! {
            transferred = connection.transfer() => transferred?,
            () = clock::until(read_until) => {
                return if incomplete_since.is_some() {
                    Err(ProtocolError::Incomplete.into())
                } else {
                    Ok(None)
                };
            }
        }
    }
}

fn decode_outcome(message: &Message) -> Result<CallOutcome, ProtocolError> {
    match (&message.field(1)[..], &message.body) {
        (b"HIT", Some(reply)) => Ok(CallOutcome::Ok(reply.clone())),
        (b"SHED", _) => Ok(CallOutcome::Rejected),
        (b"BROKEN", _) => Ok(CallOutcome::Failed),
        (b"SLOW", _) => Ok(CallOutcome::TimedOut),
        (b"NOBODY", _) => Ok(CallOutcome::Unreachable),
        _ => Err(message.protocol_error()),
    }
}

fn has_body(fields: &mut dyn Iterator<Item = &[u8]>) -> bool {
    fields.nth(1) == Some(b"HIT")
}

impl CallBackend for Index {
    async fn call(self: Rc<Self>, request: Rc<Request>, body: Bytes, deadline: UnixTime) -> CallOutcome {
        let outcome = self.exchange_messages(&request.txn, &body, deadline).await;
        outcome.unwrap_or_else(|error| {
            log!("index: connection lost during a call: txn={} error={error}", request.txn);
            CallOutcome::CutOff
        })
    }

    fn close_stale_connections(&self) {
        let oldest = clock::now().saturating_sub(MAX_IDLE);
        let address = self.addresses.borrow().index;
        self.idle
            .borrow_mut()
            .retain(|idle| idle.since > oldest && Some(idle.address) == address && idle.connection.is_idle());
    }
}
