//! The permitted rate and its token bucket, and when the server counts as overloaded.

use super::{Admission, Mean, Phase, Request, LATENCY_TARGET, MIN_SAMPLES, RATE_WINDOW};

/// A cut leaves this part of the rate that was handled.
const RATE_CUT: f64 = 0.9;
/// A cut leaves at least this part of the rate.
const MIN_RATE_KEPT: f64 = 0.5;
/// A rise adds this part of the capacity of the cores.
const RATE_RISE: f64 = 0.05;
/// Part of the bucket that is reserved from arrivals of the lowest priority.
const BUCKET_RESERVE: f64 = 0.6;

#[derive(Debug)]
pub(super) struct LatencySample {
    pub(super) at: f64,
    /// As a part of the class's latency objective.
    pub(super) of_objective: f64,
    pub(super) may_call: bool,
}

impl Admission {
    /// Under overload low priorities find a reserve closed; the highest may borrow a sample's error.
    pub(super) fn take_token(&mut self, priority: f64) -> bool {
        let Some(rate) = self.rate else { return true };
        let depth = rate.max(1.0);
        self.tokens = (self.tokens + rate * (self.now - self.filled_at)).min(depth);
        self.filled_at = self.now;
        let (rank, debt) = (self.priority_rank(priority), MIN_SAMPLES.sqrt());
        let needed = 1.0 + (depth - 1.0) * BUCKET_RESERVE * (1.0 - rank) - debt * rank;
        let admitted = self.tokens >= needed || !self.overloaded();
        self.tokens = (self.tokens - if admitted { 1.0 } else { 0.0 }).max(-debt);
        admitted
    }

    /// The part of recent arrivals that had a lower priority.
    fn priority_rank(&self, priority: f64) -> f64 {
        let below = self.recent.iter().filter(|s| s.priority < priority).count() as f64;
        below / (self.recent.len().max(1) as f64)
    }

    fn overloaded(&self) -> bool {
        let own = self.now < self.calls.at_limit_until;
        let waits = |r: &&Request| r.phase == Phase::Queued && !(own && r.may_call);
        let waiting = self.requests.values().filter(waits).count();
        self.now < self.penalized_until || (waiting > 1 && self.mean_latency() > LATENCY_TARGET)
    }

    /// As a part of the objective. While calls are at their limit, what calls is left out: it is held back.
    fn mean_latency(&self) -> f64 {
        let own = self.now < self.calls.at_limit_until;
        let recent = self.latencies.iter().filter(|s| !(own && s.may_call)).map(|s| s.of_objective);
        let counts = |r: &&Request| !r.answered && r.phase != Phase::Coalesced && !(own && r.may_call);
        let waiting = self.requests.values().filter(counts).map(|r| self.objective_used(r));
        let late_in_flight = waiting.filter(|part| *part > LATENCY_TARGET);
        let (sum, n) = recent.chain(late_in_flight).fold((0.0, 0.0), |(s, n), part| (s + part, n + 1.0));
        sum / f64::max(n, 1.0)
    }

    /// Once a window: seeds, cuts, raises or keeps the rate. A standard error spares small servers deep cuts.
    pub(super) fn revise(&mut self) {
        let span = self.now - self.window_start;
        if span < RATE_WINDOW || (self.rate.is_none() && self.handled < MIN_SAMPLES) {
            return;
        }
        let handled = (self.handled + self.handled.sqrt()) / span;
        if self.rejected_fraction() <= 0.1 {
            self.usual_arrivals.add(self.arrival_rate(), 0.2);
        }
        let penalized = self.penalized_until > self.window_start + RATE_WINDOW;
        let slow = self.mean_latency() > LATENCY_TARGET;
        self.rate = match self.rate {
            None => (self.handled >= MIN_SAMPLES).then_some(handled),
            Some(rate) if penalized => Some(RATE_CUT * handled.min(rate).max(rate * MIN_RATE_KEPT)),
            Some(rate) if slow => Some(RATE_CUT * handled.max(rate * MIN_RATE_KEPT)),
            Some(rate) if 2.0 * handled >= rate => Some(rate + RATE_RISE * self.capacity()),
            Some(rate) => Some(rate),
        };
        (self.window_start, self.handled) = (self.now, 0.0);
    }

    pub(super) fn reset_load_estimates(&mut self) {
        (self.rate, self.tokens, self.handled, self.shed_level) = (None, 0.0, 0.0, 0.0);
        (self.window_start, self.filled_at, self.arrival_rates_at) = (self.now, self.now, self.now);
        (self.penalized_until, self.calls.at_limit_until) = (0.0, 0.0);
        self.usual_arrivals = Mean::default();
        self.recent.clear();
        self.arrival_rates.iter_mut().for_each(|rate| *rate = 0.0);
    }

    /// Requests a second that the cores can run, by the mean work of the classes.
    pub(super) fn capacity(&self) -> f64 {
        let known: Vec<f64> = self.class_stats.iter().filter_map(|s| s.on_cores.get()).collect();
        let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
        self.cores() / mean.max(0.01)
    }
}
