//! The admin interface: HTTP/1.1 with one call per connection. It responds regardless of the load.
//!
//! | call | response |
//! | --- | --- |
//! | `GET /ops/readiness` | 200 once this process can serve, else 503 |
//! | `GET /ops/stats` | the metrics |
//! | `PUT /ops/drain/start` | enters maintenance mode: health checks fail, all other requests are served as before |
//! | `PUT /ops/drain/stop` | leaves maintenance mode |

use std::io;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::class_registry::ClassRegistry;
use crate::clock;
use crate::exchange::Exchange;
use crate::frontend::connection_limiter::{
    ConnectionGuard, ConnectionLimits, ConnectionState, MESSAGE_TIMEOUT,
};
use crate::frontend::lingering_close;
use crate::http::{parse_call, response, Call, Status, MAX_HEAD_BYTES};
use crate::log;

/// Limit of open connections. A further connection evicts one on which no complete call has arrived yet.
pub(crate) const MAX_CONNECTIONS: usize = 16;
/// Limits of the connections. A call is limited to [`MAX_HEAD_BYTES`], so that their buffers need no limit of their own.
pub(crate) const CONNECTION_LIMITS: ConnectionLimits =
    ConnectionLimits { connections: MAX_CONNECTIONS, buffer_bytes: MAX_CONNECTIONS * MAX_HEAD_BYTES };
/// Initial capacity of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 1024;
/// The `Content-Type` header of all responses.
const CONTENT_TYPE: &str = "Content-Type: text/plain; charset=utf-8\r\n";

/// State shared by all connections to the admin interface.
pub(crate) struct AdminServer {
    /// The status and the metrics of this process, and the queue of events to the dispatcher.
    pub(crate) exchange: Exchange,
    /// Provides the class names under which the metrics are shown.
    pub(crate) registry: Rc<ClassRegistry>,
}

/// Serves one connection until it is closed.
pub(crate) async fn serve(mut stream: TcpStream, guard: ConnectionGuard, server: Rc<AdminServer>) {
    // The client of a lost connection cannot be answered, so the error is only logged.
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

    /// Enters or leaves maintenance mode. Responds once health checks reflect the change.
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
