//! A running mean (exponential moving average) whose first samples count alike.

/// A running mean: the first samples have equal weights, later ones the weight that they are added with.
#[derive(Debug, Default, Clone)]
pub(crate) struct RunningMean {
    average: f64,
    samples: f64,
}

impl RunningMean {
    /// A mean that counts as taken over so many samples of this value.
    pub(crate) fn assumed(average: f64, samples: f64) -> Self {
        RunningMean { average, samples }
    }

    /// Adds a sample; `weight` is its weight once there are enough samples.
    pub(crate) fn add(&mut self, sample: f64, weight: f64) {
        self.samples += 1.0;
        self.average += weight.max(1.0 / self.samples) * (sample - self.average);
    }

    /// The mean, unless there is no sample yet.
    pub(crate) fn get(&self) -> Option<f64> {
        (self.samples > 0.0).then_some(self.average)
    }

    /// The mean; 0 if there is no sample yet.
    pub(crate) fn or_zero(&self) -> f64 {
        self.average
    }
}

#[cfg(test)]
mod tests;
