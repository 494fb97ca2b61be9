//! Serves one connection: reads requests, writes responses, and closes it.

mod buffers;
mod deadlines;
mod requests;

use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

use super::response::RpcError;
use crate::class_registry::ClassRegistry;
use crate::clock::{self, UnixTime};
use crate::exchange::{Answer, Exchange, NodeStatus, RequestTag, SubmissionId};
use crate::frontend::connection_limiter::{ConnectionGuard, MESSAGE_TIMEOUT};
use crate::frontend::write_backlog::WriteBacklog;
use crate::frontend::{has_client_left, lingering_close, poll_new_connection};

/// Maximum number of open requests on one connection.
const MAX_OPEN_REQUESTS: usize = 32;
/// Maximum length of a line, in bytes. A body of 2 KiB in base64 and all other fields take a quarter of it.
const MAX_LINE_BYTES: usize = 16 * 1024;
/// Number of unwritten bytes from which nothing more is read, so that a client that reads no responses can't
/// fill the memory.
const MAX_UNWRITTEN_BYTES: usize = 64 * 1024;
/// Number of consecutive invalid messages after which a connection is closed, so that a client that sends
/// them at full speed can't occupy the core.
const MAX_CONSECUTIVE_ERRORS: u32 = 16;
/// Time for which a connection may stay idle after the notification `draining` before it is closed.
const DRAINING_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest wait until the deadlines of a connection are checked again.
const MAX_WAIT: Duration = Duration::from_secs(3600);
/// Maximum number of bytes of an invalid message that are logged.
const MAX_LOGGED_BYTES: usize = 120;

/// A request that has no response yet.
struct OpenRequest {
    /// The JSON-RPC id as it was sent.
    id: Bytes,
    submission: SubmissionId,
}

/// Whether the connection is about to close.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Closing {
    /// The connection stays open.
    No,
    /// The connection closes once all responses are written, unless another request arrives before that.
    WhenIdle,
    /// Nothing more is read, and the connection closes once all responses are written.
    StopReading,
}

/// One connection of a client.
struct Connection {
    exchange: Exchange,
    registry: Rc<ClassRegistry>,
    status: watch::Receiver<NodeStatus>,
    guard: ConnectionGuard,
    /// The queue of answers, in which each request reserves a place.
    answers: mpsc::Sender<Answer>,
    open: HashMap<RequestTag, OpenRequest>,
    next_tag: RequestTag,
    output: BytesMut,
    backlog: WriteBacklog,
    /// Whether the node was draining already when the client connected.
    opened_while_draining: bool,
    /// When the notification `draining` was written.
    draining_since: Option<UnixTime>,
    last_used: UnixTime,
    /// Whether the client has sent a message that could be served.
    is_proven: bool,
    /// Time by which the first message, or the one that has begun, must be complete.
    message_deadline: Option<UnixTime>,
    consecutive_errors: u32,
    /// Whether the client has closed the connection, although not all that it sent has been read.
    client_has_left: bool,
    closing: Closing,
    /// Whether the connection is about to close, unless a last poll of the socket finds input.
    is_final_check: bool,
}

/// Serves one connection until it is closed.
pub(crate) async fn serve(
    mut stream: TcpStream,
    guard: ConnectionGuard,
    exchange: Exchange,
    registry: Rc<ClassRegistry>,
) {
    // A withdrawn request may keep its place in the channel for a moment after it is no longer open.
    let (answer_sender, answers) = mpsc::channel(2 * MAX_OPEN_REQUESTS);
    let mut connection = Connection::new(guard, exchange, registry, answer_sender);
    poll_new_connection().await;
    let ended = connection.run(&mut stream, answers).await;
    // Whatever ended the connection, the client no longer waits for the requests that are still open.
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
        answers: mpsc::Sender<Answer>,
    ) -> Self {
        let status = exchange.status();
        let now = clock::now();
        let opened_while_draining = status.borrow().draining.is_some();
        Connection {
            exchange,
            registry,
            status,
            guard,
            answers,
            open: HashMap::new(),
            next_tag: RequestTag(1),
            output: BytesMut::new(),
            backlog: WriteBacklog::default(),
            opened_while_draining,
            draining_since: None,
            last_used: now,
            is_proven: false,
            message_deadline: Some(now + MESSAGE_TIMEOUT),
            consecutive_errors: 0,
            client_has_left: false,
            closing: Closing::No,
            is_final_check: false,
        }
    }

    /// Reads, submits and responds until the connection is to close.
    async fn run(&mut self, stream: &mut TcpStream, mut answers: mpsc::Receiver<Answer>) -> io::Result<()> {
        let (mut reader, mut writer) = stream.split();
        let mut input = BytesMut::new();
        while let Some(wake_at) = self.check_deadlines(input.is_empty()).await? {
            let has_memory = self.limit_buffers(&mut input);
            let reading = has_memory && !self.stops_reading() && self.output.len() < MAX_UNWRITTEN_BYTES;
            let closes_at_once = self.is_final_check && self.guard.is_evicted();
            buffers::reserve_for_read(&mut input);
            tokio::select! {
                biased;
                written = writer.write_buf(&mut self.output), if !self.output.is_empty() => {
                    match written? {
                        0 => return Err(io::ErrorKind::WriteZero.into()),
                        bytes => self.backlog.record_write(bytes),
                    }
                }
                Some(answer) = answers.recv() => {
                    self.respond(&answer);
                    while let Ok(answer) = answers.try_recv() {
                        self.respond(&answer);
                    }
                }
                read = reader.read_buf(&mut input), if reading => {
                    if read? == 0 {
                        return Ok(());
                    }
                    self.client_has_left |= has_client_left(reader.as_ref());
                    self.process_input(&mut input).await;
                }
                // Polled after reading, so that a request that has arrived is served. A client retries a
                // request that crosses the close, but only once.
                () = self.guard.evicted() => {
                    // A client that does not read its responses must not keep a slot that another client
                    // needs.
                    if self.open.is_empty() && !self.output.is_empty() {
                        return Ok(());
                    }
                    if self.open.is_empty() {
                        self.close_when_idle();
                    }
                }
                changed = self.status.changed() => if changed.is_err() { return Ok(()) },
                // A timer would take a millisecond or two, in which evicted connections would accumulate
                // beyond the limit.
                () = std::future::ready(()), if closes_at_once => {}
                () = clock::until(wake_at) => {}
            }
        }
        Ok(())
    }

    /// Responds with an error, stops reading, and closes once all open requests have their responses. Until then the client
    /// must know that nothing more is read.
    fn fail(&mut self, message: &'static str) {
        RpcError::invalid_request(message).without_id().write(&mut self.output);
        if !self.open.is_empty() && self.draining_since.is_none() {
            self.announce_close();
        }
        self.consecutive_errors += 1;
        self.message_deadline = None;
        self.closing = Closing::StopReading;
    }

    fn stops_reading(&self) -> bool {
        self.closing == Closing::StopReading
    }

    fn close_when_idle(&mut self) {
        self.closing = self.closing.max(Closing::WhenIdle);
    }

    async fn process_input(&mut self, input: &mut BytesMut) {
        self.last_used = clock::now();
        let lines = self.process_lines(input).await;
        // A request that arrived before the close keeps the connection open. After any other input nothing is
        // read.
        if self.closing == Closing::WhenIdle {
            self.closing = if self.open.is_empty() { Closing::StopReading } else { Closing::No };
        }
        // The deadline of an incomplete message counts from its first byte.
        let running = if lines > 0 { None } else { self.message_deadline };
        let is_incomplete = !input.is_empty() && !self.stops_reading();
        self.message_deadline = running.or(is_incomplete.then(|| self.last_used + MESSAGE_TIMEOUT));
        if lines > 1 {
            // Lets other connections run while this client sends without a pause.
            tokio::task::yield_now().await;
        }
    }

    /// Processes all complete lines and returns their number.
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
        if !self.stops_reading() && input.len() > MAX_LINE_BYTES {
            self.fail("the line is too long");
        }
        lines
    }
}
