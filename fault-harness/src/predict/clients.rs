//! Clients and frontends of a prediction: the progress of each request, attempt by attempt.

use super::event_queue::ScheduledEvent;
use super::Prediction;
use crate::history::Event;
use crate::model::frontend::{AttemptOutcome, AttemptPolicy, Frontend, NextStep, RequestProgress};
use crate::model::Ms;

/// A request that has not ended.
pub(super) struct OpenRequest {
    progress: RequestProgress,
    attempts: u32,
}

impl Prediction<'_> {
    /// Sends the request of a client.
    pub(super) fn send(&mut self, request: usize) {
        let sent = self.schedule.requests[request].clone();
        self.note(Event::RequestSent { request, class: sent.class, repeats: sent.repeats });
        let first_node = sent.repeats.and_then(|first| self.first_nodes.get(&first).copied());
        let policy = AttemptPolicy::of(sent.repeats.is_some(), first_node, self.scenario.load.repeat_at);
        let deadline = self.now + self.scenario.classes[sent.class].deadline_ms as f64;
        let progress = RequestProgress::new(deadline, policy, &self.frontends[sent.frontend]);
        self.open_requests.insert(request, OpenRequest { progress, attempts: 0 });
        self.take_next_step(request, RequestProgress::proceed);
    }

    /// Continues with a request after its backoff.
    pub(super) fn proceed_after_backoff(&mut self, request: usize) {
        self.take_next_step(request, RequestProgress::proceed);
    }

    /// Handles the end of an attempt.
    pub(super) fn end_attempt(&mut self, request: usize, node: usize, outcome: AttemptOutcome) {
        self.take_next_step(request, |progress, now, frontend, listed| {
            progress.on_outcome(now, node, outcome, frontend, listed)
        });
    }

    /// Determines the next step of a request with `next`, and takes it.
    fn take_next_step(
        &mut self,
        request: usize,
        next: impl FnOnce(&mut RequestProgress, Ms, &mut Frontend, &[bool]) -> NextStep,
    ) {
        let frontend = self.schedule.requests[request].frontend;
        let seen_at = self.now - self.schedule.frontends[frontend].registry_delay;
        let listed = self.registry.listed_at(self.now, seen_at);
        let Some(open) = self.open_requests.get_mut(&request) else { return };
        match next(&mut open.progress, self.now, &mut self.frontends[frontend], &listed) {
            NextStep::Attempt(node) => {
                open.attempts += 1;
                self.first_nodes.entry(request).or_insert(node);
                self.arrive(request, node);
            }
            NextStep::WaitUntil(until) => self.queue.schedule(until, ScheduledEvent::BackoffElapsed(request)),
            NextStep::Finished(outcome) => {
                let attempts = open.attempts;
                self.open_requests.remove(&request);
                self.note(Event::RequestEnded { request, outcome, attempts });
            }
        }
    }
}
