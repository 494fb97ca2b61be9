//! Counters of the result store.

use std::sync::atomic::{AtomicU64, Ordering};

use super::recovery::Damage;
use crate::metrics::Metric;

/// Counters that operators read; the writer thread updates them.
#[derive(Debug, Default)]
pub(crate) struct StoreMetrics {
    /// Keys that are remembered.
    keys: AtomicU64,
    /// Bytes of all segments.
    bytes: AtomicU64,
    /// Records that are durable.
    written: AtomicU64,
    /// Records that could not be stored.
    rejected: AtomicU64,
    /// Waits for the disk.
    syncs: AtomicU64,
    /// Records that were damaged or missing when the store was opened.
    damaged: AtomicU64,
    /// Bytes that belonged to no record when the store was opened.
    unrecognized_bytes: AtomicU64,
}

impl StoreMetrics {
    /// All counters by the names that operators know.
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

    /// Records what was damaged when the store was opened.
    pub(super) fn set_damage(&self, damage: Damage) {
        self.damaged.store(damage.unreadable + damage.missing, Ordering::Relaxed);
        self.unrecognized_bytes.store(damage.unrecognized_bytes, Ordering::Relaxed);
    }

    /// Records the size of the store.
    pub(super) fn set_size(&self, keys: usize, bytes: u64) {
        self.keys.store(keys as u64, Ordering::Relaxed);
        self.bytes.store(bytes, Ordering::Relaxed);
    }

    /// One more wait for the disk.
    pub(super) fn count_sync(&self) {
        self.syncs.fetch_add(1, Ordering::Relaxed);
    }

    /// A batch of records was written as far as it could be.
    pub(super) fn count_batch(&self, written: u64, rejected: u64) {
        self.written.fetch_add(written, Ordering::Relaxed);
        self.rejected.fetch_add(rejected, Ordering::Relaxed);
    }
}
