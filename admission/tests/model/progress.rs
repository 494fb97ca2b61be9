//! Progress of runs and calls, and cancellation by callers.

use std::time::Duration;

use oakwind_admission::{Event, Outcome, RequestId};

use crate::{Attempt, ServerModel, State, LINGER_MICROS};

impl ServerModel {
    /// Advances running requests and calls to the current time; nothing finishes while `stalled`.
    pub(crate) fn advance_running(&mut self, stalled: bool) {
        let ids: Vec<_> = self.attempts.keys().copied().collect();
        for id in ids {
            let percent = self.random.below(100);
            let now = self.now;
            let answered_or_cancelled = |attempt: &Attempt| attempt.answers > 0 || attempt.cancelled;
            let Some(attempt) = self.attempts.get_mut(&id) else {
                continue;
            };
            let took = Duration::from_micros(now.saturating_sub(attempt.started_at));
            match attempt.state {
                State::Running if stalled || now < attempt.ends_at => {}
                State::Running if attempt.calls_left > 0 && self.settings.classes[attempt.class].calls => {
                    attempt.calls_left -= 1;
                    if answered_or_cancelled(attempt) {
                        attempt.state = State::Ended;
                        self.events.push(Event::Finished { id, outcome: Outcome::Cancelled, took });
                    } else {
                        attempt.state = State::AwaitingCall;
                        self.events.push(Event::CallNeeded(id));
                    }
                }
                State::Running => {
                    let outcome = if percent < 5 { Outcome::Error } else { Outcome::Ok };
                    attempt.answers += u32::from(!answered_or_cancelled(attempt));
                    attempt.state = State::Ended;
                    self.events.push(Event::Finished { id, outcome, took });
                }
                State::Calling if percent < self.call_return_percent => {
                    let outcome = match self.random.below(self.call_outcomes) {
                        0 => Outcome::Error,
                        1 => Outcome::Rejected,
                        2 => Outcome::TimedOut,
                        3 => Outcome::Unreachable,
                        4 => Outcome::CutOff,
                        _ => Outcome::Ok,
                    };
                    if outcome == Outcome::Ok {
                        attempt.state = State::Running;
                        attempt.ends_at = now + 50_000;
                    } else {
                        attempt.state = State::AwaitingCall;
                        attempt.call_may_have_run |=
                            matches!(outcome, Outcome::Error | Outcome::TimedOut | Outcome::CutOff);
                        if outcome == Outcome::TimedOut {
                            self.lingering.push(now + LINGER_MICROS);
                        }
                    }
                    self.events.push(Event::CallReturned { id, outcome, took });
                }
                State::Coalesced => {
                    let retry_of = self.attempts[&id].retry_of.expect("a coalesced attempt is a retry");
                    if self.attempts.get(&retry_of).is_none_or(|p| p.state == State::Ended) {
                        let attempt = self.attempts.get_mut(&id).expect("present");
                        attempt.answers += 1;
                        attempt.state = State::Ended;
                        self.events.push(Event::Finished { id, outcome: Outcome::Ok, took });
                    }
                }
                _ => {}
            }
            if self.random.below(2000) == 0 {
                self.cancel(id);
            }
        }
    }

    fn cancel(&mut self, id: RequestId) {
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
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
        let Some(attempt) = self.attempts.get_mut(&id) else {
            return;
        };
        if attempt.state == State::Calling {
            self.lingering.push(self.now + LINGER_MICROS);
        }
        attempt.state = State::Ended;
        self.events.push(Event::Finished { id, outcome: Outcome::Cancelled, took: Duration::ZERO });
    }
}
