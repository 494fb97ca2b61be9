//! How many requests arrive a second, in all and of each tenant: whether more arrive than usual, and how much of what
//! a tenant sends is within its quota.
//!
//! Quotas hold for all servers together, of which this one sees its own arrivals only.

use crate::admission::quantities::{Fraction, RequestRate};
use crate::admission::running_mean::RunningMean;
use crate::admission::time::{Instant, Span};
use crate::interface::TenantId;

/// The time over which arrivals are averaged: a few rate windows, so that a quota is not exceeded by one burst.
const AVERAGING_TIME: Span = Span::from_seconds(5.0);
/// What one arrival adds to a rate that is averaged over `AVERAGING_TIME`.
const RATE_OF_ONE_ARRIVAL: f64 = 1.0 / 5.0;
/// The least weight of the average so far that is divided by: a first arrival is no high rate.
const MIN_WEIGHT_SO_FAR: f64 = 0.01;
/// Weight of a rate window in the usual arrivals: the last five or so windows decide.
const USUAL_WEIGHT: f64 = 0.2;
/// Arrivals are usual while no more than this fraction is rejected: beyond, they contain retries of rejections.
const MAX_REJECTED_IF_USUAL: Fraction = Fraction::new(0.1);
/// At this many times the usual arrivals, other servers are taken to reject as well: a quarter is above the noise.
const SPILLOVER_FACTOR: f64 = 1.25;

/// Recent arrivals a second.
#[derive(Debug)]
pub(crate) struct ArrivalRates {
    all: RequestRate,
    tenants: Vec<RequestRate>,
    counted_at: Instant,
    started_at: Instant,
    /// All arrivals a second while few were rejected.
    usual: RunningMean,
}

impl ArrivalRates {
    /// Nothing has arrived from so many tenants.
    pub(crate) fn new(tenants: usize, now: Instant) -> Self {
        ArrivalRates {
            all: RequestRate::ZERO,
            tenants: vec![RequestRate::ZERO; tenants],
            counted_at: now,
            started_at: now,
            usual: RunningMean::default(),
        }
    }

    /// Adds tenants up to this number.
    pub(crate) fn resize(&mut self, tenants: usize) {
        self.tenants.resize(tenants, RequestRate::ZERO);
    }

    /// Starts to count anew. `started_at` stays: the correction for the start hardly applies any more, and the average
    /// rises from zero over `AVERAGING_TIME`.
    pub(crate) fn reset(&mut self, now: Instant) {
        self.all = RequestRate::ZERO;
        self.tenants.fill(RequestRate::ZERO);
        self.counted_at = now;
        self.usual = RunningMean::default();
    }

    /// Counts an arrival of this tenant.
    pub(crate) fn count(&mut self, tenant: TenantId, now: Instant) {
        let remaining = (-((now - self.counted_at) / AVERAGING_TIME)).exp();
        self.counted_at = now;
        self.all = self.all * remaining + RequestRate::per_second(RATE_OF_ONE_ARRIVAL);
        for rate in &mut self.tenants {
            *rate = *rate * remaining;
        }
        if let Some(rate) = self.tenants.get_mut(usize::from(tenant.0)) {
            *rate = *rate + RequestRate::per_second(RATE_OF_ONE_ARRIVAL);
        }
    }

    /// All recent arrivals a second, bias-corrected (as at the start of an exponentially weighted moving average). It
    /// is as of the last arrival: the average is not decayed from `counted_at` to `now`.
    fn bias_corrected_total(&self, now: Instant) -> RequestRate {
        let ewma_weight_so_far = 1.0 - (-((now - self.started_at) / AVERAGING_TIME)).exp();
        RequestRate::per_second(self.all.value() / ewma_weight_so_far.max(MIN_WEIGHT_SO_FAR))
    }

    /// At the end of a rate window: learns what usually arrives, unless much of it was rejected.
    pub(crate) fn window_ended(&mut self, rejected: Fraction, now: Instant) {
        if rejected <= MAX_REJECTED_IF_USUAL {
            self.usual.add(self.bias_corrected_total(now).value(), USUAL_WEIGHT);
        }
    }

    /// Whether more arrives than usual: what other servers rejected is retried here.
    pub(crate) fn exceeds_usual(&self, now: Instant) -> bool {
        self.bias_corrected_total(now) > RequestRate::per_second(SPILLOVER_FACTOR * self.usual.or_zero())
    }

    /// The fraction of what a tenant sends that is within its quota, which is for all `servers` together: each is
    /// taken to receive as much as this one. Without a quota, all is within it.
    pub(crate) fn fraction_within_quota(&self, tenant: TenantId, quota: f64, servers: f64) -> Fraction {
        let local = self.tenants.get(usize::from(tenant.0)).copied().unwrap_or(RequestRate::ZERO);
        let sent = local.value() * servers;
        if quota > 0.0 && sent > quota {
            Fraction::new(quota / sent)
        } else {
            Fraction::ALL
        }
    }
}

#[cfg(test)]
mod tests;
