//! Request classes and their service level settings.

use std::time::Duration;

/// How often the effect of one request may occur, over all of its attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times: the request is idempotent and may run again.
    Idempotent,
    /// Once within the idempotency window: a retry with the same key is coalesced with the first run.
    IdempotencyKey,
    /// At most once: the request has no key, and callers retry it only if it is known not to have run.
    AtMostOnce,
}

/// Settings that all requests of a class share.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Latency objective: an answer within this time after the first attempt earns the full weight.
    pub latency_objective: Duration,
    /// The latency objective is extended by this multiple of the request's own work, but not beyond the
    /// deadline.
    pub objective_stretch: f64,
    /// Total time that a client waits for an answer.
    pub deadline: Duration,
    /// How often the effect of a request may occur.
    pub effect: Effect,
    /// Idempotency window: how long after its arrival a request may be retried. Applies only to
    /// [`Effect::IdempotencyKey`](crate::Effect::IdempotencyKey).
    pub idempotency_window: Duration,
    /// Weight of a request relative to other classes, used in scheduling and under overload.
    pub weight: f64,
    /// Fraction of the weight that an answer earns between the latency objective and the deadline.
    pub late_weight: f64,
    /// Whether requests of this class may call the dependency.
    pub may_call: bool,
    /// Fraction of the weight that an answer earns if the call is skipped; 0 means that calls must not be
    /// skipped.
    pub skip_weight: f64,
}

/// Default latency objective: about the longest wait that does not interrupt a user's attention.
const DEFAULT_LATENCY_OBJECTIVE: Duration = Duration::from_secs(1);
/// Default deadline. It is also the default idempotency window, which then covers all retries until the
/// deadline.
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
