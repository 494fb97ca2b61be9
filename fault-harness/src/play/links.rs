//! The links among nodes: each pair of nodes talks through a line in each direction, so that each can be disturbed alone.

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
use crate::relay::{Direction, Line};
use crate::schedule::{generator, RandomStream};
use crate::settings;

/// Lines among nodes have numbers from here on, which decide their random numbers.
const FIRST_PEER_LINE: usize = 1 << 16;
/// Datagrams or connections that wait to be handed on.
const QUEUE_CAPACITY: usize = 64;

/// Lines by the node that they come from and the node that they go to.
type LinesByPair = HashMap<(usize, usize), Line>;

/// Every ordered pair of different nodes.
fn pairs(count: usize) -> impl Iterator<Item = (usize, usize)> {
    let all = (0..count).flat_map(move |from| (0..count).map(move |to| (from, to)));
    all.filter(|(from, to)| from != to)
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

    /// A line from one node to another, with random numbers of its own.
    fn line_between(&self, from: usize, to: usize) -> Line {
        let number = (FIRST_PEER_LINE + from * self.machines.len() + to) as u64;
        Line::new(self.context.clock, generator(self.context.seed, RandomStream::Links, number))
    }

    /// Joins all nodes to one virtual router, each pair by a line in each direction.
    pub(super) async fn connect_router(&self, interval_ms: u64) -> io::Result<()> {
        let count = self.machines.len();
        let mut listen_addresses = Vec::new();
        for node in 0..count {
            let socket = UdpSocket::bind((self.unique_address(node)?, 0)).await?;
            listen_addresses.push(socket.local_addr()?);
        }
        let stand_ins = bind_stand_ins(count).await?;
        let mut lines = LinesByPair::new();
        for (from, to) in pairs(count) {
            let line = self.line_between(from, to);
            lines.insert((from, to), line.clone());
            // What `from` sends to its stand-in of `to` comes to `to` from its stand-in of `from`.
            let (incoming, outgoing) = (stand_ins[from][to].clone(), stand_ins[to][from].clone());
            forward_datagrams(line, incoming, outgoing, listen_addresses[to]);
        }
        for (node, machine) in self.machines.iter().enumerate() {
            let peers = others(count, node).map(|other| stand_ins[node][other].local_addr());
            let peers = peers.collect::<io::Result<Vec<_>>>()?;
            let file = settings::router(node, interval_ms, listen_addresses[node], &peers);
            *machine.router.borrow_mut() = Some(file);
            *machine.peers.borrow_mut() = others(count, node)
                .map(|other| (other, lines[&(other, node)].clone(), lines[&(node, other)].clone()))
                .collect();
        }
        Ok(())
    }

    /// Connects all nodes that replicate, each pair by a line for each one that dials.
    pub(super) async fn connect_peers(&self) -> io::Result<()> {
        let count = self.machines.len();
        let mut listen_addresses = Vec::new();
        for node in 0..count {
            let listener = TcpListener::bind((self.unique_address(node)?, 0)).await?;
            listen_addresses.push(listener.local_addr()?);
        }
        let mut lines = LinesByPair::new();
        let mut dial_addresses = vec![listen_addresses.clone(); count];
        for (from, to) in pairs(count) {
            let line = self.line_between(from, to);
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
            dial_addresses[from][to] = listener.local_addr()?;
            forward_connections(line.clone(), listener, listen_addresses[to]);
            lines.insert((from, to), line);
        }
        for (node, machine) in self.machines.iter().enumerate() {
            let (listen, reaches) = (listen_addresses[node], dial_addresses[node].clone());
            *machine.place.borrow_mut() = Some(settings::Place { listen, reaches });
            *machine.list.borrow_mut() = self.initial_membership(node);
            *machine.links.borrow_mut() = others(count, node)
                .map(|other| (other, lines[&(node, other)].clone(), lines[&(other, node)].clone()))
                .collect();
        }
        Ok(())
    }

    /// The membership configuration that a node starts with, and its version.
    fn initial_membership(&self, node: usize) -> (u64, Vec<usize>) {
        let count = self.machines.len();
        let later = self.context.scenario.fleet.peers.as_ref().map_or(0, |peers| peers.joining_nodes);
        if node < count - later {
            (1, (0..count - later).collect())
        } else {
            // One that joins later knows the configuration that it is in.
            (2, (0..count).collect())
        }
    }
}

/// For each node, the sockets that stand for the others.
async fn bind_stand_ins(count: usize) -> io::Result<Vec<Vec<Rc<UdpSocket>>>> {
    let mut stand_ins = Vec::new();
    for _ in 0..count {
        let mut others = Vec::new();
        for _ in 0..count {
            others.push(Rc::new(UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).await?));
        }
        stand_ins.push(others);
    }
    Ok(stand_ins)
}

/// Forwards datagrams from one socket to an address, through a line.
fn forward_datagrams(line: Line, incoming: Rc<UdpSocket>, outgoing: Rc<UdpSocket>, address: SocketAddr) {
    let (sender, mut receiver) = mpsc::channel::<Vec<u8>>(QUEUE_CAPACITY);
    spawn_local(line.datagrams(incoming, Direction::To, sender));
    spawn_local(async move {
        while let Some(datagram) = receiver.recv().await {
            // A datagram may be lost.
            let _ = outgoing.send_to(&datagram, address).await;
        }
    });
}

/// Forwards each connection that a listener accepts to an address, through a line.
fn forward_connections(line: Line, listener: TcpListener, address: SocketAddr) {
    let (sender, mut receiver) = mpsc::channel::<DuplexStream>(QUEUE_CAPACITY);
    spawn_local(line.accept(listener, sender));
    spawn_local(async move {
        while let Some(mut end) = receiver.recv().await {
            spawn_local(async move {
                // Where nobody listens, the end is dropped, and with it the link.
                let Ok(mut stream) = TcpStream::connect(address).await else { return };
                let _ = stream.set_nodelay(true);
                // A link may end at any time.
                let _ = copy_bidirectional(&mut end, &mut stream).await;
            });
        }
    });
}
