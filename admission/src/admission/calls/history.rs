//! What the calls that ended lately tell: how long calls take, and how many end in time.

use std::collections::VecDeque;

use crate::admission::constants::{LATENCY_TARGET_FRACTION, RATE_WINDOW, SLOW_MEAN_WEIGHT};
use crate::admission::running_mean::RunningMean;
use crate::admission::time::{Instant, Span};

/// A call that takes more than this fraction of the latency objective is slow, and so is waiting that long for one:
/// several calls still fit into the latency target. The value within that bound is not derived.
const SLOW_CALL: f64 = 0.07;

/// Whether a time blocked on a call is slow for this latency objective.
pub(crate) fn is_slow(time: Span, objective: Span) -> bool {
    time > SLOW_CALL * objective
}

/// A call that has ended, in whatever way.
#[derive(Debug)]
struct EndedCall {
    at: Instant,
    /// From when the run reached the call to the call's end.
    waited: Span,
}

/// The calls that ended in the last rate window.
#[derive(Debug, Default)]
pub(crate) struct CallHistory {
    ended: VecDeque<EndedCall>,
    /// Mean time of a call that succeeded, in seconds.
    typical_time: RunningMean,
}

impl CallHistory {
    /// A call has ended, `waited` after the run reached it.
    pub(crate) fn call_ended(&mut self, now: Instant, waited: Span) {
        self.ended.push_back(EndedCall { at: now, waited });
    }

    /// A call has succeeded after this time.
    pub(crate) fn call_succeeded(&mut self, duration: Span) {
        self.typical_time.add(duration.seconds(), SLOW_MEAN_WEIGHT);
    }

    /// Forgets what is older than a rate window.
    pub(crate) fn drop_expired(&mut self, now: Instant) {
        self.ended.retain(|call| call.at >= now - RATE_WINDOW);
    }

    /// How long a call takes that succeeds; zero if none has yet.
    pub(crate) fn typical_time(&self) -> Span {
        Span::from_seconds(self.typical_time.or_zero())
    }

    /// Requests whose calls end within the latency target at the recent rate; a standard error more, so that few calls
    /// do not lock out the next.
    pub(crate) fn completable(&self, latency_objective: Span) -> f64 {
        let ended = self.ended.len() as f64;
        (ended + ended.sqrt()) / RATE_WINDOW.seconds() * LATENCY_TARGET_FRACTION * latency_objective.seconds()
    }

    /// Whether requests are blocked on their calls for long, in the mean, for this latency objective.
    pub(crate) fn waits_are_slow(&self, latency_objective: Span) -> bool {
        let waited = self.ended.iter().map(|call| call.waited.seconds()).sum::<f64>();
        waited > SLOW_CALL * latency_objective.seconds() * self.ended.len() as f64
    }
}

#[cfg(test)]
mod tests;
