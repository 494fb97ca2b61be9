//! The links among nodes: each ordered pair of nodes has a relay of its own, so that each can be disturbed alone.

use std::collections::HashMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use tokio::io::{copy_bidirectional, DuplexStream};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::testbed::Testbed;
use crate::loopback::{self, MAX_NETWORKS};
use crate::node::{Membership, PeerRelays};
use crate::relay::{Direction, Relay};
use crate::schedule::{generator, RandomStream};
use crate::settings;

/// Relays among nodes have numbers from here on, which decide their random numbers.
const FIRST_PEER_RELAY: usize = 1 << 16;
/// Datagrams or connections that wait to be forwarded.
const QUEUE_CAPACITY: usize = 64;
/// The versions of the first two membership configurations.
const FIRST_MEMBERSHIP: u64 = 1;
const SECOND_MEMBERSHIP: u64 = 2;

/// Two different nodes, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Pair {
    from: usize,
    to: usize,
}

/// The relays of all pairs of nodes.
struct RelaysByPair {
    nodes: usize,
    relays: HashMap<Pair, Relay>,
}

impl RelaysByPair {
    /// The relay from one node of a pair to the other.
    fn of_pair(&self, pair: Pair) -> Relay {
        self.relays[&pair].clone()
    }

    /// The relays of one node with all others.
    fn of_node(&self, node: usize) -> Vec<PeerRelays> {
        let with_peer = |peer| PeerRelays {
            peer,
            outgoing: self.of_pair(Pair { from: node, to: peer }),
            incoming: self.of_pair(Pair { from: peer, to: node }),
        };
        others(self.nodes, node).map(with_peer).collect()
    }
}

/// Every ordered pair of different nodes.
fn pairs(count: usize) -> impl Iterator<Item = Pair> {
    (0..count).flat_map(move |from| others(count, from).map(move |to| Pair { from, to }))
}

/// All nodes but one.
fn others(count: usize, node: usize) -> impl Iterator<Item = usize> {
    (0..count).filter(move |other| *other != node)
}

impl Testbed {
    /// An address that belongs to this play and this node alone: a port that is free there stays free.
    fn unique_address(&self, node: usize) -> io::Result<Ipv4Addr> {
        let network = (self.context.number % MAX_NETWORKS) as u8;
        Ok(loopback::process_block()?.address(network, node as u8 + 1))
    }

    /// A relay for each pair of nodes, with random numbers of its own.
    fn relays_by_pair(&self) -> RelaysByPair {
        let nodes = self.nodes.len();
        let relay = |pair: Pair| {
            let number = (FIRST_PEER_RELAY + pair.from * nodes + pair.to) as u64;
            Relay::new(self.context.clock, generator(self.context.seed, RandomStream::Links, number))
        };
        RelaysByPair { nodes, relays: pairs(nodes).map(|pair| (pair, relay(pair))).collect() }
    }

    /// Joins all nodes to one virtual router, each pair by a relay in each direction.
    pub(super) async fn connect_router(&self, interval_ms: u64) -> io::Result<()> {
        let count = self.nodes.len();
        let mut listen_addresses = Vec::new();
        for node in 0..count {
            let socket = UdpSocket::bind((self.unique_address(node)?, 0)).await?;
            listen_addresses.push(socket.local_addr()?);
        }
        let proxies = bind_proxies(count).await?;
        let relays = self.relays_by_pair();
        for pair in pairs(count) {
            // What `from` sends to its proxy of `to` reaches `to` from its proxy of `from`.
            let incoming = proxies[pair.from][pair.to].clone();
            let outgoing = proxies[pair.to][pair.from].clone();
            forward_datagrams(relays.of_pair(pair), incoming, outgoing, listen_addresses[pair.to]);
        }
        for (index, node) in self.nodes.iter().enumerate() {
            let peers = others(count, index).map(|other| proxies[index][other].local_addr());
            let peers = peers.collect::<io::Result<Vec<_>>>()?;
            let config = settings::router(index, interval_ms, listen_addresses[index], &peers);
            *node.router_config.borrow_mut() = Some(config);
            *node.router_relays.borrow_mut() = relays.of_node(index);
        }
        Ok(())
    }

    /// Connects all nodes that replicate, each pair by a relay for each one that opens connections.
    pub(super) async fn connect_peers(&self) -> io::Result<()> {
        let count = self.nodes.len();
        let mut listen_addresses = Vec::new();
        for node in 0..count {
            let listener = TcpListener::bind((self.unique_address(node)?, 0)).await?;
            listen_addresses.push(listener.local_addr()?);
        }
        let relays = self.relays_by_pair();
        let mut dial_addresses = vec![listen_addresses.clone(); count];
        for pair in pairs(count) {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            dial_addresses[pair.from][pair.to] = listener.local_addr()?;
            forward_connections(relays.of_pair(pair), listener, listen_addresses[pair.to]);
        }
        for (index, node) in self.nodes.iter().enumerate() {
            let addresses = settings::PeerAddresses {
                listen: listen_addresses[index],
                dial: dial_addresses[index].clone(),
            };
            *node.peer_addresses.borrow_mut() = Some(addresses);
            *node.membership.borrow_mut() = self.initial_membership(index);
            *node.peer_relays.borrow_mut() = relays.of_node(index);
        }
        Ok(())
    }

    /// The membership configuration that a node starts with.
    fn initial_membership(&self, node: usize) -> Membership {
        let count = self.nodes.len();
        let later = self.context.scenario.fleet.peers.as_ref().map_or(0, |peers| peers.joining_nodes);
        let initial_members = count - later;
        if node < initial_members {
            Membership { version: FIRST_MEMBERSHIP, nodes: (0..initial_members).collect() }
        } else {
            // A node that joins later knows the configuration that it is in.
            Membership { version: SECOND_MEMBERSHIP, nodes: (0..count).collect() }
        }
    }
}

/// For each node, the sockets at which it reaches the others.
async fn bind_proxies(count: usize) -> io::Result<Vec<Vec<Rc<UdpSocket>>>> {
    let mut proxies = Vec::new();
    for _ in 0..count {
        let mut of_node = Vec::new();
        for _ in 0..count {
            of_node.push(Rc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?));
        }
        proxies.push(of_node);
    }
    Ok(proxies)
}

/// Forwards datagrams from one socket to an address, through a relay.
fn forward_datagrams(relay: Relay, incoming: Rc<UdpSocket>, outgoing: Rc<UdpSocket>, address: SocketAddr) {
    let (sender, mut receiver) = mpsc::channel::<Vec<u8>>(QUEUE_CAPACITY);
    spawn_local(relay.datagrams(incoming, Direction::To, sender));
    spawn_local(async move {
        while let Some(datagram) = receiver.recv().await {
            // A datagram may be lost.
            let _ = outgoing.send_to(&datagram, address).await;
        }
    });
}

/// Forwards each connection that a listener accepts to an address, through a relay.
fn forward_connections(relay: Relay, listener: TcpListener, address: SocketAddr) {
    let (sender, mut receiver) = mpsc::channel::<DuplexStream>(QUEUE_CAPACITY);
    spawn_local(relay.accept(listener, sender));
    spawn_local(async move {
        while let Some(mut end) = receiver.recv().await {
            spawn_local(async move {
                // Where nobody listens, the end is dropped, and with it the connection.
                let Ok(mut stream) = TcpStream::connect(address).await else { return };
                let _ = stream.set_nodelay(true);
                // A connection may end at any time.
                let _ = copy_bidirectional(&mut end, &mut stream).await;
            });
        }
    });
}
