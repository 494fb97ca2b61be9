//! A line between two ends, one of them a node, and what can be wrong with it, each way alone. Streams and datagrams
//! go through it; no end knows.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::io::{duplex, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::{mpsc, watch, Semaphore};
use tokio::task::spawn_local;

use crate::clock::Clock;
use crate::model::Ms;
use crate::scenario::{Directions, Traffic};

/// Chunks on their way in one direction of a connection; a sender of more is blocked.
const PIECES: usize = 64;
/// The largest piece.
const PIECE: usize = 16 * 1024;
/// Bytes that an end may have sent and the line has not taken.
const BUFFER: usize = 64 * 1024;
/// Datagrams on their way; more are lost.
const DATAGRAMS: usize = 1024;
/// One that is overtaken comes so much later.
const OVERTAKEN: Ms = 20.0;

/// One direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// To the node.
    To,
    /// From the node.
    From,
}

#[derive(Debug, Clone, Default, PartialEq)]
struct Condition {
    /// What is wrong now: by whose number, which way, and what.
    wrong: Vec<(u64, Directions, Traffic)>,
    /// How often connections were reset.
    resets: u64,
}

impl Condition {
    fn now(&self, direction: Direction) -> Traffic {
        let meant = |way: &Directions| match way {
            Directions::Both => true,
            Directions::To => direction == Direction::To,
            Directions::From => direction == Direction::From,
        };
        let mut all = Traffic::default();
        for (_, _, traffic) in self.wrong.iter().filter(|(_, way, _)| meant(way)) {
            all.disconnect |= traffic.disconnect;
            all.blackhole |= traffic.blackhole;
            all.delay_ms += traffic.delay_ms;
            all.jitter_ms += traffic.jitter_ms;
            all.loss = all.loss.max(traffic.loss);
            all.duplicate = all.duplicate.max(traffic.duplicate);
            all.reorder = all.reorder.max(traffic.reorder);
            if traffic.kb_per_s > 0.0 {
                all.kb_per_s =
                    if all.kb_per_s > 0.0 { all.kb_per_s.min(traffic.kb_per_s) } else { traffic.kb_per_s };
            }
        }
        all
    }

    fn cut(&self) -> bool {
        self.wrong.iter().any(|(_, _, traffic)| traffic.disconnect)
    }

    fn silent(&self) -> bool {
        self.wrong.iter().any(|(_, _, traffic)| traffic.blackhole)
    }
}

/// A line. Clones are the same line.
#[derive(Debug, Clone)]
pub struct Line {
    clock: Clock,
    condition: Rc<watch::Sender<Condition>>,
    rng: Rc<RefCell<ChaCha8Rng>>,
}

impl Line {
    /// A line with nothing wrong. The generator draws delays and losses.
    pub fn new(clock: Clock, rng: ChaCha8Rng) -> Line {
        let condition = Rc::new(watch::channel(Condition::default()).0);
        Line { clock, condition, rng: Rc::new(RefCell::new(rng)) }
    }

    /// Something goes wrong, until it is mended by the same number.
    pub fn disturb(&self, number: u64, way: Directions, traffic: &Traffic) {
        self.condition.send_modify(|condition| {
            condition.resets += u64::from(traffic.reset || traffic.disconnect);
            condition.wrong.push((number, way, traffic.clone()));
        });
    }

    /// It is over.
    pub fn mend(&self, number: u64) {
        self.condition.send_modify(|condition| condition.wrong.retain(|(of, ..)| *of != number));
    }

    fn now(&self, direction: Direction) -> Traffic {
        self.condition.borrow().now(direction)
    }

    /// Waits until something holds of the line.
    async fn wait(&self, holds: impl FnMut(&Condition) -> bool) {
        // The sender lives as long as the line.
        let _ = self.condition.subscribe().wait_for(holds).await;
    }

    /// Connects to a node and returns the other end.
    ///
    /// # Errors
    ///
    /// Where the line is cut, or the node does not take the connection.
    pub async fn open(&self, node: SocketAddr) -> io::Result<DuplexStream> {
        self.wait(|condition| condition.cut() || !condition.silent()).await;
        if self.condition.borrow().cut() {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let stream = TcpStream::connect(node).await?;
        Ok(self.attach(stream))
    }

    /// Takes what a node connects to, and hands each other end out. Ends with the receiver.
    pub async fn accept(self, listener: TcpListener, ends: mpsc::Sender<DuplexStream>) {
        while let Ok((stream, _)) = listener.accept().await {
            if self.condition.borrow().cut() {
                continue;
            }
            let line = self.clone();
            let ends = ends.clone();
            spawn_local(async move {
                line.wait(|condition| condition.cut() || !condition.silent()).await;
                // Nobody takes it any more once the play is over.
                let _ = ends.send(line.attach(stream)).await;
            });
        }
    }

    fn attach(&self, stream: TcpStream) -> DuplexStream {
        // Pieces must not wait for company; a refusal of that costs time alone.
        let _ = stream.set_nodelay(true);
        let (far, near) = duplex(BUFFER);
        spawn_local(self.clone().join(stream, near));
        far
    }

    /// Carries both ways until one end breaks or both are done.
    async fn join(self, mut node: TcpStream, mut other: DuplexStream) {
        let resets = self.condition.borrow().resets;
        let (from_node, to_node) = node.split();
        let (from_other, to_other) = tokio::io::split(&mut other);
        let carried = async {
            tokio::try_join!(
                self.carry(Direction::To, from_other, to_node),
                self.carry(Direction::From, from_node, to_other)
            )
        };
        tokio::select! {
            // Either end sees the connection end, whatever ended it.
            _ = carried => {}
            () = self.wait(|condition| condition.resets != resets) => {}
        }
    }

    async fn carry(
        &self,
        direction: Direction,
        mut from: impl AsyncRead + Unpin,
        mut to: impl AsyncWrite + Unpin,
    ) -> io::Result<()> {
        let (put, mut take) = mpsc::channel::<(Ms, Vec<u8>)>(PIECES);
        let read = async {
            let (mut piece, mut last) = (vec![0; PIECE], 0.0_f64);
            loop {
                let length = from.read(&mut piece).await?;
                if length == 0 {
                    break;
                }
                let wrong = self.now(direction);
                // A stream keeps its order.
                last = last.max(self.clock.now() + self.delay(&wrong));
                if put.send((last, piece[..length].to_vec())).await.is_err() {
                    break;
                }
            }
            drop(put);
            Ok::<(), io::Error>(())
        };
        let write = async {
            while let Some((due, piece)) = take.recv().await {
                self.clock.until(due).await;
                self.wait(|condition| !condition.now(direction).blackhole).await;
                let rate = self.now(direction).kb_per_s;
                if rate > 0.0 {
                    tokio::time::sleep(Duration::from_secs_f64(piece.len() as f64 / (rate * 1000.0))).await;
                }
                to.write_all(&piece).await?;
            }
            to.shutdown().await
        };
        tokio::try_join!(read, write).map(|_| ())
    }

    fn delay(&self, wrong: &Traffic) -> Ms {
        let spread = if wrong.jitter_ms > 0.0 {
            self.rng.borrow_mut().random_range(0.0..wrong.jitter_ms)
        } else {
            0.0
        };
        wrong.delay_ms + spread
    }

    fn chance(&self, part: f64) -> bool {
        part > 0.0 && self.rng.borrow_mut().random::<f64>() < part
    }

    /// Carries datagrams that come to a socket one way. Ends where nobody takes them any more.
    pub async fn datagrams(
        self,
        socket: Rc<UdpSocket>,
        direction: Direction,
        deliver: mpsc::Sender<Vec<u8>>,
    ) {
        let mut bytes = vec![0; 64 * 1024];
        let room = Arc::new(Semaphore::new(DATAGRAMS));
        while !deliver.is_closed() {
            let Ok(length) = socket.recv(&mut bytes).await else { continue };
            let wrong = self.now(direction);
            if wrong.disconnect || wrong.blackhole || self.chance(wrong.loss) {
                continue;
            }
            let copies = if self.chance(wrong.duplicate) { 2 } else { 1 };
            for _ in 0..copies {
                let Ok(place) = room.clone().try_acquire_owned() else { continue };
                let late = if self.chance(wrong.reorder) { OVERTAKEN } else { 0.0 };
                let due = self.clock.now() + self.delay(&wrong) + late;
                let (clock, deliver, datagram) = (self.clock, deliver.clone(), bytes[..length].to_vec());
                spawn_local(async move {
                    clock.until(due).await;
                    // Nobody takes it any more once the play is over.
                    let _ = deliver.send(datagram).await;
                    drop(place);
                });
            }
        }
    }
}

#[cfg(test)]
mod tests;
