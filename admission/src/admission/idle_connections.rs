//! Idle timeout of connections: the more often callers reuse their connections, the longer idle ones are kept
//! open.
//!
//! An open idle connection costs memory; a closed one costs a new handshake. While reads and new connections
//! overload the cores, all connections are kept as long as the callers keep them, to avoid handshakes.

use std::collections::BTreeMap;

use crate::admission::constants::{MIN_SAMPLES, RATE_WINDOW, SLOW_MEAN_WEIGHT, TICK_PERIOD};
use crate::admission::context::Context;
use crate::admission::quantities::Fraction;
use crate::admission::running_mean::RunningMean;
use crate::admission::time::{Instant, Span};
use crate::interface::CallerId;

/// Fraction by which the minimum set during read overload falls per tick while cores have spare capacity: to
/// a tenth in about a second. Without spare capacity, it falls by this fraction per rate window.
const FALL_WITH_SPARE_CAPACITY: f64 = 0.1;
/// A minimum of at most this length is ignored, because such a short time avoids no handshakes.
const OVERLOAD_FLOOR_CUTOFF: Span = Span::from_seconds(1.0);
/// Minimum relative change of the timeout that is reported to the server.
const MIN_CHANGE: f64 = 0.2;

/// Load on which the idle timeout depends, in addition to the context.
pub(crate) struct ConnectionLoad {
    /// Whether reads and new connections overload the cores.
    pub(crate) read_overload: bool,
    /// Whether the cores have spare capacity.
    pub(crate) spare_capacity: bool,
}

/// Limit on the time that a connection may be idle.
#[derive(Debug)]
pub(crate) struct IdleConnectionLimit {
    last_request_at: BTreeMap<CallerId, Instant>,
    /// Fraction of the requests whose caller had sent its previous request within the caller's idle timeout.
    returning: RunningMean,
    limit: Span,
    /// Minimum of the limit, set to the callers' timeout during read overload; it decays afterwards.
    overload_floor: Span,
}

impl IdleConnectionLimit {
    /// Creates a limit that starts at `limit`; all callers are assumed to return.
    pub(crate) fn new(limit: Span) -> Self {
        IdleConnectionLimit {
            last_request_at: BTreeMap::new(),
            returning: RunningMean::assumed(Fraction::ALL.value(), MIN_SAMPLES),
            limit,
            overload_floor: Span::ZERO,
        }
    }

    /// Records a request from this caller.
    pub(crate) fn record_request(&mut self, caller: CallerId, now: Instant, caller_timeout: Span) {
        let before = self.last_request_at.insert(caller, now);
        let returned = before.is_some_and(|at| now - at <= caller_timeout);
        self.returning.add(if returned { 1.0 } else { 0.0 }, SLOW_MEAN_WEIGHT);
    }

    /// Adjusts the limit. Returns the new value if it has changed enough to be reported. The limit falls with
    /// the square of the fraction of callers that return: if half of them do, it is a quarter of the callers'
    /// timeout.
    pub(crate) fn adjust(&mut self, load: &ConnectionLoad, context: &Context) -> Option<Span> {
        let timeout = Span::from(context.settings.idle_timeout);
        self.last_request_at.retain(|_, at| context.now - *at <= timeout);
        let active_callers = (self.last_request_at.len() as f64 / context.callers()).min(1.0);
        let returning = self.returning.or_zero() * active_callers;
        self.adjust_overload_floor(load, timeout);
        let minimum =
            if self.overload_floor > OVERLOAD_FLOOR_CUTOFF { self.overload_floor } else { TICK_PERIOD };
        let target = (timeout * returning.powi(2)).max(minimum);
        if target.distance(self.limit) > MIN_CHANGE * self.limit {
            self.limit = target;
            return Some(target);
        }
        None
    }

    fn adjust_overload_floor(&mut self, load: &ConnectionLoad, timeout: Span) {
        let fall = if load.spare_capacity {
            FALL_WITH_SPARE_CAPACITY
        } else {
            FALL_WITH_SPARE_CAPACITY * TICK_PERIOD / RATE_WINDOW
        };
        self.overload_floor =
            if load.read_overload { timeout } else { (self.overload_floor * (1.0 - fall)).max(TICK_PERIOD) };
    }
}

#[cfg(test)]
mod tests;
