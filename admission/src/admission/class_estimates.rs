//! What is estimated of each class from its requests: the work of a run and the mean cost hint.
//!
//! Work is time on a core: time blocked on calls does not count, and only runs that succeed do.

use std::time::Duration;

use crate::admission::constants::MEAN_WEIGHT;
use crate::admission::quantities::RequestRate;
use crate::admission::requests::request::Request;
use crate::admission::running_mean::RunningMean;
use crate::admission::time::Span;

/// Bounds of a cost hint over the mean of its class: hints are rough, and one far off must not distort the estimates.
const MIN_RELATIVE_COST: f64 = 0.2;
const MAX_RELATIVE_COST: f64 = 5.0;
/// The least work of a run: a millisecond is about what a timer can tell.
const MIN_WORK: Span = Span::from_seconds(0.001);
/// The least mean work that the capacity is computed from. It bounds the capacity, and with it an increase of the
/// permitted rate, by a hundred requests a second for each core.
const MIN_MEAN_WORK: Span = Span::from_seconds(0.01);

/// Estimates of all classes, by their positions in the settings.
#[derive(Debug, Default)]
pub(crate) struct ClassEstimates {
    classes: Vec<ClassEstimate>,
}

/// Means over the requests of a class, in seconds.
#[derive(Debug, Default, Clone)]
struct ClassEstimate {
    cost_hint: RunningMean,
    work: RunningMean,
}

impl ClassEstimates {
    /// Nothing is known of so many classes.
    pub(crate) fn new(classes: usize) -> Self {
        ClassEstimates { classes: vec![ClassEstimate::default(); classes] }
    }

    /// Adds classes up to this number.
    pub(crate) fn resize(&mut self, classes: usize) {
        self.classes.resize(classes, ClassEstimate::default());
    }

    /// A run on a core for `time_on_core` has ended well.
    pub(crate) fn record_run(&mut self, request: &Request, time_on_core: Span) {
        let work = time_on_core.max(MIN_WORK) / request.relative_cost;
        self.classes[request.class].work.add(work.seconds(), MEAN_WEIGHT);
    }

    /// The cost hint of a new request over the mean of its class, within bounds; 1 without a hint.
    pub(crate) fn relative_cost(&mut self, class: usize, cost_hint: Option<Duration>) -> f64 {
        let hint = cost_hint.map_or(0.0, |hint| hint.as_secs_f64());
        if hint <= 0.0 {
            return 1.0;
        }
        let mean = &mut self.classes[class].cost_hint;
        mean.add(hint, MEAN_WEIGHT);
        (hint / mean.or_zero()).clamp(MIN_RELATIVE_COST, MAX_RELATIVE_COST)
    }

    /// The mean work of a run of this class, if it is known.
    pub(crate) fn mean_work(&self, class: usize) -> Option<Span> {
        self.classes[class].work.get().map(Span::from_seconds)
    }

    /// The work that a request is expected to need, if anything is known of its class.
    pub(crate) fn work_of(&self, request: &Request) -> Option<Span> {
        self.mean_work(request.class).map(|mean| mean * request.relative_cost)
    }

    /// Requests a second that the cores can run, by the mean work of the classes.
    pub(crate) fn capacity(&self, cores: f64) -> RequestRate {
        let known: Vec<f64> = self.classes.iter().filter_map(|class| class.work.get()).collect();
        let mean = known.iter().sum::<f64>() / known.len().max(1) as f64;
        RequestRate::per_second(cores / mean.max(MIN_MEAN_WORK.seconds()))
    }
}

#[cfg(test)]
mod tests;
