//! Counters of the result store.

use std::sync::atomic::{AtomicU64, Ordering};

use super::recovery::Damage;
use crate::metrics::Metric;

/// Counters and gauges of the result store. The gauges show the state after the last batch of records.
#[derive(Debug, Default)]
pub(crate) struct StoreMetrics {
    /// Gauge: keys that are remembered.
    keys: AtomicU64,
    /// Gauge: bytes of all segments.
    bytes: AtomicU64,
    /// Records that were written durably.
    written: AtomicU64,
    /// Records that were not stored: the queue or the store was full, or the disk failed.
    rejected: AtomicU64,
    /// Batches, each of which takes one sync of the disk.
    syncs: AtomicU64,
    /// Records that were damaged or missing when the store was opened.
    damaged: AtomicU64,
    /// Bytes that were part of no record when the store was opened.
    unrecognized_bytes: AtomicU64,
}

impl StoreMetrics {
    /// All values under their public metric names.
    pub(crate) fn values(&self) -> Vec<Metric> {
        let counters = [
            ("remembered_keys", &self.keys),
            ("remembered_bytes", &self.bytes),
            ("remembered_written", &self.written),
            ("remembered_refused", &self.rejected),
            ("remembered_syncs", &self.syncs),
            ("remembered_damaged", &self.damaged),
            ("remembered_noise_bytes", &self.unrecognized_bytes),
        ];
        counters.map(|(name, counter)| Metric::new(name, counter.load(Ordering::Relaxed))).into()
    }

    /// Sets the damage that was found when the store was opened.
    pub(super) fn set_damage(&self, damage: Damage) {
        self.damaged.store(damage.unreadable + damage.missing, Ordering::Relaxed);
        self.unrecognized_bytes.store(damage.unrecognized_bytes, Ordering::Relaxed);
    }

    /// Sets the number of keys and the bytes of the store.
    pub(super) fn set_size(&self, keys: usize, bytes: u64) {
        self.keys.store(keys as u64, Ordering::Relaxed);
        self.bytes.store(bytes, Ordering::Relaxed);
    }

    /// Counts one sync of the disk.
    pub(super) fn count_sync(&self) {
        self.syncs.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the records of a batch that were written and those that were not.
    pub(super) fn count_batch(&self, written: u64, rejected: u64) {
        self.written.fetch_add(written, Ordering::Relaxed);
        self.rejected.fetch_add(rejected, Ordering::Relaxed);
    }
}
