//! Calls the admission module with the batch of events and carries out the resulting actions.

use std::time::Duration;

use oakwind_admission::{Action, Event, RequestId};

use super::attempts::{Phase, TIMEOUT_MARGIN};
use super::Dispatcher;
use crate::clock::UnixTime;
use crate::exchange::RunCommand;
use crate::log;
use crate::outcome::{RequestOutcome, RunState};

impl Dispatcher {
    /// Ends the batch: calls the admission module once with the collected events, carries out its actions,
    /// and removes the cancelled attempts that have no run in progress.
    pub(super) fn call_admission(&mut self, now: UnixTime) {
        let events = std::mem::take(&mut self.admission_events);
        self.idempotency.end_batch();
        let Some(admission) = &mut self.admission else { return };
        if events.is_empty() {
            // Only the first empty batch is passed to the module: it makes the module set its timers.
            if self.empty_batch_passed {
                return;
            }
            self.empty_batch_passed = true;
        }
        let mut actions = std::mem::take(&mut self.actions);
        admission.handle(now, &events, &mut actions);
        for action in actions.drain(..) {
            self.execute(action, now);
        }
        self.actions = actions;
        for event in &events {
            if let Event::Cancelled(id) = event {
                self.remove_if_no_run_in_progress(*id);
            }
        }
    }

    fn execute(&mut self, action: Action, now: UnixTime) {
        match action {
            Action::Run(id) => self.start_run(id, now),
            // No backend can pause a run, so the run is stopped and its progress is lost.
            Action::Pause(id) => self.stop_run(id),
            Action::Reject { id, retry_after, give_up } => self.reject(id, retry_after, give_up),
            Action::Fail(id) => self.fail(id, now),
            Action::Coalesce(id) => self.wait_for_attempt(id, now),
            Action::RetainKey(id, retention) => self.assign_key(id, now + retention),
            Action::ReleaseKey(id) => {
                self.report_to_successor(id, RunState::NeverStarted);
                self.idempotency.release(id);
            }
            Action::Call(id, timeout) => self.start_call(id, now, now + timeout),
            Action::SkipCall(id) => self.skip_call(id),
            Action::SetHealth { healthy, .. } => self.set_health(healthy),
            Action::IdleLimit(limit) => self.update_status(|status| status.idle_timeout = Some(limit)),
            Action::SetTimer(timer, after) => self.timers.schedule(now + after, timer),
            // No frontend sends the advertised value yet (docs/ROADMAP.md, the second deployment).
            Action::Advertise(_) => {}
        }
    }

    fn stop_run(&mut self, id: RequestId) {
        if let Some(attempt) = self.attempts.get(id) {
            self.send_run_command(RunCommand::Stop(attempt.request.txn.clone()));
        }
    }

    /// Rejects an attempt. A rejection promises that the attempt never ran, so an attempt that has started,
    /// or waits for the run of another attempt with the same key, is answered with a failure instead.
    fn reject(&mut self, id: RequestId, retry_after: Option<Duration>, give_up: bool) {
        let is_queued = self.attempts.get(id).is_some_and(|attempt| attempt.phase == Phase::Queued);
        let outcome = if is_queued {
            RequestOutcome::Rejected { retry_after, give_up }
        } else {
            RequestOutcome::Failed { timed_out: false }
        };
        self.answer_attempt(id, outcome);
        self.remove_if_no_run_in_progress(id);
    }

    fn fail(&mut self, id: RequestId, now: UnixTime) {
        let deadline = self.attempts.get(id).map_or(now, |attempt| attempt.request.deadline);
        let timed_out = now + TIMEOUT_MARGIN >= deadline;
        self.answer_attempt(id, RequestOutcome::Failed { timed_out });
        self.remove_if_no_run_in_progress(id);
    }

    /// Records that the attempt holds its key until `expires_at`: later attempts with the key are matched
    /// against it.
    fn assign_key(&mut self, id: RequestId, expires_at: UnixTime) {
        let Some(request) = self.attempts.get(id).map(|attempt| attempt.request.clone()) else { return };
        if let Some(key) = self.dedup_key(&request) {
            self.idempotency.assign(&key, &request.body, id, expires_at);
        }
    }

    fn set_health(&mut self, healthy: bool) {
        if self.status().health != Some(healthy) {
            log!("dispatcher: health changed: healthy={healthy}");
        }
        self.update_status(|status| status.health = Some(healthy));
    }

    /// Removes an answered attempt, unless a run of it, or the run on another node that it waits for, is in
    /// progress.
    fn remove_if_no_run_in_progress(&mut self, id: RequestId) {
        if self.attempts.get(id).is_some_and(|attempt| attempt.phase.has_no_run_in_progress()) {
            self.attempts.remove(id);
        }
    }
}
