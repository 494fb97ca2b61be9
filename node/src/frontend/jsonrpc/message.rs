//! Decodes the envelope of a message.

use std::borrow::Cow;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::error::Category;
use serde_json::value::RawValue;

use super::response::{ErrorCode, ErrorResponse, RpcError};

/// Maximum length of an id, in bytes. It is kept until the request has its response.
const MAX_ID_BYTES: usize = 64;

/// The members of a message, as JSON-RPC 2.0 names them.
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

/// A message from a client.
#[derive(Debug)]
pub(super) struct Message<'a> {
    /// The id as it was sent; none in a notification.
    pub(super) id: Option<Bytes>,
    pub(super) method: Cow<'a, str>,
    /// The parameters in JSON; an empty object if there are none.
    pub(super) params: &'a str,
}

impl<'a> Message<'a> {
    /// Decodes a line.
    pub(super) fn decode(line: &'a Bytes) -> Result<Self, ErrorResponse> {
        let envelope: Envelope = serde_json::from_slice(line).map_err(|error| match error.classify() {
            Category::Data => RpcError::invalid_request("not a request").without_id(),
            _ => RpcError { code: ErrorCode::ParseError, message: "not JSON" }.without_id(),
        })?;
        // The decoder also accepts an array as a struct, by position. In JSON-RPC an array is a batch, which
        // is not supported.
        if !is_object(line) {
            return Err(RpcError::invalid_request("not a request").without_id());
        }
        match envelope {
            Envelope { jsonrpc: Some(version), id, method: Some(method), params }
                if version == "2.0" && id.is_none_or(is_valid_id) =>
            {
                let id = id.map(|id| line.slice_ref(id.get().as_bytes()));
                Ok(Message { id, method, params: params.map_or("{}", RawValue::get) })
            }
            _ => Err(RpcError::invalid_request("not a JSON-RPC 2.0 request").without_id()),
        }
    }
}

/// The parameters of `withdraw`, which name a request by its id on this connection, by its txn, or by both.
#[derive(Deserialize)]
pub(super) struct Withdrawal<'a> {
    #[serde(borrow, default)]
    id: Option<&'a RawValue>,
    #[serde(borrow, default)]
    txn: Option<Cow<'a, str>>,
}

impl<'a> Withdrawal<'a> {
    /// Decodes the parameters of `withdraw`.
    pub(super) fn decode(params: &'a str) -> Result<Self, RpcError> {
        let withdrawal: Option<Withdrawal> = serde_json::from_str(params).ok();
        withdrawal
            .filter(|named| is_object(params.as_bytes()) && (named.id.is_some() || named.txn.is_some()))
            .ok_or(RpcError::invalid_params("withdraw names an id or a txn"))
    }

    /// Whether the withdrawal names the request with this id and txn.
    pub(super) fn names(&self, id: &[u8], txn: &[u8]) -> bool {
        self.id.is_none_or(|named| named.get().as_bytes() == id)
            && self.txn.as_ref().is_none_or(|named| named.as_bytes() == txn)
    }
}

/// Whether an id is a number or a string of at most [`MAX_ID_BYTES`], not an object, an array or a Boolean.
fn is_valid_id(id: &RawValue) -> bool {
    id.get().len() <= MAX_ID_BYTES && !matches!(id.get().as_bytes().first(), Some(b'{' | b'[' | b't' | b'f'))
}

fn is_object(json: &[u8]) -> bool {
    json.trim_ascii_start().first() == Some(&b'{')
}
