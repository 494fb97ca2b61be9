//! Limit on concurrent calls to a shared dependency, which keeps all servers together from overloading it.
//!
//! A token bucket in call-seconds keeps the mean number of concurrent calls within this server's share,
//! averaged over the dependency's averaging period. Within the share, the limit decreases after slow calls
//! and increases after quick ones. If the limit is below one call, calls are spaced in time.

use std::collections::VecDeque;

use crate::admission::constants::{MIN_DIVISOR, TICK_PERIOD, USABLE_CAPACITY_FRACTION};
use crate::admission::time::{Instant, Span};
use crate::interface::Dependency;

/// Additive increase: a quick call raises the limit by this fraction of the share, so that twenty quick calls
/// restore the whole share.
const ADDITIVE_INCREASE: f64 = 0.05;
/// Multiplicative decrease: a slow call lowers the limit by this fraction of the limit. The decrease is
/// faster than the increase because an overloaded dependency serves no server.
const DECREASE_FRACTION: f64 = 0.2;
/// Minimum of the limit as a fraction of the share: all servers together can still use a little over a fifth
/// of the dependency's capacity.
const MIN_SHARE_FRACTION: f64 = 0.22;
/// Maximum fraction of the share that one call may use, so that it cannot use up all of it.
const MAX_SHARE_OF_ONE_CALL: f64 = 0.5;
/// Share, in calls, and averaging time if the dependency is not shared: more than any server uses.
const UNSHARED_CALLS: f64 = 1e6;
const UNSHARED_AVERAGING_TIME: Span = Span::from_seconds(1e6);

/// How a call ended.
pub(crate) struct CallEnd {
    /// Time since the call was started.
    pub(crate) duration: Span,
    /// Whether the call was slow or rejected, which lowers the limit.
    pub(crate) slow: bool,
    /// Whether the call is orphaned: it timed out or was abandoned here and still runs at the dependency.
    pub(crate) orphaned: bool,
}

/// Limit on concurrent calls.
#[derive(Debug)]
pub(crate) struct CallLimit {
    /// This server's share of the dependency's capacity: the mean number of concurrent calls.
    share: f64,
    /// Period over which the mean number of concurrent calls is taken.
    averaging_time: Span,
    /// How long the dependency continues to work on an orphaned call.
    linger: Span,
    /// Maximum number of concurrent calls; at most the share.
    limit: f64,
    /// Tokens of the bucket: unused call-seconds of the share; negative when overdrawn.
    balance: Span,
    balanced_at: Instant,
    /// Earliest start of the next call; spaces calls in time while the limit is below one.
    next_call_at: Instant,
    /// When the dependency stops working on each orphaned call.
    orphaned_until: VecDeque<Instant>,
}

impl CallLimit {
    /// Creates a limit that starts at the whole share.
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

    /// Applies new settings of the dependency and sets the limit to the whole share.
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

    /// Accrues the balance up to `now`, with `calling` calls in progress since the previous update. Returns
    /// the number of calls that the dependency works on, including orphaned ones.
    pub(crate) fn accrue_and_count_in_progress(&mut self, now: Instant, calling: usize) -> f64 {
        self.orphaned_until.retain(|until| *until > now);
        let in_progress = calling as f64 + self.orphaned_until.len() as f64;
        // The bucket fills at the usable fraction of the share, and its depth is the rest of the share over
        // one averaging time. The two add up to the whole share in one averaging time.
        let max_balance = self.share * self.averaging_time * (1.0 - USABLE_CAPACITY_FRACTION);
        let unused = (self.share * USABLE_CAPACITY_FRACTION - in_progress) * (now - self.balanced_at);
        self.balance = (self.balance + unused).min(max_balance);
        self.balanced_at = now;
        in_progress
    }

    /// Whether another call may start while `in_progress` calls are in progress.
    pub(crate) fn allows_call(&self, now: Instant, in_progress: f64) -> bool {
        let below_limit = in_progress < self.limit.floor().max(1.0);
        below_limit && self.balance >= Span::ZERO && now >= self.next_call_at
    }

    /// The longest duration of one call, limited by the fraction of the share that it may use.
    pub(crate) fn max_call_time(&self) -> Span {
        let usable = self.share * self.averaging_time * MAX_SHARE_OF_ONE_CALL - self.linger;
        usable.max(TICK_PERIOD)
    }

    /// Adjusts the limit after a call has ended and, if the limit is below one, the earliest start of the
    /// next call.
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
