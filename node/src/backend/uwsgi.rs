//! uwsgi servers that run requests or take their calls, one connection for each. What a server refuses with
//! 503 and Retry-After never ran; so did what no server could be connected for.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

use super::{Callee, UnderWay};
use crate::class_registry::ClassRegistry;
use crate::clock::{self, Unix};
use crate::config::UpstreamAddresses;
use crate::exchange::{BackendEvent, CallOutcome, Completion, Exchange, Request, RunCommand};
use crate::http::{MAX_FIELDS, MAX_HEAD};
use crate::log;
use crate::sockets;
use crate::uwsgi::packet;

/// Longest body of a response.
const MAX_BODY: usize = 256 * 1024;
/// A run is left alone this long after its answer was due: the result may still serve a later try.
const LATE: Duration = Duration::from_secs(10);

/// How an exchange with a server ended.
#[derive(Debug, PartialEq)]
enum Asked {
    /// It answered with this body, and 2xx.
    Done(Bytes),
    /// It answered that it did not begin.
    Refused,
    /// It answered that its time ran out.
    TimedOut,
    /// It failed, or answered nonsense.
    Failed,
    /// The connection broke before a whole answer.
    CutOff,
    /// No server could be connected.
    Unreachable,
}

/// Which of a node's links servers are taken from.
pub type Pick = fn(&UpstreamAddresses) -> &Vec<SocketAddr>;

/// Servers that stand in for each other, and the names that they are told.
pub struct Servers {
    links: watch::Receiver<UpstreamAddresses>,
    pick: Pick,
    next: Cell<usize>,
    names: Rc<ClassRegistry>,
}

impl Servers {
    /// The servers at the addresses of the day; classes and tenants go by their names in the settings.
    pub fn new(links: watch::Receiver<UpstreamAddresses>, pick: Pick, names: Rc<ClassRegistry>) -> Rc<Self> {
        Rc::new(Servers { links, pick, next: Cell::new(0), names })
    }

    /// A connection to the first server, in turn, that takes one. A failed one proves that nothing ran.
    async fn connect(&self, until: Unix) -> Option<TcpStream> {
        let addresses = (self.pick)(&self.links.borrow()).clone();
        let first = self.next.get();
        self.next.set(first.wrapping_add(1));
        for turn in 0..addresses.len() {
            let address = addresses[first.wrapping_add(turn) % addresses.len()];
            match sockets::connect(address, until).await {
                Ok(stream) => return Some(stream),
                Err(e) => log!("uwsgi server {address}: no connection: {e}"),
            }
        }
        None
    }

    async fn ask(self: Rc<Self>, request: Rc<Request>, body: Bytes, until: Unix) -> Asked {
        let Some(mut stream) = self.connect(until).await else { return Asked::Unreachable };
        let Some(packet) = self.packet(&request, body.len(), until) else {
            log!("uwsgi: request {:?} does not fit a packet", request.txn);
            return Asked::Unreachable;
        };
        tokio::select! {
            answer = converse(&mut stream, &packet, &body) => answer.unwrap_or_else(|e| {
                log!("uwsgi server {:?}: {e}", stream.peer_addr().ok());
                if e.kind() == io::ErrorKind::InvalidData { Asked::Failed } else { Asked::CutOff }
            }),
            () = clock::until(until) => Asked::TimedOut,
        }
    }

    fn packet(&self, request: &Request, length: usize, until: Unix) -> Option<BytesMut> {
        let class = self.names.class_name(request.class);
        let tenant = self.names.tenant_name(request.tenant);
        let (path, length) = (format!("/{class}"), length.to_string());
        let deadline = until.as_millis().to_string();
        let mut vars: Vec<(&str, &[u8])> = vec![
            ("REQUEST_METHOD", b"POST"),
            ("REQUEST_URI", path.as_bytes()),
            ("PATH_INFO", path.as_bytes()),
            ("QUERY_STRING", b""),
            ("SERVER_PROTOCOL", b"HTTP/1.1"),
            ("CONTENT_LENGTH", length.as_bytes()),
            ("HTTP_X_REQUEST_ID", &request.txn),
            ("HTTP_X_DEADLINE", deadline.as_bytes()),
        ];
        vars.extend(request.key.as_ref().map(|key| ("HTTP_IDEMPOTENCY_KEY", &key[..])));
        vars.extend(tenant.as_ref().map(|tenant| ("HTTP_X_TENANT", tenant.as_bytes())));
        packet(&vars)
    }
}

async fn converse(stream: &mut TcpStream, packet: &[u8], body: &[u8]) -> io::Result<Asked> {
    stream.write_all(packet).await?;
    stream.write_all(body).await?;
    let mut input = BytesMut::with_capacity(8 * 1024);
    let (head, status, length, retry) = loop {
        if let Some(head) = parse_head(&input)? {
            break head;
        }
        if input.len() > MAX_HEAD {
            return Err(nonsense("a head without an end"));
        }
        if stream.read_buf(&mut input).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    };
    let _ = input.split_to(head);
    // Guards a caller against a body that was cut off: where no length is told, its end may be that of a server.
    let length = match (length, status) {
        (None, 200..=299) => return Err(nonsense("a result without Content-Length")),
        (length, _) => length.unwrap_or(0),
    };
    while input.len() < length {
        if stream.read_buf(&mut input).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    input.truncate(length);
    Ok(match status {
        200..=299 => Asked::Done(input.freeze()),
        503 if retry => Asked::Refused,
        504 => Asked::TimedOut,
        _ => Asked::Failed,
    })
}

/// The head's length, the status, the body's length and whether there is a Retry-After.
type ResponseHead = (usize, u16, Option<usize>, bool);

fn parse_head(input: &[u8]) -> io::Result<Option<ResponseHead>> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
    let mut response = httparse::Response::new(&mut fields);
    let head = match response.parse(input).map_err(|e| nonsense(&e.to_string()))? {
        httparse::Status::Complete(head) => head,
        httparse::Status::Partial => return Ok(None),
    };
    let field = |name: &str| response.headers.iter().find(|f| f.name.eq_ignore_ascii_case(name));
    if field("Transfer-Encoding").is_some() {
        return Err(nonsense("a transfer encoding, which uwsgi servers do not use"));
    }
    let length = match field("Content-Length") {
        None => None,
        Some(field) => {
            let length = std::str::from_utf8(field.value).ok().and_then(|text| text.trim().parse().ok());
            Some(
                length
                    .filter(|l| *l <= MAX_BODY)
                    .ok_or_else(|| nonsense("a length that is none, or too long"))?,
            )
        }
    };
    Ok(Some((head, response.code.unwrap_or(0), length, field("Retry-After").is_some())))
}

fn nonsense(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// Runs requests on uwsgi servers, in the interpreter's place.
pub async fn run(
    servers: Rc<Servers>,
    exchange: Exchange,
    mut commands: mpsc::Receiver<RunCommand>,
    connections: usize,
) {
    let mut under_way = UnderWay::new(connections);
    exchange.report(BackendEvent::Up { cold: false }).await;
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                None => return,
                Some(RunCommand::Run(request)) => {
                    let (txn, body, until) = (request.txn.clone(), request.body.clone(), request.deadline + LATE);
                    let asked = servers.clone().ask(request, body, until);
                    under_way.begin(txn, until, asked, Asked::Unreachable);
                }
                Some(RunCommand::Stop(txn)) => {
                    if under_way.give_up(&txn) {
                        exchange.report(BackendEvent::Ended(txn, Completion::Cancelled)).await;
                    }
                }
                // These servers make their own calls, and nobody measures their cores.
                Some(RunCommand::Resolve { .. } | RunCommand::Skip(_) | RunCommand::Gauges) => {}
            },
            (txn, asked) = under_way.next() => {
                let end = match asked {
                    Asked::Done(result) => Completion::Succeeded(result),
                    Asked::Refused | Asked::Unreachable => Completion::NeverStarted,
                    Asked::TimedOut | Asked::Failed | Asked::CutOff => Completion::Failed,
                };
                exchange.report(BackendEvent::Ended(txn, end)).await;
            }
        }
    }
}

impl Callee for Servers {
    async fn call(self: Rc<Self>, request: Rc<Request>, body: Bytes, until: Unix) -> CallOutcome {
        match self.ask(request, body, until).await {
            Asked::Done(reply) => CallOutcome::Ok(reply),
            Asked::Refused => CallOutcome::Rejected,
            Asked::TimedOut => CallOutcome::TimedOut,
            Asked::Failed => CallOutcome::Failed,
            Asked::CutOff => CallOutcome::CutOff,
            Asked::Unreachable => CallOutcome::Unreachable,
        }
    }
}

#[cfg(test)]
mod tests;
