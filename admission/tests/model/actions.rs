//! Carries out the actions of the admission module and checks that each is allowed.

use std::time::Duration;

use oakwind_admission::{Action, Effect, Event, Outcome, Preemption, RequestId, Signal};

use crate::{ServerModel, State, RUN_AFTER_CALL_MICROS};

impl ServerModel {
    /// Carries out the actions of a batch and checks that each is allowed.
    pub(crate) fn apply_all(&mut self, actions: &[Action]) {
        let mut failed = Vec::new();
        for action in actions {
            self.apply(action, &mut failed);
        }
        self.end_failed(failed);
    }

    /// Carries out an action and checks that it is allowed. Appends attempts that were failed to `failed`.
    fn apply(&mut self, action: &Action, failed: &mut Vec<RequestId>) {
        match *action {
            Action::Run(id) => self.run(id),
            Action::Reject { id, .. } => self.reject(id),
            Action::Fail(id) => {
                self.answer(id);
                failed.push(id);
            }
            Action::Coalesce(id) => self.coalesce(id),
            Action::RetainKey(id, retention) => self.retain_key(id, retention),
            Action::ReleaseKey(id) => self.retained_keys.retain(|_, entry| entry.0 != id),
            Action::Call(id, _) => self.call(id),
            Action::SkipCall(id) => self.skip_call(id),
            Action::Pause(id) => self.pause(id),
            Action::SetTimer(timer, span) => self.timers.push((self.now + span.as_micros() as u64, timer)),
            Action::Advertise(value) => {
                assert_ne!(self.settings.signal, Signal::Off, "advertised a value that callers do not use");
                assert!(value.is_finite() && value >= 0.0, "advertised the invalid value {value}");
            }
            Action::SetHealth { .. } | Action::IdleLimit(_) => {}
        }
    }

    fn coalesce(&mut self, id: RequestId) {
        let attempt = self.attempts.get_mut(&id).expect("the model has created this attempt");
        assert!(attempt.retry_of.is_some(), "{id:?} was coalesced although it is not a retry");
        if attempt.state == State::Queued {
            attempt.state = State::Coalesced;
        }
    }

    fn retain_key(&mut self, id: RequestId, retention: Duration) {
        let effect = self.attempts[&id].effect;
        if self.class(id).effect == Effect::IdempotencyKey {
            self.retained_keys.insert(effect, (id, self.now + retention.as_micros() as u64));
        }
    }

    fn call(&mut self, id: RequestId) {
        let class = self.class(id).effect;
        let attempt = self.attempts.get_mut(&id).expect("the model has created this attempt");
        if attempt.state == State::AwaitingCall {
            assert!(
                !attempt.call_may_have_run || class == Effect::Idempotent,
                "{id:?} repeated a call that may have taken effect although it is not idempotent"
            );
            attempt.state = State::Calling;
        }
    }

    fn skip_call(&mut self, id: RequestId) {
        assert!(self.class(id).skip_weight > 0.0, "{id:?} skipped a call that must not be skipped");
        let ends_at = self.now + RUN_AFTER_CALL_MICROS;
        let attempt = self.attempts.get_mut(&id).expect("the model has created this attempt");
        if attempt.state == State::AwaitingCall {
            attempt.state = State::Running;
            attempt.ends_at = ends_at;
        }
    }

    fn pause(&mut self, id: RequestId) {
        assert_ne!(self.settings.preemption, Preemption::Off, "{id:?} was paused without preemption");
        let loses_progress = self.settings.preemption == Preemption::Drop;
        let attempt = self.attempts.get_mut(&id).expect("the model has created this attempt");
        if attempt.state == State::Running {
            let answered_or_cancelled = attempt.answers > 0 || attempt.cancelled;
            attempt.state = match (answered_or_cancelled, loses_progress) {
                (true, _) => State::Ended,
                (false, true) => State::Queued,
                (false, false) => State::Paused,
            };
            let took = Duration::ZERO;
            self.events.push(Event::Finished { id, outcome: Outcome::Cancelled, took });
        }
    }

    fn run(&mut self, id: RequestId) {
        let now = self.now;
        let class = self.class(id).clone();
        let attempt = &self.attempts[&id];
        if attempt.state == State::Ended {
            self.events.push(Event::Finished { id, outcome: Outcome::Skipped, took: Duration::ZERO });
            return;
        }
        if !matches!(attempt.state, State::Queued | State::Paused) {
            return;
        }
        if let (State::Queued, Some((drain_notice, _))) = (attempt.state, self.drain_notice) {
            let grace = self.settings.drain_grace.as_micros() as u64;
            assert!(
                attempt.arrived <= drain_notice + grace,
                "{id:?} arrived after the grace period of the drain but was run"
            );
        }
        if attempt.state == State::Queued && class.effect != Effect::Idempotent {
            assert!(!attempt.ever_run, "{id:?} is not idempotent but was run again after preemption");
        }
        if class.effect == Effect::IdempotencyKey && attempt.state == State::Queued {
            let window = class.idempotency_window.as_micros() as u64;
            let ran_before = self.attempts.iter().any(|(other, other_attempt)| {
                *other != id
                    && other_attempt.effect == attempt.effect
                    && other_attempt.ever_run
                    && attempt.arrived <= other_attempt.arrived + window
            });
            assert!(
                !ran_before,
                "{id:?} was run although another attempt with its key had run within the window"
            );
        }
        let length = self.shortest_run_micros + self.random.below(self.run_spread_micros);
        let attempt = self.attempts.get_mut(&id).expect("the model has created this attempt");
        attempt.state = State::Running;
        attempt.ever_run = true;
        attempt.started_at = now;
        attempt.ends_at = now + length;
    }

    fn reject(&mut self, id: RequestId) {
        let repeatable = self.class(id).effect == Effect::Idempotent;
        assert!(
            repeatable || !self.attempts[&id].ever_run,
            "{id:?} was rejected although it had run and is not idempotent"
        );
        self.answer(id);
        let attempt = self.attempts.get_mut(&id).expect("the model has created this attempt");
        if matches!(attempt.state, State::Queued | State::Coalesced) {
            attempt.state = State::Ended;
        }
    }

    fn answer(&mut self, id: RequestId) {
        let attempt = self.attempts.get_mut(&id).expect("the model has created this attempt");
        if !attempt.cancelled && attempt.state != State::Ended {
            attempt.answers += 1;
            assert_eq!(attempt.answers, 1, "{id:?} was answered twice");
        }
    }

    /// Ends the attempts that were answered with a failure while they were not running.
    fn end_failed(&mut self, failed: Vec<RequestId>) {
        for id in failed {
            match self.attempts[&id].state {
                State::Queued | State::Paused | State::Coalesced => {
                    self.attempts.get_mut(&id).expect("the model has created this attempt").state =
                        State::Ended;
                }
                State::AwaitingCall | State::Calling => self.end_waiting_for_call(id),
                _ => {}
            }
        }
    }
}
