//! Overload control: under overload, an arrival needs a token of the permitted rate.
//!
//! This module combines the permitted rate, the latencies and downstream rejections that decrease it, and the
//! arrival rates that it is compared with.

pub(crate) mod arrival_rates;
pub(crate) mod detector;
pub(crate) mod latency;
pub(crate) mod permitted_rate;
pub(crate) mod recent_arrivals;
pub(crate) mod token_bucket;

use crate::admission::context::Context;
use crate::admission::priority::Priority;
use crate::admission::quantities::RequestRate;
use crate::admission::requests::request::Request;
use crate::admission::time::Instant;
use crate::interface::{RequestId, TenantId};
use arrival_rates::ArrivalRates;
use detector::OverloadDetector;
use latency::{LatencySample, LatencyTracker};
use permitted_rate::{PermittedRate, WindowLoad};
use recent_arrivals::{RecentArrival, RecentArrivals};

/// The permitted rate and the measurements that determine it.
#[derive(Debug)]
pub(crate) struct OverloadControl {
    permitted_rate: PermittedRate,
    detector: OverloadDetector,
    latencies: LatencyTracker,
    arrival_rates: ArrivalRates,
    recent_arrivals: RecentArrivals,
}

impl OverloadControl {
    /// Creates the state for this number of tenants, without any load measurements.
    pub(crate) fn new(tenants: usize, now: Instant) -> Self {
        OverloadControl {
            permitted_rate: PermittedRate::new(now),
            detector: OverloadDetector::new(),
            latencies: LatencyTracker::default(),
            arrival_rates: ArrivalRates::new(tenants, now),
            recent_arrivals: RecentArrivals::default(),
        }
    }

    /// Extends the arrival rates to this number of tenants.
    pub(crate) fn resize(&mut self, tenants: usize) {
        self.arrival_rates.resize(tenants);
    }

    /// Resets the permitted rate and the load measurements to their initial values. Only the latency samples
    /// and the start time of the arrival rates are kept.
    pub(crate) fn reset(&mut self, now: Instant) {
        self.permitted_rate.reset(now);
        self.detector = OverloadDetector::new();
        self.arrival_rates.reset(now);
        self.recent_arrivals.clear();
    }

    /// The requests per second that are permitted under overload; `None` until the first rate window with
    /// enough handled requests has ended.
    pub(crate) fn permitted_rate(&self) -> Option<RequestRate> {
        self.permitted_rate.get()
    }

    /// The arrival rates, in total and by tenant.
    pub(crate) fn arrival_rates(&self) -> &ArrivalRates {
        &self.arrival_rates
    }

    /// The most recent arrivals and, for each, whether it was admitted.
    pub(crate) fn recent_arrivals(&self) -> &RecentArrivals {
        &self.recent_arrivals
    }

    /// Whether any request was answered successfully within the last
    /// [`RATE_WINDOW`](crate::admission::constants::RATE_WINDOW).
    pub(crate) fn has_recent_successes(&self) -> bool {
        !self.latencies.is_empty()
    }

    /// Includes an arrival of this tenant in the arrival rates.
    pub(crate) fn count_arrival(&mut self, tenant: TenantId, now: Instant) {
        self.arrival_rates.count(tenant, now);
    }

    /// Adds an arrival, and whether it was admitted, to the recent arrivals.
    pub(crate) fn record_arrival(&mut self, arrival: RecentArrival) {
        self.recent_arrivals.add(arrival);
    }

    /// Marks a request that was admitted and has been rejected since (shed) as not admitted.
    pub(crate) fn mark_shed(&mut self, id: RequestId) {
        self.recent_arrivals.mark_shed(id);
    }

    /// Records that the dependency, which may be a further tier of servers, has rejected a call.
    pub(crate) fn record_downstream_rejection(&mut self, now: Instant) {
        self.detector.record_downstream_rejection(now);
    }

    /// Records a successful answer: the request counts as handled, and its latency is sampled.
    pub(crate) fn request_answered(&mut self, request: &Request, context: &Context) {
        self.permitted_rate.count_handled();
        self.latencies.add(LatencySample {
            answered_at: context.now,
            latency_over_objective: context.latency_over_objective(request),
            may_call: request.may_call,
        });
    }

    /// Decides whether an arrival of this priority is admitted, and takes a token for it if so.
    pub(crate) fn admit(&mut self, priority: Priority, context: &Context, calls_throttled: bool) -> bool {
        let priority_quantile = self.recent_arrivals.priority_quantile(priority);
        self.permitted_rate.admit(priority_quantile, context.now, || {
            self.detector.is_overloaded(context, &self.latencies, calls_throttled)
        })
    }

    /// Handles the periodic timer: drops old latency samples and, when a rate window has ended, updates the
    /// usual arrival rate and the permitted rate.
    pub(crate) fn on_tick(&mut self, context: &Context, calls_throttled: bool) {
        let now = context.now;
        self.latencies.drop_expired(now);
        if !self.permitted_rate.window_has_ended(now) {
            return;
        }
        self.arrival_rates.window_ended(self.recent_arrivals.rejected_fraction(now), now);
        let load = WindowLoad {
            downstream_rejected: self.detector.downstream_rejected_after(self.permitted_rate.window_start()),
            latency_exceeds_target: self.latencies.exceeds_target(context, calls_throttled),
            capacity: context.capacity(),
        };
        self.permitted_rate.end_window(&load, now);
    }
}
