//! Accumulates the events of a history, and computes the statistics from the sums.

use std::collections::HashMap;

use hdrhistogram::Histogram;

use super::recovery::{lowest_served_fraction, recovery};
use super::{Band, ConnectionRates, OutcomeFractions, PeakUse, Second, Statistics};
use crate::history::{Event, RuleParameters};
use crate::model::frontend::RequestOutcome;
use crate::model::{seconds_of_ms, Ms};

/// Upper end of the latency histogram in microseconds (ten minutes). Longer latencies are recorded as this value.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant decimal digits of recorded latencies.
const LATENCY_DIGITS: u8 = 3;
/// Length in seconds of the window of the lowest served fraction.
const LOWEST_WINDOW_SECONDS: usize = 10;
const US_PER_MS: f64 = 1000.0;
/// Latency quantiles that are reported.
const MEDIAN: f64 = 0.5;
const P99: f64 = 0.99;

/// The time at which a request was sent, and its class.
#[derive(Debug, Clone, Copy)]
struct RequestStart {
    at: Ms,
    class: usize,
}

/// Resource use of the programs.
#[derive(Debug, Default)]
struct ResourceUse {
    peak: PeakUse,
    /// The last CPU time read for each node.
    last_cpu_ms: HashMap<usize, u64>,
    total_cpu_ms: u64,
}

/// The sums over the events seen so far.
pub(super) struct Accumulator<'a> {
    parameters: &'a RuleParameters,
    seconds: Vec<Second>,
    starts: HashMap<usize, RequestStart>,
    /// Requests sent, without repeats.
    requests: u64,
    attempts: u64,
    bands: Vec<Band>,
    latencies: Option<Histogram<u64>>,
    /// Connections opened with each node, by second.
    connections: HashMap<usize, Vec<u64>>,
    resources: ResourceUse,
}

impl<'a> Accumulator<'a> {
    pub(super) fn new(parameters: &'a RuleParameters) -> Self {
        let count = parameters.seconds.ceil().max(1.0) as usize;
        Accumulator {
            parameters,
            seconds: vec![Second::default(); count],
            starts: HashMap::new(),
            requests: 0,
            attempts: 0,
            bands: Vec::new(),
            // Creation fails only with invalid bounds, and these are valid.
            latencies: Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS).ok(),
            connections: HashMap::new(),
            resources: ResourceUse::default(),
        }
    }

    /// Adds an event.
    pub(super) fn observe(&mut self, at: Ms, event: &Event) {
        match event {
            // Repeats only test idempotency: they carry no weight and are not counted as requests.
            Event::RequestSent { request, class, repeats: None } => self.count_request(at, *request, *class),
            Event::RequestEnded { request, outcome, .. } => self.count_outcome(at, *request, *outcome),
            Event::AttemptWritten { .. } => self.count_attempt(at),
            Event::ConnectionOpened { node, .. } => self.count_connection(at, *node),
            Event::RunStarted { .. } => {
                if let Some(second) = self.second_mut(at) {
                    second.runs += 1;
                }
            }
            Event::FaultInjected { text, until } => {
                let from = seconds_of_ms(at);
                let until = seconds_of_ms(*until);
                self.bands.push(Band { text: text.clone(), from, until });
            }
            Event::ResourceSample { node, memory_kb, descriptors, cpu_ms } => {
                let sample = PeakUse { memory_kb: *memory_kb, descriptors: *descriptors };
                self.resources.add_sample(*node, sample, *cpu_ms);
            }
            _ => {}
        }
    }

    /// The index of the second that a time falls into; `None` outside the seconds in which load was sent.
    fn second_of(&self, at: Ms) -> Option<usize> {
        let second = (at >= 0.0).then_some(seconds_of_ms(at) as usize);
        second.filter(|second| *second < self.seconds.len())
    }

    fn second_mut(&mut self, at: Ms) -> Option<&mut Second> {
        let second = self.second_of(at)?;
        self.seconds.get_mut(second)
    }

    fn count_request(&mut self, at: Ms, request: usize, class: usize) {
        self.requests += 1;
        self.starts.insert(request, RequestStart { at, class });
        let weight = self.parameters.classes.get(class).map_or(0.0, |class| class.weight);
        if let Some(second) = self.second_mut(at) {
            second.requests += 1;
            second.requested_weight += weight;
        }
    }

    fn count_outcome(&mut self, at: Ms, request: usize, outcome: RequestOutcome) {
        let Some(start) = self.starts.get(&request).copied() else { return };
        match outcome {
            RequestOutcome::Served => self.count_served(at, start, false),
            RequestOutcome::Degraded => self.count_served(at, start, true),
            RequestOutcome::Rejected => {
                if let Some(second) = self.second_mut(start.at) {
                    second.rejected += 1;
                }
            }
            RequestOutcome::Failed | RequestOutcome::TimedOut => {
                if let Some(second) = self.second_mut(start.at) {
                    second.failed += 1;
                }
            }
        }
    }

    fn count_served(&mut self, at: Ms, start: RequestStart, is_degraded: bool) {
        let parameters = self.parameters;
        let Some(class) = parameters.classes.get(start.class) else { return };
        let latency = at - start.at;
        let is_in_time = latency <= class.latency_objective;
        let call_fraction = if is_degraded { class.skip_weight } else { 1.0 };
        let time_fraction = if is_in_time { 1.0 } else { class.late_weight };
        let Some(second) = self.second_mut(start.at) else { return };
        second.in_time += u64::from(is_in_time);
        second.after_objective += u64::from(!is_in_time);
        second.served_weight += class.weight * call_fraction * time_fraction;
        if let Some(latencies) = &mut self.latencies {
            latencies.saturating_record((latency * US_PER_MS) as u64);
        }
    }

    fn count_attempt(&mut self, at: Ms) {
        self.attempts += 1;
        if let Some(second) = self.second_mut(at) {
            second.attempts += 1;
        }
    }

    fn count_connection(&mut self, at: Ms, node: usize) {
        let Some(second) = self.second_of(at) else { return };
        self.seconds[second].connections += 1;
        let by_second = self.connections.entry(node).or_insert_with(|| vec![0; self.seconds.len()]);
        by_second[second] += 1;
    }

    fn sum(&self, value: fn(&Second) -> f64) -> f64 {
        self.seconds.iter().map(value).sum()
    }

    /// The latency in milliseconds at this quantile of the requests served.
    fn latency_ms(&self, quantile: f64) -> f64 {
        let latencies = self.latencies.as_ref();
        latencies.map_or(0.0, |latencies| latencies.value_at_quantile(quantile) as f64 / US_PER_MS)
    }

    fn outcome_fractions(&self) -> OutcomeFractions {
        let requests = self.sum(|second| second.requests as f64);
        OutcomeFractions {
            in_time: ratio(self.sum(|second| second.in_time as f64), requests),
            after_objective: ratio(self.sum(|second| second.after_objective as f64), requests),
            rejected: ratio(self.sum(|second| second.rejected as f64), requests),
            failed: ratio(self.sum(|second| second.failed as f64), requests),
        }
    }

    fn connection_rates(&self) -> ConnectionRates {
        let busiest_second = self.seconds.iter().map(|second| second.connections).max().unwrap_or(0);
        let busiest_node = self.connections.values().flatten().max().copied().unwrap_or(0);
        ConnectionRates {
            mean: self.sum(|second| second.connections as f64) / self.seconds.len() as f64,
            busiest_second: busiest_second as f64,
            busiest_node: busiest_node as f64,
        }
    }

    /// Computes the statistics of the events added.
    pub(super) fn finish(self) -> Statistics {
        let served_count = self.sum(|second| (second.in_time + second.after_objective) as f64);
        let requested_weight = self.sum(|second| second.requested_weight);
        let cpu_us = self.resources.total_cpu_ms as f64 * US_PER_MS;
        Statistics {
            requests: self.requests,
            served: ratio(self.sum(|second| second.served_weight), requested_weight),
            lowest_served: lowest_served_fraction(&self.seconds, LOWEST_WINDOW_SECONDS),
            outcomes: self.outcome_fractions(),
            throughput: served_count / self.parameters.seconds,
            median_ms: self.latency_ms(MEDIAN),
            p99_ms: self.latency_ms(P99),
            attempts_per_request: ratio(self.attempts as f64, self.requests as f64),
            connections: self.connection_rates(),
            recovery: recovery(&self.seconds, &self.bands),
            peak_use: self.resources.peak,
            cpu_us_per_attempt: ratio(cpu_us, self.attempts as f64),
            bands: self.bands,
            seconds: self.seconds,
        }
    }
}

impl ResourceUse {
    fn add_sample(&mut self, node: usize, sample: PeakUse, cpu_ms: u64) {
        self.peak.memory_kb = self.peak.memory_kb.max(sample.memory_kb);
        self.peak.descriptors = self.peak.descriptors.max(sample.descriptors);
        let previous = self.last_cpu_ms.insert(node, cpu_ms).unwrap_or(0);
        // The CPU time of a restarted program starts from 0 again.
        self.total_cpu_ms += if cpu_ms >= previous { cpu_ms - previous } else { cpu_ms };
    }
}

/// The quotient, or 0 if the denominator is not positive.
fn ratio(numerator: f64, denominator: f64) -> f64 {
    if denominator > 0.0 {
        numerator / denominator
    } else {
        0.0
    }
}
