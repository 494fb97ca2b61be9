//! Runs: how they are authorized, started and completed, and what their keys' other attempts get.
//!
//! The end of a run is seen from four sides, each with a type of its own:
//!
//! | `Completion`, from the backend | the admission module's `Outcome` | `StoredOutcome` of the key | `RequestOutcome` for the client |
//! | --- | --- | --- | --- |
//! | `Succeeded` | `Ok` | `Succeeded` | `Served` |
//! | `Failed` | `Error` | `Failed` | `Failed` |
//! | `Cancelled`, `Skipped` | the same | `Failed` | `Failed` |
//! | `NeverStarted` | `Rejected` | `NeverStarted` | `Rejected` |

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use oakwind_admission::{Event, Outcome as AdmissionOutcome, RequestId};
use oakwind_fleet::audit::decision_record::Decision;

use super::attempts::Phase;
use super::idempotency::AssignedKey;
use super::Dispatcher;
use crate::clock::{self, UnixTime};
use crate::exchange::{CallCommand, Request, RunCommand, TransactionId};
use crate::log;
use crate::outcome::{Completion, RequestOutcome, RunState, StoredOutcome};
use crate::run_gate::{Authorization, GateEvent, KeyedRun};

impl Dispatcher {
    /// Starts the run of a queued attempt, once the run gate authorizes it.
    pub(super) fn start_run(&mut self, id: RequestId, now: UnixTime) {
        let Some(attempt) = self.attempts.get(id) else { return };
        if attempt.phase != Phase::Queued {
            return;
        }
        let request = attempt.request.clone();
        // Whatever asks for it, no key runs a second time.
        if self.dedup_key(&request).is_some_and(|key| !self.idempotency.try_start(&key, id)) {
            log!("dispatcher: an attempt of a key that has run is not run: txn={}", request.txn);
            self.answer_attempt(id, RequestOutcome::Failed { timed_out: false });
            let outcome = AdmissionOutcome::Error;
            self.admission_events.push(Event::Finished { id, outcome, took: Duration::ZERO });
            return self.attempts.remove(id);
        }
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.phase = Phase::Running { started_at: now };
        }
        let run = self.keyed_run(id);
        match self.run_gate.authorize_run(run) {
            Authorization::Granted => self.send_to_backend(&request),
            Authorization::Denied => self.run_ended(&request.txn, Completion::NeverStarted),
            // A gate event follows.
            Authorization::Pending => {}
        }
    }

    fn send_to_backend(&mut self, request: &Rc<Request>) {
        if self.endpoints.runs.try_send(RunCommand::Run(request.clone())).is_err() {
            log!("dispatcher: the queue of run commands is full");
            return self.run_ended(&request.txn, Completion::NeverStarted);
        }
        self.log_decision(Decision::Run, request);
        self.endpoints.metrics.run_dispatched(request.class);
    }

    /// Sends a command other than a run to the backend that runs requests.
    pub(super) fn send_run_command(&self, command: RunCommand) {
        if self.endpoints.runs.try_send(command).is_err() {
            log!("dispatcher: the queue of run commands is full");
        }
    }

    /// A run has ended, or will not start. The run gate stores that before it is reported to anybody.
    pub(super) fn run_ended(&mut self, txn: &TransactionId, completion: Completion) {
        let Some(id) = self.attempts.id_of(txn) else {
            return log!("dispatcher: a run ended of an attempt that is not open: txn={txn}");
        };
        let Some(attempt) = self.attempts.get(id) else { return };
        if attempt.phase.started_at().is_none() {
            return log!("dispatcher: a run ended that was never started: txn={txn}");
        }
        if completion == Completion::NeverStarted {
            self.run_gate.run_never_started(id);
            return self.complete_run(id, completion);
        }
        let run = self.keyed_run(id);
        // `Some` if nothing is to be stored, or it can't be: the run is completed now, with what the gate returns. `None`
        // if a `GateEvent::Completed` follows.
        if let Some(completion) = self.run_gate.run_completed(run, completion) {
            self.complete_run(id, completion);
        }
    }

    /// The end of a run is stored, or needs no storing: it is reported to its client, the waiting attempts and
    /// the successor.
    pub(super) fn complete_run(&mut self, id: RequestId, completion: Completion) {
        let now = clock::now();
        let Some(attempt) = self.attempts.get(id) else { return };
        let Some(started_at) = attempt.phase.started_at() else { return };
        let request = attempt.request.clone();
        if let Phase::Calling { .. } = attempt.phase {
            self.send_call_command(CallCommand::Abandon(request.txn.clone()));
        }
        if completion == Completion::NeverStarted {
            self.log_decision(Decision::NeverStarted, &request);
        }
        let admission_outcome = admission_outcome(&completion);
        let stored_outcome = self.stored_outcome(id, &completion);
        let client_outcome = match completion {
            Completion::Succeeded(result) => RequestOutcome::Served(result),
            Completion::NeverStarted => self.rejection_without_admission(),
            Completion::Failed | Completion::Cancelled | Completion::Skipped => {
                RequestOutcome::Failed { timed_out: false }
            }
        };
        self.answer_attempt(id, client_outcome);
        let took = now.saturating_sub(started_at);
        self.admission_events.push(Event::Finished { id, outcome: admission_outcome, took });
        self.complete_key(id, &stored_outcome);
        self.attempts.remove(id);
    }

    /// What is stored of a run that ended so.
    fn stored_outcome(&self, id: RequestId, completion: &Completion) -> StoredOutcome {
        match completion {
            Completion::Succeeded(result) => StoredOutcome::Succeeded(self.owned_if_stored(id, result)),
            Completion::NeverStarted => StoredOutcome::NeverStarted,
            Completion::Failed | Completion::Cancelled | Completion::Skipped => StoredOutcome::Failed,
        }
    }

    /// A copy of a result that is to be stored, as that outlives the buffer it was read into; empty if it is not.
    fn owned_if_stored(&self, id: RequestId, result: &Bytes) -> Bytes {
        if self.idempotency.is_holder(id) {
            Bytes::copy_from_slice(result)
        } else {
            Bytes::new()
        }
    }

    /// The outcome of an attempt's key is known: it is reported to the successor and the waiting attempts.
    fn complete_key(&mut self, id: RequestId, outcome: &StoredOutcome) {
        self.report_to_successor(id, RunState::from(outcome));
        let waiters = self.idempotency.complete(id, outcome.clone());
        self.complete_waiters(waiters, outcome);
    }

    /// Makes a queued attempt wait for the outcome of another attempt of its key.
    pub(super) fn wait_for_attempt(&mut self, id: RequestId, now: UnixTime) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        attempt.phase = Phase::WaitingForAttempt { since: now };
        let request = attempt.request.clone();
        let outcome = match self.dedup_key(&request) {
            Some(key) => self.idempotency.wait_for_outcome(&key, id),
            None => Some(StoredOutcome::Failed),
        };
        if let Some(outcome) = outcome {
            self.complete_waiter(id, &outcome, now);
        }
    }

    /// Gives waiting attempts the outcome of their key.
    pub(super) fn complete_waiters(&mut self, waiters: Vec<RequestId>, outcome: &StoredOutcome) {
        let now = clock::now();
        for waiter in waiters {
            self.complete_waiter(waiter, outcome, now);
        }
    }

    fn complete_waiter(&mut self, id: RequestId, stored: &StoredOutcome, now: UnixTime) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let Phase::WaitingForAttempt { since } = attempt.phase else { return };
        let outcome = match stored {
            StoredOutcome::Succeeded(_) => AdmissionOutcome::Ok,
            StoredOutcome::Failed => AdmissionOutcome::Error,
            StoredOutcome::NeverStarted => AdmissionOutcome::Rejected,
        };
        self.answer_attempt(id, self.outcome_for_repeat(stored));
        self.admission_events.push(Event::Finished { id, outcome, took: now.saturating_sub(since) });
        self.attempts.remove(id);
    }

    /// The run gate reports.
    pub(super) fn on_gate_event(&mut self, event: GateEvent) {
        match event {
            GateEvent::Authorized { id, granted } => self.on_authorization(id, granted),
            GateEvent::Completed { id, completion } => self.on_completion_stored(id, completion),
            GateEvent::AwaitingRemoteRun(id) => self.detach_from_admission(id),
            GateEvent::RemoteOutcome { id, outcome } => self.complete_remote_run(id, &outcome),
            GateEvent::OutcomeUnknown(id) => self.abandon_key(id, RequestOutcome::Failed { timed_out: true }),
            GateEvent::BodyMismatch(id) => self.abandon_key(id, RequestOutcome::BodyMismatch),
            GateEvent::Recovered(records) => self.import_recovered(records),
        }
    }

    /// The run gate has decided whether a run may start.
    fn on_authorization(&mut self, id: RequestId, granted: bool) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let request = attempt.request.clone();
        if granted && attempt.responder.is_some() {
            return self.send_to_backend(&request);
        }
        if granted {
            // Its client has an answer or has cancelled, so nobody waits for the run.
            self.store_outcome(id, &StoredOutcome::NeverStarted);
        }
        self.run_ended(&request.txn, Completion::NeverStarted);
    }

    /// The end of a run is stored: of a predecessor's run, or of one of this process.
    fn on_completion_stored(&mut self, id: RequestId, completion: Completion) {
        if !self.finish_storing(id, &completion) {
            self.complete_run(id, completion);
        }
    }

    /// Ends an attempt for the admission module, as nothing of it runs here: another node runs its key, or may, or the
    /// key's outcome is not known. It is authorized (`Running`), or detached already (`AwaitingRemoteRun`).
    fn detach_from_admission(&mut self, id: RequestId) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        let phase = std::mem::replace(&mut attempt.phase, Phase::AwaitingRemoteRun);
        if let Phase::Running { started_at } = phase {
            let took = clock::now().saturating_sub(started_at);
            self.admission_events.push(Event::Finished { id, outcome: AdmissionOutcome::Skipped, took });
        }
    }

    /// The outcome of another node's run of an attempt's key is known.
    fn complete_remote_run(&mut self, id: RequestId, outcome: &StoredOutcome) {
        self.detach_from_admission(id);
        self.answer_attempt(id, self.outcome_for_repeat(outcome));
        self.store_outcome(id, outcome);
        self.complete_key(id, outcome);
        self.attempts.remove(id);
    }

    /// The outcome of an attempt's key can't be known here. The key is released, so the next attempt asks again.
    pub(super) fn abandon_key(&mut self, id: RequestId, answer: RequestOutcome) {
        self.detach_from_admission(id);
        self.answer_attempt(id, answer);
        let waiters = self.idempotency.abandon(id);
        self.complete_waiters(waiters, &StoredOutcome::Failed);
        self.attempts.remove(id);
    }

    /// The run of an attempt that holds a key, as the run gate is asked about it.
    pub(super) fn keyed_run(&self, id: RequestId) -> Option<KeyedRun> {
        let AssignedKey { key, body_digest, expires_at } = self.idempotency.assigned_key(id)?;
        let request = self.attempts.get(id).map(|attempt| attempt.request.clone());
        Some(KeyedRun { id, request, key, body_digest, expires_at })
    }

    /// Stores the outcome of the key that an attempt holds; nobody is told when that is done.
    pub(super) fn store_outcome(&mut self, id: RequestId, outcome: &StoredOutcome) {
        if let Some(run) = self.keyed_run(id) {
            self.run_gate.store_outcome(&run, outcome);
        }
    }
}

/// How the admission module counts a run that ended so.
fn admission_outcome(completion: &Completion) -> AdmissionOutcome {
    match completion {
        Completion::Succeeded(_) => AdmissionOutcome::Ok,
        Completion::Failed => AdmissionOutcome::Error,
        Completion::Cancelled => AdmissionOutcome::Cancelled,
        Completion::Skipped => AdmissionOutcome::Skipped,
        Completion::NeverStarted => AdmissionOutcome::Rejected,
    }
}
