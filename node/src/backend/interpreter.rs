//! The client of the interpreter, which runs requests.
//!
//! If the link breaks, the client reconnects. On a new link it reads all earlier notices before it sends any
//! command, so that no run is started twice and the end of no run is missed. The interpreter ignores a
//! command that it has already carried out.

mod runs;

use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::sync::{mpsc, watch};

use crate::class_registry::ClassRegistry;
use crate::clock::{self, UnixTime};
use crate::config::UpstreamAddresses;
use crate::exchange::{BackendEvent, Completion, Exchange, RunCommand, TransactionId};
use crate::line_codec::{self, encode, LineConnection, Message, ProtocolError};
use crate::log;
use crate::sockets;
use runs::Runs;

/// Minimum time between the beginnings of two connection attempts. It prevents a busy loop on both sides if
/// links are accepted and closed at once.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(50);
/// Time after which a connection attempt is given up and the next one starts.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time in which a message that has begun must be complete; otherwise the client reconnects.
const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Tag of the gauge query that answers the banner of a new link. Its response follows all notices from before
/// the link.
const FENCE_TAG: &[u8] = b"fence";
/// The interpreter counts as restarted if its start time, computed from its uptime, moves forward by more
/// than this.
const RESTART_THRESHOLD: Duration = Duration::from_secs(1);

// The fields of the interpreter's messages, after their kind: `BANNER STATE UPTIME`, `TOPS TAG GAUGE...`,
// `VALUE NOTICE TXN COMPLETION`, `AWAIT NOTICE TXN`, `TRACE NOTICE ...` and `ERROR COMMAND TXN`.
const BANNER_STATE_FIELD: usize = 1;
const UPTIME_FIELD: usize = 2;
const TAG_FIELD: usize = 1;
const FIRST_GAUGE_FIELD: usize = 2;
const NOTICE_FIELD: usize = 1;
const COMMAND_FIELD: usize = 1;
const TXN_FIELD: usize = 2;
const COMPLETION_FIELD: usize = 3;

/// Why a link was closed without a fault.
enum LinkEnd {
    /// The command channel is closed.
    CommandsClosed,
    /// The interpreter is at another address.
    AddressChanged,
}

/// How a wait without a link ended.
enum Wait<T> {
    /// The awaited future completed with this output.
    Done(T),
    /// The interpreter is at another address.
    AddressChanged,
    /// The command channel is closed.
    CommandsClosed,
}

/// The client of the interpreter.
pub(crate) struct Interpreter {
    addresses: watch::Receiver<UpstreamAddresses>,
    exchange: Exchange,
    commands: mpsc::Receiver<RunCommand>,
    runs: Runs,
    /// The number of the last notice that was processed; 0 before the first one.
    last_notice: u64,
    /// When the interpreter started, computed from its uptime; none before the first link.
    started_at: Option<UnixTime>,
}

impl Interpreter {
    /// Creates a client that connects to the latest address of the interpreter. Classes are sent by their
    /// names in `registry`.
    pub(crate) fn new(
        addresses: watch::Receiver<UpstreamAddresses>,
        exchange: Exchange,
        commands: mpsc::Receiver<RunCommand>,
        registry: Rc<ClassRegistry>,
    ) -> Self {
        let runs = Runs::new(registry);
        Interpreter { addresses, exchange, commands, runs, last_notice: 0, started_at: None }
    }

    /// Keeps a link to the interpreter open until the command channel closes.
    pub(crate) async fn run(mut self) {
        loop {
            let Some(address) = self.addresses.borrow_and_update().interpreter else { return };
            let began_at = clock::now();
            match self.wait_disconnected(sockets::connect(address, began_at + CONNECT_TIMEOUT)).await {
                Wait::Done(Ok(stream)) => match self.run_link(LineConnection::new(stream)).await {
                    Ok(LinkEnd::CommandsClosed) => return,
                    Ok(LinkEnd::AddressChanged) => continue,
                    Err(error) => log!("interpreter: link lost: address={address} error={error}"),
                },
                Wait::Done(Err(error)) => {
                    log!("interpreter: connection failed: address={address} error={error}");
                }
                Wait::AddressChanged => continue,
                Wait::CommandsClosed => return,
            }
            let retry = clock::until(began_at + RECONNECT_INTERVAL);
            if let Wait::CommandsClosed = self.wait_disconnected(retry).await {
                return;
            }
        }
    }

    /// Awaits a future while there is no link, and records the commands that arrive in the meantime. A new
    /// address cancels the wait.
    async fn wait_disconnected<T>(&mut self, awaited: impl Future<Output = T>) -> Wait<T> {
        tokio::pin!(awaited);
        loop {
            tokio::select! {
                done = &mut awaited => return Wait::Done(done),
                Ok(()) = self.addresses.changed() => return Wait::AddressChanged,
                command = self.commands.recv() => match command {
                    Some(command) => self.runs.record(&command),
                    None => return Wait::CommandsClosed,
                },
            }
        }
    }

    async fn run_link(&mut self, mut link: LineConnection) -> io::Result<LinkEnd> {
        encode(&mut link.output, &[b"CONNECT", self.last_notice.to_string().as_bytes()], None);
        let mut is_synced = false;
        let mut incomplete_since = None;
        loop {
            while let Some(message) = line_codec::decode(&mut link.input, has_body)? {
                incomplete_since = None;
                if self.process_message(message, &mut link.output).await? {
                    is_synced = true;
                    self.runs.encode_all(&mut link.output);
                }
            }
            incomplete_since =
                if link.input.is_empty() { None } else { incomplete_since.or_else(|| Some(clock::now())) };
            let has_capacity = link.has_write_capacity();
            tokio::select! {
                transferred = link.transfer() => transferred?,
                () = message_timeout(incomplete_since) => return Err(ProtocolError::Incomplete.into()),
                // Runs and the number of the last notice remain valid on the link to the new address.
                Ok(()) = self.addresses.changed() => return Ok(LinkEnd::AddressChanged),
                command = self.commands.recv(), if has_capacity => {
                    let Some(command) = command else { return Ok(LinkEnd::CommandsClosed) };
                    self.process_command(&command, is_synced, &mut link.output);
                    while let Ok(command) = self.commands.try_recv() {
                        self.process_command(&command, is_synced, &mut link.output);
                    }
                }
            }
        }
    }

    /// Records a command, and sends it if all notices from before this link have been read.
    fn process_command(&mut self, command: &RunCommand, is_synced: bool, output: &mut BytesMut) {
        self.runs.record(command);
        if is_synced {
            self.runs.encode_command(command, output);
        }
    }

    /// Processes a message. Returns true if it shows that all notices from before this link have been read.
    async fn process_message(&mut self, message: Message, output: &mut BytesMut) -> io::Result<bool> {
        match &message.field(0)[..] {
            b"BANNER" => self.process_banner(&message, output).await?,
            b"TOPS" if message.field(TAG_FIELD) == FENCE_TAG => return Ok(true),
            b"TOPS" => {
                let gauges = message.numeric_fields(FIRST_GAUGE_FIELD)?;
                self.exchange.report(BackendEvent::Gauges(gauges)).await;
            }
            b"VALUE" | b"AWAIT" | b"TRACE" => {
                let notice: u64 = message.numeric_field(NOTICE_FIELD)?;
                if notice > self.last_notice {
                    self.last_notice = notice;
                    self.process_notice(notice, message).await?;
                }
            }
            b"ERROR" => self.process_error(&message).await,
            _ => return Err(message.protocol_error().into()),
        }
        Ok(false)
    }

    /// Processes the first message on a link, which states whether the interpreter is cold, and its uptime.
    async fn process_banner(&mut self, message: &Message, output: &mut BytesMut) -> io::Result<()> {
        let cold = match &message.field(BANNER_STATE_FIELD)[..] {
            b"fresh" => true,
            b"seasoned" => false,
            _ => return Err(message.protocol_error().into()),
        };
        // Steps of the system clock are subtracted: a clock that was set ahead must not look like a restart.
        let uptime = Duration::from_millis(message.numeric_field(UPTIME_FIELD)?);
        let started_at = clock::now().saturating_sub(clock::stepped_ahead() + uptime);
        if self.started_at.is_some_and(|known| started_at > known + RESTART_THRESHOLD) {
            self.process_restart().await;
        }
        self.started_at = Some(started_at);
        encode(output, &[b"TOP", FENCE_TAG], None);
        self.exchange.report(BackendEvent::Up { cold }).await;
        Ok(())
    }

    /// Fails all runs after a restart of the interpreter. Each of them may have taken effect, so none is
    /// started again.
    async fn process_restart(&mut self) {
        log!("interpreter: restarted: lost_runs={}", self.runs.len());
        self.last_notice = 0;
        for txn in self.runs.remove_all() {
            self.exchange.report(BackendEvent::RunEnded { txn, completion: Completion::Failed }).await;
        }
    }

    /// Processes a notice about a run.
    async fn process_notice(&mut self, notice: u64, message: Message) -> io::Result<()> {
        let txn = TransactionId::from(message.field(TXN_FIELD));
        let body = message.body.clone().unwrap_or_default();
        match &message.field(0)[..] {
            b"VALUE" => {
                let completion = decode_completion(&message, body)?;
                self.runs.remove(&txn);
                self.exchange.report(BackendEvent::RunEnded { txn, completion }).await;
            }
            b"AWAIT" => {
                self.runs.await_call(&txn, notice);
                self.exchange.report(BackendEvent::CallNeeded { txn, body }).await;
            }
            _ => {}
        }
        Ok(())
    }

    /// Processes the rejection of a command. A run that was not started is reported as ended, as its client
    /// still waits for a response.
    async fn process_error(&mut self, message: &Message) {
        let command = message.field(COMMAND_FIELD);
        let txn = TransactionId::from(message.field(TXN_FIELD));
        log!("interpreter: command rejected: command={} txn={txn}", command.escape_ascii());
        if command == "APPLY" && self.runs.remove(&txn) {
            self.exchange.report(BackendEvent::RunEnded { txn, completion: Completion::NeverStarted }).await;
        }
    }
}

/// Waits until a message that has begun is overdue. Never completes if no message has begun.
async fn message_timeout(incomplete_since: Option<UnixTime>) {
    match incomplete_since {
        Some(since) => clock::until(since + MESSAGE_TIMEOUT).await,
        None => std::future::pending().await,
    }
}

fn decode_completion(message: &Message, result: Bytes) -> Result<Completion, ProtocolError> {
    match &message.field(COMPLETION_FIELD)[..] {
        b"done" => Ok(Completion::Succeeded(result)),
        b"crashed" => Ok(Completion::Failed),
        b"aborted" => Ok(Completion::Cancelled),
        b"stale" => Ok(Completion::Skipped),
        _ => Err(message.protocol_error()),
    }
}

fn has_body(fields: &mut dyn Iterator<Item = &[u8]>) -> bool {
    matches!(fields.next(), Some(b"VALUE" | b"AWAIT"))
}
