//! Adds up a history event by event: a method for each kind of event, and the statistics at the end.

use std::collections::HashMap;

use hdrhistogram::Histogram;

use super::recovery::{back, worst};
use super::{Band, Second, Statistics};
use crate::history::{Event, RuleParameters};
use crate::model::frontend::RequestOutcome;
use crate::model::Ms;

/// The longest latency that is told apart, in microseconds: ten minutes.
const MAX_LATENCY_US: u64 = 600_000_000;
/// Significant digits of latencies.
const LATENCY_DIGITS: u8 = 3;
/// The length of the worst stretch, in seconds.
const WORST_STRETCH: usize = 10;

/// A request that a client sent.
#[derive(Debug, Clone, Copy)]
struct OfferedRequest {
    sent_at: Ms,
    class: usize,
}

/// What programs took of the machine.
#[derive(Debug, Default)]
struct ResourceUse {
    most_memory_kb: u64,
    most_descriptors: u64,
    /// The last reading of each node's CPU time.
    last_cpu_ms: HashMap<usize, u64>,
    total_cpu_ms: u64,
}

/// The sums over the events seen so far.
pub(super) struct Accumulator<'a> {
    parameters: &'a RuleParameters,
    seconds: Vec<Second>,
    offered: HashMap<usize, OfferedRequest>,
    /// Requests sent, without repeats.
    requests: u64,
    attempts: u64,
    bands: Vec<Band>,
    latencies: Option<Histogram<u64>>,
    /// Connections opened, by node and second.
    connections: HashMap<(usize, usize), u64>,
    resources: ResourceUse,
}

impl<'a> Accumulator<'a> {
    pub(super) fn new(parameters: &'a RuleParameters) -> Self {
        let count = parameters.seconds.ceil().max(1.0) as usize;
        Accumulator {
            parameters,
            seconds: vec![Second::default(); count],
            offered: HashMap::new(),
            requests: 0,
            attempts: 0,
            bands: Vec::new(),
            // These bounds are valid: there always is a histogram.
            latencies: Histogram::new_with_bounds(1, MAX_LATENCY_US, LATENCY_DIGITS).ok(),
            connections: HashMap::new(),
            resources: ResourceUse::default(),
        }
    }

    /// Takes in an event.
    pub(super) fn observe(&mut self, t: Ms, event: &Event) {
        match event {
            // Repeats are there to be answered rightly; they have no weight.
            Event::RequestSent { request: n, class, repeats: None } => self.request_sent(t, *n, *class),
            Event::RequestEnded { request: n, outcome: end, .. } => self.request_over(t, *n, *end),
            Event::AttemptWritten { .. } => self.attempt_written(t),
            Event::ConnectionOpened { node, .. } => self.connection_opened(t, *node),
            Event::RunStarted { .. } => {
                if let Some(second) = self.second_mut(t) {
                    second.began += 1;
                }
            }
            Event::FaultInjected { text, until } => {
                self.bands.push(Band { text: text.clone(), from: t / 1000.0, until: until / 1000.0 });
            }
            Event::ResourceSample { node, memory_kb: rss_kb, descriptors: files, cpu_ms } => {
                self.resources.sampled(*node, *rss_kb, *files, *cpu_ms);
            }
            _ => {}
        }
    }

    /// The position of the second that a time falls into, if load was sent in it.
    fn second_of(&self, t: Ms) -> Option<usize> {
        let second = (t >= 0.0).then_some((t / 1000.0) as usize);
        second.filter(|second| *second < self.seconds.len())
    }

    fn second_mut(&mut self, t: Ms) -> Option<&mut Second> {
        let second = self.second_of(t)?;
        self.seconds.get_mut(second)
    }

    fn request_sent(&mut self, t: Ms, request: usize, class: usize) {
        self.requests += 1;
        self.offered.insert(request, OfferedRequest { sent_at: t, class });
        let weight = self.parameters.classes[class].weight;
        if let Some(second) = self.second_mut(t) {
            second.asked += 1;
            second.asked_worth += weight;
        }
    }

    fn request_over(&mut self, t: Ms, request: usize, end: RequestOutcome) {
        let Some(offered) = self.offered.get(&request).copied() else { return };
        match end {
            RequestOutcome::Served => self.request_served(t, offered, 1.0),
            RequestOutcome::Degraded => {
                let fraction = self.parameters.classes[offered.class].skip_weight;
                self.request_served(t, offered, fraction);
            }
            RequestOutcome::Rejected => {
                if let Some(second) = self.second_mut(offered.sent_at) {
                    second.refused += 1;
                }
            }
            RequestOutcome::Failed | RequestOutcome::TimedOut => {
                if let Some(second) = self.second_mut(offered.sent_at) {
                    second.failed += 1;
                }
            }
        }
    }

    /// Counts a request that was served, with this fraction of its weight.
    fn request_served(&mut self, t: Ms, offered: OfferedRequest, fraction: f64) {
        let parameters = self.parameters;
        let class = &parameters.classes[offered.class];
        let latency = t - offered.sent_at;
        let is_in_time = latency <= class.latency_objective;
        let Some(second) = self.second_mut(offered.sent_at) else { return };
        second.in_time += u64::from(is_in_time);
        second.late += u64::from(!is_in_time);
        second.served_worth += class.weight * fraction * if is_in_time { 1.0 } else { class.late_weight };
        if let Some(latencies) = &mut self.latencies {
            latencies.saturating_record((latency * 1000.0) as u64);
        }
    }

    fn attempt_written(&mut self, t: Ms) {
        self.attempts += 1;
        if let Some(second) = self.second_mut(t) {
            second.tries += 1;
        }
    }

    fn connection_opened(&mut self, t: Ms, node: usize) {
        let Some(second) = self.second_of(t) else { return };
        self.seconds[second].connected += 1;
        *self.connections.entry((node, second)).or_default() += 1;
    }

    fn sum(&self, of: fn(&Second) -> f64) -> f64 {
        self.seconds.iter().map(of).sum()
    }

    /// A latency in milliseconds that this fraction of the requests served does not exceed.
    fn latency_ms(&self, quantile: f64) -> f64 {
        let latencies = self.latencies.as_ref();
        latencies.map_or(0.0, |latencies| latencies.value_at_quantile(quantile) as f64 / 1000.0)
    }

    /// The fractions of requests that were served in time, served late, rejected and failed.
    fn outcome_fractions(&self) -> [f64; 4] {
        let sent = self.sum(|second| second.asked as f64);
        [
            ratio(self.sum(|second| second.in_time as f64), sent),
            ratio(self.sum(|second| second.late as f64), sent),
            ratio(self.sum(|second| second.refused as f64), sent),
            ratio(self.sum(|second| second.failed as f64), sent),
        ]
    }

    /// Connections opened a second: in the mean, at most, and at most with one node.
    fn connection_rates(&self) -> [f64; 3] {
        let busiest_second = self.seconds.iter().map(|second| second.connected).max().unwrap_or(0);
        let busiest_node = self.connections.values().max().copied().unwrap_or(0);
        let mean = self.sum(|second| second.connected as f64) / self.seconds.len() as f64;
        [mean, busiest_second as f64, busiest_node as f64]
    }

    /// The statistics of all that was seen.
    pub(super) fn finish(self) -> Statistics {
        let served_count = self.sum(|second| (second.in_time + second.late) as f64);
        let cpu_us = self.resources.total_cpu_ms as f64 * 1000.0;
        Statistics {
            asked: self.requests,
            served: ratio(self.sum(|second| second.served_worth), self.sum(|second| second.asked_worth)),
            worst_ten: worst(&self.seconds, WORST_STRETCH),
            parts: self.outcome_fractions(),
            throughput: served_count / self.parameters.seconds,
            median_ms: self.latency_ms(0.5),
            p99_ms: self.latency_ms(0.99),
            tries: ratio(self.attempts as f64, self.requests as f64),
            connected: self.connection_rates(),
            back: back(&self.seconds, &self.bands),
            most: [self.resources.most_memory_kb, self.resources.most_descriptors],
            cpu_us_a_try: ratio(cpu_us, self.attempts as f64),
            bands: self.bands,
            seconds: self.seconds,
        }
    }
}

impl ResourceUse {
    fn sampled(&mut self, node: usize, memory_kb: u64, descriptors: u64, cpu_ms: u64) {
        self.most_memory_kb = self.most_memory_kb.max(memory_kb);
        self.most_descriptors = self.most_descriptors.max(descriptors);
        let before = self.last_cpu_ms.insert(node, cpu_ms).unwrap_or(0);
        // A program that was restarted counts from 0.
        self.total_cpu_ms += if cpu_ms >= before { cpu_ms - before } else { cpu_ms };
    }
}

/// The quotient, or 0 where there is nothing to divide by.
fn ratio(value: f64, of: f64) -> f64 {
    if of > 0.0 {
        value / of
    } else {
        0.0
    }
}
