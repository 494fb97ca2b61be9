//! Relays: the traffic between a node and what it talks to passes through one, which can disturb each direction alone.
//! Neither end notices the relay itself.

mod condition;
mod datagrams;
mod stream;

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::io::DuplexStream;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::spawn_local;

use crate::clock::Clock;
use crate::model::Ms;
use crate::scenario::{Directions, Traffic};
use condition::{Condition, Disturbance};

/// One direction through a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// To the node.
    To,
    /// From the node.
    From,
}

/// A relay. Clones are the same relay.
#[derive(Debug, Clone)]
pub struct Relay {
    clock: Clock,
    condition: Rc<watch::Sender<Condition>>,
    rng: Rc<RefCell<ChaCha8Rng>>,
}

impl Relay {
    /// A relay without disturbances. The generator draws delays and losses.
    pub fn new(clock: Clock, rng: ChaCha8Rng) -> Relay {
        let condition = Rc::new(watch::channel(Condition::default()).0);
        Relay { clock, condition, rng: Rc::new(RefCell::new(rng)) }
    }

    /// Disturbs its traffic until [`Relay::restore`] is called with the same number.
    pub fn disturb(&self, number: u64, directions: Directions, traffic: &Traffic) {
        let disturbance = Disturbance { number, directions, traffic: traffic.clone() };
        self.condition.send_modify(|condition| condition.add(disturbance));
    }

    /// Ends the disturbance with this number.
    pub fn restore(&self, number: u64) {
        self.condition.send_modify(|condition| condition.remove(number));
    }

    /// Connects to a node and returns the other end.
    ///
    /// # Errors
    ///
    /// If the relay is disconnected, or the node does not accept the connection.
    pub async fn open(&self, node: SocketAddr) -> io::Result<DuplexStream> {
        self.wait_until_connectable().await;
        if self.is_disconnected() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let stream = TcpStream::connect(node).await?;
        Ok(self.attach(stream))
    }

    /// Accepts the connections that a node opens and hands out the other end of each. Ends with the listener.
    pub async fn accept(self, listener: TcpListener, ends: mpsc::Sender<DuplexStream>) {
        while let Ok((stream, _)) = listener.accept().await {
            if self.is_disconnected() {
                continue;
            }
            let relay = self.clone();
            let ends = ends.clone();
            spawn_local(async move {
                relay.wait_until_connectable().await;
                // Nobody receives it any more once the play is over.
                let _ = ends.send(relay.attach(stream)).await;
            });
        }
    }

    /// What its traffic in a direction suffers now.
    fn traffic(&self, direction: Direction) -> Traffic {
        self.condition.borrow().traffic(direction)
    }

    fn is_disconnected(&self) -> bool {
        self.condition.borrow().is_disconnected()
    }

    /// Waits until a new connection comes through, or is refused.
    async fn wait_until_connectable(&self) {
        self.wait_for(|condition| condition.is_disconnected() || !condition.is_blackholed()).await;
    }

    async fn wait_for(&self, holds: impl FnMut(&Condition) -> bool) {
        // The sender lives as long as the relay.
        let _ = self.condition.subscribe().wait_for(holds).await;
    }

    /// Draws the delay of a chunk or datagram.
    fn draw_delay(&self, traffic: &Traffic) -> Ms {
        let jitter = if traffic.jitter_ms > 0.0 {
            self.rng.borrow_mut().random_range(0.0..traffic.jitter_ms)
        } else {
            0.0
        };
        traffic.delay_ms + jitter
    }

    /// Draws whether something of this probability happens.
    fn draw(&self, probability: f64) -> bool {
        probability > 0.0 && self.rng.borrow_mut().random::<f64>() < probability
    }
}

#[cfg(test)]
mod tests;
