//! Classes of requests.

use std::time::Duration;

/// How often the effect of a request may occur.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times: the request is idempotent and may run again.
    Idempotent,
    /// Once within the idempotency window: a retry with the same key is coalesced with the first run.
    IdempotencyKey,
    /// Once at most: callers retry it only if it is known not to have run.
    AtMostOnce,
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Latency objective: an answer within this time of the first attempt earns the full weight.
    pub latency_objective: Duration,
    /// The latency objective is extended by this multiple of the request's own work, at most to the deadline.
    pub objective_stretch: f64,
    /// How long a client waits for an answer in total.
    pub deadline: Duration,
    /// How often its effect may occur.
    pub effect: Effect,
    /// Idempotency window, for [`Effect::IdempotencyKey`](crate::Effect::IdempotencyKey): how long after its arrival a
    /// request may be retried.
    pub idempotency_window: Duration,
    /// Weight of a request in scheduling and under overload, relative to other classes.
    pub weight: f64,
    /// Fraction of the weight that an answer between latency objective and deadline earns.
    pub late_weight: f64,
    /// Whether its requests may call the dependency.
    pub may_call: bool,
    /// Fraction of the weight that is earned if the call is skipped; 0 means that calls must not be skipped.
    pub skip_weight: f64,
}

/// The default latency objective: the usual limit for uninterrupted attention.
const DEFAULT_LATENCY_OBJECTIVE: Duration = Duration::from_secs(1);
/// The default deadline, and the idempotency window that covers the retries until then.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(5);

impl Default for Class {
    fn default() -> Self {
        Class {
            latency_objective: DEFAULT_LATENCY_OBJECTIVE,
            objective_stretch: 0.0,
            deadline: DEFAULT_DEADLINE,
            effect: Effect::Idempotent,
            idempotency_window: DEFAULT_DEADLINE,
            weight: 1.0,
            late_weight: 0.0,
            may_call: false,
            skip_weight: 0.0,
        }
    }
}
