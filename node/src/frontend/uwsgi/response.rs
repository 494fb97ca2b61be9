//! Encodes the HTTP responses of the uwsgi frontend.

use bytes::Bytes;

use super::request::RequestError;
use crate::exchange::RequestOutcome;
use crate::http::{self, Status};

/// The Retry-After of a rejection that states no time, in seconds, and the minimum for those that do.
const DEFAULT_RETRY_AFTER_SECONDS: u128 = 1;
const MILLIS_PER_SECOND: u128 = 1000;

/// The response to a health check.
pub(super) fn encode_health(healthy: bool) -> Bytes {
    if healthy {
        encode(Status::OK, "", b"up\n")
    } else {
        encode(Status::SERVICE_UNAVAILABLE, "Retry-After: 1\r\n", b"down\n")
    }
}

/// The response to a packet that can't be served.
pub(super) fn encode_error(error: RequestError) -> Bytes {
    match error {
        RequestError::BadRequest(what) => encode(Status::BAD_REQUEST, "", what.as_bytes()),
        RequestError::NotFound => encode(Status::NOT_FOUND, "", b"no such class"),
        RequestError::OutOfMemory => {
            encode(Status::INTERNAL_SERVER_ERROR, "", b"no memory for a long request\n")
        }
        RequestError::TooLarge(what) => encode(Status::CONTENT_TOO_LARGE, "", what.as_bytes()),
    }
}

/// The response to a request.
pub(super) fn encode_outcome(outcome: &RequestOutcome) -> Bytes {
    match outcome {
        RequestOutcome::Served(result) => encode(Status::OK, "", result),
        RequestOutcome::Rejected { retry_after, give_up } => {
            // Rounded up to whole seconds: an earlier attempt would be rejected again.
            let seconds = retry_after.map_or(DEFAULT_RETRY_AFTER_SECONDS, |after| {
                after.as_millis().div_ceil(MILLIS_PER_SECOND).max(DEFAULT_RETRY_AFTER_SECONDS)
            });
            let give_up = if *give_up { "X-Give-Up: 1\r\n" } else { "" };
            let fields = format!("Retry-After: {seconds}\r\n{give_up}");
            encode(Status::SERVICE_UNAVAILABLE, &fields, b"not now\n")
        }
        RequestOutcome::Failed { timed_out: false } => encode(Status::INTERNAL_SERVER_ERROR, "", b"failed\n"),
        RequestOutcome::Failed { timed_out: true } => encode(Status::GATEWAY_TIMEOUT, "", b"out of time\n"),
        RequestOutcome::BodyMismatch => encode(Status::BAD_REQUEST, "", b"the key is that of another body\n"),
    }
}

fn encode(status: Status, fields: &str, body: &[u8]) -> Bytes {
    let fields = format!("Content-Type: application/octet-stream\r\n{fields}");
    http::response(status, &fields, body)
}
