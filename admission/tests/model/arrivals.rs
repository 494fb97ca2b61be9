//! Random arrivals, and the attempt that each retry names.

use std::time::Duration;

use oakwind_admission::{Arrival, ClassId, Effect, Event, RequestId, TenantId};

use crate::settings::ms;
use crate::{Attempt, ServerModel, State};

impl ServerModel {
    /// Adds an arrival of a random class, which may be a retry.
    pub(crate) fn arrive(&mut self) {
        let id = RequestId(self.next_id);
        self.next_id += 1;
        let class = self.random.below(self.settings.classes.len() as u64) as usize;
        let keyed = self.settings.classes[class].effect == Effect::IdempotencyKey;
        let effect = self.random_effect(class);
        let age = self.random.below(40) * 1000;
        let arrived = self.now - age;
        let repeats = if keyed { self.known_attempt(effect, arrived) } else { None };
        let deadline = self.settings.classes[class].deadline.as_micros() as u64;
        let remaining_time = 200_000 + self.random.below(deadline);
        let deadline =
            if self.settings.sends_deadline { self.now + remaining_time } else { arrived + deadline };
        let memory_kb = 1.0 + self.random.below(30) as f64;
        self.attempts.insert(
            id,
            Attempt {
                class,
                effect,
                memory_kb,
                arrived,
                deadline: deadline.max(self.now),
                state: State::Queued,
                answers: 0,
                ever_run: false,
                cancelled: false,
                retry_of: repeats,
                call_may_have_run: false,
                ends_at: 0,
                calls_left: self.random.below(3) as u32,
                started_at: 0,
            },
        );
        self.events.push(Event::Arrived(Arrival {
            retry_of: repeats,
            tenant: TenantId(self.random.below(3) as u16),
            cost_hint: (self.random.chance(50) && self.sends_hints).then(|| ms(1 + self.random.below(500))),
            memory_kb,
            age: Duration::from_micros(age),
            rank: self.random.below(100) as f64 / 100.0,
            remaining_time: Some(Duration::from_micros(remaining_time)),
            ..Arrival::new(id, ClassId(class as u16))
        }));
    }

    /// The effect of an arrival: a new one or, for a class with idempotency keys, possibly that of the last
    /// attempt of the class, which makes the arrival a retry.
    fn random_effect(&mut self, class: usize) -> u32 {
        let new_effect = self.next_id;
        let keyed = self.settings.classes[class].effect == Effect::IdempotencyKey;
        if !keyed || !self.random.chance(50) {
            return new_effect;
        }
        let same_class = self.attempts.values().filter(|attempt| attempt.class == class);
        same_class.map(|attempt| attempt.effect).next_back().unwrap_or(new_effect)
    }

    /// The attempt that a retry with an idempotency key names: that of the retained key, an attempt of the
    /// same batch, or one that has run within the window.
    fn known_attempt(&self, effect: u32, arrived: u64) -> Option<RequestId> {
        if let Some((id, until)) = self.retained_keys.get(&effect) {
            if *until > arrived {
                return Some(*id);
            }
        }
        let batch = self.events.iter().rev().find_map(|e| match e {
            Event::Arrived(a) if self.attempts[&a.id].effect == effect => Some(a.id),
            _ => None,
        });
        let ran = self.attempts.iter().filter(|(_, attempt)| attempt.effect == effect && attempt.ever_run);
        let window =
            |attempt: &Attempt| self.settings.classes[attempt.class].idempotency_window.as_micros() as u64;
        let ran = ran
            .filter(|(_, attempt)| arrived <= attempt.arrived + window(attempt))
            .map(|(id, _)| *id)
            .next_back();
        batch.or(ran)
    }
}
