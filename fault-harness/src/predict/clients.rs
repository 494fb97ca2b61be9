//! Clients and frontends: a request's way from its sending to its end, attempt by attempt.

use super::event_queue::ScheduledEvent;
use super::Prediction;
use crate::history::Event;
use crate::model::frontend::{Answer, Front, Journey, Pin, Step};
use crate::model::Ms;

/// A request that is not over yet.
pub(super) struct OpenRequest {
    journey: Journey,
    attempts: u32,
}

impl Prediction<'_> {
    /// A client sends a request.
    pub(super) fn send(&mut self, request: usize) {
        let sent = self.schedule.requests[request].clone();
        self.note(Event::Asked { n: request, class: sent.class, repeats: sent.repeats });
        let first_node = sent.repeats.and_then(|first| self.first_nodes.get(&first).copied());
        let pin = Pin::of(sent.repeats.is_some(), first_node, self.scenario.load.repeat_at);
        let deadline = self.now + self.scenario.classes[sent.class].deadline_ms as f64;
        let journey = Journey::new(deadline, pin, &self.frontends[sent.front]);
        self.open_requests.insert(request, OpenRequest { journey, attempts: 0 });
        self.step(request, Journey::go);
    }

    /// Goes on with a request after a wait.
    pub(super) fn resume(&mut self, request: usize) {
        self.step(request, Journey::go);
    }

    /// An attempt of a request is over.
    pub(super) fn attempt_over(&mut self, request: usize, node: usize, answer: Answer) {
        self.step(request, |journey, now, front, listed| journey.answered(now, node, answer, front, listed));
    }

    fn step(&mut self, request: usize, next: impl FnOnce(&mut Journey, Ms, &mut Front, &[bool]) -> Step) {
        let frontend = self.schedule.requests[request].front;
        let seen_at = self.now - self.schedule.frontends[frontend].registry_delay;
        let listed = self.members.listed_at(self.now, seen_at);
        let Some(open) = self.open_requests.get_mut(&request) else { return };
        match next(&mut open.journey, self.now, &mut self.frontends[frontend], &listed) {
            Step::Try(node) => {
                open.attempts += 1;
                self.first_nodes.entry(request).or_insert(node);
                self.arrive(request, node);
            }
            Step::Wait(until) => self.queue.schedule(until, ScheduledEvent::Resume(request)),
            Step::Over(end) => {
                let tries = open.attempts;
                self.open_requests.remove(&request);
                self.note(Event::Over { n: request, end, tries });
            }
        }
    }
}
