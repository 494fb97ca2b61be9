//! Error codes, and the bytes of results, errors and notifications.

use std::time::Duration;

use base64::engine::general_purpose::STANDARD as BASE64;
use base64::Engine;
use bytes::{BufMut, Bytes, BytesMut};

use crate::exchange::RequestOutcome;

/// The notification that the connection is about to close.
const DRAINING_NOTIFICATION: &[u8] = b"{\"jsonrpc\":\"2.0\",\"method\":\"draining\"}\n";
/// The id of an error response if the id of the request is not known.
const NULL_ID: &[u8] = b"null";

/// The error codes. The first four are defined by JSON-RPC 2.0, the others by this protocol.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ErrorCode {
    ParseError = -32700,
    InvalidRequest = -32600,
    MethodNotFound = -32601,
    InvalidParams = -32602,
    /// The attempt was rejected and never ran.
    Rejected = -32011,
    /// The attempt failed and may have taken effect.
    Failed = -32000,
    /// The attempt did not complete by its deadline.
    TimedOut = -32001,
}

/// Why a message can't be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct RpcError {
    pub(super) code: ErrorCode,
    pub(super) message: &'static str,
}

impl RpcError {
    pub(super) fn invalid_request(message: &'static str) -> Self {
        RpcError { code: ErrorCode::InvalidRequest, message }
    }

    pub(super) fn invalid_params(message: &'static str) -> Self {
        RpcError { code: ErrorCode::InvalidParams, message }
    }

    /// The error as the response to the message with this id. A notification, which has no id, gets no
    /// response.
    pub(super) fn in_reply_to(self, id: Option<&Bytes>) -> ErrorResponse {
        let reply_to = id.map_or(ReplyTo::Nobody, |id| ReplyTo::Request(id.clone()));
        ErrorResponse { reply_to, error: self }
    }

    /// The error as the response to a message whose id is not known or can't be used.
    pub(super) fn without_id(self) -> ErrorResponse {
        ErrorResponse { reply_to: ReplyTo::UnknownRequest, error: self }
    }
}

/// Which request an error responds to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum ReplyTo {
    /// The request with this id, as it was sent.
    Request(Bytes),
    /// A request whose id is not known.
    UnknownRequest,
    /// No request, as notifications get no response.
    Nobody,
}

/// An error and the request that it responds to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ErrorResponse {
    pub(super) reply_to: ReplyTo,
    pub(super) error: RpcError,
}

impl ErrorResponse {
    /// Appends the response, unless it is for a notification.
    pub(super) fn write(&self, output: &mut BytesMut) {
        match &self.reply_to {
            ReplyTo::Request(id) => write_error(output, id, self.error, ""),
            ReplyTo::UnknownRequest => write_error(output, NULL_ID, self.error, ""),
            ReplyTo::Nobody => {}
        }
    }
}

/// Appends the response to a health check.
pub(super) fn write_health(output: &mut BytesMut, id: &[u8], healthy: bool) {
    write_result(output, id, |output| {
        output.put_slice(if healthy { b"{\"up\":true}" } else { b"{\"up\":false}" });
    });
}

/// Appends the notification that the connection is about to close.
pub(super) fn write_draining(output: &mut BytesMut) {
    output.put_slice(DRAINING_NOTIFICATION);
}

/// Appends the response to a request.
pub(super) fn write_outcome(output: &mut BytesMut, id: &[u8], outcome: &RequestOutcome) {
    let error = |code, message| RpcError { code, message };
    match outcome {
        RequestOutcome::Served(result) => write_result(output, id, |output| {
            output.put_slice(b"{\"content\":\"");
            output.put_slice(BASE64.encode(result).as_bytes());
            output.put_slice(b"\"}");
        }),
        RequestOutcome::Rejected { retry_after, give_up } => {
            let data = rejection_data(*retry_after, *give_up);
            write_error(output, id, error(ErrorCode::Rejected, "not now"), &data);
        }
        RequestOutcome::Failed { timed_out: false } => {
            write_error(output, id, error(ErrorCode::Failed, "failed"), "");
        }
        RequestOutcome::Failed { timed_out: true } => {
            write_error(output, id, error(ErrorCode::TimedOut, "out of time"), "");
        }
        RequestOutcome::BodyMismatch => {
            write_error(output, id, RpcError::invalid_params("unique is the key of another body"), "");
        }
    }
}

/// The `data` member of a rejection: when to try again, in milliseconds, and whether to try nowhere else.
fn rejection_data(retry_after: Option<Duration>, give_up: bool) -> String {
    let later = retry_after.map(|after| format!("\"later\":{}", after.as_millis().max(1)));
    let give_up = give_up.then(|| "\"giveup\":1".to_string());
    let fields: Vec<String> = [later, give_up].into_iter().flatten().collect();
    if fields.is_empty() {
        return String::new();
    }
    format!(",\"data\":{{{}}}", fields.join(","))
}

fn write_result(output: &mut BytesMut, id: &[u8], write_value: impl FnOnce(&mut BytesMut)) {
    output.put_slice(b"{\"jsonrpc\":\"2.0\",\"id\":");
    output.put_slice(id);
    output.put_slice(b",\"result\":");
    write_value(output);
    output.put_slice(b"}\n");
}

fn write_error(output: &mut BytesMut, id: &[u8], error: RpcError, data: &str) {
    let RpcError { code, message } = error;
    output.put_slice(b"{\"jsonrpc\":\"2.0\",\"id\":");
    output.put_slice(id);
    let code = code as i32;
    let error = format!(",\"error\":{{\"code\":{code},\"message\":\"{message}\"{data}}}}}\n");
    output.put_slice(error.as_bytes());
}
