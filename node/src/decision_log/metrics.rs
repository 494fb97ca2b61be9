//! Counters of the decision log.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::metrics::Metric;

/// Counters that operators read.
#[derive(Debug, Default)]
pub(crate) struct DecisionLogMetrics {
    written: AtomicU64,
    dropped: AtomicU64,
    bytes: AtomicU64,
}

impl DecisionLogMetrics {
    /// All counters by the names that operators know.
    pub(crate) fn values(&self) -> Vec<Metric> {
        let counters = [
            ("records_written", &self.written),
            ("records_dropped", &self.dropped),
            ("records_bytes", &self.bytes),
        ];
        counters.map(|(name, counter)| Metric::new(name, counter.load(Ordering::Relaxed))).into()
    }

    /// A batch of records was written.
    pub(super) fn count_written(&self, records: usize, bytes: usize) {
        self.written.fetch_add(records as u64, Ordering::Relaxed);
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// A record was dropped.
    pub(super) fn count_dropped(&self) {
        self.dropped.fetch_add(1, Ordering::Relaxed);
    }
}
