//! The uwsgi frontend: each connection carries one request in a uwsgi packet, and its response in HTTP.
//!
//! | variable | meaning |
//! | --- | --- |
//! | `PATH_INFO` | `/` and the class; `/status` is a health check |
//! | `CONTENT_LENGTH` | length of the body after the packet, in bytes; no body if absent |
//! | `HTTP_IDEMPOTENCY_KEY` | required in keyed classes; all attempts of one request have the same key and the same body |
//! | `HTTP_X_TENANT` | name of the tenant; without one the request counts towards no tenant's share |
//! | `HTTP_X_DEADLINE` | when the client stops waiting, in Unix milliseconds; limited to the class's deadline from now, which is also the default |
//! | `HTTP_X_COST` | expected CPU time, in milliseconds on one core |
//! | `HTTP_X_RAM` | the memory that is booked for the request while it is queued, in KB, under 2,000 |

mod context;
mod request;
mod request_ids;
mod response;

use std::io;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use super::connection_limiter::{ConnectionGuard, ConnectionState, MESSAGE_TIMEOUT};
use super::{has_client_left, lingering_close, poll_new_connection};
use crate::clock;
use crate::exchange::{Request, RequestOutcome, RequestTag, Responder};
use crate::log;
pub(crate) use context::UwsgiFrontend;
use request::{read_request, RequestError, Target};
pub(crate) use request_ids::RequestIds;
use response::{encode_error, encode_health, encode_outcome};

/// Time in which a client must read its response.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of bytes that one read drops while the client waits for its response.
const DROPPED_CHUNK_BYTES: usize = 1024;
/// The tag of the only request of a connection.
const ONLY_REQUEST: RequestTag = RequestTag(0);

/// Serves one connection until it is closed.
pub(crate) async fn serve(mut stream: TcpStream, guard: ConnectionGuard, frontend: Rc<UwsgiFrontend>) {
    // A client whose connection breaks gets no response.
    if let Err(error) = serve_request(&mut stream, &guard, &frontend).await {
        log!("uwsgi: connection lost: error={error}");
    }
}

async fn serve_request(
    stream: &mut TcpStream,
    guard: &ConnectionGuard,
    frontend: &UwsgiFrontend,
) -> io::Result<()> {
    poll_new_connection().await;
    let received = tokio::select! {
        received = read_request(stream, guard) => received?,
        () = guard.evicted() => return lingering_close(stream, guard).await,
        () = clock::until(clock::now() + MESSAGE_TIMEOUT) => {
            Err(RequestError::BadRequest("the request did not come whole in time"))
        }
    };
    guard.set_state(ConnectionState::Busy);
    let target = received.and_then(|packet| frontend.resolve(&packet, clock::now()));
    if has_client_left(stream) {
        return Ok(());
    }
    let response = match target {
        Ok(Target::Health) => encode_health(frontend.exchange.status().borrow().healthy()),
        Ok(Target::Run(request)) => match run_request(stream, frontend, request).await? {
            Some(outcome) => encode_outcome(&outcome),
            None => return Ok(()),
        },
        Err(error) => {
            log!("uwsgi: request rejected: error={error:?}");
            encode_error(error)
        }
    };
    // Nothing of the request is held any more.
    guard.set_buffers(0, 0);
    tokio::select! {
        written = stream.write_all(&response) => written?,
        () = clock::until(clock::now() + WRITE_TIMEOUT) => return Err(io::ErrorKind::TimedOut.into()),
    }
    lingering_close(stream, guard).await
}

/// Submits the request and waits for its outcome; none if the client has closed the connection.
async fn run_request(
    stream: &mut TcpStream,
    frontend: &UwsgiFrontend,
    request: Request,
) -> io::Result<Option<RequestOutcome>> {
    let (sender, mut answers) = mpsc::channel(1);
    let Some(responder) = Responder::new(&sender, ONLY_REQUEST) else { return Ok(None) };
    let submission = frontend.exchange.submit(request, responder).await;
    let mut dropped = [0; DROPPED_CHUNK_BYTES];
    loop {
        tokio::select! {
            answer = answers.recv() => return Ok(answer.map(|answer| answer.outcome)),
            read = stream.read(&mut dropped) => if read.as_ref().map_or(true, |bytes| *bytes == 0) {
                frontend.exchange.cancelled(submission).await;
                return read.map(|_| None);
            },
        }
    }
}
