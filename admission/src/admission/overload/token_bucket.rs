//! The token bucket that holds arrivals to the permitted rate under overload.
//!
//! It holds one second of the permitted rate. Lower
//! priorities find part of it reserved for higher ones, and the highest may borrow a few tokens. Without overload no
//! arrival is rejected, but each takes its token.

use crate::admission::constants::MIN_SAMPLES;
use crate::admission::quantities::{Fraction, RequestRate};
use crate::admission::time::{Instant, Span};

/// The fraction of the bucket that is reserved from arrivals of the lowest priority: under overload they get less than
/// half of a burst.
const RESERVE: f64 = 0.6;
/// The time whose permitted requests a full bucket holds: one burst of a second is served at once.
const DEPTH: Span = Span::from_seconds(1.0);
/// The smallest depth: below it no request would ever find a token.
const MIN_DEPTH: f64 = 1.0;
/// What an admitted request takes.
const TOKENS_FOR_A_REQUEST: f64 = 1.0;

/// Tokens that permit requests; they may be negative, borrowed by the highest priorities.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// An empty bucket.
    pub(crate) fn new(now: Instant) -> Self {
        TokenBucket { tokens: 0.0, filled_at: now }
    }

    /// Fills the bucket at `rate` and takes a token for an arrival of this priority quantile among the recent ones.
    /// Returns whether it is admitted. While the server is not overloaded every arrival is, with a token or without.
    pub(crate) fn take(
        &mut self,
        rate: RequestRate,
        priority_quantile: Fraction,
        now: Instant,
        overloaded: impl FnOnce() -> bool,
    ) -> bool {
        let depth = (rate * DEPTH).max(MIN_DEPTH);
        self.tokens = (self.tokens + rate * (now - self.filled_at)).min(depth);
        self.filled_at = now;
        let max_debt = max_debt();
        let reserved = (depth - TOKENS_FOR_A_REQUEST) * RESERVE * priority_quantile.complement().value();
        let needed = TOKENS_FOR_A_REQUEST + reserved - max_debt * priority_quantile.value();
        let admitted = self.tokens >= needed || !overloaded();
        if admitted {
            self.tokens -= TOKENS_FOR_A_REQUEST;
        }
        self.tokens = self.tokens.max(-max_debt);
        admitted
    }
}

/// The tokens that the highest priority may borrow: the standard error of a sample that is evidence enough.
fn max_debt() -> f64 {
    MIN_SAMPLES.sqrt()
}

#[cfg(test)]
mod tests;
