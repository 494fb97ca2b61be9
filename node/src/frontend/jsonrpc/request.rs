//! Decodes and checks the parameters of a request.

use std::borrow::Cow;
use std::time::Duration;

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use bytes::Bytes;
use oakwind_admission::{CallerId, ClassId, TenantId};
use serde::Deserialize;

use super::response::RpcError;
use crate::class_registry::ClassRegistry;
use crate::clock::{self, UnixTime};
use crate::exchange::Request;
use crate::frontend::{is_client_key, is_valid_memory};

/// Maximum length of a body, in bytes.
const MAX_BODY_BYTES: usize = 2 * 1024;
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 64;
/// Maximum length of a request's id, in hexadecimal digits.
const MAX_TXN_DIGITS: usize = 16;
/// The tenant of requests that name none.
const DEFAULT_TENANT: TenantId = TenantId(0);
const MILLIS_PER_SECOND: f64 = 1e3;

/// The parameters of a request. The JSON names are part of the protocol.
#[derive(Deserialize)]
struct Params<'a> {
    #[serde(borrow)]
    txn: Cow<'a, str>,
    /// When the request was first received, in Unix milliseconds.
    #[serde(rename = "door")]
    received_at_ms: f64,
    /// The number of the client.
    #[serde(rename = "lb", default)]
    client: u32,
    #[serde(rename = "team", borrow, default)]
    tenant: Cow<'a, str>,
    /// How long the client waits for the response, counted from `received_at_ms`.
    #[serde(rename = "limit")]
    timeout_ms: Option<f64>,
    /// The CPU time that the request is expected to take.
    #[serde(rename = "cpu")]
    cost_ms: Option<f64>,
    #[serde(rename = "ram")]
    memory_kb: f64,
    #[serde(rename = "standing", default)]
    rank: f64,
    #[serde(rename = "unique", borrow, default)]
    key: Option<Cow<'a, str>>,
    /// The body in base64.
    #[serde(rename = "content", borrow, default)]
    body: Cow<'a, str>,
}

/// Decodes the parameters of a request of this class. The request outlives its line and keeps nothing of it: its strings
/// are copies, as a slice would keep the whole line in memory for as long as the request is open.
pub(super) fn decode(registry: &ClassRegistry, class: ClassId, params: &str) -> Result<Request, RpcError> {
    let params: Params = serde_json::from_str(params)
        .map_err(|_| RpcError::invalid_params("a field is missing or of another kind"))?;
    let key = params.idempotency_key(registry.requires_key(class))?;
    params.check_ranges()?;
    let now = clock::now();
    // A client whose clock runs ahead must not make a request newer than what the key table knows.
    let received_at = duration_from_millis(params.received_at_ms)?.min(now);
    let tenant = params.tenant(registry)?;
    let deadline = params.deadline(registry, class, received_at, now)?;
    let body = params.decode_body()?;
    let cost_hint = params.cost_ms.map(duration_from_millis).transpose()?;
    Ok(Request {
        txn: Bytes::copy_from_slice(params.txn.as_bytes()).into(),
        class,
        tenant,
        key,
        caller: CallerId(params.client),
        cost_hint: cost_hint.map(|hint| registry.bounded_cost_hint(class, hint)),
        memory_kb: params.memory_kb,
        rank: params.rank,
        received_at,
        stated_receipt: Some(received_at),
        deadline,
        body,
    })
}

impl Params<'_> {
    /// The idempotency key; none in classes whose requests carry none.
    fn idempotency_key(&self, requires_key: bool) -> Result<Option<Bytes>, RpcError> {
        if !requires_key {
            return Ok(None);
        }
        match &self.key {
            Some(key) if key.len() <= MAX_KEY_BYTES && is_client_key(key.as_bytes()) => {
                Ok(Some(Bytes::copy_from_slice(key.as_bytes())))
            }
            _ => Err(RpcError::invalid_params("a request of this class names its unique key")),
        }
    }

    fn check_ranges(&self) -> Result<(), RpcError> {
        // A txn is sent to the backends as one field of a line.
        if !is_txn(&self.txn) {
            return Err(RpcError::invalid_params("txn is up to 16 hex digits"));
        }
        if !is_valid_memory(self.memory_kb) {
            return Err(RpcError::invalid_params("ram is above 0 and under 2000"));
        }
        if !(0.0..1.0).contains(&self.rank) {
            return Err(RpcError::invalid_params("standing is from 0 to under 1"));
        }
        Ok(())
    }

    /// The tenant of the request; the first one of the settings if the request names none.
    fn tenant(&self, registry: &ClassRegistry) -> Result<TenantId, RpcError> {
        match registry.tenant_id(&self.tenant) {
            Some(tenant) => Ok(tenant),
            None if self.tenant.is_empty() => Ok(DEFAULT_TENANT),
            None => Err(RpcError::invalid_params("no such team")),
        }
    }

    fn deadline(
        &self,
        registry: &ClassRegistry,
        class: ClassId,
        received_at: UnixTime,
        now: UnixTime,
    ) -> Result<UnixTime, RpcError> {
        let timeout_ms = self.timeout_ms.ok_or(RpcError::invalid_params("limit is missing"))?;
        let deadline = received_at.saturating_add(duration_from_millis(timeout_ms)?);
        Ok(registry.request_deadline(class, now, Some(deadline)))
    }

    fn decode_body(&self) -> Result<Bytes, RpcError> {
        let body =
            BASE64.decode(self.body.as_bytes()).map_err(|_| RpcError::invalid_params("content is base64"))?;
        if body.len() > MAX_BODY_BYTES {
            return Err(RpcError::invalid_params("content is 2 KiB at most"));
        }
        Ok(body.into())
    }
}

fn duration_from_millis(millis: f64) -> Result<Duration, RpcError> {
    Duration::try_from_secs_f64(millis / MILLIS_PER_SECOND)
        .map_err(|_| RpcError::invalid_params("no such time"))
}

fn is_txn(text: &str) -> bool {
    (1..=MAX_TXN_DIGITS).contains(&text.len()) && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}
