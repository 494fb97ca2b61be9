//! History of recently ended calls: their mean duration, and how many can complete within the latency target.

use std::collections::VecDeque;

use crate::admission::constants::{LATENCY_TARGET_FRACTION, RATE_WINDOW, SLOW_MEAN_WEIGHT};
use crate::admission::running_mean::RunningMean;
use crate::admission::time::{Instant, Span};

/// A call is slow if it takes more than this fraction of the latency objective; so is a wait of that length
/// for a call. The fraction is small enough for several calls to fit into the latency target.
const SLOW_CALL: f64 = 0.07;

/// Whether `time`, spent blocked on a call, is too long for a quick call, given this latency objective.
pub(crate) fn is_slow(time: Span, objective: Span) -> bool {
    time > SLOW_CALL * objective
}

/// A call that has ended with any outcome.
#[derive(Debug)]
struct EndedCall {
    ended_at: Instant,
    /// Time from when the run reached the call to the end of the call.
    time_blocked: Span,
}

/// The calls that ended within the last [`RATE_WINDOW`].
#[derive(Debug, Default)]
pub(crate) struct CallHistory {
    ended: VecDeque<EndedCall>,
    /// Mean duration of successful calls, in seconds; also includes calls that ended earlier than
    /// [`RATE_WINDOW`] ago.
    mean_duration: RunningMean,
}

impl CallHistory {
    /// Records a call that ended `time_blocked` after the run reached it.
    pub(crate) fn call_ended(&mut self, now: Instant, time_blocked: Span) {
        self.ended.push_back(EndedCall { ended_at: now, time_blocked });
    }

    /// Records the duration of a successful call.
    pub(crate) fn call_succeeded(&mut self, duration: Span) {
        self.mean_duration.add(duration.seconds(), SLOW_MEAN_WEIGHT);
    }

    /// Drops the calls that ended more than [`RATE_WINDOW`] ago.
    pub(crate) fn drop_expired(&mut self, now: Instant) {
        self.ended.retain(|call| call.ended_at >= now - RATE_WINDOW);
    }

    /// Mean duration of a successful call; zero if none has succeeded yet.
    pub(crate) fn mean_duration(&self) -> Span {
        Span::from_seconds(self.mean_duration.or_zero())
    }

    /// Number of requests whose calls can end within the latency target at the recent rate of calls. One
    /// standard error is added, so that a small sample does not block the next calls.
    pub(crate) fn max_completable_within(&self, latency_objective: Span) -> f64 {
        let ended = self.ended.len() as f64;
        (ended + ended.sqrt()) / RATE_WINDOW.seconds() * LATENCY_TARGET_FRACTION * latency_objective.seconds()
    }

    /// Whether the mean time that requests were blocked on a call makes calls slow for this latency
    /// objective.
    pub(crate) fn calls_are_slow(&self, latency_objective: Span) -> bool {
        let time_blocked = self.ended.iter().map(|call| call.time_blocked.seconds()).sum::<f64>();
        time_blocked > SLOW_CALL * latency_objective.seconds() * self.ended.len() as f64
    }
}

#[cfg(test)]
mod tests;
