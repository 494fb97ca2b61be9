//! Reads a packet and its body, and decodes the request from its variables.

use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use oakwind_admission::{CallerId, ClassId, TenantId};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

use super::context::UwsgiFrontend;
use crate::clock::UnixTime;
use crate::exchange::Request;
use crate::frontend::connection_limiter::ConnectionGuard;
use crate::frontend::{is_client_key, is_valid_memory};
use crate::uwsgi::{PacketHead, Variables, HEAD_BYTES};

/// Initial capacity of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 4096;
/// Maximum length of the variables in a packet, in bytes.
const MAX_VARIABLES_BYTES: usize = 16 * 1024;
/// Maximum length of a body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;
/// Memory that is booked for a request without `HTTP_X_RAM`, in KB.
const DEFAULT_MEMORY_KB: f64 = 32.0;
/// The caller of all requests: the clients of this frontend count as one in the decisions, as none keeps a
/// connection.
const CALLER: CallerId = CallerId(u32::MAX);
/// The tenant of requests that name none. It is not in the settings, so these requests count towards no
/// tenant's share.
const NO_TENANT: TenantId = TenantId(u16::MAX);
/// The rank of all requests, as this protocol does not carry one.
const DEFAULT_RANK: f64 = 0.5;

/// Why a packet was not served; no request was submitted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum RequestError {
    BadRequest(&'static str),
    NotFound,
    TooLarge(&'static str),
    /// The requests of all connections take too much memory. This does not promise that the request has not run, as its
    /// key is not known yet.
    OutOfMemory,
}

/// A packet that was read completely.
pub(super) struct ReceivedPacket {
    variables: Variables,
    body: Bytes,
}

/// The purpose of a packet.
pub(super) enum Target {
    /// A health check.
    Health,
    /// A request to run.
    Run(Request),
}

/// Reads a packet and its body. A packet or body that is cut off is an I/O error, and nothing is run.
pub(super) async fn read_request(
    stream: &mut TcpStream,
    guard: &ConnectionGuard,
) -> io::Result<Result<ReceivedPacket, RequestError>> {
    let input = &mut BytesMut::with_capacity(READ_BUFFER_BYTES);
    fill(stream, input, HEAD_BYTES).await?;
    let head = match check_head(input) {
        Ok(head) => head,
        Err(error) => return Ok(Err(error)),
    };
    let packet_bytes = HEAD_BYTES + head.size;
    if !guard.set_buffers(packet_bytes, packet_bytes) {
        return Ok(Err(RequestError::OutOfMemory));
    }
    fill(stream, input, packet_bytes).await?;
    let block = input.split_to(packet_bytes).freeze().slice(HEAD_BYTES..);
    let Some(variables) = Variables::parse(block) else {
        return Ok(Err(RequestError::BadRequest("lengths that do not add up")));
    };
    let length = match body_length(&variables) {
        Ok(length) => length,
        Err(error) => return Ok(Err(error)),
    };
    let request_bytes = packet_bytes + length;
    if !guard.set_buffers(request_bytes, request_bytes) {
        return Ok(Err(RequestError::OutOfMemory));
    }
    fill(stream, input, length).await?;
    Ok(Ok(ReceivedPacket { variables, body: input.split_to(length).freeze() }))
}

fn check_head(input: &[u8]) -> Result<PacketHead, RequestError> {
    let head = PacketHead::parse(input).ok_or(RequestError::BadRequest("no head"))?;
    if (head.modifier1, head.modifier2) != (0, 0) {
        return Err(RequestError::BadRequest("modifiers other than 0"));
    }
    if head.size > MAX_VARIABLES_BYTES {
        return Err(RequestError::TooLarge("too many variables"));
    }
    Ok(head)
}

fn body_length(variables: &Variables) -> Result<usize, RequestError> {
    match variables.text("CONTENT_LENGTH").map(str::parse::<usize>) {
        None => Ok(0),
        Some(Ok(length)) if length <= MAX_BODY_BYTES => Ok(length),
        Some(Ok(_)) => Err(RequestError::TooLarge("the body is too long")),
        Some(Err(_)) => Err(RequestError::BadRequest("CONTENT_LENGTH is a number")),
    }
}

/// Reads until the input has at least `length` bytes.
async fn fill(stream: &mut TcpStream, input: &mut BytesMut, length: usize) -> io::Result<()> {
    while input.len() < length {
        input.reserve(length - input.len());
        if stream.read_buf(input).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(())
}

impl UwsgiFrontend {
    /// Decodes a packet into a health check or a request.
    pub(super) fn resolve(&self, packet: &ReceivedPacket, now: UnixTime) -> Result<Target, RequestError> {
        let variables = &packet.variables;
        let path = variables.text("PATH_INFO").ok_or(RequestError::BadRequest("PATH_INFO is missing"))?;
        let name = path.strip_prefix('/').unwrap_or(path);
        let class = match self.registry.class_id(name, now) {
            Some(class) => class,
            None if name == "status" => return Ok(Target::Health),
            None => return Err(RequestError::NotFound),
        };
        let key = self.idempotency_key(variables, class)?;
        let tenant = self.tenant(variables)?;
        let deadline = number(variables, "HTTP_X_DEADLINE")?.map(Duration::from_millis);
        let cost_hint = number(variables, "HTTP_X_COST")?.map(Duration::from_millis);
        let memory_kb = number(variables, "HTTP_X_RAM")?.map_or(DEFAULT_MEMORY_KB, |kb| kb as f64);
        if !is_valid_memory(memory_kb) {
            return Err(RequestError::BadRequest("HTTP_X_RAM is above 0 and under 2000"));
        }
        Ok(Target::Run(Request {
            txn: self.ids.next(),
            class,
            tenant,
            key,
            caller: CALLER,
            cost_hint: cost_hint.map(|hint| self.registry.bounded_cost_hint(class, hint)),
            memory_kb,
            rank: DEFAULT_RANK,
            received_at: now,
            stated_receipt: None,
            deadline: self.registry.request_deadline(class, now, deadline),
            body: packet.body.clone(),
        }))
    }

    /// The idempotency key; none in classes whose requests carry none.
    fn idempotency_key(&self, variables: &Variables, class: ClassId) -> Result<Option<Bytes>, RequestError> {
        if !self.registry.requires_key(class) {
            return Ok(None);
        }
        let Some(key) = variables.get("HTTP_IDEMPOTENCY_KEY").filter(|key| is_client_key(key)) else {
            return Err(RequestError::BadRequest("a request of this class needs an Idempotency-Key"));
        };
        if key.len() > MAX_KEY_BYTES {
            return Err(RequestError::BadRequest("the key is too long"));
        }
        // Copied, as the key outlives the packet.
        Ok(Some(Bytes::copy_from_slice(key)))
    }

    fn tenant(&self, variables: &Variables) -> Result<TenantId, RequestError> {
        match variables.text("HTTP_X_TENANT") {
            Some(name) => self.registry.tenant_id(name).ok_or(RequestError::BadRequest("no such tenant")),
            None => Ok(NO_TENANT),
        }
    }
}

fn number(variables: &Variables, name: &str) -> Result<Option<u64>, RequestError> {
    let number = variables.text(name).map(str::parse).transpose();
    number.map_err(|_| RequestError::BadRequest("a variable that should be a whole number is not"))
}
