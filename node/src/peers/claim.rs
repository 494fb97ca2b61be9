//! Claims on keys, as the run gate asks the fleet for them, and the responses to them.

use bytes::Bytes;
use oakwind_admission::RequestId;
use oakwind_fleet::claims::coordinator::{AttemptId, ClaimOutcome};
use sha2::{Digest, Sha256};

use crate::clock::UnixTime;

/// The run of an attempt, for which the peers are asked for a claim.
pub(crate) struct ClaimParameters<'a> {
    /// The attempt.
    pub(crate) id: RequestId,
    /// Its key.
    pub(crate) key: Bytes,
    /// Its body.
    pub(crate) body: &'a [u8],
    /// When the key expires.
    pub(crate) expires_at: UnixTime,
    /// When its request was received.
    pub(crate) received_at: UnixTime,
    /// When its caller stops waiting.
    pub(crate) deadline: UnixTime,
}

/// What the fleet decided of an attempt's claim, or of its run.
#[derive(Debug)]
pub(crate) struct ClaimResponse {
    /// The attempt.
    pub(crate) id: RequestId,
    /// The decision.
    pub(crate) outcome: ClaimOutcome,
}

/// The attempt as the fleet numbers it.
pub(super) fn attempt_of(id: RequestId) -> AttemptId {
    AttemptId(u64::from(id.0))
}

/// The attempt as the dispatcher numbers it.
pub(super) fn request_of(attempt: AttemptId) -> RequestId {
    // Every attempt came from a request.
    RequestId(u32::try_from(attempt.0).unwrap_or(0))
}

/// The first bytes of a body's SHA-256 digest, which tell bodies apart.
pub(super) fn body_digest(body: &[u8]) -> u128 {
    let digest = Sha256::digest(body);
    digest.first_chunk().map_or(0, |first_bytes| u128::from_be_bytes(*first_bytes))
}

#[cfg(test)]
mod tests;
