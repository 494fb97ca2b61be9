//! How long idle connections stay open: the more callers return to theirs, the longer.
//!
//! A connection kept open costs memory, a closed one a new handshake. While reads and new connections overload the
//! cores, all are kept for as long as callers keep them, to spare the handshakes.

use std::collections::BTreeMap;

use crate::admission::constants::{MIN_SAMPLES, RATE_WINDOW, SLOW_MEAN_WEIGHT, TICK_PERIOD};
use crate::admission::context::Context;
use crate::admission::quantities::Fraction;
use crate::admission::running_mean::RunningMean;
use crate::admission::time::{Instant, Span};
use crate::interface::CallerId;

/// The floor that read overload has set falls by this fraction with each tick while cores have time to spare: to a
/// tenth in about a second. While they have not, it falls by as much in a rate window.
const FALL_WITH_SPARE_CAPACITY: f64 = 0.1;
/// A floor of this or less has no effect: so short a time spares no handshake.
const OVERLOAD_FLOOR_CUTOFF: Span = Span::from_seconds(1.0);
/// A change by less than a fifth of the limit is not worth telling.
const MIN_CHANGE: f64 = 0.2;

/// What the limit depends on, beside the context.
pub(crate) struct ConnectionLoad {
    /// Whether reads and new connections overload the cores.
    pub(crate) read_overload: bool,
    /// Whether the cores have time to spare.
    pub(crate) spare_capacity: bool,
}

/// The limit of the time that a connection may be idle.
#[derive(Debug)]
pub(crate) struct IdleConnectionLimit {
    last_request_at: BTreeMap<CallerId, Instant>,
    /// The fraction of the requests whose caller returned within the timeout.
    returning: RunningMean,
    limit: Span,
    /// The limit's minimum during read overload, and after it until it has fallen.
    overload_floor: Span,
}

impl IdleConnectionLimit {
    /// Connections are kept for `limit` at first; all callers are taken to return.
    pub(crate) fn new(limit: Span) -> Self {
        IdleConnectionLimit {
            last_request_at: BTreeMap::new(),
            returning: RunningMean::assumed(Fraction::ALL.value(), MIN_SAMPLES),
            limit,
            overload_floor: Span::ZERO,
        }
    }

    /// A request has come from this caller.
    pub(crate) fn record_request(&mut self, caller: CallerId, now: Instant, caller_timeout: Span) {
        let before = self.last_request_at.insert(caller, now);
        let returned = before.is_some_and(|at| now - at <= caller_timeout);
        self.returning.add(if returned { 1.0 } else { 0.0 }, SLOW_MEAN_WEIGHT);
    }

    /// Adjusts the limit; returns the new one if it has changed by enough. It falls with the square of the fraction of
    /// callers that return: where half of them do, a quarter of the callers' timeout is left.
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
