//! Actions: the instructions that the admission module returns to the server.

use std::time::Duration;

use super::identifiers::{RequestId, TimerId};

/// An instruction to the server. The server carries out the actions of a list in order.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Start a queued request or resume a paused one.
    Run(RequestId),
    /// Preempt a running request (see [`Preemption`](crate::Preemption)). This does not answer the request.
    Pause(RequestId),
    /// Answer the request with a rejection. This attempt has never run.
    Reject {
        /// The request.
        id: RequestId,
        /// How long the caller should wait before a retry; `None` if no retry-after is sent.
        retry_after: Option<Duration>,
        /// Whether the caller is asked not to retry on another server.
        give_up: bool,
    },
    /// Answer the request with a failure. Its effect may have occurred.
    Fail(RequestId),
    /// Answer a queued retry with the result of the request that it retries.
    Coalesce(RequestId),
    /// Retain the idempotency key of the request for this time from now, or extend its retention to this
    /// time.
    RetainKey(RequestId, Duration),
    /// Release the idempotency key of the request, so that another attempt with the key may run.
    ReleaseKey(RequestId),
    /// Make the call that the request waits for, with this timeout.
    Call(RequestId, Duration),
    /// Resume the run of the request without making the call that it waits for.
    SkipCall(RequestId),
    /// Set the response to health checks.
    SetHealth {
        /// Whether the server is healthy.
        healthy: bool,
        /// Whether health checks are answered with this value alone, without any further work.
        static_answer: bool,
    },
    /// Set the value that is advertised to callers. [`Signal`](crate::Signal) defines its meaning.
    Advertise(f64),
    /// Set the time after which idle connections are closed.
    IdleLimit(Duration),
    /// Set a timer that is reported as [`Event::Timer`](crate::Event::Timer) after this time.
    SetTimer(TimerId, Duration),
}
