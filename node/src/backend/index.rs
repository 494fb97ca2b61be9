//! The client of the index, which answers calls to the tier below.
//!
//! A connection carries one call at a time and is closed if the response is malformed, late or missing. A
//! fault therefore affects only the call during which it occurs.

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

/// A connection is reused only if it has been idle for less than this. The index closes idle connections, and
/// a call that crosses the close would have an unknown outcome.
const MAX_IDLE: Duration = Duration::from_millis(250);
/// Time after the deadline of a call at which it is given up without a response. The index reports a slow
/// call at the deadline itself, and this leaves time for that report to arrive.
const RESPONSE_GRACE: Duration = Duration::from_millis(150);
/// Time in which a response that has begun must be complete; otherwise the connection is closed.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);

/// An open connection that no call uses.
struct IdleConnection {
    connection: LineConnection,
    address: SocketAddr,
    since: UnixTime,
    /// The request of the last call on the connection. The next call must be for another request: a duplicate
    /// of the last response would be taken for the response to a second call of the same request.
    last_txn: TransactionId,
}

/// The client of the index.
pub(crate) struct Index {
    addresses: watch::Receiver<UpstreamAddresses>,
    /// Idle connections; the most recently used one comes last.
    idle: RefCell<Vec<IdleConnection>>,
    max_idle: usize,
}

impl Index {
    /// Creates a client that uses the latest address of the index; without an address every call is
    /// unreachable. At most `max_idle` connections are kept open for later calls.
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
        // Input after the response belongs to no call, so the connection is closed.
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
                // The call was never sent, so it can't have run.
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

/// Waits for the response to the call of a request; none if no response begins in time.
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
