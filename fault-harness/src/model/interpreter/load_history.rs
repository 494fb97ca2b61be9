//! The concurrency of an interpreter over time, for means over the last while.

use std::collections::VecDeque;

use crate::model::Ms;

/// What is averaged.
#[derive(Debug, Clone, Copy)]
pub(super) enum Gauge {
    /// Runs on the cores.
    Runs,
    /// The fraction of the cores that is busy.
    Busy,
}

/// The values from `at` on, and the sums of both over all time before. The sums make a mean over a stretch cheap, however
/// much happened in it.
#[derive(Debug, Clone, Copy)]
struct Reading {
    at: Ms,
    values: [f64; 2],
    sums: [f64; 2],
}

impl Reading {
    fn sum(&self, gauge: Gauge, until: Ms) -> f64 {
        self.sums[gauge as usize] + self.values[gauge as usize] * (until - self.at)
    }
}

/// Readings, oldest first; there always is one.
#[derive(Debug, Clone)]
pub(super) struct LoadHistory(VecDeque<Reading>);

impl LoadHistory {
    /// The history of an interpreter that starts now, with nothing on it.
    pub(super) fn new(now: Ms) -> LoadHistory {
        LoadHistory(VecDeque::from([Reading { at: now, values: [0.0; 2], sums: [0.0; 2] }]))
    }

    /// Notes the values from now on, and forgets readings that no mean over this span needs.
    pub(super) fn record(&mut self, now: Ms, runs: f64, busy: f64, span: Ms) {
        let last = self.0.back();
        let sums = last.map_or([0.0; 2], |last| [Gauge::Runs, Gauge::Busy].map(|gauge| last.sum(gauge, now)));
        self.0.push_back(Reading { at: now, values: [runs, busy], sums });
        let oldest = now - span;
        while self.0.get(1).is_some_and(|second| second.at <= oldest) {
            self.0.pop_front();
        }
    }

    /// The mean of a gauge over the span before now.
    pub(super) fn mean(&self, now: Ms, span: Ms, gauge: Gauge) -> f64 {
        (self.sum(gauge, now) - self.sum(gauge, now - span)) / span
    }

    fn sum(&self, gauge: Gauge, until: Ms) -> f64 {
        let after = self.0.partition_point(|reading| reading.at <= until);
        // Before the first reading there was nothing.
        let reading = after.checked_sub(1).and_then(|position| self.0.get(position));
        reading.map_or(0.0, |reading| reading.sum(gauge, until))
    }
}
