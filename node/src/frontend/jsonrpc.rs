//! The platform's front: JSON-RPC 2.0 over TCP, one message a line.

use std::borrow::Cow;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use bytes::{BufMut, Bytes, BytesMut};
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

use super::connection_limiter::{ConnectionGuard, Standing, OWED};
use super::write_backlog::WriteBacklog;
use super::{booked, part};
use crate::class_registry::ClassRegistry;
use crate::clock::{self, Unix};
use crate::exchange::{Exchange, NodeStatus, Request, RequestOutcome, Responder, SubmissionId};
use crate::log;

/// Requests that may be open on one connection.
const MAX_OPEN: usize = 32;
/// Longest line; a body of 2 KiB in base64 and all other fields take a quarter of it.
const MAX_LINE: usize = 16 * 1024;
/// Longest body.
const MAX_BODY: usize = 2 * 1024;
/// Longest key.
const MAX_KEY: usize = 64;
/// Unwritten bytes beyond which nothing more is read: guards the memory against a peer that reads nothing.
const MAX_UNWRITTEN: usize = 64 * 1024;
/// A connection is closed after so many messages in a row that can't be served. Guards the cores against a
/// client that sends them at full speed.
const PATIENCE: u32 = 16;
/// A connection that was told to take nothing new and stays idle is closed after this long.
const LINGER: Duration = Duration::from_secs(1);

/// Of a line that can't be served, so many bytes are logged.
const LOGGED: usize = 120;

const PARSE_ERROR: i32 = -32700;
const INVALID_REQUEST: i32 = -32600;
const METHOD_NOT_FOUND: i32 = -32601;
const INVALID_PARAMS: i32 = -32602;
const REFUSED: i32 = -32011;
const FAILED: i32 = -32000;
const OVERDUE: i32 = -32001;

#[derive(Deserialize)]
struct Envelope<'a> {
    #[serde(borrow, default)]
    jsonrpc: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    id: Option<&'a RawValue>,
    #[serde(borrow, default)]
    method: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    params: Option<&'a RawValue>,
}

#[derive(Deserialize)]
struct Params<'a> {
    #[serde(borrow)]
    txn: Cow<'a, str>,
    #[serde(rename = "door")]
    received_at: f64,
    #[serde(default)]
    lb: u32,
    #[serde(borrow, default)]
    team: Cow<'a, str>,
    limit: Option<f64>,
    cpu: Option<f64>,
    ram: f64,
    #[serde(default)]
    standing: f64,
    #[serde(borrow, default)]
    unique: Option<Cow<'a, str>>,
    #[serde(borrow, default)]
    content: Cow<'a, str>,
}

/// What a withdrawal is about: the id of the request on this connection, or its txn.
#[derive(Deserialize)]
struct Withdrawn<'a> {
    #[serde(borrow, default)]
    id: Option<&'a RawValue>,
    #[serde(borrow, default)]
    txn: Option<Cow<'a, str>>,
}

/// The id of an error where the request's can't be known, and the mark of what is not to be answered.
const NO_ID: Bytes = Bytes::from_static(b"null");
const NO_ANSWER: Bytes = Bytes::new();

/// An error answer: its code and what it says.
type Problem = (i32, &'static str);

struct Open {
    /// The id as it came.
    id: Bytes,
    claim: SubmissionId,
}

/// One connection of a front end.
struct Connection {
    exchange: Exchange,
    names: Rc<ClassRegistry>,
    state: watch::Receiver<NodeStatus>,
    answers: mpsc::Sender<(u64, RequestOutcome)>,
    open: HashMap<u64, Open>,
    next_tag: u64,
    output: BytesMut,
    /// The peer was told to send nothing new here.
    told: Option<Unix>,
    used: Unix,
    guest: ConnectionGuard,
    /// A request or a check on it could be served.
    known: bool,
    /// When the message that has begun, or the first one, is to be whole.
    owed: Option<Unix>,
    /// Messages of late, in a row, that could not be served.
    unserved: u32,
    unread: WriteBacklog,
    /// Close once everything is answered and written, unless one more request comes before that.
    leaving: bool,
    /// Close then, and read nothing more.
    deaf: bool,
}

/// Serves one connection to its end.
pub async fn serve(
    mut stream: TcpStream,
    guest: ConnectionGuard,
    exchange: Exchange,
    names: Rc<ClassRegistry>,
) {
    // What was withdrawn may keep its place in the queue for a moment longer than it is open.
    let (answers, outcomes) = mpsc::channel(2 * MAX_OPEN);
    let (state, now) = (exchange.status(), clock::now());
    let mut connection = Connection {
        exchange,
        names,
        state,
        answers,
        open: HashMap::new(),
        next_tag: 1,
        output: BytesMut::new(),
        told: None,
        used: now,
        guest,
        known: false,
        owed: Some(now + OWED),
        unserved: 0,
        unread: WriteBacklog::default(),
        leaving: false,
        deaf: false,
    };
    // Whatever ended the connection, nobody waits any more for what is still open on it.
    let ended = connection.talk(&mut stream, outcomes).await;
    for open in std::mem::take(&mut connection.open).into_values() {
        connection.exchange.cancelled(open.claim).await;
    }
    if ended.is_ok() {
        // It is closed either way.
        let _ = part(&mut stream, &connection.guest).await;
    }
}

impl Connection {
    async fn talk(
        &mut self,
        stream: &mut TcpStream,
        mut outcomes: mpsc::Receiver<(u64, RequestOutcome)>,
    ) -> io::Result<()> {
        let (mut reader, mut writer) = stream.split();
        let (mut input, mut asked_again) = (BytesMut::new(), false);
        let born_draining = self.state.borrow().draining.is_some();
        loop {
            let draining = {
                let state = self.state.borrow();
                state.handed_over || (state.draining.is_some() && !(born_draining && state.accepting))
            };
            if draining && self.told.is_none() {
                self.tell_to_leave();
            }
            self.check_owed(input.is_empty());
            let quiet = self.open.is_empty() && self.output.is_empty();
            let ends = quiet && (self.deaf || self.leaving || self.idle_over());
            if ends && (self.deaf || asked_again) {
                return Ok(());
            }
            asked_again = ends;
            if asked_again {
                // Guards a message that has come in this moment: the system is asked once more before the end.
                tokio::task::yield_now().await;
            }
            self.guest.is(match (self.open.is_empty(), self.output.is_empty(), self.known) {
                (false, ..) => Standing::Busy,
                (true, false, _) => Standing::Answered,
                (true, true, true) => Standing::Idle,
                (true, true, false) => Standing::Stranger,
            });
            let now = clock::now();
            let unread = self.unread.until(self.output.len(), now);
            if unread.is_some_and(|until| now >= until) {
                return Err(io::ErrorKind::TimedOut.into());
            }
            let wake = if asked_again { now } else { self.next_look(unread) };
            let reading = !self.deaf && self.output.len() < MAX_UNWRITTEN;
            input.reserve(4096);
            tokio::select! {
                biased;
                written = writer.write_buf(&mut self.output), if !self.output.is_empty() => {
                    match written? {
                        0 => return Err(io::ErrorKind::WriteZero.into()),
                        some => self.unread.wrote(some),
                    }
                }
                Some((tag, outcome)) = outcomes.recv() => {
                    self.answer(tag, outcome);
                    while let Ok((tag, outcome)) = outcomes.try_recv() {
                        self.answer(tag, outcome);
                    }
                }
                read = reader.read_buf(&mut input), if reading => {
                    if read? == 0 {
                        return Ok(());
                    }
                    self.used = clock::now();
                    let whole = self.take_lines(&mut input).await;
                    // Where a request came before it left, it stays. Anything else was the last that is read.
                    self.deaf |= self.leaving && self.open.is_empty();
                    self.leaving &= self.deaf;
                    // A message that goes on to come is owed from when it began.
                    let since = if whole > 0 { None } else { self.owed };
                    self.owed = since.or((!input.is_empty()).then(|| self.used + OWED));
                    if whole > 1 {
                        // Guards everyone else's turn against a client that sends without a pause.
                        tokio::task::yield_now().await;
                    }
                }
                // Comes after reading: guards what has come already. A request that crosses the close is sent
                // again, once.
                () = self.guest.asked_to_leave() => {
                    // Who does not read its answers keeps no place that another needs: guards the descriptors.
                    if self.open.is_empty() && !self.output.is_empty() {
                        return Ok(());
                    }
                    self.leaving |= self.open.is_empty();
                }
                changed = self.state.changed() => if changed.is_err() { return Ok(()) },
                () = clock::until(wake) => {}
            }
        }
    }

    /// When there may be something to do though nothing happens.
    fn next_look(&self, unread: Option<Unix>) -> Unix {
        [Some(self.idle_until()), self.owed, unread].into_iter().flatten().min().unwrap_or_default()
    }

    /// When this connection has been idle for too long.
    fn idle_until(&self) -> Unix {
        let from = self.told.map_or(self.used, |told| told.max(self.used));
        let limit = if self.told.is_some() { Some(LINGER) } else { self.state.borrow().idle_timeout };
        // While a message is owed, that has a time of its own.
        let quiet = self.open.is_empty() && self.output.is_empty() && self.owed.is_none();
        from + limit.filter(|_| quiet).unwrap_or(Duration::from_secs(3600))
    }

    /// Closes a connection on which a message is overdue.
    fn check_owed(&mut self, silent: bool) {
        if self.owed.is_none_or(|owed| clock::now() < owed) {
            return;
        }
        self.owed = None;
        if silent {
            self.tell_to_leave();
            self.leaving = true;
        } else {
            self.end_with("the message did not end in time");
        }
    }

    /// Whether this idle connection is to end. It is told first, and closed only if the peer does not close
    /// it: guards a request against crossing the close.
    fn idle_over(&mut self) -> bool {
        if clock::now() < self.idle_until() {
            return false;
        }
        if self.told.is_none() {
            self.tell_to_leave();
            return false;
        }
        true
    }

    fn tell_to_leave(&mut self) {
        self.told = Some(clock::now());
        self.output.put_slice(b"{\"jsonrpc\":\"2.0\",\"method\":\"draining\"}\n");
    }

    /// Takes in all whole lines; returns how many there were.
    async fn take_lines(&mut self, input: &mut BytesMut) -> usize {
        let mut whole = 0;
        while let Some(end) = input.iter().position(|b| *b == b'\n') {
            whole += 1;
            let line = input.split_to(end + 1).freeze();
            if line.len() > MAX_LINE {
                self.end_with("the line is too long");
                break;
            }
            if line.iter().all(u8::is_ascii_whitespace) {
                continue;
            }
            let Err((id, (code, message))) = self.take_line(&line).await else {
                self.unserved = 0;
                continue;
            };
            let start = line[..line.len().min(LOGGED)].escape_ascii();
            log!("a front end sent what can't be served: {code} {message}: {start}");
            // A notification is never answered, but one that can't be told from a request is.
            if id != NO_ANSWER {
                self.put_error(&id, code, message, "");
            }
            // A client that is known may ask for what a reload is still to bring, and is owed all its answers.
            if !self.known || !matches!(code, METHOD_NOT_FOUND | INVALID_PARAMS) {
                self.unserved += 1;
            }
            if self.unserved >= PATIENCE {
                self.end_with("too many messages that can't be served");
                break;
            }
        }
        if !self.deaf && input.len() > MAX_LINE {
            self.end_with("the line is too long");
        }
        whole
    }

    /// Reads nothing more, and closes once all that is open is answered.
    fn end_with(&mut self, message: &str) {
        self.put_error(&NO_ID, INVALID_REQUEST, message, "");
        self.unserved += 1;
        self.deaf = true;
    }

    async fn take_line(&mut self, line: &Bytes) -> Result<(), (Bytes, Problem)> {
        let envelope: Envelope = serde_json::from_slice(line).map_err(|e| {
            let data = e.classify() == serde_json::error::Category::Data;
            (NO_ID, if data { (INVALID_REQUEST, "not a request") } else { (PARSE_ERROR, "not JSON") })
        })?;
        // A struct reads from an array too, by position, which is a batch here.
        if !is_object(line) {
            return Err((NO_ID, (INVALID_REQUEST, "not a request")));
        }
        let id = envelope.id.map(|id| line.slice_ref(id.get().as_bytes()));
        let named = |problem| (id.clone().unwrap_or(NO_ANSWER), problem);
        let valid_id = id.as_deref().is_none_or(|id| !matches!(id.first(), Some(b'{' | b'[' | b't' | b'f')));
        let (Some("2.0"), Some(method), true) = (envelope.jsonrpc.as_deref(), &envelope.method, valid_id)
        else {
            return Err((NO_ID, (INVALID_REQUEST, "not a JSON-RPC 2.0 request")));
        };
        let params = envelope.params.map_or("{}", RawValue::get);
        match &method[..] {
            "status" => {
                self.known = true;
                if let Some(id) = id {
                    let up = self.state.borrow().healthy();
                    put_result(&mut self.output, &id, |out| {
                        out.put_slice(if up { b"{\"up\":true}" } else { b"{\"up\":false}" });
                    });
                }
                Ok(())
            }
            "withdraw" => {
                let withdrawn: Option<Withdrawn> = serde_json::from_str(params).ok();
                let withdrawn =
                    withdrawn.filter(|w| is_object(params.as_bytes()) && (w.id.is_some() || w.txn.is_some()));
                let withdrawn =
                    withdrawn.ok_or_else(|| named((INVALID_PARAMS, "withdraw names an id or a txn")))?;
                self.withdraw(&withdrawn).await;
                Ok(())
            }
            class => {
                let Some(class) = self.names.class_index(class, clock::now()) else {
                    return Err(named((METHOD_NOT_FOUND, "no such method")));
                };
                // Without an id there is nothing to answer to, so nothing is begun, and the client hears why.
                let Some(id) = id.clone() else {
                    return Err((NO_ID, (INVALID_REQUEST, "a request has an id")));
                };
                if self.open.values().any(|open| open.id == id) {
                    return Err((NO_ID, (INVALID_REQUEST, "the id is in use")));
                }
                let request = self.request(class, params, line).map_err(&named)?;
                self.submit(id, request).await
            }
        }
    }

    fn request(&self, class: u16, params: &str, line: &Bytes) -> Result<Request, Problem> {
        let params: Params = serde_json::from_str(params)
            .map_err(|_| (INVALID_PARAMS, "a field is missing or of another kind"))?;
        let slice = |text: &Cow<str>| match text {
            Cow::Borrowed(text) => line.slice_ref(text.as_bytes()),
            Cow::Owned(text) => Bytes::copy_from_slice(text.as_bytes()),
        };
        let millis =
            |ms: f64| Duration::try_from_secs_f64(ms / 1e3).map_err(|_| (INVALID_PARAMS, "no such time"));
        let wrong = |what| Err((INVALID_PARAMS, what));
        let keyed = self.names.is_keyed(class);
        let key = params.unique.as_ref().filter(|_| keyed).map(slice);
        if keyed && key.as_ref().is_none_or(|key| !(1..=MAX_KEY).contains(&key.len())) {
            return wrong("a request of this class names its unique key");
        }
        // Guards the links, where an id is one word of a line.
        if !is_id(&params.txn) {
            return wrong("txn is up to 16 hex digits");
        }
        if !booked(params.ram) {
            return wrong("ram is above 0 and under 2000");
        }
        if !(0.0..1.0).contains(&params.standing) {
            return wrong("standing is from 0 to under 1");
        }
        // Guards the table of keys against a clock that runs ahead: what came later than an entry ended is new.
        let now = clock::now();
        let received_at = millis(params.received_at)?.min(now);
        let tenant = self.names.tenant_index(&params.team);
        if tenant.is_none() && !params.team.is_empty() {
            return wrong("no such team");
        }
        let limit = millis(params.limit.ok_or((INVALID_PARAMS, "limit is missing"))?)?;
        // The text of a body is not the body, so here it does not stay a slice of what was read.
        let body =
            BASE64.decode(params.content.as_bytes()).map_err(|_| (INVALID_PARAMS, "content is base64"))?;
        if body.len() > MAX_BODY {
            return wrong("content is 2 KiB at most");
        }
        Ok(Request {
            txn: slice(&params.txn),
            class,
            tenant: tenant.unwrap_or(0),
            key,
            caller: params.lb,
            cost_hint: params
                .cpu
                .map(millis)
                .transpose()?
                .map(|cost_hint| self.names.bounded_cost_hint(class, cost_hint)),
            memory_kb: params.ram,
            rank: params.standing,
            received_at,
            deadline: self.names.request_deadline(class, now, Some(received_at.saturating_add(limit))),
            body: body.into(),
        })
    }

    async fn submit(&mut self, id: Bytes, request: Request) -> Result<(), (Bytes, Problem)> {
        let tag = self.next_tag;
        self.next_tag += 1;
        let responder = Responder::new(&self.answers, tag).filter(|_| self.open.len() < MAX_OPEN);
        let Some(responder) = responder else {
            return Err((id, (INVALID_REQUEST, "32 requests are open here")));
        };
        self.known = true;
        let claim = self.exchange.submit(request, responder).await;
        self.open.insert(tag, Open { id, claim });
        Ok(())
    }

    async fn withdraw(&mut self, withdrawn: &Withdrawn<'_>) {
        let meant = |open: &Open| {
            withdrawn.id.is_none_or(|id| open.id == id.get().as_bytes())
                && withdrawn.txn.as_ref().is_none_or(|txn| open.claim.txn == txn.as_bytes())
        };
        // What was answered meanwhile is no longer open.
        let Some(tag) = self.open.iter().find(|(_, open)| meant(open)).map(|(tag, _)| *tag) else { return };
        if let Some(open) = self.open.remove(&tag) {
            self.exchange.cancelled(open.claim).await;
        }
    }

    fn answer(&mut self, tag: u64, outcome: RequestOutcome) {
        // What was withdrawn meanwhile is owed no answer.
        let Some(open) = self.open.remove(&tag) else { return };
        self.used = clock::now();
        match outcome {
            RequestOutcome::Served(result) => put_result(&mut self.output, &open.id, |out| {
                out.put_slice(b"{\"content\":\"");
                out.put_slice(BASE64.encode(&result).as_bytes());
                out.put_slice(b"\"}");
            }),
            RequestOutcome::Rejected { retry_after, give_up } => {
                self.put_refusal(&open.id, retry_after, give_up)
            }
            RequestOutcome::Failed { timed_out: false } => self.put_error(&open.id, FAILED, "failed", ""),
            RequestOutcome::Failed { timed_out: true } => {
                self.put_error(&open.id, OVERDUE, "out of time", "")
            }
            RequestOutcome::BodyMismatch => {
                self.put_error(&open.id, INVALID_PARAMS, "unique is the key of another body", "");
            }
        }
    }

    fn put_refusal(&mut self, id: &[u8], retry_after: Option<Duration>, give_up: bool) {
        let later = retry_after.map(|after| format!("\"later\":{}", after.as_millis().max(1)));
        let fields = [later, give_up.then(|| "\"giveup\":1".to_string())];
        let fields = fields.into_iter().flatten().collect::<Vec<_>>().join(",");
        let data = if fields.is_empty() { String::new() } else { format!(",\"data\":{{{fields}}}") };
        self.put_error(id, REFUSED, "not now", &data);
    }

    fn put_error(&mut self, id: &[u8], code: i32, message: &str, data: &str) {
        self.output.put_slice(b"{\"jsonrpc\":\"2.0\",\"id\":");
        self.output.put_slice(id);
        let error = format!(",\"error\":{{\"code\":{code},\"message\":\"{message}\"{data}}}}}\n");
        self.output.put_slice(error.as_bytes());
    }
}

fn is_object(json: &[u8]) -> bool {
    json.trim_ascii_start().first() == Some(&b'{')
}

fn is_id(text: &str) -> bool {
    (1..=16).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_hexdigit())
}

fn put_result(output: &mut BytesMut, id: &[u8], result: impl FnOnce(&mut BytesMut)) {
    output.put_slice(b"{\"jsonrpc\":\"2.0\",\"id\":");
    output.put_slice(id);
    output.put_slice(b",\"result\":");
    result(output);
    output.put_slice(b"}\n");
}
