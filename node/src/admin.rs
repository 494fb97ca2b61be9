//! The admin interface: HTTP/1.1, one call a connection. It is served whatever the load.
//!
//! | call | response |
//! | --- | --- |
//! | `GET /ops/readiness` | 200 once this process can serve, else 503 |
//! | `GET /ops/stats` | the metrics |
//! | `PUT /ops/drain/start` | maintenance mode: health checks fail, everything else goes on |
//! | `PUT /ops/drain/stop` | the end of maintenance mode |

use std::io;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::class_registry::ClassRegistry;
use crate::clock;
use crate::exchange::Exchange;
use crate::frontend::connection_limiter::{ConnectionGuard, ConnectionState, MESSAGE_TIMEOUT};
use crate::frontend::lingering_close;
use crate::http::{parse_call, response, Call, Status, MAX_HEAD_BYTES};
use crate::log;

/// Connections at a time. One more evicts one on which no call has arrived yet.
pub(crate) const MAX_CONNECTIONS: usize = 16;
/// Initial capacity of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 1024;
/// The header field of all responses.
const CONTENT_TYPE: &str = "Content-Type: text/plain; charset=utf-8\r\n";

/// What all connections of operators share.
pub(crate) struct AdminServer {
    /// The way to the dispatcher.
    pub(crate) exchange: Exchange,
    /// The names of the classes in the metrics.
    pub(crate) registry: Rc<ClassRegistry>,
}

/// Serves one connection to its end.
pub(crate) async fn serve(mut stream: TcpStream, guard: ConnectionGuard, server: Rc<AdminServer>) {
    // A client whose connection breaks gets no response.
    if let Err(error) = serve_call(&mut stream, &guard, &server).await {
        log!("admin: connection lost: error={error}");
    }
}

async fn serve_call(stream: &mut TcpStream, guard: &ConnectionGuard, server: &AdminServer) -> io::Result<()> {
    let mut input = BytesMut::with_capacity(READ_BUFFER_BYTES);
    let deadline = clock::now() + MESSAGE_TIMEOUT;
    let response = loop {
        match parse_call(&input) {
            Ok(Some(call)) => {
                guard.set_state(ConnectionState::Busy);
                break server.respond(&call).await;
            }
            Ok(None) if input.len() <= MAX_HEAD_BYTES => {}
            Ok(None) => {
                break text_response(Status::HEADER_FIELDS_TOO_LARGE, "the head is too long\n");
            }
            Err(error) => break text_response(Status::BAD_REQUEST, &format!("{error}\n")),
        }
        tokio::select! {
            read = stream.read_buf(&mut input) => if read? == 0 { return Ok(()) },
            () = guard.evicted() => return lingering_close(stream, guard).await,
            () = clock::until(deadline) => {
                break text_response(Status::REQUEST_TIMEOUT, "the call did not end in time\n");
            }
        }
    };
    tokio::select! {
        written = stream.write_all(&response) => written?,
        () = clock::until(clock::now() + MESSAGE_TIMEOUT) => return Err(io::ErrorKind::TimedOut.into()),
    }
    lingering_close(stream, guard).await
}

impl AdminServer {
    async fn respond(&self, call: &Call) -> Bytes {
        match (&call.method[..], &call.path[..]) {
            ("GET", "/ops/readiness") => self.readiness(),
            ("GET", "/ops/stats") => {
                text_response(Status::OK, &self.exchange.metrics().render(&self.registry.class_names()))
            }
            ("PUT", "/ops/drain/start") => self.set_maintenance(true).await,
            ("PUT", "/ops/drain/stop") => self.set_maintenance(false).await,
            (_, "/ops/readiness" | "/ops/stats" | "/ops/drain/start" | "/ops/drain/stop") => {
                text_response(Status::METHOD_NOT_ALLOWED, "GET asks, PUT changes\n")
            }
            _ => text_response(Status::NOT_FOUND, "no such call\n"),
        }
    }

    fn readiness(&self) -> Bytes {
        if self.exchange.status().borrow().is_serving() {
            text_response(Status::OK, "ready\n")
        } else {
            text_response(Status::SERVICE_UNAVAILABLE, "not ready\n")
        }
    }

    /// Switches maintenance mode; responds once health checks are answered accordingly.
    async fn set_maintenance(&self, enabled: bool) -> Bytes {
        self.exchange.set_maintenance(enabled).await;
        let mut status = self.exchange.status();
        let applied = status.wait_for(|status| status.maintenance == enabled).await;
        drop(applied);
        log!("admin: maintenance mode: enabled={enabled}");
        text_response(Status::OK, if enabled { "draining\n" } else { "serving\n" })
    }
}

fn text_response(status: Status, body: &str) -> Bytes {
    response(status, CONTENT_TYPE, body.as_bytes())
}
