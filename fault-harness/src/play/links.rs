//! The links among nodes. Each ordered pair of nodes has its own relay, so that each direction between two
//! nodes can be disturbed independently.

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

/// The first number of the relays among nodes. The number selects a relay's random stream, so it must not
/// overlap the numbers of the relays to services.
const FIRST_PEER_RELAY: usize = 1 << 16;
/// Port at which each node listens for replicating peers, below the ports that the system gives to others.
const PEER_PORT: u16 = 4_100;
/// Port at which each node listens for the other members of its virtual router.
const ROUTER_PORT: u16 = 4_112;
/// Maximum number of datagrams or connections queued for forwarding.
const QUEUE_CAPACITY: usize = 64;
/// The version of the membership configuration without the nodes that join later.
const FIRST_MEMBERSHIP: u64 = 1;
/// The version of the membership configuration with the nodes that join later.
const SECOND_MEMBERSHIP: u64 = 2;

/// An ordered pair of different nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
struct Pair {
    from: usize,
    to: usize,
}

/// The relays of all ordered pairs of nodes.
struct RelaysByPair {
    nodes: usize,
    relays: HashMap<Pair, Relay>,
}

impl RelaysByPair {
    /// The relay for the connections that `pair.from` opens to `pair.to`, or the datagrams that it sends
    /// there.
    fn of_pair(&self, pair: Pair) -> Relay {
        self.relays[&pair].clone()
    }

    /// The relays between one node and each of the others.
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

/// All nodes except one.
fn others(count: usize, node: usize) -> impl Iterator<Item = usize> {
    (0..count).filter(move |other| *other != node)
}

impl Testbed {
    /// A loopback address that only this node of this play uses, so that every port is free there.
    fn unique_address(&self, node: usize) -> io::Result<Ipv4Addr> {
        let network = (self.context.number % MAX_NETWORKS) as u8;
        Ok(loopback::process_block()?.address(network, node as u8 + 1))
    }

    /// The addresses at which the nodes listen for each other. They are not bound here to find a free port: a process that
    /// another thread starts at that moment would hold the bound socket for a while, and the node could not listen.
    fn listen_addresses(&self, port: u16) -> io::Result<Vec<SocketAddr>> {
        (0..self.nodes.len()).map(|node| Ok((self.unique_address(node)?, port).into())).collect()
    }

    /// Creates a relay for each ordered pair of nodes, each with its own random stream.
    fn relays_by_pair(&self) -> RelaysByPair {
        let nodes = self.nodes.len();
        let relay = |pair: Pair| {
            let number = (FIRST_PEER_RELAY + pair.from * nodes + pair.to) as u64;
            Relay::new(self.context.clock, generator(self.context.seed, RandomStream::Links, number))
        };
        RelaysByPair { nodes, relays: pairs(nodes).map(|pair| (pair, relay(pair))).collect() }
    }

    /// Connects all nodes as one virtual router, with a relay for each direction between two nodes.
    pub(super) async fn connect_router(&self, interval_ms: u64) -> io::Result<()> {
        let count = self.nodes.len();
        let listen_addresses = self.listen_addresses(ROUTER_PORT)?;
        let proxies = bind_proxies(count).await?;
        let relays = self.relays_by_pair();
        for pair in pairs(count) {
            // A datagram that `from` sends to its proxy socket for `to` is delivered to `to` from the proxy
            // socket that `to` has for `from`.
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

    /// Connects all replicating nodes. Between two nodes there is one relay for the connections that each of
    /// them opens.
    pub(super) async fn connect_peers(&self) -> io::Result<()> {
        let count = self.nodes.len();
        let listen_addresses = self.listen_addresses(PEER_PORT)?;
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
            // A node that joins later starts with the configuration that includes it.
            Membership { version: SECOND_MEMBERSHIP, nodes: (0..count).collect() }
        }
    }
}

/// Binds a proxy socket for each pair of nodes: `[node][other]` is where `node` reaches `other`.
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

/// Forwards the datagrams that arrive at `incoming` through a relay; they are sent to `address` from
/// `outgoing`.
fn forward_datagrams(relay: Relay, incoming: Rc<UdpSocket>, outgoing: Rc<UdpSocket>, address: SocketAddr) {
    let (sender, mut receiver) = mpsc::channel::<Vec<u8>>(QUEUE_CAPACITY);
    spawn_local(relay.datagrams(incoming, Direction::To, sender));
    spawn_local(async move {
        while let Some(datagram) = receiver.recv().await {
            // A send error counts as a lost datagram, which the protocol tolerates.
            let _ = outgoing.send_to(&datagram, address).await;
        }
    });
}

/// Forwards each connection that a listener accepts through a relay to an address.
fn forward_connections(relay: Relay, listener: TcpListener, address: SocketAddr) {
    let (sender, mut receiver) = mpsc::channel::<DuplexStream>(QUEUE_CAPACITY);
    spawn_local(relay.accept(listener, sender));
    spawn_local(async move {
        while let Some(mut end) = receiver.recv().await {
            spawn_local(async move {
                // If the node does not listen, dropping `end` closes the connection for the peer.
                let Ok(mut stream) = TcpStream::connect(address).await else { return };
                let _ = stream.set_nodelay(true);
                // Either end may close the connection at any time; that is not an error of the play.
                let _ = copy_bidirectional(&mut end, &mut stream).await;
            });
        }
    });
}
