//! Requests of the run gate for claims on keys, and the fleet's responses to them.

use bytes::Bytes;
use oakwind_admission::RequestId;
use oakwind_fleet::claims::coordinator::{AttemptId, ClaimOutcome};
use sha2::{Digest, Sha256};

use crate::clock::UnixTime;

/// The attempt for whose run a claim is requested.
pub(crate) struct ClaimParameters<'a> {
    /// The dispatcher's number of the attempt.
    pub(crate) id: RequestId,
    /// The idempotency key.
    pub(crate) key: Bytes,
    /// The request body. Its digest detects a different request with the same key.
    pub(crate) body: &'a [u8],
    /// End of the idempotency window.
    pub(crate) expires_at: UnixTime,
    /// When the request was received.
    pub(crate) received_at: UnixTime,
    /// When the client stops waiting for a response.
    pub(crate) deadline: UnixTime,
}

/// The fleet's decision on the claim of an attempt, or on the result of its run.
#[derive(Debug)]
pub(crate) struct ClaimResponse {
    /// The dispatcher's number of the attempt.
    pub(crate) id: RequestId,
    /// The decision of the claim coordinator.
    pub(crate) outcome: ClaimOutcome,
}

/// The claim coordinator's identifier of an attempt.
pub(super) fn attempt_of(id: RequestId) -> AttemptId {
    AttemptId(u64::from(id.0))
}

/// The dispatcher's identifier of an attempt; the inverse of [`attempt_of`].
pub(super) fn request_of(attempt: AttemptId) -> RequestId {
    // The conversion does not fail, as every attempt identifier was made from a request identifier.
    RequestId(u32::try_from(attempt.0).unwrap_or(0))
}

/// The first 16 bytes of the SHA-256 digest of a request body.
pub(super) fn body_digest(body: &[u8]) -> u128 {
    let digest = Sha256::digest(body);
    digest.first_chunk().map_or(0, |first_bytes| u128::from_be_bytes(*first_bytes))
}

#[cfg(test)]
mod tests;
