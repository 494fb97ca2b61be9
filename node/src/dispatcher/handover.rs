//! The dispatcher's part in an upgrade in place: what it takes over from the predecessor process and what it transfers to
//! its successor. `crate::handover` is the link between the two processes.
//!
//! While both processes live, no key runs twice: the predecessor rejects keys that it does not know once it has
//! transferred its table, and the successor buffers attempts with keys until it has that table.

use std::time::Duration;

use oakwind_admission::RequestId;
use tokio::sync::mpsc;

use super::attempts::{Phase, TIMEOUT_MARGIN};
use super::handover_progress::Successor;
use super::idempotency::{AssignedKey, ImportedOutcome};
use super::Dispatcher;
use crate::clock::{self, UnixTime};
use crate::exchange::{DispatcherEvent, HandoverState, Submission};
use crate::log;
use crate::outcome::{Completion, IdempotencyRecord, RunState, StoredOutcome};
use crate::result_store::KeySource;
use crate::run_gate::KeyedRun;

/// The idempotency table is transferred this long after clients are sent to the successor. Requests that cross that
/// notification still run here.
const TRANSFER_DELAY: Duration = Duration::from_millis(100);

/// The predecessor's side: this process hands over.
impl Dispatcher {
    /// A successor takes over: clients are sent to it, and it gets the idempotency table soon.
    pub(super) fn begin_handover(&mut self, updates: mpsc::Sender<HandoverState>) {
        let transfer_at = clock::now() + TRANSFER_DELAY;
        self.handover.successor = Some(Successor { updates, transfer_at, transferred: false });
        self.update_status(|status| status.handed_over = true);
    }

    /// The successor has ended before this process: this one serves on, unless it drains itself.
    pub(super) fn successor_lost(&mut self) {
        self.handover.successor = None;
        self.run_gate.acquire_stores(KeySource::Store);
        self.update_status(|status| status.handed_over &= status.draining.is_some());
    }

    /// Whether the successor has the idempotency table, so that no key may be added here.
    pub(super) fn state_is_transferred(&self) -> bool {
        self.handover.successor.as_ref().is_some_and(|successor| successor.transferred)
    }

    /// Transfers the idempotency table to the successor once that is due.
    pub(super) fn transfer_state(&mut self, now: UnixTime) {
        let Some(successor) = &mut self.handover.successor else { return };
        if successor.transferred || now < successor.transfer_at {
            return;
        }
        successor.transferred = true;
        self.release_stores();
        self.send_to_successor(self.idempotency.snapshot());
    }

    /// Leaves the stores to the successor. Queued attempts may still run here, so their keys are stored as started.
    fn release_stores(&mut self) {
        let queued = self.attempts.iter().filter(|attempt| attempt.phase == Phase::Queued);
        let runs: Vec<KeyedRun> = queued.filter_map(|attempt| self.keyed_run(attempt.id)).collect();
        self.run_gate.release_stores(&runs);
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
        self.send_to_successor(HandoverState { digest_seed: 0, records: vec![record] });
    }

    fn send_to_successor(&mut self, state: HandoverState) {
        let Some(successor) = &self.handover.successor else { return };
        if successor.updates.try_send(state).is_err() {
            log!("handover: the queue of updates is full, the successor gets no more of them");
            self.handover.successor = None;
        }
    }
}

/// The successor's side: this process takes over.
impl Dispatcher {
    /// Takes in what the predecessor reports: its whole table at first, then the outcomes of its runs.
    pub(super) fn receive_state(&mut self, state: HandoverState) {
        let is_full_table = self.status().awaiting_state;
        if is_full_table {
            self.idempotency.set_digest_seed(state.digest_seed);
            log!("handover: table received from the predecessor: keys={}", state.records.len());
        }
        for record in state.records {
            if is_full_table {
                // The predecessor has stored all this.
                self.import_record(record);
            } else if let Some(holder) = self.start_storing(&record) {
                self.handover.storing.insert(holder, record);
            } else {
                self.import_and_store_record(record);
            }
        }
        if is_full_table {
            self.run_gate.acquire_stores(KeySource::Predecessor);
        }
        self.submit_buffered();
    }

    /// Starts to store the outcome of a predecessor's run, so that it is stored before it is reported. Returns the
    /// key's holder if the run gate reports later, `None` if there is nothing to wait for.
    fn start_storing(&mut self, record: &IdempotencyRecord) -> Option<RequestId> {
        if !self.run_gate.is_durable() {
            return None;
        }
        let outcome = StoredOutcome::from_run_state(record.state.clone())?;
        let holder = self.idempotency.holder(&record.key)?;
        let run = self.keyed_run(holder)?;
        self.run_gate.predecessor_run_completed(run, &outcome).then_some(holder)
    }

    /// Imports a record whose outcome has been stored, or could not be: then the run counts as failed. Returns whether
    /// this was the run of a predecessor.
    pub(super) fn import_stored(&mut self, holder: RequestId, completion: &Completion) -> bool {
        let Some(mut record) = self.handover.storing.remove(&holder) else { return false };
        if !matches!(completion, Completion::Succeeded(_)) {
            record.state = RunState::Failed;
        }
        self.import_record(record);
        true
    }

    /// Adds what the predecessor knows of a key to the idempotency table.
    fn import_record(&mut self, record: IdempotencyRecord) {
        if let Some(imported) = self.import(record) {
            self.complete_waiters(imported.waiters, &imported.outcome);
        }
    }

    /// The same, and stores the outcome of the key if the record has one.
    fn import_and_store_record(&mut self, record: IdempotencyRecord) {
        let key = record.key.clone();
        let Some(imported) = self.import(record) else { return };
        if let Some(holder) = self.idempotency.holder(&key) {
            self.store_outcome(holder, &imported.outcome);
        }
        self.complete_waiters(imported.waiters, &imported.outcome);
    }

    fn import(&mut self, record: IdempotencyRecord) -> Option<ImportedOutcome> {
        let id = self.attempts.allocate_id();
        self.idempotency.import(record, id)
    }

    /// Takes in what the stores had from earlier processes. What started there and has no outcome has failed.
    pub(super) fn import_recovered(&mut self, records: Vec<IdempotencyRecord>) {
        for record in records {
            self.import(record);
        }
        self.fail_predecessor_runs();
    }

    /// The predecessor reports nothing more.
    pub(super) fn predecessor_done(&mut self) {
        self.fail_predecessor_runs();
        self.submit_buffered();
        self.run_gate.predecessor_ended();
        self.update_status(|status| status.predecessor_alive = false);
    }

    /// Counts all runs of earlier processes without an outcome as failed.
    fn fail_predecessor_runs(&mut self) {
        for record in std::mem::take(&mut self.handover.storing).into_values() {
            self.import_record(record);
        }
        let waiters = self.idempotency.fail_predecessor_runs();
        self.complete_waiters(waiters, &StoredOutcome::Failed);
    }

    /// Buffers an attempt with a key until the predecessor's table is known.
    pub(super) fn buffer_until_state_received(&mut self, submission: Submission) {
        self.handover.buffered.push(submission);
    }

    /// Attempts with keys are decided about from now on.
    fn submit_buffered(&mut self) {
        self.update_status(|status| status.awaiting_state = false);
        let buffered = std::mem::take(&mut self.handover.buffered);
        self.deferred.extend(buffered.into_iter().map(DispatcherEvent::Submitted));
    }

    /// Rejects buffered attempts that can wait no longer, or all of them once this process drains. They are answered in
    /// time even if the predecessor never reports its table.
    pub(super) fn reject_expired_buffered(&mut self, now: UnixTime) {
        let is_draining = self.status().draining.is_some();
        let has_expired =
            |submission: &Submission| is_draining || now + TIMEOUT_MARGIN >= submission.request.deadline;
        let buffered = std::mem::take(&mut self.handover.buffered);
        let (expired, waiting): (Vec<_>, Vec<_>) = buffered.into_iter().partition(has_expired);
        self.handover.buffered = waiting;
        for submission in expired {
            let outcome = self.undecided_rejection();
            self.answer_submission(submission, outcome);
        }
    }
}
