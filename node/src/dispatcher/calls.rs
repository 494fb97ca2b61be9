//! Calls that runs make to the dependency or tier below this node.

use bytes::Bytes;
use oakwind_admission::{Event, Outcome as AdmissionOutcome, RequestId};

use super::attempts::Phase;
use super::Dispatcher;
use crate::clock::{self, UnixTime};
use crate::exchange::{CallCommand, CallOutcome, RunCommand, TransactionId};
use crate::log;

impl Dispatcher {
    /// Handles a run that needs a call. The admission module decides whether the call is made.
    pub(super) fn call_needed(&mut self, txn: &TransactionId, body: Bytes) {
        let Some(id) = self.attempts.id_of(txn) else {
            return log!("dispatcher: call request ignored, attempt is not open: txn={txn}");
        };
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        if let Phase::Running { started_at } = attempt.phase {
            attempt.phase = Phase::AwaitingCall { started_at, body };
            self.admission_events.push(Event::CallNeeded(id));
        }
    }

    /// Makes the call that a run waits for. The backend abandons the call at `call_deadline`.
    pub(super) fn start_call(&mut self, id: RequestId, now: UnixTime, call_deadline: UnixTime) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        let Phase::AwaitingCall { started_at, body } = &attempt.phase else { return };
        let started_at = *started_at;
        let body = body.clone();
        let request = attempt.request.clone();
        attempt.phase = Phase::Calling { started_at, called_at: now, body: body.clone() };
        self.send_call_command(CallCommand::Call { request, body, deadline: call_deadline });
    }

    /// Lets a run continue without the call that it waits for.
    pub(super) fn skip_call(&mut self, id: RequestId) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        if let Phase::AwaitingCall { started_at, .. } = attempt.phase {
            attempt.phase = Phase::Running { started_at };
            let txn = attempt.request.txn.clone();
            self.send_run_command(RunCommand::Skip(txn));
        }
    }

    /// Handles the end of a call. A reply is passed to the run; after any other outcome the admission module
    /// decides how the run continues.
    pub(super) fn call_ended(&mut self, txn: &TransactionId, call_outcome: CallOutcome) {
        let Some(id) = self.attempts.id_of(txn) else { return };
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        let Phase::Calling { started_at, called_at, body } = &attempt.phase else { return };
        let started_at = *started_at;
        let body = body.clone();
        let took = clock::now().saturating_sub(*called_at);
        let outcome = match call_outcome {
            CallOutcome::Ok(reply) => {
                attempt.phase = Phase::Running { started_at };
                self.send_run_command(RunCommand::Resolve { txn: txn.clone(), reply });
                self.admission_events.push(Event::CallReturned { id, outcome: AdmissionOutcome::Ok, took });
                return;
            }
            CallOutcome::Failed => AdmissionOutcome::Error,
            CallOutcome::Rejected => AdmissionOutcome::Rejected,
            CallOutcome::TimedOut => AdmissionOutcome::TimedOut,
            CallOutcome::Unreachable => AdmissionOutcome::Unreachable,
            CallOutcome::CutOff => AdmissionOutcome::CutOff,
        };
        attempt.phase = Phase::AwaitingCall { started_at, body };
        self.admission_events.push(Event::CallReturned { id, outcome, took });
    }

    /// Sends a command to the backend that makes calls. If the queue is full or closed, the command is
    /// dropped, and a call that it would have made ends as unreachable.
    pub(super) fn send_call_command(&mut self, command: CallCommand) {
        let (txn, is_call) = match &command {
            CallCommand::Call { request, .. } => (request.txn.clone(), true),
            CallCommand::Abandon(txn) => (txn.clone(), false),
        };
        if self.endpoints.calls.try_send(command).is_ok() {
            return;
        }
        if is_call {
            log!("dispatcher: call not made, queue of call commands is full or closed: txn={txn}");
            self.call_ended(&txn, CallOutcome::Unreachable);
        } else {
            log!("dispatcher: abandon command dropped, queue of call commands is full or closed: txn={txn}");
        }
    }
}
