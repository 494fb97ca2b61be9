//! Arrival rates, in total and per tenant. They show whether more requests arrive than usual, and what
//! fraction of a tenant's requests is within its quota.
//!
//! A quota applies to all servers together. Each server sees only its own arrivals, and assumes that every
//! other server receives as many.

use crate::admission::quantities::{Fraction, RequestRate};
use crate::admission::running_mean::RunningMean;
use crate::admission::time::{Instant, Span};
use crate::interface::TenantId;

/// Time over which arrivals are averaged: a few rate windows, so that a single burst does not exceed a quota.
const AVERAGING_TIME: Span = Span::from_seconds(5.0);
/// Amount in requests per second by which one arrival raises an averaged rate: 1 / `AVERAGING_TIME`.
const RATE_OF_ONE_ARRIVAL: f64 = 1.0 / 5.0;
/// Minimum divisor of the bias correction, so that the first arrivals after startup do not yield a high rate.
/// The divisor is the total weight of the average since startup.
const MIN_TOTAL_WEIGHT: f64 = 0.01;
/// Weight of a rate window in the mean of the usual arrival rate: about the last five windows dominate.
const USUAL_WEIGHT: f64 = 0.2;
/// Maximum rejected fraction in a window that counts as usual: above it, the arrivals are assumed to include
/// many retries of rejected requests.
const MAX_REJECTED_IF_USUAL: Fraction = Fraction::new(0.1);
/// Ratio of the arrival rate to the usual rate above which the excess is assumed to be retries of requests
/// that other servers have rejected. An excess of a quarter is larger than random variation.
const USUAL_EXCESS_FACTOR: f64 = 1.25;

/// Recent arrival rates.
#[derive(Debug)]
pub(crate) struct ArrivalRates {
    all: RequestRate,
    tenants: Vec<RequestRate>,
    /// Time up to which the rates have been decayed: the last arrival, or the last reset if it is later.
    counted_at: Instant,
    /// When the rates were created. A reset does not change it.
    started_at: Instant,
    /// Mean of the total arrival rate over the windows in which few arrivals were rejected.
    usual: RunningMean,
}

impl ArrivalRates {
    /// Creates rates of zero for this number of tenants.
    pub(crate) fn new(tenants: usize, now: Instant) -> Self {
        ArrivalRates {
            all: RequestRate::ZERO,
            tenants: vec![RequestRate::ZERO; tenants],
            counted_at: now,
            started_at: now,
            usual: RunningMean::default(),
        }
    }

    /// Extends the rates to this number of tenants.
    pub(crate) fn resize(&mut self, tenants: usize) {
        self.tenants.resize(tenants, RequestRate::ZERO);
    }

    /// Resets all rates to zero. `started_at` is kept: once the server has run for several times
    /// `AVERAGING_TIME`, the divisor of the bias correction is close to 1, and the average rises from zero
    /// over `AVERAGING_TIME`.
    pub(crate) fn reset(&mut self, now: Instant) {
        self.all = RequestRate::ZERO;
        self.tenants.fill(RequestRate::ZERO);
        self.counted_at = now;
        self.usual = RunningMean::default();
    }

    /// Counts an arrival of this tenant.
    pub(crate) fn count(&mut self, tenant: TenantId, now: Instant) {
        let decay = (-((now - self.counted_at) / AVERAGING_TIME)).exp();
        self.counted_at = now;
        self.all = self.all * decay + RequestRate::per_second(RATE_OF_ONE_ARRIVAL);
        for rate in &mut self.tenants {
            *rate = *rate * decay;
        }
        if let Some(rate) = self.tenants.get_mut(usize::from(tenant.0)) {
            *rate = *rate + RequestRate::per_second(RATE_OF_ONE_ARRIVAL);
        }
    }

    /// Total arrival rate, with the bias correction for the start of an exponential moving average. It is the
    /// rate at the last arrival: the average is not decayed from `counted_at` to `now`.
    fn bias_corrected_total(&self, now: Instant) -> RequestRate {
        let total_weight = 1.0 - (-((now - self.started_at) / AVERAGING_TIME)).exp();
        RequestRate::per_second(self.all.value() / total_weight.max(MIN_TOTAL_WEIGHT))
    }

    /// Adds the arrival rate at the end of a rate window to the usual rate, unless many of the arrivals were
    /// rejected.
    pub(crate) fn window_ended(&mut self, rejected: Fraction, now: Instant) {
        if rejected <= MAX_REJECTED_IF_USUAL {
            self.usual.add(self.bias_corrected_total(now).value(), USUAL_WEIGHT);
        }
    }

    /// Whether the arrival rate exceeds [`USUAL_EXCESS_FACTOR`] times the usual rate, for example because
    /// requests that other servers rejected are retried here.
    pub(crate) fn exceeds_usual(&self, now: Instant) -> bool {
        self.bias_corrected_total(now) > RequestRate::per_second(USUAL_EXCESS_FACTOR * self.usual.or_zero())
    }

    /// The fraction of a tenant's requests that is within its quota. The quota applies to all `servers`
    /// together, and each is assumed to receive as many requests as this one. Without a quota, all requests
    /// are within it.
    pub(crate) fn fraction_within_quota(&self, tenant: TenantId, quota: f64, servers: f64) -> Fraction {
        let local = self.tenants.get(usize::from(tenant.0)).copied().unwrap_or(RequestRate::ZERO);
        let estimated_total_rate = local.value() * servers;
        if quota > 0.0 && estimated_total_rate > quota {
            Fraction::new(quota / estimated_total_rate)
        } else {
            Fraction::ALL
        }
    }
}

#[cfg(test)]
mod tests;
