//! Calls of the admission module with the batch of events, and what its actions do.

use std::time::Duration;

use oakwind_admission::{Action, Event, RequestId};

use super::attempts::{Phase, TIMEOUT_MARGIN};
use super::Dispatcher;
use crate::clock::UnixTime;
use crate::exchange::RunCommand;
use crate::log;
use crate::outcome::{RequestOutcome, RunState};

impl Dispatcher {
    /// Calls the admission module once with the gathered events and carries out its actions. The first call is made
    /// even without events, as it starts the module's timers.
    pub(super) fn decide(&mut self, now: UnixTime) {
        let events = std::mem::take(&mut self.admission_events);
        self.idempotency.end_batch();
        let Some(admission) = &mut self.admission else { return };
        if events.is_empty() && std::mem::replace(&mut self.admission_called, true) {
            return;
        }
        let mut actions = std::mem::take(&mut self.actions);
        admission.handle(now, &events, &mut actions);
        for action in actions.drain(..) {
            self.act(action, now);
        }
        self.actions = actions;
        for event in &events {
            if let Event::Cancelled(id) = event {
                self.remove_unless_started(*id);
            }
        }
    }

    fn act(&mut self, action: Action, now: UnixTime) {
        match action {
            Action::Run(id) => self.start_run(id, now),
            Action::Pause(id) => self.stop_run(id),
            Action::Reject { id, retry_after, give_up } => self.reject(id, retry_after, give_up),
            Action::Fail(id) => self.fail(id, now),
            Action::Coalesce(id) => self.wait_for_attempt(id, now),
            Action::RetainKey(id, window) => self.assign_key(id, now + window),
            Action::ReleaseKey(id) => {
                self.report_to_successor(id, RunState::NeverStarted);
                self.idempotency.release(id);
            }
            Action::Call(id, within) => self.start_call(id, now, now + within),
            Action::SkipCall(id) => self.skip_call(id),
            Action::SetHealth { healthy, .. } => self.set_health(healthy),
            Action::IdleLimit(limit) => self.update_status(|status| status.idle_timeout = Some(limit)),
            Action::SetTimer(timer, after) => self.timers.schedule(now + after, timer),
            // Neither protocol has a field for a free value, and the settings forbid it where there is none.
            Action::Advertise(_) => {}
        }
    }

    fn stop_run(&mut self, id: RequestId) {
        if let Some(attempt) = self.attempts.get(id) {
            self.send_run_command(RunCommand::Stop(attempt.request.txn.clone()));
        }
    }

    /// Rejects an attempt. A rejection promises that the attempt never ran, so one that has started, or waits for one
    /// that has, gets a failure instead.
    fn reject(&mut self, id: RequestId, retry_after: Option<Duration>, give_up: bool) {
        let is_queued = self.attempts.get(id).is_some_and(|attempt| attempt.phase == Phase::Queued);
        let outcome = if is_queued {
            RequestOutcome::Rejected { retry_after, give_up }
        } else {
            RequestOutcome::Failed { timed_out: false }
        };
        self.answer_attempt(id, outcome);
        self.remove_unless_started(id);
    }

    fn fail(&mut self, id: RequestId, now: UnixTime) {
        let deadline = self.attempts.get(id).map_or(now, |attempt| attempt.request.deadline);
        let timed_out = now + TIMEOUT_MARGIN >= deadline;
        self.answer_attempt(id, RequestOutcome::Failed { timed_out });
        self.remove_unless_started(id);
    }

    /// Makes an attempt the holder of its key.
    fn assign_key(&mut self, id: RequestId, expires_at: UnixTime) {
        let Some(request) = self.attempts.get(id).map(|attempt| attempt.request.clone()) else { return };
        if let Some(key) = self.key_of(&request) {
            self.idempotency.assign(&key, &request.body, id, expires_at);
        }
    }

    fn set_health(&mut self, healthy: bool) {
        if self.status().health != Some(healthy) {
            log!("dispatcher: health changed: healthy={healthy}");
        }
        self.update_status(|status| status.health = Some(healthy));
    }

    /// Removes an answered attempt, unless it runs: then its completion is still to come.
    fn remove_unless_started(&mut self, id: RequestId) {
        if self.attempts.get(id).is_some_and(|attempt| attempt.phase.ends_with_answer()) {
            self.attempts.remove(id);
        }
    }
}
