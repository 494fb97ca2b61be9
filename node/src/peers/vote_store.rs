//! The durable votes of this node: what the last process left in the folder, and whether that can be relied on.
//!
//! Votes are kept by the journal of the result store, as results of their keys.

use std::time::Duration;

use bytes::Bytes;
use oakwind_fleet::message::ReplicaRecord;
use oakwind_fleet::replica_node::RestoredState;
use oakwind_fleet::replication::replica_table::StoredRecord;
use oakwind_fleet::LATE_READ_GRACE;

use super::completeness_marker::CompletenessMarker;
use crate::clock::{self, UnixTime};
use crate::config::FleetConfig;
use crate::log;
use crate::outcome::{BodyDigest, IdempotencyRecord, RunState};
use crate::result_store::record::{Record, RecordState};
use crate::result_store::recovery::{Damage, RecoveredState};
use crate::result_store::{ResultStore, StoreError};

/// Between two attempts to open a folder that the predecessor of this process still has open.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// How long such a folder is waited for.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Votes carry the digest of the body themselves.
const NO_BODY_DIGEST: BodyDigest = BodyDigest(0);

/// An open folder.
pub(crate) struct OpenVoteStore {
    /// The store.
    pub(crate) store: ResultStore,
    /// What the last process left, if that can be relied on.
    pub(crate) restored: Option<RestoredState>,
}

/// Opens the folder of votes; none if the configuration names no folder.
///
/// # Errors
///
/// If the folder cannot be used.
pub(crate) fn open(config: &FleetConfig) -> Result<Option<OpenVoteStore>, StoreError> {
    let Some(store_config) = config.vote_store.clone() else { return Ok(None) };
    let mut marker = CompletenessMarker::new(&store_config.folder, true);
    let mut store = ResultStore::closed(store_config, config.membership.window() + LATE_READ_GRACE);
    let recovered = store.open()?;
    let position = marker.read();
    let restored = position.zip(decode_votes(&recovered, clock::now()));
    let restored = restored.map(|(position, records)| RestoredState { records, position });
    if restored.is_none() && position.is_some() {
        log!("fleet: the vote store is damaged or incomplete and counts as lost");
        // Otherwise the next start would rely on what this one does not.
        marker.invalidate();
    }
    Ok(Some(OpenVoteStore { store, restored }))
}

/// Opens a folder that another process of this node may have open for a moment more.
pub(crate) async fn open_with_retries(config: &FleetConfig) -> Option<OpenVoteStore> {
    let give_up_at = clock::now() + OPEN_TIMEOUT;
    loop {
        match open(config) {
            Ok(opened) => return opened,
            Err(error) if clock::now() >= give_up_at => {
                log!("fleet: vote store not opened: error={error}");
                return None;
            }
            Err(_) => clock::until(clock::now() + OPEN_RETRY_INTERVAL).await,
        }
    }
}

/// All votes of a folder; none if anything in it was damaged, or is from the future.
fn decode_votes(recovered: &RecoveredState, now: UnixTime) -> Option<Vec<StoredRecord>> {
    if recovered.damage != Damage::default() || !recovered.clock_setback.is_zero() {
        return None;
    }
    recovered.keys.iter().map(|record| decode_vote(record, now)).collect()
}

/// The vote in a record of the folder, with what is left of its time at `now`.
fn decode_vote(record: &IdempotencyRecord, now: UnixTime) -> Option<StoredRecord> {
    let RunState::Succeeded(bytes) = &record.state else { return None };
    let stored: StoredRecord = postcard::from_bytes(bytes).ok()?;
    let retain_ms = clock::millis(record.expires_at.saturating_sub(now));
    let record = ReplicaRecord { retain_ms, ..stored.record };
    Some(StoredRecord { record, ..stored })
}

/// The record that stores what is known of a key; one that frees the key if nothing is known.
pub(super) fn vote_record(key: Bytes, stored: Option<&StoredRecord>) -> Record {
    let now = clock::now();
    let Some(stored) = stored else {
        return Record::new(key, NO_BODY_DIGEST, now, RecordState::NeverStarted, Bytes::new());
    };
    // Every record can be serialized.
    let bytes = postcard::to_allocvec(stored).unwrap_or_default();
    let expires_at = now + Duration::from_millis(stored.record.retain_ms);
    Record::new(key, NO_BODY_DIGEST, expires_at, RecordState::Succeeded, bytes.into())
}

#[cfg(test)]
mod tests;
