//! Relays: all traffic of a node passes through relays, which can disturb each direction independently.
//! Without a disturbance a relay is transparent to both ends.

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

/// A direction of traffic through a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// Traffic to the node.
    To,
    /// Traffic from the node.
    From,
}

/// A relay. Clones share the same disturbances and random numbers.
#[derive(Debug, Clone)]
pub struct Relay {
    clock: Clock,
    condition: Rc<watch::Sender<Condition>>,
    rng: Rc<RefCell<ChaCha8Rng>>,
}

impl Relay {
    /// Creates a relay without disturbances. `rng` is the source of random delays and losses.
    pub fn new(clock: Clock, rng: ChaCha8Rng) -> Relay {
        let condition = Rc::new(watch::channel(Condition::default()).0);
        Relay { clock, condition, rng: Rc::new(RefCell::new(rng)) }
    }

    /// Disturbs the traffic until [`Relay::restore`] is called with the same number.
    pub fn disturb(&self, number: u64, directions: Directions, traffic: &Traffic) {
        let disturbance = Disturbance { number, directions, traffic: traffic.clone() };
        self.condition.send_modify(|condition| condition.add(disturbance));
    }

    /// Ends the disturbance with this number.
    pub fn restore(&self, number: u64) {
        self.condition.send_modify(|condition| condition.remove(number));
    }

    /// Connects to a node and returns the other end of the relayed connection.
    ///
    /// # Errors
    ///
    /// If the relay is disconnected, or the connection to the node fails.
    pub async fn open(&self, node: SocketAddr) -> io::Result<DuplexStream> {
        self.wait_until_connectable().await;
        if self.is_disconnected() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let stream = TcpStream::connect(node).await?;
        Ok(self.attach(stream))
    }

    /// Accepts the connections that a node opens and sends the other end of each to `ends`. Returns when the
    /// listener fails.
    pub async fn accept(self, listener: TcpListener, ends: mpsc::Sender<DuplexStream>) {
        while let Ok((stream, _)) = listener.accept().await {
            if self.is_disconnected() {
                continue;
            }
            let relay = self.clone();
            let ends = ends.clone();
            spawn_local(async move {
                relay.wait_until_connectable().await;
                // Sending fails once the play is over and the receiver is dropped.
                let _ = ends.send(relay.attach(stream)).await;
            });
        }
    }

    /// The combined effect of the current disturbances on the traffic in a direction.
    fn traffic(&self, direction: Direction) -> Traffic {
        self.condition.borrow().traffic(direction)
    }

    fn is_disconnected(&self) -> bool {
        self.condition.borrow().is_disconnected()
    }

    /// Waits until a new connection can be established, or is to be refused.
    async fn wait_until_connectable(&self) {
        self.wait_for(|condition| condition.is_disconnected() || !condition.is_blackholed()).await;
    }

    async fn wait_for(&self, holds: impl FnMut(&Condition) -> bool) {
        // Waiting cannot fail: `self` holds the sender.
        let _ = self.condition.subscribe().wait_for(holds).await;
    }

    /// Draws the delay of a chunk or datagram: the fixed delay plus a random jitter.
    fn draw_delay(&self, traffic: &Traffic) -> Ms {
        let jitter = if traffic.jitter_ms > 0.0 {
            self.rng.borrow_mut().random_range(0.0..traffic.jitter_ms)
        } else {
            0.0
        };
        traffic.delay_ms + jitter
    }

    /// Draws whether an event of this probability happens.
    fn draw(&self, probability: f64) -> bool {
        probability > 0.0 && self.rng.borrow_mut().random::<f64>() < probability
    }
}

#[cfg(test)]
mod tests;
