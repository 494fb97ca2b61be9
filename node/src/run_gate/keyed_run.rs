//! The run of an attempt that holds a key, as described to the run gate.

use std::rc::Rc;

use oakwind_admission::RequestId;

use crate::clock::UnixTime;
use crate::exchange::Request;
use crate::outcome::{BodyDigest, IdempotencyKey};

/// The run of an attempt that holds a key.
#[derive(Debug, Clone)]
pub(crate) struct KeyedRun {
    /// Id of the attempt.
    pub(crate) id: RequestId,
    /// The request; `None` if another process of this node received it.
    pub(crate) request: Option<Rc<Request>>,
    pub(crate) key: IdempotencyKey,
    /// Digest of the request's body.
    pub(crate) body_digest: BodyDigest,
    pub(crate) expires_at: UnixTime,
}
