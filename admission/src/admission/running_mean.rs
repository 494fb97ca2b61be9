//! A running mean: an exponential moving average whose first samples have equal weights.

/// Running mean of samples. Its first samples have equal weights; later samples have the weight passed with
/// them.
#[derive(Debug, Default, Clone)]
pub(crate) struct RunningMean {
    average: f64,
    samples: f64,
}

impl RunningMean {
    /// Creates a mean that starts as if `samples` samples with the value `average` had been added.
    pub(crate) fn assumed(average: f64, samples: f64) -> Self {
        RunningMean { average, samples }
    }

    /// Adds a sample; `weight` applies once there are at least `1 / weight` samples.
    pub(crate) fn add(&mut self, sample: f64, weight: f64) {
        self.samples += 1.0;
        self.average += weight.max(1.0 / self.samples) * (sample - self.average);
    }

    /// The mean; `None` without samples.
    pub(crate) fn get(&self) -> Option<f64> {
        (self.samples > 0.0).then_some(self.average)
    }

    /// The mean; 0 without samples.
    pub(crate) fn or_zero(&self) -> f64 {
        self.average
    }
}

#[cfg(test)]
mod tests;
