//! The life of one connection: what it reads and writes, and when it closes.

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
use crate::frontend::lingering_close;
use crate::frontend::write_backlog::WriteBacklog;

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

/// Whether the connection is about to close.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Closing {
    /// It stays open.
    No,
    /// It closes once all responses are written, unless one more request comes before that.
    WhenIdle,
    /// Nothing more is read, and it closes once all responses are written.
    StopReading,
}

/// One connection of a client.
struct Connection {
    exchange: Exchange,
    registry: Rc<ClassRegistry>,
    status: watch::Receiver<NodeStatus>,
    guard: ConnectionGuard,
    /// Where answers come in; each request gets a place in this queue.
    answers: mpsc::Sender<Answer>,
    open: HashMap<RequestTag, OpenRequest>,
    next_tag: RequestTag,
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
    closing: Closing,
    /// The connection is about to close, and the system is asked once more whether a message has arrived.
    is_final_check: bool,
}

/// Serves one connection to its end.
pub(crate) async fn serve(
    mut stream: TcpStream,
    guard: ConnectionGuard,
    exchange: Exchange,
    registry: Rc<ClassRegistry>,
) {
    // A withdrawn request may hold its place in the channel for a moment longer than it is open.
    let (answer_sender, answers) = mpsc::channel(2 * MAX_OPEN_REQUESTS);
    let mut connection = Connection::new(guard, exchange, registry, answer_sender);
    let ended = connection.run(&mut stream, answers).await;
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
            closing: Closing::No,
            is_final_check: false,
        }
    }

    /// Reads, submits and responds until the connection is to close.
    async fn run(&mut self, stream: &mut TcpStream, mut answers: mpsc::Receiver<Answer>) -> io::Result<()> {
        let (mut reader, mut writer) = stream.split();
        let mut input = BytesMut::new();
        while let Some(wake_at) = self.check_deadlines(input.is_empty()).await? {
            let reading = !self.stops_reading() && self.output.len() < MAX_UNWRITTEN_BYTES;
            let closes_at_once = self.is_final_check && self.guard.is_evicted();
            input.reserve(READ_CHUNK_BYTES);
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
                    self.process_input(&mut input).await;
                }
                // Comes after reading, so that what has arrived is served. A client sends a request that crosses the
                // close again, once.
                () = self.guard.evicted() => {
                    // A client that does not read its responses keeps no slot that another one needs.
                    if self.open.is_empty() && !self.output.is_empty() {
                        return Ok(());
                    }
                    if self.open.is_empty() {
                        self.close_when_idle();
                    }
                }
                changed = self.status.changed() => if changed.is_err() { return Ok(()) },
                // A timer takes a millisecond or two, in which evicted connections would add up past the limit.
                () = std::future::ready(()), if closes_at_once => {}
                () = clock::until(wake_at) => {}
            }
        }
        Ok(())
    }

    /// Responds with an error, reads nothing more, and closes once all open requests have their responses.
    fn fail(&mut self, message: &'static str) {
        RpcError::invalid_request(message).without_id().write(&mut self.output);
        self.consecutive_errors += 1;
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
        // A request that came before the close keeps the connection. Anything else was the last that is read.
        if self.closing == Closing::WhenIdle {
            self.closing = if self.open.is_empty() { Closing::StopReading } else { Closing::No };
        }
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
        if !self.stops_reading() && input.len() > MAX_LINE_BYTES {
            self.fail("the line is too long");
        }
        lines
    }
}
