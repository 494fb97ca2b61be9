//! Fault injection: when each fault is injected, what it does, and how it is undone.

use std::cmp::Reverse;
use std::rc::Rc;

use tokio::task::spawn_local;

use super::disturbance::LinkFault;
use super::testbed::Testbed;
use crate::history::Event;
use crate::model::{ms_of_seconds, Ms};
use crate::node::{Membership, Node};
use crate::play_context::Occurrence;
use crate::scenario::{Directions, Fault, FaultKind, Link, Traffic};
use crate::schedule::{Injection, InjectionTime};

/// Delay between announcing a membership configuration to one node and to the next.
const ANNOUNCEMENT_INTERVAL: Ms = 100.0;

impl Testbed {
    /// Schedules the faults that have a time and registers those that wait for an event.
    pub(super) fn arm(self: &Rc<Self>) {
        let load_start = self.context.load_start.get();
        for injection in &self.context.schedule.injections {
            match injection.at {
                InjectionTime::Time(at) => {
                    self.inject_at(load_start + at + injection.delay, injection.clone());
                }
                InjectionTime::Event { .. } => self.pending_injections.borrow_mut().push(injection.clone()),
            }
        }
        let testbed = Rc::downgrade(self);
        self.context.set_listener(move |occurrence| {
            let Some(testbed) = testbed.upgrade() else { return };
            let Occurrence { node, event, count } = occurrence;
            testbed.inject_on(InjectionTime::Event { node, event, count });
        });
    }

    fn inject_at(self: &Rc<Self>, at: Ms, injection: Injection) {
        let testbed = self.clone();
        spawn_local(async move {
            testbed.context.clock.until(at).await;
            testbed.inject(&injection);
        });
    }

    /// Injects the pending faults that wait for this event.
    fn inject_on(self: &Rc<Self>, event: InjectionTime) {
        for injection in self.take_pending(event) {
            if injection.delay == 0.0 {
                // Injected synchronously: a spawned task would run after the node has progressed past the
                // event.
                self.inject(&injection);
            } else {
                self.inject_at(self.context.now() + injection.delay, injection);
            }
        }
    }

    fn take_pending(&self, event: InjectionTime) -> Vec<Injection> {
        let mut pending = self.pending_injections.borrow_mut();
        let all = std::mem::take(&mut *pending);
        let (due, waiting) = all.into_iter().partition(|injection| injection.at == event);
        *pending = waiting;
        due
    }

    /// Injects a fault now and undoes it after its duration.
    fn inject(self: &Rc<Self>, injection: &Injection) {
        let fault = &injection.fault;
        let duration = fault.duration_s.map_or(0.0, ms_of_seconds);
        let down = fault.down_s.map(ms_of_seconds);
        let until = self.context.now() + duration.max(down.unwrap_or(0.0));
        self.context.note(Event::FaultInjected { text: describe(injection), until });
        match fault.what {
            FaultKind::Kill => {
                self.nodes_of(injection).for_each(|node| node.kill(down, fault, injection.random));
            }
            FaultKind::Shutdown => {
                self.nodes_of(injection).for_each(|node| node.shut_down(down, fault, injection.random));
            }
            FaultKind::Reload => self.nodes_of(injection).for_each(|node| node.reload()),
            FaultKind::Pause => self.pause(injection, until),
            FaultKind::Slow => self.slow_down(injection, until),
            FaultKind::Partition => self.partition(injection, until),
            FaultKind::Link => self.disturb_links(injection, until),
            FaultKind::Dependency => self.reduce_dependency_capacity(fault.factor, until),
            FaultKind::Registry => self.interrupt_registry(until),
            FaultKind::Frontends => self.restart_frontends(injection),
            FaultKind::RemoveMembers => self.remove_from_membership(&injection.targets),
            FaultKind::AddMembers => self.change_membership(|members| members.extend(&injection.targets)),
        }
    }

    fn nodes_of<'a>(&'a self, injection: &'a Injection) -> impl Iterator<Item = &'a Rc<Node>> {
        injection.targets.iter().filter_map(|index| self.nodes.get(*index))
    }

    fn pause(self: &Rc<Self>, injection: &Injection, until: Ms) {
        let program_only = injection.fault.program_only;
        self.nodes_of(injection).for_each(|node| node.set_paused(true, program_only));
        self.undo_at(until, injection, |node, fault| node.set_paused(false, fault.program_only));
    }

    fn slow_down(self: &Rc<Self>, injection: &Injection, until: Ms) {
        let factor = injection.fault.factor;
        self.nodes_of(injection).for_each(|node| node.interpreter.set_speed_factor(factor));
        self.undo_at(until, injection, |node, _| node.interpreter.set_speed_factor(1.0));
    }

    fn partition(&self, injection: &Injection, until: Ms) {
        let links = [Link::Frontends, Link::Dependency, Link::Registry, Link::Peers];
        let traffic = Traffic { blackhole: true, ..Traffic::default() };
        self.disturb(
            injection,
            &LinkFault { links: &links, directions: Directions::Both, traffic: &traffic, until },
        );
    }

    fn disturb_links(&self, injection: &Injection, until: Ms) {
        let Fault { between, direction, traffic, .. } = &injection.fault;
        self.disturb(injection, &LinkFault { links: between, directions: *direction, traffic, until });
    }

    fn reduce_dependency_capacity(&self, factor: f64, until: Ms) {
        let Some(dependency) = self.dependency.clone() else { return };
        dependency.set_capacity_factor(factor);
        let clock = self.context.clock;
        spawn_local(async move {
            clock.until(until).await;
            dependency.set_capacity_factor(1.0);
        });
    }

    /// Drops the heartbeats for the registry until the given time.
    fn interrupt_registry(&self, until: Ms) {
        self.registry.borrow_mut().set_unreachable(self.context.now(), true);
        let registry = self.registry.clone();
        let clock = self.context.clock;
        spawn_local(async move {
            clock.until(until).await;
            registry.borrow_mut().set_unreachable(clock.now(), false);
        });
    }

    fn restart_frontends(&self, injection: &Injection) {
        let targets = injection.targets.iter().filter_map(|position| self.frontends.get(*position));
        targets.for_each(|frontend| frontend.restart());
    }

    fn remove_from_membership(&self, nodes: &[usize]) {
        self.change_membership(|listed| listed.retain(|node| !nodes.contains(node)));
    }

    /// Announces the next membership configuration to all nodes, one after the other at
    /// [`ANNOUNCEMENT_INTERVAL`].
    fn change_membership(&self, change: impl FnOnce(&mut Vec<usize>)) {
        let newest = self.nodes.iter().map(|node| node.membership.borrow().clone());
        // Among nodes with the same highest version, the first one is taken.
        let Some(current) = newest.min_by_key(|membership| Reverse(membership.version)) else { return };
        let mut nodes = current.nodes.clone();
        change(&mut nodes);
        nodes.sort_unstable();
        nodes.dedup();
        // If the nodes to be added are already in the newest configuration, its version is announced again.
        let version = if nodes == current.nodes { current.version } else { current.version + 1 };
        let next = Membership { version, nodes };
        for (position, node) in self.nodes.iter().cloned().enumerate() {
            let clock = self.context.clock;
            let membership = next.clone();
            spawn_local(async move {
                clock.until(clock.now() + position as f64 * ANNOUNCEMENT_INTERVAL).await;
                node.apply_membership(&membership);
            });
        }
    }

    /// Undoes a fault at the given time on all nodes that it was injected into.
    fn undo_at(self: &Rc<Self>, at: Ms, injection: &Injection, undo: impl Fn(&Rc<Node>, &Fault) + 'static) {
        let testbed = self.clone();
        let injection = injection.clone();
        spawn_local(async move {
            testbed.context.clock.until(at).await;
            testbed.nodes_of(&injection).for_each(|node| undo(node, &injection.fault));
        });
    }
}

/// A short description of a fault for the history and the charts, such as `kill n1`.
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
