//! What the module tells the server to do.

use std::time::Duration;

use super::identifiers::{RequestId, TimerId};

/// An instruction to the server, to be carried out in the order of the list.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start a queued request or resume a paused one.
    Run(RequestId),
    /// Preempt a running request (see [`Preemption`](crate::Preemption)); it is not answered by this.
    Pause(RequestId),
    /// Final answer: rejected; this attempt never ran.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the caller should wait before a retry.
        retry_after: Option<Duration>,
        /// Ask the caller not to retry on another server.
        give_up: bool,
    },
    /// Final answer: failed; the effect may have occurred or not.
    Fail(RequestId),
    /// Answer a queued retry with the result of the request that it repeats.
    Coalesce(RequestId),
    /// Retain the request's idempotency key for this time from now, or extend its retention.
    RetainKey(RequestId, Duration),
    /// Release the request's idempotency key.
    ReleaseKey(RequestId),
    /// Make the call that a request waits for, with this timeout.
    Call(RequestId, Duration),
    /// Continue the request without the call.
    SkipCall(RequestId),
    /// Set the response to health checks.
    SetHealth {
        /// Whether the server is healthy.
        healthy: bool,
        /// Whether health checks are answered from this value alone, without work.
        static_answer: bool,
    },
    /// Set the value that is advertised to callers (see [`Signal`](crate::Signal)).
    Advertise(f64),
    /// Set the time after which idle connections are closed.
    IdleLimit(Duration),
    /// Request an [`Event::Timer`](crate::Event::Timer) after this time.
    SetTimer(TimerId, Duration),
}
