//! The invariants that are checked after each step.

use std::time::Duration;

use oakwind_admission::Dependency;

use crate::{ServerModel, State, ANSWER_SLACK_MICROS, START_MICROS};

impl ServerModel {
    /// Checks deadlines, memory, concurrency and calls before the clock advances by `step` seconds.
    pub(crate) fn check_invariants(&mut self, step: f64) {
        let factor = self.settings.running_memory_factor;
        let mut memory = self.retained_keys.values().filter(|e| e.1 > self.now).count() as f64
            * self.settings.key_memory_kb;
        let (mut running, mut calling) = (0.0, 0.0);
        for (id, attempt) in &self.attempts {
            match attempt.state {
                State::Ended => {}
                State::Queued | State::Coalesced => memory += attempt.memory_kb,
                _ => memory += attempt.memory_kb * factor,
            }
            running += f64::from(u8::from(attempt.state == State::Running));
            calling += f64::from(u8::from(attempt.state == State::Calling));
            let unanswered = attempt.answers == 0 && !attempt.cancelled;
            assert!(
                !unanswered || self.now <= attempt.deadline + ANSWER_SLACK_MICROS,
                "{id:?} is unanswered past its deadline in state {:?}",
                attempt.state
            );
        }
        assert!(memory <= self.settings.memory_kb, "memory: {memory} of {} kB", self.settings.memory_kb);
        let now = self.now;
        self.lingering.retain(|until| *until > now);
        calling += self.lingering.len() as f64;
        let settings = &self.settings;
        let decay_factor = |span: Duration| (-step / span.as_secs_f64()).exp();
        let decay = decay_factor(self.concurrency_span);
        self.concurrency = self.concurrency * decay + running * (1.0 - decay);
        let warm_up_fraction = if settings.cold {
            let part = (self.now - START_MICROS) as f64 / settings.warm_up_time.as_micros() as f64;
            (settings.cold_speed + (1.0 - settings.cold_speed) * part).min(1.0)
        } else {
            1.0
        };
        let max_safe_concurrency =
            f64::from(settings.cores) * (1.0 + (settings.max_concurrency_per_core - 1.0) * warm_up_fraction);
        assert!(
            self.concurrency <= max_safe_concurrency,
            "mean concurrency {} over {max_safe_concurrency}",
            self.concurrency
        );
        if let Dependency::Shared { share, averaging_time, .. } = settings.dependency {
            let decay = decay_factor(averaging_time);
            self.calls = self.calls * decay + calling * (1.0 - decay);
            assert!(self.calls <= share, "mean concurrent calls {} over {share}", self.calls);
        }
    }
}
