//! The token bucket that limits arrivals to the permitted rate under overload.
//!
//! The bucket holds at most as many tokens as requests are permitted in one second, but at least one. Part of
//! it is reserved for higher priorities, and the highest priorities may borrow a few tokens. Without overload
//! no arrival is rejected, but each still takes a token.

use crate::admission::constants::MIN_SAMPLES;
use crate::admission::quantities::{Fraction, RequestRate};
use crate::admission::time::{Instant, Span};

/// Fraction of the bucket that arrivals of the lowest priority cannot use: under overload, less than half of
/// a full bucket is available to them.
const RESERVE: f64 = 0.6;
/// Time in which the permitted rate fills an empty bucket: the requests permitted in one second may arrive at
/// once.
const DEPTH: Span = Span::from_seconds(1.0);
/// Minimum depth in tokens. With less, no request would ever find a token.
const MIN_DEPTH: f64 = 1.0;
/// Number of tokens that an admitted request takes.
const TOKENS_FOR_A_REQUEST: f64 = 1.0;

/// State of the token bucket. The number of tokens is negative if high priorities have borrowed tokens, or if
/// arrivals were admitted without a token while the server was not overloaded.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    tokens: f64,
    filled_at: Instant,
}

impl TokenBucket {
    /// Creates an empty bucket.
    pub(crate) fn new(now: Instant) -> Self {
        TokenBucket { tokens: 0.0, filled_at: now }
    }

    /// Refills the bucket at `rate` and takes a token for an arrival, whose priority has this quantile among
    /// the recent arrivals. Returns whether the arrival is admitted. While the server is not overloaded every
    /// arrival is admitted, even without a token.
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

/// Limit of the debt in tokens, and number of tokens that the highest priority may borrow: the standard error
/// of a count of [`MIN_SAMPLES`].
fn max_debt() -> f64 {
    MIN_SAMPLES.sqrt()
}

#[cfg(test)]
mod tests;
