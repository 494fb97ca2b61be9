//! The link to the interpreter, which runs requests. A broken link is made anew; what happened meanwhile is
//! read before anything is commanded again, so that no run is started twice and no end is missed.

use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{BufMut, Bytes, BytesMut};
use tokio::sync::{mpsc, watch};

use crate::class_registry::ClassRegistry;
use crate::clock::{self, Unix};
use crate::config::UpstreamAddresses;
use crate::exchange::{BackendEvent, Completion, Exchange, Request, RunCommand};
use crate::line_codec::{self, encode, LineConnection, Message};
use crate::log;
use crate::sockets;

/// Between two attempts at a link; one that held for longer is made anew at once.
const RETRY: Duration = Duration::from_millis(50);
/// A link is made within this time, or tried anew.
const CONNECTS: Duration = Duration::from_secs(1);
/// A message that has begun is whole after this long, or the link is made anew.
const STALLED: Duration = Duration::from_secs(2);
/// The tag of the question whose answer shows that all notices from before it have been read.
const FENCE: &[u8] = b"fence";
/// A start that is this much later than the one known is another one.
const RESTARTED: Duration = Duration::from_secs(1);

/// A run from its command to its end.
struct Run {
    request: Rc<Request>,
    /// The notice of the call it waits for, and what it was told to go on with; void after the next notice.
    awaits: u64,
    goes_on: Option<GoesOn>,
    stopped: bool,
}

/// Why a link that did not break is over.
enum Over {
    /// There are no commands to come.
    Commands,
    /// The interpreter is at another address.
    Address,
}

enum GoesOn {
    Reply(Bytes),
    Without,
}

/// The client side of the interpreter.
pub struct Interpreter {
    links: watch::Receiver<UpstreamAddresses>,
    exchange: Exchange,
    commands: mpsc::Receiver<RunCommand>,
    names: Rc<ClassRegistry>,
    runs: BTreeMap<Bytes, Run>,
    /// The last notice that was read.
    read: u64,
    started: Option<Unix>,
}

impl Interpreter {
    /// The link to the interpreter at the address of the day, where classes go by their names.
    pub fn new(
        links: watch::Receiver<UpstreamAddresses>,
        exchange: Exchange,
        commands: mpsc::Receiver<RunCommand>,
        names: Rc<ClassRegistry>,
    ) -> Self {
        Interpreter { links, exchange, commands, names, runs: BTreeMap::new(), read: 0, started: None }
    }

    /// Holds the link for as long as there are commands to come.
    pub async fn run(mut self) {
        loop {
            let Some(address) = self.links.borrow_and_update().interpreter else { return };
            let begun = clock::now();
            match self.unlinked(sockets::connect(address, begun + CONNECTS)).await {
                Some(Some(Ok(stream))) => match self.linked(LineConnection::new(stream)).await {
                    Ok(Over::Commands) => return,
                    Ok(Over::Address) => continue,
                    Err(e) => log!("interpreter: link lost: {e}"),
                },
                Some(Some(Err(e))) => log!("interpreter: no link: {e}"),
                // The address is another one.
                Some(None) => continue,
                None => return,
            }
            // Guards both sides against spinning where links are taken and closed at once.
            if self.unlinked(clock::until(begun + RETRY)).await.is_none() {
                return;
            }
        }
    }

    /// Takes commands down while something else goes on; nothing if there are none to come. What goes on is
    /// broken off by a new address.
    async fn unlinked<T>(&mut self, until: impl std::future::Future<Output = T>) -> Option<Option<T>> {
        tokio::pin!(until);
        loop {
            tokio::select! {
                done = &mut until => return Some(Some(done)),
                Ok(()) = self.links.changed() => return Some(None),
                command = self.commands.recv() => self.note(&command?),
            }
        }
    }

    async fn linked(&mut self, mut link: LineConnection) -> io::Result<Over> {
        link.output.put_slice(format!("CONNECT {}\r\n", self.read).as_bytes());
        let (mut synced, mut begun) = (false, None);
        loop {
            while let Some(message) = line_codec::decode(&mut link.input, has_body)? {
                begun = None;
                if self.heard(message, &mut link.output).await? {
                    synced = true;
                    self.command_again(&mut link.output);
                }
            }
            begun = if link.input.is_empty() { None } else { begun.or_else(|| Some(clock::now())) };
            let stalled = async {
                match begun {
                    Some(begun) => clock::until(begun + STALLED).await,
                    None => std::future::pending().await,
                }
            };
            let room = link.has_write_capacity();
            tokio::select! {
                turned = link.transfer() => turned?,
                () = stalled => return Err(line_codec::ProtocolError::Incomplete.into()),
                // Runs and the numbers of notices carry on over the link to the new address.
                Ok(()) = self.links.changed() => return Ok(Over::Address),
                command = self.commands.recv(), if room => {
                    let Some(command) = command else { return Ok(Over::Commands) };
                    self.commanded(&command, synced, &mut link.output);
                    while let Ok(command) = self.commands.try_recv() {
                        self.commanded(&command, synced, &mut link.output);
                    }
                }
            }
        }
    }

    /// Takes a message in. True when all notices from before this link have been read.
    async fn heard(&mut self, message: Message, output: &mut BytesMut) -> io::Result<bool> {
        match &message.field(0)[..] {
            b"BANNER" => self.banner(&message, output).await?,
            b"TOPS" if message.field(1) == FENCE => return Ok(true),
            b"TOPS" => self.exchange.report(BackendEvent::Gauges(message.numeric_fields(2)?)).await,
            b"VALUE" | b"AWAIT" | b"TRACE" => {
                let notice: u64 = message.numeric_field(1)?;
                if notice > self.read {
                    self.read = notice;
                    self.noticed(notice, message).await?;
                }
            }
            b"ERROR" => {
                let (command, txn) = (message.field(1), message.field(2));
                log!("interpreter: not carried out: {command:?} {txn:?}");
                // What was not carried out never ran, and its caller is owed an answer all the same.
                if command == "APPLY" && self.runs.remove(&txn).is_some() {
                    self.exchange.report(BackendEvent::Ended(txn, Completion::NeverStarted)).await;
                }
            }
            _ => return Err(message.protocol_error().into()),
        }
        Ok(false)
    }

    async fn banner(&mut self, message: &Message, output: &mut BytesMut) -> io::Result<()> {
        let cold = match &message.field(1)[..] {
            b"fresh" => true,
            b"seasoned" => false,
            _ => return Err(message.protocol_error().into()),
        };
        // Guards runs against a clock that was set ahead meanwhile: the start stays where it was.
        let started =
            clock::now().saturating_sub(clock::jumped() + Duration::from_millis(message.numeric_field(2)?));
        if self.started.is_some_and(|known| started > known + RESTARTED) {
            // Guards against running again what an earlier life of the interpreter may have run.
            log!("interpreter: it started anew, {} runs are lost", self.runs.len());
            self.read = 0;
            for txn in std::mem::take(&mut self.runs).into_keys() {
                self.exchange.report(BackendEvent::Ended(txn, Completion::Failed)).await;
            }
        }
        self.started = Some(started);
        output.put_slice(b"TOP ");
        output.put_slice(FENCE);
        output.put_slice(b"\r\n");
        self.exchange.report(BackendEvent::Up { cold }).await;
        Ok(())
    }

    async fn noticed(&mut self, notice: u64, message: Message) -> io::Result<()> {
        let txn = message.field(2);
        let body = message.body.clone().unwrap_or_default();
        match &message.field(0)[..] {
            b"VALUE" => {
                let end = match &message.field(3)[..] {
                    b"done" => Completion::Succeeded(body),
                    b"crashed" => Completion::Failed,
                    b"aborted" => Completion::Cancelled,
                    b"stale" => Completion::Skipped,
                    _ => return Err(message.protocol_error().into()),
                };
                self.runs.remove(&txn);
                self.exchange.report(BackendEvent::Ended(txn, end)).await;
            }
            b"AWAIT" => {
                if let Some(run) = self.runs.get_mut(&txn) {
                    (run.awaits, run.goes_on) = (notice, None);
                }
                self.exchange.report(BackendEvent::CallNeeded { txn, body }).await;
            }
            _ => {}
        }
        Ok(())
    }

    /// Keeps what a command changes, for as long as its effect has not been read.
    fn note(&mut self, command: &RunCommand) {
        let (txn, change): (&Bytes, fn(&mut Run, &RunCommand)) = match command {
            RunCommand::Run(request) => {
                let run = Run { request: request.clone(), awaits: 0, goes_on: None, stopped: false };
                self.runs.insert(request.txn.clone(), run);
                return;
            }
            RunCommand::Gauges => return,
            RunCommand::Stop(txn) => (txn, |run, _| run.stopped = true),
            RunCommand::Skip(txn) => (txn, |run, _| run.goes_on = Some(GoesOn::Without)),
            RunCommand::Resolve { txn, .. } => (txn, |run, command| {
                if let RunCommand::Resolve { reply, .. } = command {
                    run.goes_on = Some(GoesOn::Reply(reply.clone()));
                }
            }),
        };
        if let Some(run) = self.runs.get_mut(txn) {
            change(run, command);
        }
    }

    fn commanded(&mut self, command: &RunCommand, synced: bool, output: &mut BytesMut) {
        self.note(command);
        if !synced {
            return;
        }
        match command {
            RunCommand::Gauges => output.put_slice(b"TOP g\r\n"),
            RunCommand::Run(request) => self.apply(&request.txn, output),
            RunCommand::Stop(txn) => self.stop(txn, output),
            RunCommand::Resolve { txn, .. } | RunCommand::Skip(txn) => self.go_on(txn, output),
        }
    }

    /// Commands again whatever has no end or effect that was read. A run that goes on is not disturbed.
    fn command_again(&self, output: &mut BytesMut) {
        for txn in self.runs.keys() {
            self.apply(txn, output);
            self.go_on(txn, output);
            self.stop(txn, output);
        }
    }

    fn apply(&self, txn: &Bytes, output: &mut BytesMut) {
        let Some(run) = self.runs.get(txn) else { return };
        let class = self.names.class_name(run.request.class);
        encode(output, &[b"APPLY", txn, class.as_bytes()], Some(&run.request.body));
    }

    fn stop(&self, txn: &Bytes, output: &mut BytesMut) {
        if self.runs.get(txn).is_some_and(|run| run.stopped) {
            encode(output, &[b"BREAK", txn], None);
        }
    }

    fn go_on(&self, txn: &Bytes, output: &mut BytesMut) {
        let Some(run) = self.runs.get(txn) else { return };
        match &run.goes_on {
            Some(GoesOn::Reply(reply)) => encode(output, &[b"RESOLVE", txn], Some(reply)),
            Some(GoesOn::Without) => encode(output, &[b"STUB", txn, run.awaits.to_string().as_bytes()], None),
            None => {}
        }
    }
}

fn has_body(words: &mut dyn Iterator<Item = &[u8]>) -> bool {
    matches!(words.next(), Some(b"VALUE" | b"AWAIT"))
}
