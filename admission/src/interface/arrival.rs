//! The arrival of a request.

use std::time::Duration;

use super::identifiers::{CallerId, ClassId, RequestId, TenantId};

/// An attempt of a request that the server has read from a connection.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Identifier of this attempt.
    pub id: RequestId,
    /// The attempt known to the server that this one is a retry of; `None` for a first attempt.
    pub retry_of: Option<RequestId>,
    /// Class of the request.
    pub class: ClassId,
    /// Tenant that the request belongs to.
    pub tenant: TenantId,
    /// The sender's rough estimate of the work, as time on a standard core.
    pub cost_hint: Option<Duration>,
    /// Memory of the request while it is queued, in kB.
    pub memory_kb: f64,
    /// Time since the request reached the machine; it may have waited in a socket before it was read.
    pub age: Duration,
    /// Rank of the request, 0 to 1, which callers compare with [`Signal::MinRank`](crate::Signal::MinRank).
    pub rank: f64,
    /// The caller that sent the request.
    pub caller: CallerId,
    /// How long the caller will still wait for the answer; `None` if the request does not say.
    pub remaining_time: Option<Duration>,
}

/// Rank of an arrival that states none: the middle of the range.
const DEFAULT_RANK: f64 = 0.5;

impl Arrival {
    /// Creates a first attempt with 1 kB of memory, without a cost hint or a remaining time.
    pub fn new(id: RequestId, class: ClassId) -> Self {
        Arrival {
            id,
            retry_of: None,
            class,
            tenant: TenantId(0),
            cost_hint: None,
            memory_kb: 1.0,
            age: Duration::ZERO,
            rank: DEFAULT_RANK,
            caller: CallerId(0),
            remaining_time: None,
        }
    }
}
