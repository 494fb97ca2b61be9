//! Transfer of a table between nodes: reading pages of the keys that a requester is a replica of, and merging
//! the records of donors.

use std::collections::BTreeMap;
use std::time::Duration;

use super::entry::ENTRY_OVERHEAD_BYTES;
use super::voting::with_storable_result;
use super::{MergeOutcome, ReplicaTable, StoredRecord};
use crate::ids::NodeId;
use crate::membership::active_configs::ActiveConfigs;
use crate::message::{Page, ReplicaRecord, TablePosition};
use crate::replication::key_state::{Key, KeyState};
use crate::{Time, MAX_RESULT_BYTES};

/// Maximum number of started claims that are taken from one record. Further ones are dropped and reported in
/// [`MergeOutcome::dropped`].
const MAX_STARTED_PER_KEY: usize = 16;
/// Page size in bytes above which no further record is added. The last record may exceed it.
const PAGE_BYTES_SOFT_LIMIT: usize = 64 * 1024;
/// Maximum number of entries that are read for a page, including those that the requester is no replica of.
const MAX_ENTRIES_PER_PAGE: usize = 512;
/// Estimated size of an encoded record without its key and result, as a fraction of the entry's overhead in
/// memory.
const RECORD_OVERHEAD_BYTES: usize = ENTRY_OVERHEAD_BYTES / 4;

/// A page, and the cost of reading it.
#[derive(Debug)]
pub struct PageRead {
    /// The page to send to the requester.
    pub page: Page,
    /// The number of entries that were read for it.
    pub entries_read: usize,
}

impl ReplicaTable {
    /// Reads a page of the keys that the requester is a replica of, in descending order of expiry.
    pub fn page(
        &self,
        now: Time,
        requester: NodeId,
        round: u32,
        from: Option<&TablePosition>,
        configs: &ActiveConfigs,
    ) -> PageRead {
        let mut records = Vec::new();
        let (mut page_bytes, mut entries_read) = (0, 0);
        let mut last_read = None;
        for (window_ends_at, key) in self.entries_before(from) {
            if page_bytes > PAGE_BYTES_SOFT_LIMIT || entries_read >= MAX_ENTRIES_PER_PAGE {
                break;
            }
            entries_read += 1;
            last_read = Some((window_ends_at, key));
            let is_replica = configs.iter().any(|config| config.replicas_of(key).contains(&requester));
            let Some(entry) = self.entries.get(key).filter(|_| is_replica) else { continue };
            page_bytes += RECORD_OVERHEAD_BYTES + key.len() + entry.state.result_size();
            records.push(entry.record(key, now));
        }
        let is_truncated = page_bytes > PAGE_BYTES_SOFT_LIMIT || entries_read >= MAX_ENTRIES_PER_PAGE;
        let next = last_read
            .filter(|_| is_truncated)
            .map(|(window_ends_at, key)| self.position(*window_ends_at, key));
        let page = Page { round, records, next, completeness: self.completeness(configs) };
        PageRead { page, entries_read }
    }

    /// Returns the entries that follow the position in paging order, i.e. in descending order of expiry.
    fn entries_before(&self, from: Option<&TablePosition>) -> impl Iterator<Item = &(Time, Key)> {
        // A position of another incarnation of this table is invalid, so paging restarts at the first entry.
        let from = from.filter(|from| from.incarnation == self.incarnation);
        let end = from.map(|from| (Duration::from_nanos(from.expires_ns), from.key.clone()));
        let range = match end {
            Some(end) => self.by_window_end.range(..end),
            None => self.by_window_end.range(..),
        };
        range.rev()
    }

    fn position(&self, window_ends_at: Time, key: &Key) -> TablePosition {
        let expires_ns = u64::try_from(window_ends_at.as_nanos()).unwrap_or(u64::MAX);
        TablePosition { incarnation: self.incarnation, expires_ns, key: key.clone() }
    }

    /// Merges the records of a donor into the table. A new key is dropped if there is no capacity for it.
    pub fn merge_records(&mut self, now: Time, records: Vec<ReplicaRecord>) -> MergeOutcome {
        let mut outcome = MergeOutcome::default();
        for ReplicaRecord { key, retain_ms, started, completed } in records {
            outcome.dropped |= started.len() > MAX_STARTED_PER_KEY;
            let result_bytes = completed.as_ref().map_or(MAX_RESULT_BYTES, |run| run.result.size());
            if !self.entries.contains_key(&key) && self.is_full(&key, result_bytes) {
                outcome.dropped = true;
                continue;
            }
            let started: BTreeMap<_, _> = started.into_iter().take(MAX_STARTED_PER_KEY).collect();
            let state = KeyState { started, completed: completed.map(with_storable_result) };
            let window_ends_at = now + Duration::from_millis(retain_ms);
            let conflict = self.update(&key, window_ends_at, |entry| entry.state.merge(state));
            outcome.conflicts.extend(conflict);
        }
        outcome
    }

    /// Restores the records that this node stored on disk in its last incarnation.
    pub fn restore(&mut self, now: Time, records: Vec<StoredRecord>) {
        for StoredRecord { vote, record } in records {
            let key = record.key.clone();
            // There was capacity for the record when it was stored, so the outcome is not checked.
            self.merge_records(now, vec![record]);
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.vote = vote;
            }
        }
    }
}
