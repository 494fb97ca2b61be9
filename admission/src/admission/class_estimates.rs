//! Estimates of each class from its requests: the work of a run and the mean cost hint.
//!
//! Work is time on a core: time blocked on calls does not count, and only successful runs are included.

use std::time::Duration;

use crate::admission::constants::MEAN_WEIGHT;
use crate::admission::quantities::RequestRate;
use crate::admission::requests::request::Request;
use crate::admission::running_mean::RunningMean;
use crate::admission::time::Span;

/// Bounds of the ratio of a cost hint to the mean of its class. Hints are rough, and an outlier must not
/// distort the estimates.
const MIN_RELATIVE_COST: f64 = 0.2;
const MAX_RELATIVE_COST: f64 = 5.0;
/// Minimum work recorded for a run: one millisecond, about the resolution of a timer.
const MIN_WORK: Span = Span::from_seconds(0.001);
/// Minimum mean work from which the capacity is computed. It bounds the capacity at a hundred requests per
/// second per core, and thereby each increase of the permitted rate.
const MIN_MEAN_WORK: Span = Span::from_seconds(0.01);

/// Estimates of all classes, indexed by their positions in the settings.
#[derive(Debug, Default)]
pub(crate) struct ClassEstimates {
    classes: Vec<ClassEstimate>,
}

/// Means over the requests of one class, in seconds.
#[derive(Debug, Default, Clone)]
struct ClassEstimate {
    cost_hint: RunningMean,
    work: RunningMean,
}

impl ClassEstimates {
    /// Creates estimates for this number of classes, without any samples.
    pub(crate) fn new(classes: usize) -> Self {
        ClassEstimates { classes: vec![ClassEstimate::default(); classes] }
    }

    /// Extends the estimates to this number of classes.
    pub(crate) fn resize(&mut self, classes: usize) {
        self.classes.resize(classes, ClassEstimate::default());
    }

    /// Records a successful run of `request` that spent `time_on_core` on a core.
    pub(crate) fn record_run(&mut self, request: &Request, time_on_core: Span) {
        let work = time_on_core.max(MIN_WORK) / request.relative_cost;
        self.classes[request.class].work.add(work.seconds(), MEAN_WEIGHT);
    }

    /// Ratio of the cost hint of a new request to the mean of its class, within bounds; 1 without a hint. The
    /// hint is added to the mean first.
    pub(crate) fn relative_cost(&mut self, class: usize, cost_hint: Option<Duration>) -> f64 {
        let hint = cost_hint.map_or(0.0, |hint| hint.as_secs_f64());
        if hint <= 0.0 {
            return 1.0;
        }
        let mean = &mut self.classes[class].cost_hint;
        mean.add(hint, MEAN_WEIGHT);
        (hint / mean.or_zero()).clamp(MIN_RELATIVE_COST, MAX_RELATIVE_COST)
    }

    /// Mean work of a run of this class; `None` until a run has succeeded.
    pub(crate) fn mean_work(&self, class: usize) -> Option<Span> {
        self.classes[class].work.get().map(Span::from_seconds)
    }

    /// Expected work of a request; `None` until a run of its class has succeeded.
    pub(crate) fn work_of(&self, request: &Request) -> Option<Span> {
        self.mean_work(request.class).map(|mean| mean * request.relative_cost)
    }

    /// Requests per second that `cores` cores can run, estimated from the mean work of the classes.
    pub(crate) fn capacity(&self, cores: f64) -> RequestRate {
        let known: Vec<f64> = self.classes.iter().filter_map(|class| class.work.get()).collect();
        let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
        RequestRate::per_second(cores / mean.max(MIN_MEAN_WORK.seconds()))
    }
}

#[cfg(test)]
mod tests;
