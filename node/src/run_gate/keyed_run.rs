//! The run of an attempt that holds a key, as the run gate is asked about it.

use std::rc::Rc;

use oakwind_admission::RequestId;

use crate::clock::UnixTime;
use crate::exchange::Request;
use crate::outcome::{BodyDigest, IdempotencyKey};

/// The run of an attempt that holds a key.
#[derive(Debug, Clone)]
pub(crate) struct KeyedRun {
    /// The attempt.
    pub(crate) id: RequestId,
    /// Its request; none where another process of this node had it.
    pub(crate) request: Option<Rc<Request>>,
    /// Its key.
    pub(crate) key: IdempotencyKey,
    /// Digest of its body.
    pub(crate) body_digest: BodyDigest,
    /// When the key expires.
    pub(crate) expires_at: UnixTime,
}
