//! Calls to the tier below, handed to the index on one connection that is made when it is needed.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use super::interpreter::put;
use super::lines::{self, Link, Message};
use crate::clock::{self, Unix};
use crate::exchange::{CallCommand, CallEnd, Exchange, Report};
use crate::log;

/// An idle connection is given up before the index does so: guards a call against crossing that close, which
/// would prove nothing about it.
const IDLE: Duration = Duration::from_secs(8);
/// A call without a reply is given up this long after its time, for the index says itself that it was slow.
const SILENT: Duration = Duration::from_millis(150);

/// The client side of the index.
pub struct Index {
    address: Option<SocketAddr>,
    exchange: Exchange,
    commands: mpsc::Receiver<CallCommand>,
    /// The calls on the connection, and when they are given up.
    calls: HashMap<Bytes, Unix>,
}

impl Index {
    /// The index at this address; without one, no call reaches anybody.
    pub fn new(
        address: Option<SocketAddr>,
        exchange: Exchange,
        commands: mpsc::Receiver<CallCommand>,
    ) -> Self {
        Index { address, exchange, commands, calls: HashMap::new() }
    }

    /// Makes calls for as long as there are any to come.
    pub async fn run(mut self) {
        while let Some(command) = self.commands.recv().await {
            let CallCommand::Call { request, .. } = &command else { continue };
            let link = match self.address {
                Some(address) => TcpStream::connect(address).await,
                None => Err(io::ErrorKind::AddrNotAvailable.into()),
            };
            let link = match link {
                Ok(stream) => Link::new(stream),
                Err(e) => {
                    log!("index: no connection: {e}");
                    let end = unreached(&e);
                    self.exchange.report(Report::CallEnded(request.txn.clone(), end)).await;
                    continue;
                }
            };
            if let Err(e) = self.linked(link, command).await {
                log!("index: connection lost with {} calls on it: {e}", self.calls.len());
            }
            for txn in std::mem::take(&mut self.calls).into_keys() {
                self.exchange.report(Report::CallEnded(txn, CallEnd::CutOff)).await;
            }
        }
    }

    async fn linked(&mut self, mut link: Link, first: CallCommand) -> io::Result<()> {
        let mut used = clock::now();
        self.commanded(first, &mut link);
        loop {
            while let Some(message) = lines::take(&mut link.input, |words| words.nth(1) == Some(b"HIT"))? {
                self.heard(message).await?;
            }
            let now = clock::now();
            let silent: Vec<Bytes> =
                self.calls.iter().filter(|(_, until)| **until <= now).map(|(txn, _)| txn.clone()).collect();
            for txn in silent {
                self.give_up(&txn, &mut link);
                self.exchange.report(Report::CallEnded(txn, CallEnd::TimedOut)).await;
            }
            if self.calls.is_empty() && link.output.is_empty() && now >= used + IDLE {
                return Ok(());
            }
            let next = self.calls.values().min().copied().unwrap_or(used + IDLE);
            let room = link.has_room();
            tokio::select! {
                biased;
                turned = link.turn() => match turned {
                    Err(e) if e.kind() == io::ErrorKind::UnexpectedEof && self.calls.is_empty() => return Ok(()),
                    turned => turned?,
                },
                command = self.commands.recv(), if room => {
                    used = clock::now();
                    match command {
                        Some(command) => self.commanded(command, &mut link),
                        None => return Ok(()),
                    }
                }
                () = clock::until(next) => {}
            }
        }
    }

    fn commanded(&mut self, command: CallCommand, link: &mut Link) {
        match command {
            CallCommand::Call { request, body, until } => {
                let txn = request.txn.clone();
                let left = until.saturating_sub(clock::now()).as_millis().max(1).to_string();
                put(&mut link.output, &[b"GET", &txn, left.as_bytes()], Some(&body));
                self.calls.insert(txn, until + SILENT);
            }
            CallCommand::GiveUp(txn) => self.give_up(&txn, link),
        }
    }

    fn give_up(&mut self, txn: &Bytes, link: &mut Link) {
        if self.calls.remove(txn).is_some() {
            put(&mut link.output, &[b"STOP", txn], None);
        }
    }

    async fn heard(&mut self, message: Message) -> io::Result<()> {
        let end = match (&message.word(1)[..], &message.body) {
            (b"HIT", Some(reply)) => CallEnd::Ok(reply.clone()),
            (b"SHED", _) => CallEnd::Refused,
            (b"BROKEN", _) => CallEnd::Failed,
            (b"SLOW", _) => CallEnd::TimedOut,
            (b"NOBODY", _) => CallEnd::Unreachable,
            _ => return Err(message.nonsense().into()),
        };
        let txn = message.word(0);
        // A reply may cross the word that gives its call up.
        if self.calls.remove(&txn).is_some() {
            self.exchange.report(Report::CallEnded(txn, end)).await;
        }
        Ok(())
    }
}

/// What a failed connection proves of a call: a refused one that it never ran.
fn unreached(error: &io::Error) -> CallEnd {
    match error.kind() {
        io::ErrorKind::ConnectionRefused | io::ErrorKind::AddrNotAvailable => CallEnd::Unreachable,
        _ => CallEnd::CutOff,
    }
}
