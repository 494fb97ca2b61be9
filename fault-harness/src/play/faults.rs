//! The faults of a play: when each is injected, what it does, and how it ends.

use std::cmp::Reverse;
use std::rc::Rc;

use tokio::task::spawn_local;

use super::disturbance::LinkFault;
use super::testbed::Testbed;
use crate::history::Event;
use crate::model::Ms;
use crate::node::{Machine, Membership};
use crate::scenario::{Directions, Fault, FaultKind, Link, Traffic};
use crate::schedule::{At, Strike};

/// A second has so many milliseconds.
const MS_PER_S: f64 = 1000.0;
/// One node learns of a membership configuration so much later than the one before it.
const ANNOUNCEMENT_INTERVAL: Ms = 100.0;

impl Testbed {
    /// Arms the faults: those with a time, and those that wait for an event.
    pub(super) fn arm(self: &Rc<Self>) {
        let load_start = self.context.load_start.get();
        for strike in &self.context.schedule.strikes {
            match strike.at {
                At::Time(at) => self.inject_at(load_start + at + strike.after, strike.clone()),
                At::Event(..) => self.pending_faults.borrow_mut().push(strike.clone()),
            }
        }
        let testbed = Rc::downgrade(self);
        self.context.set_listener(move |occurrence| {
            let Some(testbed) = testbed.upgrade() else { return };
            testbed.inject_on(At::Event(occurrence.node, occurrence.event, occurrence.count));
        });
    }

    fn inject_at(self: &Rc<Self>, at: Ms, strike: Strike) {
        let testbed = self.clone();
        spawn_local(async move {
            testbed.context.clock.until(at).await;
            testbed.inject(&strike);
        });
    }

    /// Injects the faults that wait for this event.
    fn inject_on(self: &Rc<Self>, event: At) {
        for strike in self.take_pending(event) {
            if strike.after == 0.0 {
                // At once: a moment later the node would be further on.
                self.inject(&strike);
            } else {
                self.inject_at(self.context.now() + strike.after, strike);
            }
        }
    }

    fn take_pending(&self, event: At) -> Vec<Strike> {
        let mut pending = self.pending_faults.borrow_mut();
        let all = std::mem::take(&mut *pending);
        let (due, waiting) = all.into_iter().partition(|strike| strike.at == event);
        *pending = waiting;
        due
    }

    /// Injects a fault now, and ends it at its time.
    fn inject(self: &Rc<Self>, strike: &Strike) {
        let fault = &strike.fault;
        let duration = fault.duration_s.map_or(0.0, milliseconds);
        let down = fault.down_s.map(milliseconds);
        let until = self.context.now() + duration.max(down.unwrap_or(0.0));
        self.context.note(Event::Fault { text: describe(strike), until });
        match fault.what {
            FaultKind::Kill => {
                self.machines_of(strike).for_each(|machine| machine.kill(down, fault, strike.draw));
            }
            FaultKind::Shutdown => {
                self.machines_of(strike).for_each(|machine| machine.shut_down(down, fault, strike.draw));
            }
            FaultKind::Reload => self.machines_of(strike).for_each(|machine| machine.reload()),
            FaultKind::Pause => self.pause(strike, until),
            FaultKind::Slow => self.slow_down(strike, until),
            FaultKind::Partition => self.partition(strike, until),
            FaultKind::Link => self.disturb_links(strike, until),
            FaultKind::Dependency => self.weaken_dependency(fault.factor, until),
            FaultKind::Registry => self.interrupt_registry(until),
            FaultKind::Frontends => self.restart_frontends(strike),
            FaultKind::RemoveMembers => self.remove_from_membership(&strike.whom),
            FaultKind::AddMembers => self.change_membership(|members| members.extend(&strike.whom)),
        }
    }

    fn machines_of<'a>(&'a self, strike: &'a Strike) -> impl Iterator<Item = &'a Rc<Machine>> {
        strike.whom.iter().filter_map(|node| self.machines.get(*node))
    }

    fn pause(self: &Rc<Self>, strike: &Strike, until: Ms) {
        let program_only = strike.fault.program_only;
        self.machines_of(strike).for_each(|machine| machine.set_paused(true, program_only));
        self.undo_at(until, strike, |machine, fault| machine.set_paused(false, fault.program_only));
    }

    fn slow_down(self: &Rc<Self>, strike: &Strike, until: Ms) {
        let factor = strike.fault.factor;
        self.machines_of(strike).for_each(|machine| machine.interpreter.set_speed_factor(factor));
        self.undo_at(until, strike, |machine, _| machine.interpreter.set_speed_factor(1.0));
    }

    fn partition(&self, strike: &Strike, until: Ms) {
        let links = [Link::Frontends, Link::Dependency, Link::Registry, Link::Peers];
        let traffic = Traffic { blackhole: true, ..Traffic::default() };
        self.disturb(
            strike,
            &LinkFault { links: &links, directions: Directions::Both, traffic: &traffic, until },
        );
    }

    fn disturb_links(&self, strike: &Strike, until: Ms) {
        let Fault { between, direction, traffic, .. } = &strike.fault;
        self.disturb(strike, &LinkFault { links: between, directions: *direction, traffic, until });
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

    /// The membership service receives no reports until then.
    fn interrupt_registry(&self, until: Ms) {
        self.members.borrow_mut().deaf(self.context.now(), true);
        let members = self.members.clone();
        let clock = self.context.clock;
        spawn_local(async move {
            clock.until(until).await;
            members.borrow_mut().deaf(clock.now(), false);
        });
    }

    fn restart_frontends(&self, strike: &Strike) {
        let struck = strike.whom.iter().filter_map(|position| self.frontends.get(*position));
        struck.for_each(|frontend| frontend.restart());
    }

    fn remove_from_membership(&self, nodes: &[usize]) {
        self.change_membership(|listed| listed.retain(|node| !nodes.contains(node)));
    }

    /// Announces the next membership configuration to all nodes, one after the other.
    fn change_membership(&self, change: impl FnOnce(&mut Vec<usize>)) {
        let newest = self.machines.iter().map(|machine| machine.membership.borrow().clone());
        // The first of those with the highest version.
        let Some(current) = newest.min_by_key(|membership| Reverse(membership.version)) else { return };
        let mut nodes = current.nodes.clone();
        change(&mut nodes);
        nodes.sort_unstable();
        nodes.dedup();
        // Nodes that join later are in it already.
        let version = if nodes == current.nodes { current.version } else { current.version + 1 };
        let next = Membership { version, nodes };
        for (position, machine) in self.machines.iter().cloned().enumerate() {
            let clock = self.context.clock;
            let membership = next.clone();
            spawn_local(async move {
                clock.until(clock.now() + position as f64 * ANNOUNCEMENT_INTERVAL).await;
                machine.apply_membership(&membership);
            });
        }
    }

    /// Undoes a fault for all nodes that it was injected into.
    fn undo_at(self: &Rc<Self>, at: Ms, strike: &Strike, undo: impl Fn(&Rc<Machine>, &Fault) + 'static) {
        let testbed = self.clone();
        let strike = strike.clone();
        spawn_local(async move {
            testbed.context.clock.until(at).await;
            testbed.machines_of(&strike).for_each(|machine| undo(machine, &strike.fault));
        });
    }
}

fn milliseconds(seconds: f64) -> Ms {
    seconds * MS_PER_S
}

/// A fault in words, for the history and the charts.
fn describe(strike: &Strike) -> String {
    let what = strike.fault.what.name();
    match (&strike.fault.zone, strike.whom.len()) {
        (_, 0) => what.to_string(),
        (Some(zone), _) => format!("{what} {zone}"),
        (None, 1) if strike.fault.what != FaultKind::Frontends => format!("{what} n{}", strike.whom[0] + 1),
        (None, count) => format!("{what} {count}"),
    }
}
