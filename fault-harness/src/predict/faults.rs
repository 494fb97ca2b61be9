//! Faults of a prediction: those on nodes, on the dependency, on the membership service and on frontends.

use super::event_queue::ScheduledEvent;
use super::Prediction;
use crate::history::{Event, ProcessExit};
use crate::model::frontend::Answer;
use crate::model::interpreter::{InterpreterModel, InterpreterSpec};
use crate::model::Ms;
use crate::scenario::{Fault, FaultKind};

impl Prediction<'_> {
    /// A fault begins.
    pub(super) fn begin_fault(&mut self, position: usize) {
        let strike = &self.schedule.strikes[position];
        let Fault { what, duration_s, down_s, .. } = strike.fault;
        let lasts = duration_s.or(down_s).unwrap_or(0.0) * 1000.0;
        let text = format!("{} {}", what.name(), strike.whom.len());
        let until = self.now + lasts;
        self.note(Event::Fault { text, until });
        if duration_s.is_some() {
            self.queue.schedule(until, ScheduledEvent::FaultEnd(position));
        }
        self.set_fault(position, true);
    }

    /// Sets a fault on or off for all that it strikes.
    pub(super) fn set_fault(&mut self, position: usize, on: bool) {
        let strike = self.schedule.strikes[position].clone();
        let factor = if on { strike.fault.factor } else { 1.0 };
        match strike.fault.what {
            FaultKind::Dependency => {
                if let Some(dependency) = &mut self.dependency {
                    dependency.weaken(factor);
                }
            }
            FaultKind::Registry => self.members.deaf(self.now, on),
            FaultKind::Frontends => strike.whom.iter().for_each(|front| self.frontends[*front].restart()),
            _ => strike.whom.iter().for_each(|node| self.set_node_fault(*node, &strike.fault, on)),
        }
    }

    fn set_node_fault(&mut self, node: usize, fault: &Fault, on: bool) {
        match fault.what {
            FaultKind::Kill | FaultKind::Shutdown if on => {
                self.take_down(node, fault.down_s.map(|seconds| seconds * 1000.0));
            }
            FaultKind::Pause => {
                self.nodes[node].is_paused = on;
                self.note(Event::Still { node, still: on });
                let happened = self.nodes[node].vm.set_paused(self.now, on);
                self.take_in(node, happened);
            }
            FaultKind::Slow => {
                let happened = self.nodes[node].vm.advance(self.now);
                self.nodes[node].vm.factor = if on { fault.factor } else { 1.0 };
                self.take_in(node, happened);
            }
            _ => {}
        }
    }

    /// Takes a node down with all that it knows; it may be restarted after a while.
    pub(super) fn take_down(&mut self, node: usize, restart_after: Option<Ms>) {
        if !self.nodes[node].is_up {
            return;
        }
        self.note(Event::Down { node, way: ProcessExit::Killed });
        self.note(Event::Wiped { node });
        let now = self.now;
        let vm = self.cold_interpreter(node);
        let place = &mut self.nodes[node];
        (place.is_up, place.vm) = (false, vm);
        place.queue.clear();
        place.keys.clear();
        self.fail_open_attempts(node);
        if let Some(delay) = restart_after {
            self.queue.schedule(now + delay, ScheduledEvent::NodeRestart(node));
        }
    }

    fn fail_open_attempts(&mut self, node: usize) {
        let at_node = self.attempts.iter().filter(|(_, attempt)| attempt.is_open && attempt.node == node);
        let lost: Vec<u64> = at_node.map(|(id, _)| *id).collect();
        for id in lost {
            if let Some(attempt) = self.attempts.get_mut(&id) {
                attempt.is_open = false;
                let request = attempt.request;
                self.attempt_over(request, node, Answer::Gone);
            }
        }
    }

    /// A node is up again, cold.
    pub(super) fn restart(&mut self, node: usize) {
        self.nodes[node].vm = self.cold_interpreter(node);
        self.nodes[node].is_up = true;
        self.note(Event::Up { node, cold: true });
        self.report();
    }

    fn cold_interpreter(&self, node: usize) -> InterpreterModel {
        let make = InterpreterSpec::of(&self.scenario.fleet, self.schedule.speeds[node]);
        InterpreterModel::new(make, self.now, true)
    }
}
