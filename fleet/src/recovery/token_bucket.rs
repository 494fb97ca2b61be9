//! A token bucket that bounds a rate.

use crate::Time;

/// A bucket that is refilled at a constant rate up to its capacity. A consumer may overdraw it; then no
/// tokens are available until the balance is positive again.
#[derive(Debug, Clone)]
pub(crate) struct TokenBucket {
    /// Refill rate in tokens per second.
    rate: f64,
    capacity: f64,
    tokens: f64,
    filled_at: Time,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub(crate) fn new(rate_per_s: u64, capacity: u64, now: Time) -> TokenBucket {
        let capacity = capacity as f64;
        TokenBucket { rate: rate_per_s as f64, capacity, tokens: capacity, filled_at: now }
    }

    /// Whether any tokens are available.
    pub(crate) fn is_available(&mut self, now: Time) -> bool {
        self.fill(now);
        self.tokens > 0.0
    }

    /// Sets the refill rate from this time on.
    pub(crate) fn set_rate(&mut self, now: Time, rate_per_s: u64) {
        self.fill(now);
        self.rate = rate_per_s as f64;
    }

    /// Removes tokens; the balance may become negative.
    pub(crate) fn consume(&mut self, tokens: usize) {
        self.tokens -= tokens as f64;
    }

    fn fill(&mut self, now: Time) {
        let gained = now.saturating_sub(self.filled_at).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.capacity);
        self.filled_at = now.max(self.filled_at);
    }
}
