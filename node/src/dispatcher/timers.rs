//! Timers of the admission module, and the gauges that each firing timer reports to it.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use oakwind_admission::{Event, Gauges, TimerId};

use crate::clock::UnixTime;

/// Gauges are requested this long before the timer that reports them fires, so that the backend can answer in
/// time.
const GAUGE_REQUEST_LEAD: Duration = Duration::from_millis(5);
/// Age above which gauges are reported as unknown: ten periods of the admission module's timer.
const MAX_GAUGE_AGE: Duration = Duration::from_millis(500);

/// A timer that has not fired, ordered by the time at which it fires.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct PendingTimer {
    fires_at: UnixTime,
    timer: TimerId,
}

/// The pending timers and the latest gauges.
#[derive(Default)]
pub(super) struct Timers {
    pending: BinaryHeap<Reverse<PendingTimer>>,
    gauges: Gauges,
    gauges_read_at: UnixTime,
    gauges_requested: bool,
}

impl Timers {
    pub(super) fn schedule(&mut self, fires_at: UnixTime, timer: TimerId) {
        self.pending.push(Reverse(PendingTimer { fires_at, timer }));
    }

    /// When the next timer fires or gauges are to be requested for it, whichever comes first.
    pub(super) fn next_wake(&self) -> Option<UnixTime> {
        let at = self.next_firing()?;
        Some(if self.gauges_requested { at } else { at.saturating_sub(GAUGE_REQUEST_LEAD) })
    }

    /// Returns whether gauges are to be requested now, and marks them as requested. True at most once between two
    /// firings.
    pub(super) fn take_gauge_request(&mut self, now: UnixTime) -> bool {
        let is_near = self.next_firing().is_some_and(|at| at <= now + GAUGE_REQUEST_LEAD);
        let request = is_near && !self.gauges_requested;
        self.gauges_requested |= request;
        request
    }

    /// Sets the latest gauges, which were read at `now`.
    pub(super) fn set_gauges(&mut self, now: UnixTime, gauges: Gauges) {
        self.gauges = gauges;
        self.gauges_read_at = now;
    }

    /// Removes the timers that are due at `now` and returns their events, the earliest first.
    pub(super) fn pop_fired(&mut self, now: UnixTime) -> Vec<Event> {
        let is_fresh = self.gauges_read_at + MAX_GAUGE_AGE >= now;
        let gauges = if is_fresh { self.gauges } else { Gauges::default() };
        let mut fired = Vec::new();
        while self.next_firing().is_some_and(|at| at <= now) {
            let Some(Reverse(PendingTimer { timer, .. })) = self.pending.pop() else { break };
            self.gauges_requested = false;
            fired.push(Event::Timer(timer, gauges));
        }
        fired
    }

    fn next_firing(&self) -> Option<UnixTime> {
        self.pending.peek().map(|Reverse(next)| next.fires_at)
    }
}

#[cfg(test)]
mod tests;
