//! The faults of a play: when each strikes, what it does, and how it ends.

use std::rc::Rc;

use tokio::task::spawn_local;

use super::testbed::Testbed;
use crate::history::Event;
use crate::model::Ms;
use crate::node::Machine;
use crate::scenario::{Directions, Fault, FaultKind, Link, Traffic};
use crate::schedule::{Injection, InjectionTime};

/// One node hears of a membership configuration so much later than the one before it.
const ANNOUNCEMENT_INTERVAL: Ms = 100.0;

impl Testbed {
    /// Arms the faults: those with a time, and those that wait for an event.
    pub(super) fn arm(self: &Rc<Self>) {
        let begun = self.context.begun.get();
        for injection in &self.context.schedule.injections {
            match injection.at {
                InjectionTime::Time(at) => self.strike_at(begun + at + injection.delay, injection.clone()),
                InjectionTime::Event { .. } => self.pending_injections.borrow_mut().push(injection.clone()),
            }
        }
        let listening = Rc::downgrade(self);
        self.context.listen(move |node, what, count| {
            let Some(testbed) = listening.upgrade() else { return };
            testbed.strike_on(InjectionTime::Event { node, event: what, count });
        });
    }

    fn strike_at(self: &Rc<Self>, at: Ms, injection: Injection) {
        let testbed = self.clone();
        spawn_local(async move {
            testbed.context.clock.until(at).await;
            testbed.strike(&injection);
        });
    }

    /// Strikes with the faults that wait for this event.
    fn strike_on(self: &Rc<Self>, event: InjectionTime) {
        let strikes: Vec<Injection> = {
            let mut pending = self.pending_injections.borrow_mut();
            let (now, later) =
                std::mem::take(&mut *pending).into_iter().partition(|injection| injection.at == event);
            *pending = later;
            now
        };
        for injection in strikes {
            if injection.delay == 0.0 {
                // At once: a moment later the node would be further on.
                self.strike(&injection);
            } else {
                self.strike_at(self.context.now() + injection.delay, injection);
            }
        }
    }

    /// Does what a fault does, and sees to its end.
    fn strike(self: &Rc<Self>, injection: &Injection) {
        let fault = &injection.fault;
        let lasts = fault.duration_s.unwrap_or(0.0) * 1000.0;
        let down = fault.down_s.map(|seconds| seconds * 1000.0);
        let until = self.context.now() + lasts.max(down.unwrap_or(0.0));
        self.context.note(Event::FaultInjected { text: describe(injection), until });
        let struck = || self.machines_of(injection);
        match fault.what {
            FaultKind::Kill => struck().for_each(|machine| machine.kill(down, fault, injection.random)),
            FaultKind::Shutdown => struck().for_each(|machine| machine.leave(down, fault, injection.random)),
            FaultKind::Reload => struck().for_each(|machine| machine.reload()),
            FaultKind::Pause => self.pause(injection, until),
            FaultKind::Slow => self.slow_down(injection, until),
            FaultKind::Partition => self.partition(injection, until),
            FaultKind::Link => {
                self.disturb(injection, &fault.between, fault.direction, &fault.traffic, until)
            }
            FaultKind::Dependency => self.weaken_dependency(fault.factor, until),
            FaultKind::Registry => self.deafen_members(until),
            FaultKind::Frontends => self.restart_frontends(injection),
            FaultKind::RemoveMembers => self.remove_from_membership(&injection.targets),
            FaultKind::AddMembers => self.change_membership(|listed| listed.extend(&injection.targets)),
        }
    }

    fn machines_of<'a>(&'a self, injection: &'a Injection) -> impl Iterator<Item = &'a Rc<Machine>> {
        injection.targets.iter().filter_map(|node| self.machines.get(*node))
    }

    fn pause(self: &Rc<Self>, injection: &Injection, until: Ms) {
        let program_only = injection.fault.program_only;
        self.machines_of(injection).for_each(|machine| machine.set_paused(true, program_only));
        self.undo_at(until, injection, |machine, fault| machine.set_paused(false, fault.program_only));
    }

    fn slow_down(self: &Rc<Self>, injection: &Injection, until: Ms) {
        let factor = injection.fault.factor;
        self.machines_of(injection).for_each(|machine| machine.interpreter.slow(factor));
        self.undo_at(until, injection, |machine, _| machine.interpreter.slow(1.0));
    }

    fn partition(self: &Rc<Self>, injection: &Injection, until: Ms) {
        let silent = Traffic { blackhole: true, ..Traffic::default() };
        let links = [Link::Frontends, Link::Dependency, Link::Registry, Link::Peers];
        self.disturb(injection, &links, Directions::Both, &silent, until);
    }

    fn weaken_dependency(&self, factor: f64, until: Ms) {
        let Some(dependency) = self.dependency.clone() else { return };
        dependency.weaken(factor);
        let clock = self.context.clock;
        spawn_local(async move {
            clock.until(until).await;
            dependency.weaken(1.0);
        });
    }

    /// The membership service hears nobody until then.
    fn deafen_members(&self, until: Ms) {
        self.members.borrow_mut().set_unreachable(self.context.now(), true);
        let (members, clock) = (self.members.clone(), self.context.clock);
        spawn_local(async move {
            clock.until(until).await;
            members.borrow_mut().set_unreachable(clock.now(), false);
        });
    }

    fn restart_frontends(&self, injection: &Injection) {
        let struck = injection.targets.iter().filter_map(|position| self.frontends.get(*position));
        struck.for_each(|frontend| frontend.restart());
    }

    fn remove_from_membership(&self, nodes: &[usize]) {
        self.change_membership(|listed| listed.retain(|node| !nodes.contains(node)));
    }

    /// Announces the next membership configuration to all nodes, one after the other.
    fn change_membership(&self, change: impl FnOnce(&mut Vec<usize>)) {
        let newest = self.machines.iter().map(|machine| machine.list.borrow().clone());
        let Some((version, before)) = newest.min_by_key(|(version, _)| std::cmp::Reverse(*version)) else {
            return;
        };
        let mut listed = before.clone();
        change(&mut listed);
        listed.sort_unstable();
        listed.dedup();
        // Nodes that join later are in it already.
        let version = if listed == before { version } else { version + 1 };
        for (position, machine) in self.machines.iter().cloned().enumerate() {
            let (clock, listed) = (self.context.clock, listed.clone());
            spawn_local(async move {
                clock.until(clock.now() + position as f64 * ANNOUNCEMENT_INTERVAL).await;
                machine.apply_membership(version, &listed);
            });
        }
    }

    /// Undoes a fault for all nodes that it struck.
    fn undo_at(
        self: &Rc<Self>,
        at: Ms,
        injection: &Injection,
        undo: impl Fn(&Rc<Machine>, &Fault) + 'static,
    ) {
        let (testbed, injection) = (self.clone(), injection.clone());
        spawn_local(async move {
            testbed.context.clock.until(at).await;
            testbed.machines_of(&injection).for_each(|machine| undo(machine, &injection.fault));
        });
    }
}

/// A fault in words, for the history and the charts.
fn describe(injection: &Injection) -> String {
    let what = injection.fault.what.name();
    match (&injection.fault.zone, injection.targets.len()) {
        (_, 0) => what.to_string(),
        (Some(zone), _) => format!("{what} {zone}"),
        (None, 1) if injection.fault.what != FaultKind::Frontends => {
            format!("{what} n{}", injection.targets[0] + 1)
        }
        (None, count) => format!("{what} {count}"),
    }
}
