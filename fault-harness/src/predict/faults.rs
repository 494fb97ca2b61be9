//! The faults that a prediction supports: those on nodes, the dependency, the registry and frontends.

use super::event_queue::ScheduledEvent;
use super::Prediction;
use crate::history::{Event, ProcessExit};
use crate::model::frontend::AttemptOutcome;
use crate::model::interpreter::{InterpreterModel, InterpreterSpec};
use crate::model::{ms_of_seconds, Ms};
use crate::scenario::{Fault, FaultKind};

impl Prediction<'_> {
    /// Records the start of a fault, activates it, and schedules its end if it has a duration.
    pub(super) fn begin_fault(&mut self, position: usize) {
        let injection = &self.schedule.injections[position];
        let Fault { what, duration_s, down_s, .. } = injection.fault;
        let duration = ms_of_seconds(duration_s.or(down_s).unwrap_or(0.0));
        let text = format!("{} {}", what.name(), injection.targets.len());
        let until = self.now + duration;
        self.note(Event::FaultInjected { text, until });
        if duration_s.is_some() {
            self.queue.schedule(until, ScheduledEvent::FaultEnd(position));
        }
        self.set_fault(position, true);
    }

    /// Activates or ends a fault for all its targets.
    pub(super) fn set_fault(&mut self, position: usize, on: bool) {
        let injection = self.schedule.injections[position].clone();
        let factor = if on { injection.fault.factor } else { 1.0 };
        match injection.fault.what {
            FaultKind::Dependency => {
                if let Some(dependency) = &mut self.dependency {
                    dependency.set_capacity_factor(factor);
                }
            }
            FaultKind::Registry => self.registry.set_unreachable(self.now, on),
            FaultKind::Frontends => {
                let targets = injection.targets.iter();
                targets.for_each(|frontend| self.frontends[*frontend].restart());
            }
            _ => injection.targets.iter().for_each(|node| self.set_node_fault(*node, &injection.fault, on)),
        }
    }

    fn set_node_fault(&mut self, node: usize, fault: &Fault, on: bool) {
        match fault.what {
            FaultKind::Kill | FaultKind::Shutdown if on => {
                self.take_down(node, fault.down_s.map(ms_of_seconds));
            }
            FaultKind::Pause => {
                self.nodes[node].is_paused = on;
                self.note(Event::Paused { node, paused: on });
                let events = self.nodes[node].interpreter.set_suspended(self.now, on);
                self.handle_interpreter_events(node, events);
            }
            FaultKind::Slow => {
                let events = self.nodes[node].interpreter.advance(self.now);
                self.nodes[node].interpreter.speed_factor = if on { fault.factor } else { 1.0 };
                self.handle_interpreter_events(node, events);
            }
            _ => {}
        }
    }

    /// Takes a node down, with the loss of its stored state and open attempts, and schedules its restart if
    /// there is a delay for it.
    pub(super) fn take_down(&mut self, node: usize, restart_after: Option<Ms>) {
        if !self.nodes[node].is_up {
            return;
        }
        self.note(Event::NodeDown { node, exit: ProcessExit::Killed });
        self.note(Event::StateLost { node });
        let now = self.now;
        let interpreter = self.cold_interpreter(node);
        let state = &mut self.nodes[node];
        state.is_up = false;
        state.interpreter = interpreter;
        state.queue.clear();
        state.keys.clear();
        self.fail_open_attempts(node);
        if let Some(delay) = restart_after {
            self.queue.schedule(now + delay, ScheduledEvent::NodeRestart(node));
        }
    }

    fn fail_open_attempts(&mut self, node: usize) {
        let at_node = self.attempts.iter().filter(|(_, attempt)| attempt.is_open && attempt.node == node);
        let open: Vec<u64> = at_node.map(|(id, _)| *id).collect();
        for id in open {
            if let Some(attempt) = self.attempts.get_mut(&id) {
                attempt.is_open = false;
                let request = attempt.request;
                self.end_attempt(request, node, AttemptOutcome::ConnectionLost);
            }
        }
    }

    /// Restarts a node, cold.
    pub(super) fn restart(&mut self, node: usize) {
        self.nodes[node].interpreter = self.cold_interpreter(node);
        self.nodes[node].is_up = true;
        self.note(Event::NodeUp { node, cold: true });
        self.send_heartbeats();
    }

    fn cold_interpreter(&self, node: usize) -> InterpreterModel {
        let spec = InterpreterSpec::of(&self.scenario.fleet, self.schedule.speeds[node]);
        InterpreterModel::new(spec, self.now, true)
    }
}
