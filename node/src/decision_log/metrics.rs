//! Counters of the decision log.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::metrics::Metric;

/// Counters of the decision log since the process started.
#[derive(Debug, Default)]
pub(crate) struct DecisionLogMetrics {
    written: AtomicU64,
    dropped: AtomicU64,
    bytes: AtomicU64,
}

impl DecisionLogMetrics {
    /// All counters under their public metric names.
    pub(crate) fn values(&self) -> Vec<Metric> {
        let counters = [
            ("records_written", &self.written),
            ("records_dropped", &self.dropped),
            ("records_bytes", &self.bytes),
        ];
        counters.map(|(name, counter)| Metric::new(name, counter.load(Ordering::Relaxed))).into()
    }

    /// Counts a batch of written records and its length in bytes.
    pub(super) fn count_written(&self, records: usize, bytes: usize) {
        self.written.fetch_add(records as u64, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts a record that was dropped because it could not be queued.
    pub(super) fn count_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }
}
