//! The deadlines of a connection: incomplete messages, unread responses, idle connections and draining.

use std::io;

use super::{Closing, Connection, DRAINING_IDLE_TIMEOUT, MAX_WAIT};
use crate::clock::{self, UnixTime};
use crate::frontend::connection_limiter::{ConnectionState, MESSAGE_TIMEOUT};
use crate::frontend::jsonrpc::response::write_draining;

impl Connection {
    /// Applies all deadlines and the node's status to the connection. Returns when to do so again at the
    /// latest; none if the connection is to close.
    pub(super) async fn check_deadlines(&mut self, input_is_empty: bool) -> io::Result<Option<UnixTime>> {
        if self.draining_since.is_none() && self.is_draining() {
            self.announce_close();
        }
        self.check_message_deadline(input_is_empty);
        let is_closing = self.is_quiet() && (self.closing > Closing::No || self.check_idle_timeout());
        if is_closing && (self.stops_reading() || self.is_final_check) {
            return Ok(None);
        }
        self.is_final_check = is_closing;
        if is_closing {
            // A message may just be arriving: the socket is polled once more before the connection closes.
            tokio::task::yield_now().await;
        }
        self.publish_state();
        let now = clock::now();
        let write_deadline = self.backlog.deadline(self.output.len(), now);
        if write_deadline.is_some_and(|deadline| now >= deadline) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        Ok(Some(if is_closing { now } else { self.next_deadline(write_deadline) }))
    }

    /// Whether the client is to use another node. A client that connected during the drain did so
    /// deliberately and stays for as long as connections are accepted.
    fn is_draining(&self) -> bool {
        let status = self.status.borrow();
        let stays = self.opened_while_draining && status.accepting;
        status.handed_over || (status.draining.is_some() && !stays)
    }

    /// Whether no request is open and nothing is to be written.
    fn is_quiet(&self) -> bool {
        self.open.is_empty() && self.output.is_empty()
    }

    /// Reports the state of the connection to the connection limiter.
    fn publish_state(&self) {
        self.guard.set_state(if !self.open.is_empty() {
            ConnectionState::Busy
        } else if !self.output.is_empty() {
            ConnectionState::Flushing
        } else if self.is_proven {
            ConnectionState::Idle
        } else {
            ConnectionState::Unproven
        });
    }

    fn next_deadline(&self, write_deadline: Option<UnixTime>) -> UnixTime {
        let idle_deadline = Some(self.idle_deadline());
        [idle_deadline, self.message_deadline, write_deadline].into_iter().flatten().min().unwrap_or_default()
    }

    /// The time at which the connection will have been idle for too long.
    fn idle_deadline(&self) -> UnixTime {
        let (since, timeout) = match self.draining_since {
            Some(told) => (told.max(self.last_used), Some(DRAINING_IDLE_TIMEOUT)),
            None => (self.last_used, self.status.borrow().idle_timeout),
        };
        // An incomplete message has its own deadline.
        let is_idle = self.is_quiet() && self.message_deadline.is_none();
        since + timeout.filter(|_| is_idle).unwrap_or(MAX_WAIT)
    }

    /// Whether the connection has been idle for too long since its client was notified. At the first timeout
    /// it only sends the notification: a client that then closes the connection itself loses no request by
    /// the close.
    fn check_idle_timeout(&mut self) -> bool {
        if clock::now() < self.idle_deadline() {
            return false;
        }
        if self.draining_since.is_none() {
            self.announce_close();
            return false;
        }
        true
    }

    /// Begins to close a connection whose message is not complete in time, unless other requests are open: until they have
    /// their responses the connection can't be closed, and whatever is written whole to it must be answered.
    fn check_message_deadline(&mut self, input_is_empty: bool) {
        let now = clock::now();
        if self.message_deadline.is_none_or(|deadline| now < deadline) {
            return;
        }
        if !input_is_empty && !self.open.is_empty() {
            self.message_deadline = Some(now + MESSAGE_TIMEOUT);
            return;
        }
        self.message_deadline = None;
        if input_is_empty {
            self.announce_close();
            self.close_when_idle();
        } else {
            self.fail("the message did not end in time");
        }
    }

    /// Notifies the client that it is to send no more requests on this connection.
    pub(super) fn announce_close(&mut self) {
        self.draining_since = Some(clock::now());
        write_draining(&mut self.output);
    }
}
