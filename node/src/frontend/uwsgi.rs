//! The second front: requests in uwsgi packets, one a connection, and answers as HTTP responses.
//!
//! | variable | meaning |
//! | --- | --- |
//! | `PATH_INFO` | `/` and the class; `/status` is a health check |
//! | `CONTENT_LENGTH` | bytes of body after the packet; none if absent |
//! | `HTTP_IDEMPOTENCY_KEY` | in keyed classes: the same for all tries of one request, with the same body |
//! | `HTTP_X_TENANT` | the tenant by name; without one the request counts to nobody's share |
//! | `HTTP_X_DEADLINE` | when the caller stops waiting, in Unix milliseconds; at the latest, and without one, the class's deadline from now |
//! | `HTTP_X_COST` | the work to expect, in milliseconds on one core |
//! | `HTTP_X_RAM` | the memory that is booked for the request while it is held, in KB, under 2,000 |

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;

use super::connection_limiter::{ConnectionGuard, Standing, OWED};
use super::{booked, part};
use crate::class_registry::ClassRegistry;
use crate::clock::{self, Unix};
use crate::exchange::{Exchange, Request, RequestOutcome, Responder};
use crate::http;
use crate::log;
use crate::uwsgi::{Head, Vars, HEAD};

/// The most bytes of variables and of body.
const MAX_VARS: usize = 16 * 1024;
const MAX_BODY: usize = 64 * 1024;
/// Longest key.
const MAX_KEY: usize = 256;
/// The longest that an answer may take to be read.
const WRITING: Duration = Duration::from_secs(5);
/// The memory booked for a request that does not say.
const USUAL_KB: f64 = 32.0;
/// All callers of this front count as one in the decisions, as none keeps a connection.
const CALLER: u32 = u32::MAX;

/// An answer before any request was begun.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Problem {
    BadRequest(&'static str),
    NotFound,
    TooLarge(&'static str),
}

/// What a packet asks for.
enum Asked {
    Status,
    Run(Request),
}

/// What every connection of this front shares.
pub struct Front {
    /// The way to the core.
    pub exchange: Exchange,
    /// The names in the settings.
    pub names: Rc<ClassRegistry>,
    /// Ids for requests, which come without any.
    pub ids: Ids,
}

/// Ids that are not used twice, here or by front ends, but by a chance of one in 2^64.
pub struct Ids(std::cell::Cell<u64>);

impl Ids {
    /// Ids that follow from a seed.
    pub fn new(seed: u64) -> Self {
        Ids(std::cell::Cell::new(seed))
    }

    /// The next id: 16 hex digits from the splitmix64 sequence.
    fn next(&self) -> Bytes {
        let state = self.0.get().wrapping_add(0x9e37_79b9_7f4a_7c15);
        self.0.set(state);
        let mixed = (state ^ (state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        format!("{:016x}", mixed ^ (mixed >> 31)).into()
    }
}

/// Serves one connection to its end.
pub async fn serve(mut stream: TcpStream, guest: ConnectionGuard, front: Rc<Front>) {
    // What breaks a connection owes its client nothing more.
    if let Err(e) = talk(&mut stream, &guest, &front).await {
        log!("uwsgi: a connection ended early: {e}");
    }
}

async fn talk(stream: &mut TcpStream, guest: &ConnectionGuard, front: &Front) -> io::Result<()> {
    let mut input = BytesMut::with_capacity(4096);
    let read = tokio::select! {
        read = read_request(stream, &mut input) => read?,
        () = guest.asked_to_leave() => return part(stream, guest).await,
        () = clock::until(clock::now() + OWED) => {
            Err(Problem::BadRequest("the request did not come whole in time"))
        }
    };
    guest.is(Standing::Busy);
    let response = match read.and_then(|(vars, body)| front.asked(&vars, body, clock::now())) {
        Ok(Asked::Status) if front.exchange.status().borrow().healthy() => response(200, "OK", "", b"up\n"),
        Ok(Asked::Status) => response(503, "Service Unavailable", "Retry-After: 1\r\n", b"down\n"),
        Ok(Asked::Run(request)) => match outcome(stream, front, request).await? {
            Some(outcome) => answer(&outcome),
            None => return Ok(()),
        },
        Err(problem) => {
            log!("uwsgi: a request that can't be served: {problem:?}");
            match problem {
                Problem::BadRequest(what) => response(400, "Bad Request", "", what.as_bytes()),
                Problem::NotFound => response(404, "Not Found", "", b"no such class"),
                Problem::TooLarge(what) => response(413, "Content Too Large", "", what.as_bytes()),
            }
        }
    };
    tokio::select! {
        written = stream.write_all(&response) => written?,
        () = clock::until(clock::now() + WRITING) => return Err(io::ErrorKind::TimedOut.into()),
    }
    part(stream, guest).await
}

/// Reads a whole request; one that is cut off is an error and begins nothing.
async fn read_request(
    stream: &mut TcpStream,
    input: &mut BytesMut,
) -> io::Result<Result<(Vars, Bytes), Problem>> {
    read_to(stream, input, HEAD).await?;
    let Some(head) = Head::parse(input) else { return Ok(Err(Problem::BadRequest("no head"))) };
    if (head.modifier1, head.modifier2) != (0, 0) {
        return Ok(Err(Problem::BadRequest("modifiers other than 0")));
    }
    if head.size > MAX_VARS {
        return Ok(Err(Problem::TooLarge("too many variables")));
    }
    read_to(stream, input, HEAD + head.size).await?;
    let block = input.split_to(HEAD + head.size).freeze().slice(HEAD..);
    let Some(vars) = Vars::parse(block) else {
        return Ok(Err(Problem::BadRequest("lengths that do not add up")));
    };
    let length = match vars.text("CONTENT_LENGTH").map(str::parse::<usize>) {
        None => 0,
        Some(Ok(length)) if length <= MAX_BODY => length,
        Some(Ok(_)) => return Ok(Err(Problem::TooLarge("the body is too long"))),
        Some(Err(_)) => return Ok(Err(Problem::BadRequest("CONTENT_LENGTH is a number"))),
    };
    read_to(stream, input, length).await?;
    Ok(Ok((vars, input.split_to(length).freeze())))
}

async fn read_to(stream: &mut TcpStream, input: &mut BytesMut, length: usize) -> io::Result<()> {
    while input.len() < length {
        input.reserve(length - input.len());
        if stream.read_buf(input).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(())
}

impl Front {
    fn asked(&self, vars: &Vars, body: Bytes, now: Unix) -> Result<Asked, Problem> {
        let path = vars.text("PATH_INFO").ok_or(Problem::BadRequest("PATH_INFO is missing"))?;
        let name = path.strip_prefix('/').unwrap_or(path);
        let class = match (self.names.class_index(name, now), name) {
            (Some(class), _) => class,
            (None, "status") => return Ok(Asked::Status),
            (None, _) => return Err(Problem::NotFound),
        };
        let key =
            vars.get("HTTP_IDEMPOTENCY_KEY").filter(|key| !key.is_empty() && self.names.is_keyed(class));
        if self.names.is_keyed(class) && key.is_none() {
            return Err(Problem::BadRequest("a request of this class needs an Idempotency-Key"));
        }
        if key.is_some_and(|key| key.len() > MAX_KEY) {
            return Err(Problem::BadRequest("the key is too long"));
        }
        let tenant = match vars.text("HTTP_X_TENANT") {
            Some(name) => self.names.tenant_index(name).ok_or(Problem::BadRequest("no such tenant"))?,
            // No position in the list, so it counts to no share.
            None => u16::MAX,
        };
        let deadline = number(vars, "HTTP_X_DEADLINE")?.map(Duration::from_millis);
        let cost_hint = number(vars, "HTTP_X_COST")?.map(Duration::from_millis);
        let memory_kb = number(vars, "HTTP_X_RAM")?.map_or(USUAL_KB, |memory_kb| memory_kb as f64);
        if !booked(memory_kb) {
            return Err(Problem::BadRequest("HTTP_X_RAM is above 0 and under 2000"));
        }
        Ok(Asked::Run(Request {
            txn: self.ids.next(),
            class,
            tenant,
            key: key.cloned(),
            caller: CALLER,
            cost_hint: cost_hint.map(|cost_hint| self.names.bounded_cost_hint(class, cost_hint)),
            memory_kb,
            rank: 0.5,
            received_at: now,
            deadline: self.names.request_deadline(class, now, deadline),
            body,
        }))
    }
}

fn number(vars: &Vars, name: &str) -> Result<Option<u64>, Problem> {
    let number = vars.text(name).map(str::parse).transpose();
    number.map_err(|_| Problem::BadRequest("a variable that should be a whole number is not"))
}

/// Submits the request and waits for its outcome; none is owed to a client that has gone.
async fn outcome(
    stream: &mut TcpStream,
    front: &Front,
    request: Request,
) -> io::Result<Option<RequestOutcome>> {
    let (answers, mut outcomes) = mpsc::channel(1);
    let Some(responder) = Responder::new(&answers, 0) else { return Ok(None) };
    let claim = front.exchange.submit(request, responder).await;
    let mut beyond = [0; 1024];
    loop {
        tokio::select! {
            answered = outcomes.recv() => return Ok(answered.map(|(_, outcome)| outcome)),
            read = stream.read(&mut beyond) => if read.as_ref().map_or(true, |n| *n == 0) {
                front.exchange.cancelled(claim).await;
                return read.map(|_| None);
            },
        }
    }
}

fn answer(outcome: &RequestOutcome) -> Bytes {
    match outcome {
        RequestOutcome::Served(result) => response(200, "OK", "", result),
        RequestOutcome::Rejected { retry_after, give_up } => {
            // Whole seconds, rounded up: coming back early would be refused again.
            let seconds = retry_after.map_or(1, |after| after.as_millis().div_ceil(1000).max(1));
            let give_up = if *give_up { "X-Give-Up: 1\r\n" } else { "" };
            let fields = format!("Retry-After: {seconds}\r\n{give_up}");
            response(503, "Service Unavailable", &fields, b"not now\n")
        }
        RequestOutcome::Failed { timed_out: false } => {
            response(500, "Internal Server Error", "", b"failed\n")
        }
        RequestOutcome::Failed { timed_out: true } => response(504, "Gateway Timeout", "", b"out of time\n"),
        RequestOutcome::BodyMismatch => {
            response(400, "Bad Request", "", b"the key is that of another body\n")
        }
    }
}

fn response(status: u16, reason: &str, fields: &str, body: &[u8]) -> Bytes {
    let fields = format!("Content-Type: application/octet-stream\r\n{fields}");
    http::response(status, reason, &fields, body)
}
