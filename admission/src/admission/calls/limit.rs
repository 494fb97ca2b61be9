//! How many calls to a shared dependency are in progress at once, so that all servers together do not overload it.
//!
//! A token bucket in call-seconds keeps the mean of concurrent calls within this server's share, over the period that
//! the dependency averages over. Within it, the limit falls with slow calls and rises with quick ones. The share may be
//! less than one call: then calls are spaced in time.

use std::collections::VecDeque;

use crate::admission::constants::{MIN_DIVISOR, TICK_PERIOD, USABLE_CAPACITY_FRACTION};
use crate::admission::time::{Instant, Span};
use crate::interface::Dependency;

/// Additive increase: a quick call raises the limit by this fraction of the share, so that twenty of them restore it.
const ADDITIVE_INCREASE: f64 = 0.05;
/// Multiplicative decrease: a slow call lowers the limit by this fraction of it, faster than it rises, since a
/// dependency that is overloaded serves nobody.
const DECREASE_FRACTION: f64 = 0.2;
/// The limit never falls below this fraction of the share: all servers together still use the dependency,
/// for a little over a fifth of its capacity. The value is not derived.
const MIN_SHARE_FRACTION: f64 = 0.22;
/// One call may take up to this fraction of the share: it must not use up all of it.
const MAX_SHARE_OF_ONE_CALL: f64 = 0.5;
/// The share where no dependency is shared, in calls, and its averaging time: more than any server uses.
const UNSHARED_CALLS: f64 = 1e6;
const UNSHARED_AVERAGING_TIME: Span = Span::from_seconds(1e6);

/// How a call ended.
pub(crate) struct CallEnd {
    /// Time since the call was started.
    pub(crate) duration: Span,
    /// Whether it was slow or rejected, which lowers the limit.
    pub(crate) slow: bool,
    /// Whether it is orphaned: it timed out or was given up here, and still runs at the dependency.
    pub(crate) orphaned: bool,
}

/// The limit of concurrent calls.
#[derive(Debug)]
pub(crate) struct CallLimit {
    /// This server's share of the dependency's capacity in concurrent calls, as a mean.
    share: f64,
    /// The period over which that mean is taken.
    averaging_time: Span,
    /// How long the dependency goes on with an orphaned call.
    linger: Span,
    /// Concurrent calls; up to the share.
    limit: f64,
    /// Call-seconds of the share that were not used: the tokens of the bucket, negative when overdrawn.
    balance: Span,
    balanced_at: Instant,
    /// Spaces calls in time while the limit is below one.
    next_call_at: Instant,
    /// When the dependency ends the orphaned calls.
    orphaned_until: VecDeque<Instant>,
}

impl CallLimit {
    /// The limit at the start: the whole share.
    pub(crate) fn new(dependency: &Dependency, now: Instant) -> Self {
        let mut limit = CallLimit {
            share: 0.0,
            averaging_time: Span::ZERO,
            linger: Span::ZERO,
            limit: 0.0,
            balance: Span::ZERO,
            balanced_at: now,
            next_call_at: Instant::DISTANT_PAST,
            orphaned_until: VecDeque::new(),
        };
        limit.reconfigure(dependency);
        limit
    }

    /// Applies the settings of another dependency; the limit is its whole share.
    pub(crate) fn reconfigure(&mut self, dependency: &Dependency) {
        if let Dependency::Shared { share, averaging_time, linger } = *dependency {
            self.share = share.max(0.0);
            self.averaging_time = Span::from(averaging_time);
            self.linger = Span::from(linger);
        } else {
            self.share = UNSHARED_CALLS;
            self.averaging_time = UNSHARED_AVERAGING_TIME;
            self.linger = Span::ZERO;
        }
        self.limit = self.share;
    }

    /// Accrues the balance up to `now`, with `calling` calls in progress since the last time. Returns the calls that
    /// the dependency works on, the orphaned ones included.
    pub(crate) fn accrue_and_count_in_progress(&mut self, now: Instant, calling: usize) -> f64 {
        self.orphaned_until.retain(|until| *until > now);
        let in_progress = calling as f64 + self.orphaned_until.len() as f64;
        // The bucket fills with the usable part of the share and holds a burst of the rest: together they are the whole
        // share in one averaging time.
        let max_balance = self.share * self.averaging_time * (1.0 - USABLE_CAPACITY_FRACTION);
        let unused = (self.share * USABLE_CAPACITY_FRACTION - in_progress) * (now - self.balanced_at);
        self.balance = (self.balance + unused).min(max_balance);
        self.balanced_at = now;
        in_progress
    }

    /// Whether a call may start while so many are in progress.
    pub(crate) fn allows_call(&self, now: Instant, in_progress: f64) -> bool {
        let below_limit = in_progress < self.limit.floor().max(1.0);
        below_limit && self.balance >= Span::ZERO && now >= self.next_call_at
    }

    /// The longest time for which one call may use the share.
    pub(crate) fn max_call_time(&self) -> Span {
        let usable = self.share * self.averaging_time * MAX_SHARE_OF_ONE_CALL - self.linger;
        usable.max(TICK_PERIOD)
    }

    /// A call has ended: adjusts the limit and, below one, the time of the next call.
    pub(crate) fn call_ended(&mut self, now: Instant, call: &CallEnd) {
        if call.orphaned {
            self.orphaned_until.push_back(now + self.linger);
        }
        let change = if call.slow { -DECREASE_FRACTION * self.limit } else { ADDITIVE_INCREASE * self.share };
        self.limit = (self.limit + change).clamp(MIN_SHARE_FRACTION * self.share, self.share);
        if self.limit < 1.0 {
            let pause = call.duration * (1.0 / self.limit.max(MIN_DIVISOR) - 1.0);
            self.next_call_at = now + pause.min(self.averaging_time);
        }
    }
}

#[cfg(test)]
mod tests;
