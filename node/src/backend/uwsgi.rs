//! The client of uwsgi servers, which run requests or answer their calls. Each run or call uses its own
//! connection.
//!
//! A request is known not to have run if a server rejects it with 503 and Retry-After, or if no server
//! accepted a connection.

mod response;

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

use super::{CallBackend, CallsInProgress};
use crate::class_registry::ClassRegistry;
use crate::clock::{self, UnixTime};
use crate::config::UpstreamAddresses;
use crate::exchange::{BackendEvent, CallOutcome, Completion, Exchange, Request, RunCommand};
use crate::log;
use crate::sockets;
use crate::uwsgi::{encode_packet, Variable};
use response::{read_response, ServerOutcome};

/// Time for which a run may continue after its deadline, as its result may still serve a later attempt.
const RESULT_GRACE: Duration = Duration::from_secs(10);

/// Selects the addresses of one group of servers from those of all backends.
pub(crate) type SelectAddresses = fn(&UpstreamAddresses) -> &Vec<SocketAddr>;

/// A connection to one of the servers.
struct ServerConnection {
    stream: TcpStream,
    address: SocketAddr,
}

/// A group of interchangeable servers.
pub(crate) struct Servers {
    addresses: watch::Receiver<UpstreamAddresses>,
    select: SelectAddresses,
    next: Cell<usize>,
    registry: Rc<ClassRegistry>,
}

impl Servers {
    /// Creates a client of the servers at the latest addresses. Classes and tenants are sent by their names
    /// in `registry`.
    pub(crate) fn new(
        addresses: watch::Receiver<UpstreamAddresses>,
        select: SelectAddresses,
        registry: Rc<ClassRegistry>,
    ) -> Rc<Self> {
        Rc::new(Servers { addresses, select, next: Cell::new(0), registry })
    }

    /// Tries the servers in round-robin order and returns the first connection. A request can't have run on a
    /// server to which the connection failed.
    async fn connect(&self, deadline: UnixTime) -> Option<ServerConnection> {
        let addresses = (self.select)(&self.addresses.borrow()).clone();
        let first = self.next.get();
        self.next.set(first.wrapping_add(1));
        for turn in 0..addresses.len() {
            let address = addresses[first.wrapping_add(turn) % addresses.len()];
            match sockets::connect(address, deadline).await {
                Ok(stream) => return Some(ServerConnection { stream, address }),
                Err(error) => log!("uwsgi server: connection failed: address={address} error={error}"),
            }
        }
        None
    }

    /// Sends a request to one of the servers and waits for the outcome.
    async fn send(self: Rc<Self>, request: Rc<Request>, body: Bytes, deadline: UnixTime) -> ServerOutcome {
        let Some(connection) = self.connect(deadline).await else { return ServerOutcome::Unreachable };
        let ServerConnection { mut stream, address } = connection;
        let Some(packet) = self.encode(&request, body.len(), deadline) else {
            log!("uwsgi server: request too long for a packet: txn={}", request.txn);
            return ServerOutcome::Unreachable;
        };
        tokio::select! {
            outcome = send_and_receive(&mut stream, &packet, &body) => outcome.unwrap_or_else(|error| {
                log!("uwsgi server: no valid response: address={address} error={error}");
                if error.kind() == io::ErrorKind::InvalidData {
                    ServerOutcome::Failed
                } else {
                    ServerOutcome::CutOff
                }
            }),
            () = clock::until(deadline) => ServerOutcome::TimedOut,
        }
    }

    /// Encodes the packet of a request; none if the variables do not fit in one packet.
    fn encode(&self, request: &Request, body_length: usize, deadline: UnixTime) -> Option<BytesMut> {
        let path = format!("/{}", self.registry.class_name(request.class));
        let tenant = self.registry.tenant_name(request.tenant);
        let length = body_length.to_string();
        let deadline_ms = deadline.as_millis().to_string();
        let mut variables = vec![
            Variable::new("REQUEST_METHOD", b"POST"),
            Variable::new("REQUEST_URI", path.as_bytes()),
            Variable::new("PATH_INFO", path.as_bytes()),
            Variable::new("QUERY_STRING", b""),
            Variable::new("SERVER_PROTOCOL", b"HTTP/1.1"),
            Variable::new("CONTENT_LENGTH", length.as_bytes()),
            Variable::new("HTTP_X_REQUEST_ID", request.txn.as_bytes()),
            Variable::new("HTTP_X_DEADLINE", deadline_ms.as_bytes()),
        ];
        variables.extend(request.key.as_ref().map(|key| Variable::new("HTTP_IDEMPOTENCY_KEY", key)));
        variables.extend(tenant.as_ref().map(|tenant| Variable::new("HTTP_X_TENANT", tenant.as_bytes())));
        encode_packet(&variables)
    }
}

async fn send_and_receive(stream: &mut TcpStream, packet: &[u8], body: &[u8]) -> io::Result<ServerOutcome> {
    stream.write_all(packet).await?;
    stream.write_all(body).await?;
    read_response(stream).await
}

/// Runs requests on uwsgi servers instead of the interpreter until the command channel closes.
pub(crate) async fn run_requests(
    servers: Rc<Servers>,
    exchange: Exchange,
    mut commands: mpsc::Receiver<RunCommand>,
    max_connections: usize,
) {
    let mut runs = CallsInProgress::new(max_connections);
    exchange.report(BackendEvent::Up { cold: false }).await;
    loop {
        tokio::select! {
            command = commands.recv() => match command {
                None => return,
                Some(RunCommand::Run(request)) => {
                    let txn = request.txn.clone();
                    let body = request.body.clone();
                    let deadline = request.deadline + RESULT_GRACE;
                    let run = servers.clone().send(request, body, deadline);
                    runs.start(txn, deadline, run, ServerOutcome::Unreachable);
                }
                Some(RunCommand::Stop(txn)) => {
                    if runs.cancel(&txn) {
                        exchange.report(BackendEvent::RunEnded { txn, completion: Completion::Cancelled }).await;
                    }
                }
                // uwsgi servers make their calls themselves and report no gauges.
                Some(RunCommand::Resolve { .. } | RunCommand::Skip(_) | RunCommand::Gauges) => {}
            },
            ended = runs.next() => {
                exchange.report(BackendEvent::RunEnded { txn: ended.txn, completion: completion(ended.outcome) }).await;
            }
        }
    }
}

/// The completion of a run, derived from the outcome of the exchange with its server.
fn completion(outcome: ServerOutcome) -> Completion {
    match outcome {
        ServerOutcome::Succeeded(result) => Completion::Succeeded(result),
        ServerOutcome::Rejected | ServerOutcome::Unreachable => Completion::NeverStarted,
        ServerOutcome::TimedOut | ServerOutcome::Failed | ServerOutcome::CutOff => Completion::Failed,
    }
}

impl CallBackend for Servers {
    async fn call(self: Rc<Self>, request: Rc<Request>, body: Bytes, deadline: UnixTime) -> CallOutcome {
        match self.send(request, body, deadline).await {
            ServerOutcome::Succeeded(reply) => CallOutcome::Ok(reply),
            ServerOutcome::Rejected => CallOutcome::Rejected,
            ServerOutcome::TimedOut => CallOutcome::TimedOut,
            ServerOutcome::Failed => CallOutcome::Failed,
            ServerOutcome::CutOff => CallOutcome::CutOff,
            ServerOutcome::Unreachable => CallOutcome::Unreachable,
        }
    }
}
