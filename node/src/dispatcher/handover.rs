//! The dispatcher's part in an upgrade in place: the state that it receives from the predecessor process and
//! the state that it transfers to its successor. `crate::handover` is the link between the two processes.
//!
//! No request with a key runs twice while both processes run: once the predecessor has transferred its table,
//! it fails attempts whose keys are not in it, as the successor may have run them; the successor buffers attempts
//! with keys until it has received the table.

use std::time::Duration;

use oakwind_admission::RequestId;
use tokio::sync::mpsc;

use super::attempts::{Phase, TIMEOUT_MARGIN};
use super::handover_progress::{HandoverStage, Successor, STOP_MARGIN};
use super::idempotency::{AssignedKey, ImportedOutcome};
use super::Dispatcher;
use crate::clock::{self, UnixTime};
use crate::exchange::{DispatcherEvent, HandoverState, Submission};
use crate::log;
use crate::outcome::{Completion, IdempotencyRecord, RequestOutcome, RunState, StoredOutcome};
use crate::result_store::KeySource;
use crate::run_gate::KeyedRun;

/// Delay between directing clients to the successor and transferring the idempotency table. Requests that
/// clients send before they learn of the successor still run here.
const TRANSFER_DELAY: Duration = Duration::from_millis(100);

/// This process as the predecessor: it transfers its state.
impl Dispatcher {
    /// Registers a successor that can't serve yet. This process serves on, and does not end by itself before
    /// the successor has its table.
    pub(super) fn successor_stands_by(&mut self, updates: mpsc::Sender<HandoverState>) {
        self.handover.successor = Some(Successor::new(updates, HandoverStage::Standby));
    }

    /// When a successor on standby gets the table: at the end of the drain's grace period, after which no new key
    /// runs here. `None` without a shutdown notice.
    pub(super) fn standby_transfer_at(&self) -> Option<UnixTime> {
        let grace_end = self.grace_ends_at()?;
        Some(grace_end.min(self.stops_at()?.saturating_sub(STOP_MARGIN)))
    }

    /// Starts a handover: clients are directed to the successor, and the table follows after [`TRANSFER_DELAY`],
    /// unless this successor got it while it stood by.
    pub(super) fn begin_handover(&mut self, updates: mpsc::Sender<HandoverState>) {
        let has_table = self.handover.successor.as_ref().is_some_and(|successor| {
            successor.stage == HandoverStage::Transferred && successor.receives_from(&updates)
        });
        if !has_table {
            let delayed = clock::now() + TRANSFER_DELAY;
            let transfer_at = self.standby_transfer_at().map_or(delayed, |at| at.min(delayed));
            self.handover.successor =
                Some(Successor::new(updates, HandoverStage::TakingOver { transfer_at }));
        }
        self.update_status(|status| status.handed_over = true);
    }

    /// Called when the successor process has ended: this process takes back the stores of keys and results, if
    /// it has released them, and continues to serve, unless it is draining.
    pub(super) fn successor_lost(&mut self) {
        self.handover.successor = None;
        if std::mem::take(&mut self.handover.stores_released) {
            self.acquire_stores_and_keys();
        }
        self.update_status(|status| {
            // A draining process still directs its clients to other nodes.
            if status.draining.is_none() {
                status.handed_over = false;
            }
        });
    }

    /// Whether the idempotency table has been transferred, so that no key may be added here.
    pub(super) fn state_is_transferred(&self) -> bool {
        let successor = self.handover.successor.as_ref();
        successor.is_some_and(|successor| successor.stage == HandoverStage::Transferred)
    }

    /// Transfers the idempotency table to the successor when that is due.
    pub(super) fn transfer_state(&mut self, now: UnixTime) {
        let transfer_at = self.handover.transfer_at(self.standby_transfer_at());
        if transfer_at.is_none_or(|at| now < at) {
            return;
        }
        let Some(successor) = &mut self.handover.successor else { return };
        successor.stage = HandoverStage::Transferred;
        self.release_stores();
        let lost_keys_expire_at = self.handover.lost_keys_expire_at;
        self.send_to_successor(HandoverState { lost_keys_expire_at, ..self.idempotency.snapshot() });
    }

    /// Releases the stores to the successor. Queued attempts may still run here, so their keys are stored as started.
    fn release_stores(&mut self) {
        let queued = self.attempts.iter().filter(|attempt| attempt.phase == Phase::Queued);
        let runs: Vec<KeyedRun> = queued.filter_map(|attempt| self.keyed_run(attempt.id)).collect();
        self.run_gate.release_stores(&runs);
        self.handover.stores_released = true;
    }

    /// Reports the state of a run to the successor, if the attempt holds a key.
    pub(super) fn report_to_successor(&mut self, id: RequestId, state: RunState) {
        if !self.state_is_transferred() {
            return;
        }
        let Some(AssignedKey { key, body_digest, expires_at }) = self.idempotency.assigned_key(id) else {
            return;
        };
        let record = IdempotencyRecord { key, body_digest, expires_at, state };
        // The successor reads everything else only from the full table.
        self.send_to_successor(HandoverState { records: vec![record], ..HandoverState::default() });
    }

    fn send_to_successor(&mut self, state: HandoverState) {
        if let Some(successor) = &mut self.handover.successor {
            successor.send(state);
        }
    }
}

/// This process as the successor: it receives the predecessor's state.
impl Dispatcher {
    /// Imports the predecessor's records: its whole table first, then the outcomes of its runs as they end.
    pub(super) fn receive_state(&mut self, state: HandoverState) {
        let is_full_table = self.handover.awaiting_keys_from == Some(KeySource::Predecessor);
        if is_full_table {
            self.idempotency.set_digest_seed(state.digest_seed);
            log!("handover: table received from the predecessor: keys={}", state.records.len());
            self.handover.register_lost_keys(state.lost_keys_expire_at);
        }
        for record in state.records {
            if is_full_table {
                // The predecessor has stored these records already.
                self.import_record(record);
            } else if let Some(holder) = self.start_storing(&record) {
                self.handover.storing.insert(holder, record);
            } else {
                self.import_and_store_record(record);
            }
        }
        if is_full_table {
            self.run_gate.acquire_stores(KeySource::Predecessor);
            self.end_wait_for_keys(KeySource::Predecessor);
        }
    }

    /// Starts storing the outcome of a predecessor's run, which must be stored before it is given to any
    /// client. Returns the holder of the key if the run gate will report the end of storing as an event, or
    /// `None` if there is nothing to wait for.
    fn start_storing(&mut self, record: &IdempotencyRecord) -> Option<RequestId> {
        if !self.run_gate.is_durable() {
            return None;
        }
        let outcome = StoredOutcome::from_run_state(record.state.clone())?;
        let holder = self.idempotency.holder(&record.key)?;
        let run = self.keyed_run(holder)?;
        self.run_gate.predecessor_run_completed(run, &outcome).then_some(holder)
    }

    /// Imports a predecessor's record once the store has accepted or refused its outcome; if refused, the run
    /// counts as failed. Returns false if no outcome of a predecessor's run is being stored for `holder`.
    pub(super) fn finish_storing(&mut self, holder: RequestId, completion: &Completion) -> bool {
        let Some(mut record) = self.handover.storing.remove(&holder) else { return false };
        if !matches!(completion, Completion::Succeeded(_)) {
            record.state = RunState::Failed;
        }
        self.import_record(record);
        true
    }

    /// Adds a predecessor's record to the idempotency table and completes the attempts that waited for its outcome.
    fn import_record(&mut self, record: IdempotencyRecord) {
        if let Some(imported) = self.insert_record(record) {
            self.complete_waiters(imported.waiters, &imported.outcome);
        }
    }

    /// Does the same as [`Self::import_record`], and stores the outcome if the record has one.
    fn import_and_store_record(&mut self, record: IdempotencyRecord) {
        let key = record.key.clone();
        let Some(imported) = self.insert_record(record) else { return };
        if let Some(holder) = self.idempotency.holder(&key) {
            self.store_outcome(holder, &imported.outcome);
        }
        self.complete_waiters(imported.waiters, &imported.outcome);
    }

    /// Inserts a record into the idempotency table. Returns the outcome and the attempts that waited for it,
    /// if the record completes a run of an earlier process.
    fn insert_record(&mut self, record: IdempotencyRecord) -> Option<ImportedOutcome> {
        let id = self.attempts.allocate_id();
        self.idempotency.import(record, id)
    }

    /// Imports the state that the stores kept from earlier processes. Runs without an outcome count as
    /// failed. Attempts that waited for an outcome in these records are not completed here.
    pub(super) fn import_recovered(&mut self, recovered: HandoverState) {
        // Keys that are in the table already have digests by the seed of the process that sent them, which is the
        // store's too.
        if self.idempotency.is_empty() {
            self.idempotency.set_digest_seed(recovered.digest_seed);
        }
        for record in recovered.records {
            self.insert_record(record);
        }
        self.import_pending_records();
        self.fail_unfinished_earlier_runs();
    }

    /// Acquires the stores after another process of this node has ended without transferring its keys. Attempts with
    /// keys are buffered until the keys in the result store, if there is one, have been recovered.
    fn acquire_stores_and_keys(&mut self) {
        self.run_gate.acquire_stores(KeySource::Store);
        if self.run_gate.has_store() {
            self.handover.awaiting_keys_from = Some(KeySource::Store);
            self.update_status(|status| status.awaiting_state = true);
        }
    }

    /// Imports the state of the store after another process of this node has ended without transferring its keys.
    pub(super) fn store_recovered(&mut self, recovered: HandoverState) {
        self.import_recovered(recovered);
        self.end_wait_for_keys(KeySource::Store);
    }

    /// Handles a store that can't be opened. If the keys of another process were to be read from it, they are lost.
    pub(super) fn store_unavailable(&mut self) {
        if self.handover.awaiting_keys_from == Some(KeySource::Store) {
            let window = self.register_lost_keys();
            log!(
                "handover: keys in the result store can't be read, keyed requests fail until they have expired: window_ms={}",
                window.as_millis()
            );
        }
        self.end_wait_for_keys(KeySource::Store);
    }

    /// Handles the end of the handover: the predecessor sends no more records. If its table never came, its keys
    /// are read from the result store. Without a store they are lost.
    pub(super) fn predecessor_done(&mut self) {
        let table_missing = self.handover.awaiting_keys_from == Some(KeySource::Predecessor);
        if table_missing && self.run_gate.has_store() {
            log!("handover: no table came from the predecessor, its keys are read from the result store");
            self.acquire_stores_and_keys();
        } else {
            if table_missing && !self.run_gate.is_durable() {
                let window = self.register_lost_keys();
                log!(
                    "handover: keys were lost with the predecessor, keyed requests fail until they have expired: window_ms={}",
                    window.as_millis()
                );
            }
            self.import_pending_records();
            self.fail_unfinished_earlier_runs();
            self.end_wait_for_keys(KeySource::Predecessor);
            self.run_gate.predecessor_ended();
        }
        self.update_status(|status| status.predecessor_alive = false);
    }

    /// Registers that the keys of another process of this node are lost. Until all of them have expired, attempts with
    /// keys that are not in the table fail, as any of them may have run. Returns how long that takes.
    fn register_lost_keys(&mut self) -> Duration {
        let window = self.settings.max_idempotency_window();
        self.handover.register_lost_keys(clock::now() + window);
        window
    }

    /// Imports the records whose outcomes are still being stored, without waiting for the store, because runs with an
    /// outcome must not count as unfinished.
    fn import_pending_records(&mut self) {
        for record in std::mem::take(&mut self.handover.storing).into_values() {
            self.import_record(record);
        }
    }

    /// Counts all runs of earlier processes without an outcome as failed and completes the attempts that
    /// waited for them.
    fn fail_unfinished_earlier_runs(&mut self) {
        let waiters = self.idempotency.fail_unfinished_earlier_runs();
        self.complete_waiters(waiters, &StoredOutcome::Failed);
    }

    /// Buffers an attempt with a key until the keys of the other process are known.
    pub(super) fn buffer_until_state_received(&mut self, submission: Submission) {
        self.handover.buffered.push(submission);
    }

    /// Ends the wait for keys from this source, if it is the one that is awaited, and defers the buffered attempts to
    /// the next batch, which submits them.
    pub(super) fn end_wait_for_keys(&mut self, source: KeySource) {
        if self.handover.awaiting_keys_from != Some(source) {
            return;
        }
        self.handover.awaiting_keys_from = None;
        self.update_status(|status| status.awaiting_state = false);
        let buffered = std::mem::take(&mut self.handover.buffered);
        self.deferred.extend(buffered.into_iter().map(DispatcherEvent::Submitted));
    }

    /// Fails the buffered attempts that have to be answered now, although the keys of the other process are not known.
    /// Their keys may have run there, so they must not be rejected: a rejection promises that nothing ran.
    pub(super) fn fail_expired_buffered(&mut self, now: UnixTime) {
        let stops_at = self.stops_at();
        for submission in self.handover.take_expired_buffered(now, stops_at) {
            let request = &submission.request;
            log!(
                "handover: request failed, its key may have run and the keys are not known yet: txn={}",
                request.txn
            );
            let timed_out = now + TIMEOUT_MARGIN >= request.deadline;
            self.answer_submission(submission, RequestOutcome::Failed { timed_out });
        }
    }
}
