//! The durable votes of this node: opens the vote store, restores the votes of the previous process and
//! checks whether they are complete.
//!
//! Votes are stored in a journal of the result store's format, each as the result of its key.

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

/// Delay between attempts to open a vote store that the predecessor of this process still has open.
const OPEN_RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// How long opening is retried before the node continues without the vote store.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Placeholder for the body digest of the record, as votes contain the digest themselves.
const NO_BODY_DIGEST: BodyDigest = BodyDigest(0);

/// An opened vote store with the votes that were restored from it.
pub(crate) struct OpenVoteStore {
    /// The journal to which votes are written.
    pub(crate) store: ResultStore,
    /// The votes of the previous process; none if they are damaged or incomplete.
    pub(crate) restored: Option<RestoredState>,
}

/// Opens the vote store; none if the configuration names no folder for it.
///
/// # Errors
///
/// If the folder or its files cannot be opened.
pub(crate) fn open(config: &FleetConfig) -> Result<Option<OpenVoteStore>, StoreError> {
    let Some(store_config) = config.vote_store.clone() else { return Ok(None) };
    let mut marker = CompletenessMarker::new(&store_config.folder, true);
    let mut store = ResultStore::closed(store_config, config.membership.window() + LATE_READ_GRACE);
    let recovered = store.open()?;
    let position = marker.read();
    let restored = position.zip(decode_votes(&recovered, clock::now()));
    let restored = restored.map(|(position, records)| RestoredState { records, position });
    if restored.is_none() && position.is_some() {
        log!("fleet: vote store damaged or incomplete, its votes are treated as lost");
        // Without this, the next start would rely on votes that this one has discarded.
        marker.invalidate();
    }
    Ok(Some(OpenVoteStore { store, restored }))
}

/// Opens the vote store, retrying while another process of this node may still have it open.
pub(crate) async fn open_with_retries(config: &FleetConfig) -> Option<OpenVoteStore> {
    let give_up_at = clock::now() + OPEN_TIMEOUT;
    loop {
        match open(config) {
            Ok(opened) => return opened,
            Err(error) if clock::now() >= give_up_at => {
                log!("fleet: vote store not opened, continuing without it: error={error}");
                return None;
            }
            Err(_) => clock::until(clock::now() + OPEN_RETRY_INTERVAL).await,
        }
    }
}

/// Decodes all recovered votes; none if anything in the store was damaged or the clock has been set back.
fn decode_votes(recovered: &RecoveredState, now: UnixTime) -> Option<Vec<StoredRecord>> {
    if recovered.damage != Damage::default() || !recovered.clock_setback.is_zero() {
        return None;
    }
    recovered.keys.iter().map(|record| decode_vote(record, now)).collect()
}

/// Decodes the vote in a record. Its retention is what remains at `now`.
fn decode_vote(record: &IdempotencyRecord, now: UnixTime) -> Option<StoredRecord> {
    let RunState::Succeeded(bytes) = &record.state else { return None };
    let stored: StoredRecord = postcard::from_bytes(bytes).ok()?;
    let retain_ms = clock::millis(record.expires_at.saturating_sub(now));
    let record = ReplicaRecord { retain_ms, ..stored.record };
    Some(StoredRecord { record, ..stored })
}

/// Encodes the vote on a key and the key's runs as a record. Without them, the record marks the key as free.
pub(super) fn vote_record(key: Bytes, stored: Option<&StoredRecord>) -> Record {
    let now = clock::now();
    let Some(stored) = stored else {
        return Record::new(key, NO_BODY_DIGEST, now, RecordState::NeverStarted, Bytes::new());
    };
    // Serialization to memory does not fail for any record.
    let bytes = postcard::to_allocvec(stored).unwrap_or_default();
    let expires_at = now + Duration::from_millis(stored.record.retain_ms);
    Record::new(key, NO_BODY_DIGEST, expires_at, RecordState::Succeeded, bytes.into())
}

#[cfg(test)]
mod tests;
