//! The life of one connection: reading, deadlines, requests and their responses, closing.

use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

use super::message::{Message, Withdrawal};
use super::request;
use super::response::{write_draining, write_health, write_outcome, ErrorCode, ErrorResponse, RpcError};
use crate::class_registry::ClassRegistry;
use crate::clock::{self, UnixTime};
use crate::exchange::{Exchange, NodeStatus, Request, RequestOutcome, Responder, SubmissionId};
use crate::frontend::connection_limiter::{ConnectionGuard, ConnectionState, MESSAGE_TIMEOUT};
use crate::frontend::lingering_close;
use crate::frontend::write_backlog::WriteBacklog;
use crate::log;

/// Requests that may be open on one connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// Longest line, in bytes; a body of 2 KiB in base64 and all other fields take a quarter of it.
const MAX_LINE_BYTES: usize = 16 * 1024;
/// While so many bytes are unwritten nothing more is read: a client that reads nothing does not fill the memory.
const MAX_UNWRITTEN_BYTES: usize = 64 * 1024;
/// Free space that is kept in the read buffer for each read, in bytes.
const READ_CHUNK_BYTES: usize = 4096;
/// A connection is closed after so many faulty messages in a row: a client that sends them at full speed does not take
/// the core.
const MAX_CONSECUTIVE_ERRORS: u32 = 16;
/// A connection whose client was told that it closes, and which stays idle, is closed after this long.
const DRAINING_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// How soon a connection is looked at again where nothing is to end before that.
const MAX_WAIT: Duration = Duration::from_secs(3600);
/// Bytes of a faulty message that are logged.
const MAX_LOGGED_BYTES: usize = 120;

/// A request that has no response yet.
struct OpenRequest {
    /// The id as it was sent.
    id: Bytes,
    submission: SubmissionId,
}

/// One connection of a client.
struct Connection {
    exchange: Exchange,
    registry: Rc<ClassRegistry>,
    status: watch::Receiver<NodeStatus>,
    guard: ConnectionGuard,
    /// Where outcomes come from, each with the tag of its request.
    outcomes: mpsc::Sender<(u64, RequestOutcome)>,
    /// Open requests by tag.
    open: HashMap<u64, OpenRequest>,
    next_tag: u64,
    output: BytesMut,
    backlog: WriteBacklog,
    /// Whether the node was draining already when the client connected.
    opened_while_draining: bool,
    /// When the client was told that the connection closes.
    draining_since: Option<UnixTime>,
    last_used: UnixTime,
    /// Whether the client has sent something that could be served.
    is_proven: bool,
    /// When the first message, or the one that has begun, is to be complete.
    message_deadline: Option<UnixTime>,
    consecutive_errors: u32,
    /// Close once all responses are written, unless one more request comes before that.
    close_when_idle: bool,
    /// Read nothing more, and close once all responses are written.
    stop_reading: bool,
    /// The connection is about to close, and the system is asked once more whether a message has arrived.
    is_final_check: bool,
}

/// Serves one connection to its end.
pub async fn serve(
    mut stream: TcpStream,
    guard: ConnectionGuard,
    exchange: Exchange,
    registry: Rc<ClassRegistry>,
) {
    // A withdrawn request may hold its place in the channel for a moment longer than it is open.
    let (sender, outcomes) = mpsc::channel(2 * MAX_OPEN_REQUESTS);
    let mut connection = Connection::new(guard, exchange, registry, sender);
    let ended = connection.run(&mut stream, outcomes).await;
    // Whatever ended the connection, nobody waits any more for what is still open on it.
    for request in std::mem::take(&mut connection.open).into_values() {
        connection.exchange.cancelled(request.submission).await;
    }
    if ended.is_ok() {
        // The connection is closed either way.
        let _ = lingering_close(&mut stream, &connection.guard).await;
    }
}

impl Connection {
    fn new(
        guard: ConnectionGuard,
        exchange: Exchange,
        registry: Rc<ClassRegistry>,
        outcomes: mpsc::Sender<(u64, RequestOutcome)>,
    ) -> Self {
        let (status, now) = (exchange.status(), clock::now());
        let opened_while_draining = status.borrow().draining.is_some();
        Connection {
            exchange,
            registry,
            status,
            guard,
            outcomes,
            open: HashMap::new(),
            next_tag: 1,
            output: BytesMut::new(),
            backlog: WriteBacklog::default(),
            opened_while_draining,
            draining_since: None,
            last_used: now,
            is_proven: false,
            message_deadline: Some(now + MESSAGE_TIMEOUT),
            consecutive_errors: 0,
            close_when_idle: false,
            stop_reading: false,
            is_final_check: false,
        }
    }

    /// Reads, submits and responds until the connection is to close.
    async fn run(
        &mut self,
        stream: &mut TcpStream,
        mut outcomes: mpsc::Receiver<(u64, RequestOutcome)>,
    ) -> io::Result<()> {
        let (mut reader, mut writer) = stream.split();
        let mut input = BytesMut::new();
        while let Some(wake_at) = self.check_deadlines(input.is_empty()).await? {
            let reading = !self.stop_reading && self.output.len() < MAX_UNWRITTEN_BYTES;
            input.reserve(READ_CHUNK_BYTES);
            tokio::select! {
                biased;
                written = writer.write_buf(&mut self.output), if !self.output.is_empty() => {
                    match written? {
                        0 => return Err(io::ErrorKind::WriteZero.into()),
                        bytes => self.backlog.record_write(bytes),
                    }
                }
                Some((tag, outcome)) = outcomes.recv() => {
                    self.respond(tag, &outcome);
                    while let Ok((tag, outcome)) = outcomes.try_recv() {
                        self.respond(tag, &outcome);
                    }
                }
                read = reader.read_buf(&mut input), if reading => {
                    if read? == 0 {
                        return Ok(());
                    }
                    self.process_input(&mut input).await;
                }
                // Comes after reading, so that what has arrived is served. A client sends a request that crosses the
                // close again, once.
                () = self.guard.evicted() => {
                    // A client that does not read its responses keeps no slot that another one needs.
                    if self.open.is_empty() && !self.output.is_empty() {
                        return Ok(());
                    }
                    self.close_when_idle |= self.open.is_empty();
                }
                changed = self.status.changed() => if changed.is_err() { return Ok(()) },
                () = clock::until(wake_at) => {}
            }
        }
        Ok(())
    }

    /// Applies what depends on time and on the node's status. Returns when to do so again at the latest; none if the
    /// connection is to close.
    async fn check_deadlines(&mut self, input_is_empty: bool) -> io::Result<Option<UnixTime>> {
        if self.draining_since.is_none() && self.is_draining() {
            self.announce_close();
        }
        self.check_message_deadline(input_is_empty);
        let is_closing =
            self.is_quiet() && (self.stop_reading || self.close_when_idle || self.check_idle_timeout());
        if is_closing && (self.stop_reading || self.is_final_check) {
            return Ok(None);
        }
        self.is_final_check = is_closing;
        if is_closing {
            // A message may arrive in this moment: the system is asked once more before the connection closes.
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

    /// Whether the client is to go elsewhere. One that connected during the drain came on purpose and stays for as long
    /// as connections are accepted.
    fn is_draining(&self) -> bool {
        let status = self.status.borrow();
        let stays = self.opened_while_draining && status.accepting;
        status.handed_over || (status.draining.is_some() && !stays)
    }

    /// Whether no request is open and nothing is to be written.
    fn is_quiet(&self) -> bool {
        self.open.is_empty() && self.output.is_empty()
    }

    /// Tells the connection limiter what the connection is doing.
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

    /// When the connection has been idle for too long.
    fn idle_deadline(&self) -> UnixTime {
        let (since, timeout) = match self.draining_since {
            Some(told) => (told.max(self.last_used), Some(DRAINING_IDLE_TIMEOUT)),
            None => (self.last_used, self.status.borrow().idle_timeout),
        };
        // An incomplete message has a deadline of its own.
        let is_idle = self.is_quiet() && self.message_deadline.is_none();
        since + timeout.filter(|_| is_idle).unwrap_or(MAX_WAIT)
    }

    /// Whether the connection has been idle for too long and its client was told before: a client that closes the
    /// connection itself loses no request to it.
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

    /// Begins to close a connection whose message is not complete in time.
    fn check_message_deadline(&mut self, input_is_empty: bool) {
        if self.message_deadline.is_none_or(|deadline| clock::now() < deadline) {
            return;
        }
        self.message_deadline = None;
        if input_is_empty {
            self.announce_close();
            self.close_when_idle = true;
        } else {
            self.fail("the message did not end in time");
        }
    }

    fn announce_close(&mut self) {
        self.draining_since = Some(clock::now());
        write_draining(&mut self.output);
    }

    /// Responds with an error, reads nothing more, and closes once all open requests have their responses.
    fn fail(&mut self, message: &'static str) {
        RpcError::invalid_request(message).without_id().write(&mut self.output);
        self.consecutive_errors += 1;
        self.stop_reading = true;
    }

    async fn process_input(&mut self, input: &mut BytesMut) {
        self.last_used = clock::now();
        let lines = self.process_lines(input).await;
        // A request that came before the close keeps the connection. Anything else was the last that is read.
        self.stop_reading |= self.close_when_idle && self.open.is_empty();
        self.close_when_idle &= self.stop_reading;
        // The deadline of an incomplete message counts from its first byte.
        let running = if lines > 0 { None } else { self.message_deadline };
        self.message_deadline = running.or((!input.is_empty()).then(|| self.last_used + MESSAGE_TIMEOUT));
        if lines > 1 {
            // Other connections have their turn beside a client that sends without a pause.
            tokio::task::yield_now().await;
        }
    }

    /// Serves all complete lines; returns how many there were.
    async fn process_lines(&mut self, input: &mut BytesMut) -> usize {
        let mut lines = 0;
        while let Some(end) = input.iter().position(|byte| *byte == b'\n') {
            lines += 1;
            let line = input.split_to(end + 1).freeze();
            if line.len() > MAX_LINE_BYTES {
                self.fail("the line is too long");
                break;
            }
            if line.iter().all(u8::is_ascii_whitespace) {
                continue;
            }
            match self.process_line(&line).await {
                Ok(()) => self.consecutive_errors = 0,
                Err(response) => self.respond_with_error(&response, &line),
            }
            if self.consecutive_errors >= MAX_CONSECUTIVE_ERRORS {
                self.fail("too many messages that can't be served");
                break;
            }
        }
        if !self.stop_reading && input.len() > MAX_LINE_BYTES {
            self.fail("the line is too long");
        }
        lines
    }

    fn respond_with_error(&mut self, response: &ErrorResponse, line: &[u8]) {
        let RpcError { code, message } = response.error;
        let start = line[..line.len().min(MAX_LOGGED_BYTES)].escape_ascii();
        log!("jsonrpc: message rejected: code={} error={message:?} line={start}", code as i32);
        response.write(&mut self.output);
        // A proven client may use a class that a reload is still to bring.
        let may_be_early = matches!(code, ErrorCode::MethodNotFound | ErrorCode::InvalidParams);
        if !(self.is_proven && may_be_early) {
            self.consecutive_errors += 1;
        }
    }

    async fn process_line(&mut self, line: &Bytes) -> Result<(), ErrorResponse> {
        let Message { id, method, params } = Message::decode(line)?;
        match &method[..] {
            "status" => {
                self.is_proven = true;
                if let Some(id) = id {
                    let healthy = self.status.borrow().healthy();
                    write_health(&mut self.output, &id, healthy);
                }
                Ok(())
            }
            "withdraw" => {
                let withdrawal = Withdrawal::decode(params).map_err(|e| e.in_reply_to(id.as_ref()))?;
                self.withdraw(&withdrawal).await;
                Ok(())
            }
            class => self.process_request(id, class, params, line).await,
        }
    }

    async fn process_request(
        &mut self,
        id: Option<Bytes>,
        class: &str,
        params: &str,
        line: &Bytes,
    ) -> Result<(), ErrorResponse> {
        let Some(class) = self.registry.class_index(class, clock::now()) else {
            let error = RpcError { code: ErrorCode::MethodNotFound, message: "no such method" };
            return Err(error.in_reply_to(id.as_ref()));
        };
        // Without an id no response is possible, so nothing is run, and the client learns why.
        let Some(id) = id else {
            return Err(RpcError::invalid_request("a request has an id").without_id());
        };
        if self.open.values().any(|open| open.id == id) {
            return Err(RpcError::invalid_request("the id is in use").without_id());
        }
        let request = request::decode(&self.registry, class, params, line);
        let request = request.map_err(|e| e.in_reply_to(Some(&id)))?;
        self.submit(id, request).await
    }

    async fn submit(&mut self, id: Bytes, request: Request) -> Result<(), ErrorResponse> {
        let tag = self.next_tag;
        self.next_tag += 1;
        let responder = Responder::new(&self.outcomes, tag);
        let Some(responder) = responder.filter(|_| self.open.len() < MAX_OPEN_REQUESTS) else {
            return Err(RpcError::invalid_request("32 requests are open here").in_reply_to(Some(&id)));
        };
        self.is_proven = true;
        let submission = self.exchange.submit(request, responder).await;
        self.open.insert(tag, OpenRequest { id, submission });
        Ok(())
    }

    async fn withdraw(&mut self, withdrawal: &Withdrawal<'_>) {
        let named = |open: &OpenRequest| withdrawal.names(&open.id, &open.submission.txn);
        // A request that got its response meanwhile is not open any more.
        let Some(tag) = self.open.iter().find(|(_, open)| named(open)).map(|(tag, _)| *tag) else { return };
        if let Some(open) = self.open.remove(&tag) {
            self.exchange.cancelled(open.submission).await;
        }
    }

    fn respond(&mut self, tag: u64, outcome: &RequestOutcome) {
        // A request that was withdrawn meanwhile gets no response.
        let Some(open) = self.open.remove(&tag) else { return };
        self.last_used = clock::now();
        write_outcome(&mut self.output, &open.id, outcome);
    }
}
