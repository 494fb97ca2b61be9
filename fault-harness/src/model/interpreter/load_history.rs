//! The load of an interpreter over time, for means over a sliding window.

use std::collections::VecDeque;

use crate::model::Ms;

/// A metric of the load that can be averaged.
#[derive(Debug, Clone, Copy)]
pub(super) enum LoadMetric {
    /// Number of runs that share the cores.
    Runs,
    /// Fraction of the cores that is busy.
    CpuBusy,
}

/// One number for each metric: either its value, or the integral of its value over time.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Load {
    pub(super) runs: f64,
    pub(super) cpu_busy: f64,
}

impl Load {
    fn of(&self, metric: LoadMetric) -> f64 {
        match metric {
            LoadMetric::Runs => self.runs,
            LoadMetric::CpuBusy => self.cpu_busy,
        }
    }
}

/// The values from `at` on, and the integrals of the values over all time before, in value times
/// milliseconds. With the integrals the mean over a window takes two look-ups, however many changes the
/// window holds.
#[derive(Debug, Clone, Copy)]
struct Sample {
    at: Ms,
    values: Load,
    integrals: Load,
}

impl Sample {
    /// The integral of a metric up to `until`, which must not be after the next sample.
    fn integral(&self, metric: LoadMetric, until: Ms) -> f64 {
        self.integrals.of(metric) + self.values.of(metric) * (until - self.at)
    }
}

/// Samples, oldest first; never empty.
#[derive(Debug, Clone)]
pub(super) struct LoadHistory(VecDeque<Sample>);

impl LoadHistory {
    /// Creates the history of an interpreter that starts now, without load.
    pub(super) fn new(now: Ms) -> LoadHistory {
        LoadHistory(VecDeque::from([Sample { at: now, values: Load::default(), integrals: Load::default() }]))
    }

    /// Records the values from now on, and removes the samples that no mean over `longest_window` needs.
    /// `longest_window` must be the longest window that [`LoadHistory::mean`] is called with.
    pub(super) fn record(&mut self, now: Ms, values: Load, longest_window: Ms) {
        let integrals = self.0.back().map_or(Load::default(), |last| Load {
            runs: last.integral(LoadMetric::Runs, now),
            cpu_busy: last.integral(LoadMetric::CpuBusy, now),
        });
        self.0.push_back(Sample { at: now, values, integrals });
        let oldest = now - longest_window;
        while self.0.get(1).is_some_and(|second| second.at <= oldest) {
            self.0.pop_front();
        }
    }

    /// The mean of a metric over the `window` that ends now.
    pub(super) fn mean(&self, now: Ms, window: Ms, metric: LoadMetric) -> f64 {
        (self.integral(metric, now) - self.integral(metric, now - window)) / window
    }

    fn integral(&self, metric: LoadMetric, until: Ms) -> f64 {
        let after = self.0.partition_point(|sample| sample.at <= until);
        // There was no load before the first sample.
        let sample = after.checked_sub(1).and_then(|position| self.0.get(position));
        sample.map_or(0.0, |sample| sample.integral(metric, until))
    }
}
