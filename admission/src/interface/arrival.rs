//! The arrival of a request.

use std::time::Duration;

use super::identifiers::{CallerId, ClassId, RequestId, TenantId};

/// An attempt of a request that the server has read.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// The attempt.
    pub id: RequestId,
    /// The known attempt that this one is a retry of.
    pub retry_of: Option<RequestId>,
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: TenantId,
    /// A rough estimate of its work, as time on a standard core.
    pub cost_hint: Option<Duration>,
    /// Its memory while it is queued, in kB.
    pub memory_kb: f64,
    /// Time since it reached the machine.
    pub age: Duration,
    /// Its rank, 0 to 1, which callers compare with [`Signal::MinRank`](crate::Signal::MinRank).
    pub rank: f64,
    /// The caller it came from.
    pub caller: CallerId,
    /// How long the caller still waits, if the request says so.
    pub remaining_time: Option<Duration>,
}

/// The rank of an arrival that states none: in the middle.
const DEFAULT_RANK: f64 = 0.5;

impl Arrival {
    /// A first attempt with 1 kB of memory, no cost hint and no time left stated.
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
