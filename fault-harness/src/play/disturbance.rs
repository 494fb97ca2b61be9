//! Link faults and partitions: selects the relays that a fault affects and disturbs them until the fault
//! ends.

use std::rc::Rc;

use tokio::task::spawn_local;

use super::testbed::Testbed;
use crate::history::Event;
use crate::model::Ms;
use crate::node::Node;
use crate::play_context::PlayContext;
use crate::relay::Relay;
use crate::scenario::{Directions, FaultKind, Link, Traffic};
use crate::schedule::Injection;

/// A disturbance of the traffic on some links of the target nodes.
pub(super) struct LinkFault<'a> {
    /// The kinds of links that are disturbed.
    pub(super) links: &'a [Link],
    /// The disturbed direction, as seen from the target nodes.
    pub(super) directions: Directions,
    /// The effect on the traffic.
    pub(super) traffic: &'a Traffic,
    /// When the disturbance ends, on the play's clock.
    pub(super) until: Ms,
}

/// The link between a node and a frontend, identified by their positions.
#[derive(Debug, Clone, Copy)]
struct FrontendLink {
    node: usize,
    frontend: usize,
}

/// A relay between a node and a frontend or a service.
struct ServiceRelay {
    relay: Relay,
    /// The frontend link that the relay carries; absent for links to services.
    frontend: Option<FrontendLink>,
}

/// A relay between two nodes.
struct PeerRelay {
    relay: Relay,
    /// The disturbed direction, as seen from the node that opens the connections.
    directions: Directions,
}

/// The relays that a fault disturbs.
#[derive(Default)]
struct DisturbedRelays {
    services: Vec<ServiceRelay>,
    peers: Vec<PeerRelay>,
}

impl DisturbedRelays {
    fn add_service(&mut self, relay: &Relay) {
        self.services.push(ServiceRelay { relay: relay.clone(), frontend: None });
    }

    fn add_peer(&mut self, relay: &Relay, directions: Directions) {
        self.peers.push(PeerRelay { relay: relay.clone(), directions });
    }

    fn disturb(&self, number: u64, directions: Directions, traffic: &Traffic) {
        for service in &self.services {
            service.relay.disturb(number, directions, traffic);
        }
        for peer in &self.peers {
            peer.relay.disturb(number, peer.directions, traffic);
        }
    }

    fn restore(&self, number: u64) {
        for service in &self.services {
            service.relay.restore(number);
        }
        for peer in &self.peers {
            peer.relay.restore(number);
        }
    }

    fn note_frontends(&self, disturbed: bool, context: &PlayContext) {
        for link in self.services.iter().filter_map(|service| service.frontend) {
            context.note(Event::LinkDisturbed { node: link.node, frontend: Some(link.frontend), disturbed });
        }
    }

    fn note_peers(&self, disturbed: bool, context: &PlayContext) {
        if !self.peers.is_empty() {
            context.note(Event::PeerLinksDisturbed { disturbed });
        }
    }
}

impl Testbed {
    /// Disturbs the selected links of an injection's target nodes until the fault ends.
    pub(super) fn disturb(&self, injection: &Injection, fault: &LinkFault) {
        let number = self.next_disturbance.replace(self.next_disturbance.get() + 1);
        let relays = self.disturbed_relays(injection, fault);
        relays.note_frontends(true, &self.context);
        relays.disturb(number, fault.directions, fault.traffic);
        relays.note_peers(true, &self.context);
        let context = self.context.clone();
        let until = fault.until;
        spawn_local(async move {
            context.clock.until(until).await;
            relays.restore(number);
            relays.note_frontends(false, &context);
            relays.note_peers(false, &context);
        });
    }

    fn disturbed_relays(&self, injection: &Injection, fault: &LinkFault) -> DisturbedRelays {
        let mut disturbed = DisturbedRelays::default();
        for index in &injection.targets {
            let Some(node) = self.nodes.get(*index) else { continue };
            for link in fault.links {
                match link {
                    Link::Frontends => self.add_frontend_relays(injection, *index, node, &mut disturbed),
                    Link::Interpreter => disturbed.add_service(&node.relays.interpreter),
                    Link::Dependency => disturbed.add_service(&node.relays.dependency),
                    Link::Registry => disturbed.add_service(&node.relays.registry),
                    Link::Peers => {
                        add_router_relays(injection, node, fault.directions, &mut disturbed);
                        self.add_peer_relays(injection, node, fault.directions, &mut disturbed);
                    }
                }
            }
        }
        disturbed
    }

    /// Adds the relays between a node and the frontends. In a partition, frontends in the partitioned zone
    /// still reach the nodes of that zone.
    fn add_frontend_relays(
        &self,
        injection: &Injection,
        index: usize,
        node: &Rc<Node>,
        disturbed: &mut DisturbedRelays,
    ) {
        let zones = &self.context.scenario.fleet.zones;
        for (frontend, relay) in node.relays.frontends.iter().enumerate() {
            let zone = &zones[self.context.schedule.frontends[frontend].zone];
            let is_in_partition = injection.fault.zone.as_ref() == Some(zone);
            if injection.fault.what != FaultKind::Partition || !is_in_partition {
                let link = FrontendLink { node: index, frontend };
                disturbed.services.push(ServiceRelay { relay: relay.clone(), frontend: Some(link) });
            }
        }
    }

    /// Adds the relays for replication connections between a node and its peers.
    fn add_peer_relays(
        &self,
        injection: &Injection,
        node: &Rc<Node>,
        directions: Directions,
        disturbed: &mut DisturbedRelays,
    ) {
        let names = self.context.scenario.node_names();
        let with = &injection.fault.with;
        for relays in &*node.peer_relays.borrow() {
            let is_selected = with.is_empty() || with.contains(&names[relays.peer]);
            if is_selected && !are_on_same_side(injection, relays.peer) {
                disturbed.add_peer(&relays.outgoing, directions);
                disturbed.add_peer(&relays.incoming, opposite(directions));
            }
        }
    }
}

/// Adds the relays for the virtual router's datagrams, one for each direction.
fn add_router_relays(
    injection: &Injection,
    node: &Rc<Node>,
    directions: Directions,
    disturbed: &mut DisturbedRelays,
) {
    for relays in &*node.router_relays.borrow() {
        if are_on_same_side(injection, relays.peer) {
            continue;
        }
        if directions != Directions::From {
            disturbed.add_peer(&relays.incoming, Directions::Both);
        }
        if directions != Directions::To {
            disturbed.add_peer(&relays.outgoing, Directions::Both);
        }
    }
}

/// Whether another node is on the same side of the partition as the targets, so that they still reach each
/// other.
fn are_on_same_side(injection: &Injection, other: usize) -> bool {
    injection.fault.what == FaultKind::Partition && injection.targets.contains(&other)
}

fn opposite(directions: Directions) -> Directions {
    match directions {
        Directions::Both => Directions::Both,
        Directions::To => Directions::From,
        Directions::From => Directions::To,
    }
}
