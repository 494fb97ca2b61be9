//! Authorizes, starts and completes runs, and gives their outcomes to the other attempts with the same keys.
//!
//! The end of a run is described by four types, each for one of its recipients:
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

use super::at_most_once::is_at_most_once_key;
use super::attempts::{Attempt, Phase, TIMEOUT_MARGIN};
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
        // A second run with the same key is refused even if the admission module asks for it.
        if self.dedup_key(&request).is_some_and(|key| !self.idempotency.try_start(&key, id)) {
            log!("dispatcher: attempt failed, another attempt of its key has run: txn={}", request.txn);
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
            Authorization::Granted => self.send_to_backend(id, &request),
            Authorization::Denied => self.run_ended(&request.txn, Completion::NeverStarted),
            // A gate event with the decision follows.
            Authorization::Pending => {}
        }
    }

    fn send_to_backend(&mut self, id: RequestId, request: &Rc<Request>) {
        if self.endpoints.runs.try_send(RunCommand::Run(request.clone())).is_err() {
            log!("dispatcher: run not started, queue of run commands is full: txn={}", request.txn);
            return self.run_ended(&request.txn, Completion::NeverStarted);
        }
        self.record_at_most_once_run(id, request);
        self.log_decision(Decision::Run, request);
        self.endpoints.metrics.run_dispatched(request.class);
    }

    /// Sends a command other than [`RunCommand::Run`] to the backend that runs requests.
    pub(super) fn send_run_command(&self, command: RunCommand) {
        if self.endpoints.runs.try_send(command).is_err() {
            log!("dispatcher: run command dropped, queue of run commands is full");
        }
    }

    /// Handles a run that has ended or will not start. The run gate stores the outcome before it is reported
    /// to the client, the waiting attempts and the successor.
    pub(super) fn run_ended(&mut self, txn: &TransactionId, completion: Completion) {
        let Some(id) = self.attempts.id_of(txn) else {
            return log!("dispatcher: completion ignored, attempt is not open: txn={txn}");
        };
        let Some(attempt) = self.attempts.get(id) else { return };
        if attempt.phase.started_at().is_none() {
            return log!("dispatcher: completion ignored, attempt has not been started: txn={txn}");
        }
        if completion == Completion::NeverStarted {
            self.run_gate.run_never_started(id);
            return self.complete_run(id, completion);
        }
        let run = self.keyed_run(id);
        // The gate returns the completion to report if there is nothing to wait for: nothing is to be stored,
        // or storing has failed. Otherwise a `GateEvent` follows.
        if let Some(completion) = self.run_gate.run_completed(run, completion) {
            self.complete_run(id, completion);
        }
    }

    /// Completes a run whose outcome has been stored or does not need to be stored: reports it to the
    /// admission module, the client, the waiting attempts and the successor.
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

    /// Returns the outcome to store for the key of a run that ended with `completion`.
    fn stored_outcome(&self, id: RequestId, completion: &Completion) -> StoredOutcome {
        match completion {
            Completion::Succeeded(result) => StoredOutcome::Succeeded(self.copy_if_stored(id, result)),
            Completion::NeverStarted => StoredOutcome::NeverStarted,
            Completion::Failed | Completion::Cancelled | Completion::Skipped => StoredOutcome::Failed,
        }
    }

    /// Copies a result that is to be stored, as the stored result outlives the buffer that it was read into.
    /// Returns an empty result if the attempt holds no key, so that nothing is stored.
    fn copy_if_stored(&self, id: RequestId, result: &Bytes) -> Bytes {
        if self.idempotency.is_holder(id) {
            Bytes::copy_from_slice(result)
        } else {
            Bytes::new()
        }
    }

    /// Stores the outcome of the key that an attempt holds, and reports it to the successor and the waiting attempts.
    fn complete_key(&mut self, id: RequestId, outcome: &StoredOutcome) {
        self.report_to_successor(id, RunState::from(outcome));
        let waiters = self.idempotency.complete(id, outcome.clone());
        self.complete_waiters(waiters, outcome);
    }

    /// Makes a queued attempt wait for the outcome of another attempt with the same key.
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

    /// Completes waiting attempts with the outcome of their key.
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

    pub(super) fn on_gate_event(&mut self, event: GateEvent) {
        match event {
            GateEvent::Authorized { id, granted } => self.on_authorization(id, granted),
            GateEvent::Completed { id, completion } => self.on_completion_stored(id, completion),
            GateEvent::AwaitingRemoteRun(id) => self.await_remote_run(id),
            GateEvent::RemoteOutcome { id, outcome } => self.complete_remote_run(id, &outcome),
            GateEvent::OutcomeUnknown(id) => self.abandon_key(id, RequestOutcome::Failed { timed_out: true }),
            GateEvent::BodyMismatch(id) => self.abandon_key(id, RequestOutcome::BodyMismatch),
            GateEvent::Recovered(state) => self.store_recovered(state),
            GateEvent::StoreUnavailable => self.store_unavailable(),
        }
    }

    /// Handles the run gate's decision whether a run may start.
    fn on_authorization(&mut self, id: RequestId, granted: bool) {
        let Some(attempt) = self.attempts.get(id) else { return };
        let request = attempt.request.clone();
        if granted && attempt.responder.is_some() {
            return self.send_to_backend(id, &request);
        }
        if granted {
            // The client has been answered or has cancelled, so the result of the run is not needed.
            self.store_outcome(id, &StoredOutcome::NeverStarted);
        }
        self.run_ended(&request.txn, Completion::NeverStarted);
    }

    /// Called when the run gate has stored or refused the outcome of a run, either of the predecessor or of
    /// this process.
    fn on_completion_stored(&mut self, id: RequestId, completion: Completion) {
        if !self.finish_storing(id, &completion) {
            self.complete_run(id, completion);
        }
    }

    /// Makes an attempt wait for another node's run with its key, unless it could still be waiting when this process is
    /// stopped.
    fn await_remote_run(&mut self, id: RequestId) {
        self.detach_from_admission(id);
        if let Some(stops_at) = self.stops_at() {
            self.abandon_waits_past_stop(stops_at);
        }
    }

    /// Answers the attempts that wait for another node's run and could still be waiting when this process is stopped.
    pub(super) fn abandon_waits_past_stop(&mut self, stops_at: UnixTime) {
        let waits_past_stop = |attempt: &&Attempt| {
            attempt.phase == Phase::AwaitingRemoteRun && attempt.request.deadline + TIMEOUT_MARGIN >= stops_at
        };
        let abandoned: Vec<_> =
            self.attempts.iter().filter(waits_past_stop).map(|attempt| attempt.id).collect();
        for id in abandoned {
            self.abandon_key(id, RequestOutcome::Failed { timed_out: false });
        }
    }

    /// Reports an attempt to the admission module as skipped, because it does not run here: another node runs
    /// or may run a request with its key, or the key's outcome is unknown. Only an attempt in the phase
    /// `Running` is reported, so nothing is sent for one that has already been detached.
    fn detach_from_admission(&mut self, id: RequestId) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        let phase = std::mem::replace(&mut attempt.phase, Phase::AwaitingRemoteRun);
        if let Phase::Running { started_at } = phase {
            let took = clock::now().saturating_sub(started_at);
            self.admission_events.push(Event::Finished { id, outcome: AdmissionOutcome::Skipped, took });
        }
    }

    /// Completes an attempt with the outcome of another node's run with the same key.
    fn complete_remote_run(&mut self, id: RequestId, outcome: &StoredOutcome) {
        self.detach_from_admission(id);
        self.answer_attempt(id, self.outcome_for_repeat(outcome));
        self.store_outcome(id, outcome);
        self.complete_key(id, outcome);
        self.attempts.remove(id);
    }

    /// Ends an attempt that can't get the outcome of its key: the outcome is unknown, the key was used with
    /// another body, or this process stops too early. The key is released, so that the next attempt asks the
    /// run gate again.
    pub(super) fn abandon_key(&mut self, id: RequestId, answer: RequestOutcome) {
        self.detach_from_admission(id);
        self.answer_attempt(id, answer);
        let waiters = self.idempotency.abandon(id);
        self.complete_waiters(waiters, &StoredOutcome::Failed);
        self.attempts.remove(id);
    }

    /// Returns the description of an attempt's run for the run gate; `None` if the attempt holds no key of a client.
    pub(super) fn keyed_run(&self, id: RequestId) -> Option<KeyedRun> {
        let assigned =
            self.idempotency.assigned_key(id).filter(|assigned| !is_at_most_once_key(&assigned.key));
        let AssignedKey { key, body_digest, expires_at } = assigned?;
        let request = self.attempts.get(id).map(|attempt| attempt.request.clone());
        Some(KeyedRun { id, request, key, body_digest, expires_at })
    }

    /// Passes the outcome of the key that an attempt holds to the run gate for storing, without waiting for it.
    pub(super) fn store_outcome(&mut self, id: RequestId, outcome: &StoredOutcome) {
        if let Some(run) = self.keyed_run(id) {
            self.run_gate.store_outcome(&run, outcome);
        }
    }
}

/// Returns the outcome to report to the admission module for a run that ended with `completion`.
fn admission_outcome(completion: &Completion) -> AdmissionOutcome {
    match completion {
        Completion::Succeeded(_) => AdmissionOutcome::Ok,
        Completion::Failed => AdmissionOutcome::Error,
        Completion::Cancelled => AdmissionOutcome::Cancelled,
        Completion::Skipped => AdmissionOutcome::Skipped,
        Completion::NeverStarted => AdmissionOutcome::Rejected,
    }
}
