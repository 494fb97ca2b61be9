//! History of recently ended calls: their typical duration, and how many can complete in time.

use std::collections::VecDeque;

use crate::admission::constants::{LATENCY_TARGET_FRACTION, RATE_WINDOW, SLOW_MEAN_WEIGHT};
use crate::admission::running_mean::RunningMean;
use crate::admission::time::{Instant, Span};

/// A call is slow if it takes more than this fraction of the latency objective; so is a wait of that length
/// for a call. The fraction is small enough for several calls to fit into the latency target. Its exact value
/// is not derived.
const SLOW_CALL: f64 = 0.07;

/// Whether `time`, spent blocked on a call, is slow for this latency objective.
pub(crate) fn is_slow(time: Span, objective: Span) -> bool {
    time > SLOW_CALL * objective
}

/// A call that has ended with any outcome.
#[derive(Debug)]
struct EndedCall {
    at: Instant,
    /// Time from when the run reached the call until the call ended.
    waited: Span,
}

/// The calls that ended in the last rate window.
#[derive(Debug, Default)]
pub(crate) struct CallHistory {
    ended: VecDeque<EndedCall>,
    /// Mean duration of successful calls, in seconds; not limited to the last rate window.
    typical_time: RunningMean,
}

impl CallHistory {
    /// Records a call that ended `waited` after the run reached it.
    pub(crate) fn call_ended(&mut self, now: Instant, waited: Span) {
        self.ended.push_back(EndedCall { at: now, waited });
    }

    /// Records the duration of a successful call.
    pub(crate) fn call_succeeded(&mut self, duration: Span) {
        self.typical_time.add(duration.seconds(), SLOW_MEAN_WEIGHT);
    }

    /// Drops the calls that ended before the last rate window.
    pub(crate) fn drop_expired(&mut self, now: Instant) {
        self.ended.retain(|call| call.at >= now - RATE_WINDOW);
    }

    /// Mean duration of a successful call; zero if none has succeeded yet.
    pub(crate) fn typical_time(&self) -> Span {
        Span::from_seconds(self.typical_time.or_zero())
    }

    /// Number of requests whose calls can end within the latency target at the recent rate of calls. One
    /// standard error is added, so that a small sample does not block the next calls.
    pub(crate) fn completable(&self, latency_objective: Span) -> f64 {
        let ended = self.ended.len() as f64;
        (ended + ended.sqrt()) / RATE_WINDOW.seconds() * LATENCY_TARGET_FRACTION * latency_objective.seconds()
    }

    /// Whether the mean time that requests were blocked on their calls is slow for this latency objective.
    pub(crate) fn waits_are_slow(&self, latency_objective: Span) -> bool {
        let waited = self.ended.iter().map(|call| call.waited.seconds()).sum::<f64>();
        waited > SLOW_CALL * latency_objective.seconds() * self.ended.len() as f64
    }
}

#[cfg(test)]
mod tests;
