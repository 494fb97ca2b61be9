//! Disturbed links: which lines a fault on links or a partition concerns, and for how long.

use std::rc::Rc;

use tokio::task::spawn_local;

use super::testbed::Testbed;
use crate::history::Event;
use crate::model::Ms;
use crate::node::Machine;
use crate::play_context::PlayContext;
use crate::relay::Line;
use crate::scenario::{Directions, FaultKind, Link, Traffic};
use crate::schedule::Injection;

/// The line between a node and a frontend, by their positions.
#[derive(Debug, Clone, Copy)]
struct ClientLink {
    node: usize,
    frontend: usize,
}

/// The lines that a fault disturbs.
#[derive(Default)]
struct DisturbedLines {
    /// Lines of a node with everything but other nodes; those with frontends say which.
    services: Vec<(Line, Option<ClientLink>)>,
    /// Lines among nodes, and which direction suffers.
    peers: Vec<(Line, Directions)>,
}

impl DisturbedLines {
    fn disturb(&self, number: u64, way: Directions, traffic: &Traffic) {
        self.services.iter().for_each(|(line, _)| line.disturb(number, way, traffic));
        self.peers.iter().for_each(|(line, way)| line.disturb(number, *way, traffic));
    }

    fn mend(&self, number: u64) {
        self.services.iter().for_each(|(line, _)| line.mend(number));
        self.peers.iter().for_each(|(line, _)| line.mend(number));
    }

    fn note_clients(&self, on: bool, context: &PlayContext) {
        for link in self.services.iter().filter_map(|(_, link)| *link) {
            context.note(Event::LinkDisturbed {
                node: link.node,
                frontend: Some(link.frontend),
                disturbed: on,
            });
        }
    }

    fn note_peers(&self, on: bool, context: &PlayContext) {
        if !self.peers.is_empty() {
            context.note(Event::PeerLinksDisturbed { disturbed: on });
        }
    }
}

impl Testbed {
    /// Disturbs lines of the nodes struck, until then.
    pub(super) fn disturb(
        &self,
        injection: &Injection,
        between: &[Link],
        way: Directions,
        traffic: &Traffic,
        until: Ms,
    ) {
        let number = self.next_disturbance.replace(self.next_disturbance.get() + 1);
        let lines = self.disturbed_lines(injection, between, way);
        lines.note_clients(true, &self.context);
        lines.disturb(number, way, traffic);
        lines.note_peers(true, &self.context);
        let context = self.context.clone();
        spawn_local(async move {
            context.clock.until(until).await;
            lines.mend(number);
            lines.note_clients(false, &context);
            lines.note_peers(false, &context);
        });
    }

    fn disturbed_lines(&self, injection: &Injection, between: &[Link], way: Directions) -> DisturbedLines {
        let mut lines = DisturbedLines::default();
        for node in &injection.targets {
            let Some(machine) = self.machines.get(*node) else { continue };
            for link in between {
                match link {
                    Link::Frontends => self.add_client_lines(injection, *node, machine, &mut lines),
                    Link::Interpreter => lines.services.push((machine.vm.clone(), None)),
                    Link::Dependency => lines.services.push((machine.below.clone(), None)),
                    Link::Registry => lines.services.push((machine.members.clone(), None)),
                    Link::Peers => {
                        add_router_lines(injection, machine, way, &mut lines);
                        self.add_peer_lines(injection, machine, way, &mut lines);
                    }
                }
            }
        }
        lines
    }

    /// Lines with frontends. Frontends within a zone that is cut off still reach its nodes.
    fn add_client_lines(
        &self,
        injection: &Injection,
        node: usize,
        machine: &Rc<Machine>,
        lines: &mut DisturbedLines,
    ) {
        let zones = &self.context.scenario.fleet.zones;
        for (frontend, line) in machine.clients.iter().enumerate() {
            let zone = &zones[self.context.schedule.frontends[frontend].zone];
            let is_cut_off_too = injection.fault.zone.as_ref() == Some(zone);
            if injection.fault.what != FaultKind::Partition || !is_cut_off_too {
                lines.services.push((line.clone(), Some(ClientLink { node, frontend })));
            }
        }
    }

    /// Connections among nodes that replicate. A line is named after the node that dials it.
    fn add_peer_lines(
        &self,
        injection: &Injection,
        machine: &Rc<Machine>,
        way: Directions,
        lines: &mut DisturbedLines,
    ) {
        let names = self.context.scenario.node_names();
        let with = &injection.fault.with;
        for (other, dialled, dials) in &*machine.links.borrow() {
            let is_meant = with.is_empty() || with.contains(&names[*other]);
            if is_meant && !are_cut_off_together(injection, *other) {
                lines.peers.extend([(dialled.clone(), way), (dials.clone(), opposite(way))]);
            }
        }
    }
}

/// Datagrams of the virtual router, which have a line for each direction.
fn add_router_lines(
    injection: &Injection,
    machine: &Rc<Machine>,
    way: Directions,
    lines: &mut DisturbedLines,
) {
    for (other, to, from) in &*machine.peers.borrow() {
        if are_cut_off_together(injection, *other) {
            continue;
        }
        if way != Directions::From {
            lines.peers.push((to.clone(), Directions::Both));
        }
        if way != Directions::To {
            lines.peers.push((from.clone(), Directions::Both));
        }
    }
}

/// Whether another node is on the same side of a partition: such nodes hear each other.
fn are_cut_off_together(injection: &Injection, other: usize) -> bool {
    injection.fault.what == FaultKind::Partition && injection.targets.contains(&other)
}

fn opposite(way: Directions) -> Directions {
    match way {
        Directions::Both => Directions::Both,
        Directions::To => Directions::From,
        Directions::From => Directions::To,
    }
}
