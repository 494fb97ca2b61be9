//! Where operators call: HTTP/1.1, one call a connection.
//!
//! | call | |
//! | --- | --- |
//! | `GET /ops/readiness` | 200 once this process can serve, else 503 |
//! | `GET /ops/stats` | the figures |
//! | `PUT /ops/drain/start` | health checks are answered as bad; all else goes on |
//! | `PUT /ops/drain/stop` | they are answered as usual again |

use std::io;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::class_registry::ClassRegistry;
use crate::clock;
use crate::exchange::Exchange;
use crate::frontend::connection_limiter::{ConnectionGuard, Standing, OWED};
use crate::frontend::part;
use crate::http::{call, response, MAX_HEAD};
use crate::log;

/// Connections of operators at a time. Where one more comes, one that has asked nothing yet goes.
pub const ROOM: usize = 16;

const TEXT: &str = "Content-Type: text/plain; charset=utf-8\r\n";

/// What every connection of operators shares.
pub struct AdminServer {
    /// The way to the core.
    pub exchange: Exchange,
    /// The names that figures go by.
    pub names: Rc<ClassRegistry>,
}

/// Serves one connection to its end.
pub async fn serve(mut stream: TcpStream, guest: ConnectionGuard, office: Rc<AdminServer>) {
    // Who leaves early is owed nothing more.
    if let Err(e) = talk(&mut stream, &guest, &office).await {
        log!("operators: a connection ended early: {e}");
    }
}

async fn talk(stream: &mut TcpStream, guest: &ConnectionGuard, office: &AdminServer) -> io::Result<()> {
    let mut input = BytesMut::with_capacity(1024);
    let owed = clock::now() + OWED;
    let answer = loop {
        match call(&input) {
            Ok(Some((method, path))) => {
                guest.is(Standing::Busy);
                break office.answer(&method, &path).await;
            }
            Ok(None) if input.len() <= MAX_HEAD => {}
            Ok(None) => break plain(431, "Request Header Fields Too Large", "the head is too long\n"),
            Err(e) => break plain(400, "Bad Request", &format!("{e}\n")),
        }
        tokio::select! {
            read = stream.read_buf(&mut input) => if read? == 0 { return Ok(()) },
            () = guest.asked_to_leave() => return part(stream, guest).await,
            () = clock::until(owed) => break plain(408, "Request Timeout", "the call did not end in time\n"),
        }
    };
    tokio::select! {
        written = stream.write_all(&answer) => written?,
        () = clock::until(clock::now() + OWED) => return Err(io::ErrorKind::TimedOut.into()),
    }
    part(stream, guest).await
}

impl AdminServer {
    async fn answer(&self, method: &str, path: &str) -> Bytes {
        match (method, path) {
            ("GET", "/ops/readiness") => {
                let ready = self.exchange.status().borrow().is_serving();
                if ready {
                    plain(200, "OK", "ready\n")
                } else {
                    plain(503, "Service Unavailable", "not ready\n")
                }
            }
            ("GET", "/ops/stats") => {
                plain(200, "OK", &self.exchange.metrics().render(&self.names.class_names()))
            }
            ("PUT", "/ops/drain/start") => self.send_away(true).await,
            ("PUT", "/ops/drain/stop") => self.send_away(false).await,
            (_, "/ops/readiness" | "/ops/stats" | "/ops/drain/start" | "/ops/drain/stop") => {
                plain(405, "Method Not Allowed", "GET asks, PUT changes\n")
            }
            _ => plain(404, "Not Found", "no such call\n"),
        }
    }

    /// Says yes once health checks are answered that way.
    async fn send_away(&self, away: bool) -> Bytes {
        self.exchange.set_maintenance(away).await;
        let mut state = self.exchange.status();
        let heard = state.wait_for(|state| state.maintenance == away).await;
        drop(heard);
        log!("operators: {}", if away { "front ends are sent away" } else { "front ends may come again" });
        plain(200, "OK", if away { "draining\n" } else { "serving\n" })
    }
}

fn plain(status: u16, reason: &str, body: &str) -> Bytes {
    response(status, reason, TEXT, body.as_bytes())
}
