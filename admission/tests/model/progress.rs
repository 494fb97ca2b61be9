//! Progress of runs and calls, and cancellation by callers.

use std::time::Duration;

use oakwind_admission::{Event, Outcome, RequestId};

use crate::{Attempt, ServerModel, State, LINGER_MICROS, RUN_AFTER_CALL_MICROS};

fn answered_or_cancelled(attempt: &Attempt) -> bool {
    attempt.answers > 0 || attempt.cancelled
}

impl ServerModel {
    /// Advances running requests and calls to the current time. While `stalled`, no run ends or reaches a
    /// call.
    pub(crate) fn advance_running(&mut self, stalled: bool) {
        let ids: Vec<_> = self.attempts.keys().copied().collect();
        for id in ids {
            let percent = self.random.below(100);
            self.advance(id, percent, stalled);
            if self.random.below(2000) == 0 {
                self.cancel(id);
            }
        }
    }

    /// Advances one attempt; `percent` is a random number below a hundred that decides on the outcome.
    fn advance(&mut self, id: RequestId, percent: u64, stalled: bool) {
        let Some(attempt) = self.attempts.get(&id) else { return };
        match attempt.state {
            State::Running if stalled || self.now < attempt.ends_at => {}
            State::Running if attempt.calls_left > 0 && self.class(id).may_call => self.reach_call(id),
            State::Running => self.end_run(id, if percent < 5 { Outcome::Error } else { Outcome::Ok }),
            State::Calling if percent < self.call_return_percent => self.return_call(id),
            State::Coalesced => self.end_coalesced(id),
            _ => {}
        }
    }

    /// Handles a run that reaches a call. The run ends there if its request needs no answer any more.
    fn reach_call(&mut self, id: RequestId) {
        let took = self.time_since_start(id);
        let attempt = self.attempts.get_mut(&id).expect("the model has created this attempt");
        attempt.calls_left -= 1;
        if answered_or_cancelled(attempt) {
            attempt.state = State::Ended;
            self.events.push(Event::Finished { id, outcome: Outcome::Cancelled, took });
        } else {
            attempt.state = State::AwaitingCall;
            self.events.push(Event::CallNeeded(id));
        }
    }

    fn end_run(&mut self, id: RequestId, outcome: Outcome) {
        let took = self.time_since_start(id);
        let attempt = self.attempts.get_mut(&id).expect("the model has created this attempt");
        attempt.answers += u32::from(!answered_or_cancelled(attempt));
        attempt.state = State::Ended;
        self.events.push(Event::Finished { id, outcome, took });
    }

    fn return_call(&mut self, id: RequestId) {
        let took = self.time_since_start(id);
        let outcome = match self.random.below(self.call_outcomes) {
            0 => Outcome::Error,
            1 => Outcome::Rejected,
            2 => Outcome::TimedOut,
            3 => Outcome::Unreachable,
            4 => Outcome::CutOff,
            _ => Outcome::Ok,
        };
        let attempt = self.attempts.get_mut(&id).expect("the model has created this attempt");
        if outcome == Outcome::Ok {
            attempt.state = State::Running;
            attempt.ends_at = self.now + RUN_AFTER_CALL_MICROS;
        } else {
            attempt.state = State::AwaitingCall;
            attempt.call_may_have_run |=
                matches!(outcome, Outcome::Error | Outcome::TimedOut | Outcome::CutOff);
            if outcome == Outcome::TimedOut {
                self.lingering.push(self.now + LINGER_MICROS);
            }
        }
        self.events.push(Event::CallReturned { id, outcome, took });
    }

    /// Ends a coalesced attempt if the attempt that it repeats has ended.
    fn end_coalesced(&mut self, id: RequestId) {
        let took = self.time_since_start(id);
        let retry_of = self.attempts[&id].retry_of.expect("a coalesced attempt is a retry");
        if self.attempts.get(&retry_of).is_none_or(|original| original.state == State::Ended) {
            let attempt = self.attempts.get_mut(&id).expect("the attempt was found in the table above");
            attempt.answers += 1;
            attempt.state = State::Ended;
            self.events.push(Event::Finished { id, outcome: Outcome::Ok, took });
        }
    }

    fn time_since_start(&self, id: RequestId) -> Duration {
        Duration::from_micros(self.now.saturating_sub(self.attempts[&id].started_at))
    }

    fn cancel(&mut self, id: RequestId) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        if attempt.state == State::Ended || attempt.cancelled {
            return;
        }
        attempt.cancelled = true;
        self.events.push(Event::Cancelled(id));
        match attempt.state {
            State::Queued | State::Paused | State::Coalesced => attempt.state = State::Ended,
            State::AwaitingCall | State::Calling => self.end_waiting_for_call(id),
            _ => {}
        }
    }

    pub(crate) fn end_waiting_for_call(&mut self, id: RequestId) {
        let Some(attempt) = self.attempts.get_mut(&id) else { return };
        if attempt.state == State::Calling {
            self.lingering.push(self.now + LINGER_MICROS);
        }
        attempt.state = State::Ended;
        self.events.push(Event::Finished { id, outcome: Outcome::Cancelled, took: Duration::ZERO });
    }
}
