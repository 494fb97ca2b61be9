//! Connections through a relay: both directions keep their order, whatever delays them.

use std::io;
use std::time::Duration;

use tokio::io::{duplex, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::{Direction, Relay};
use crate::model::Ms;

/// Chunks on their way in one direction of a connection; a sender of more is blocked.
const CHUNK_QUEUE: usize = 64;
/// The largest chunk, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;
/// Bytes that an end may have sent and the relay has not read.
const BUFFER_BYTES: usize = 64 * 1024;
/// Rates of traffic are in kilobytes.
const BYTES_PER_KB: f64 = 1000.0;

/// Bytes on their way.
struct DelayedChunk {
    deliver_at: Ms,
    bytes: Vec<u8>,
}

impl Relay {
    /// Relays a connection from now on and returns its other end.
    pub(super) fn attach(&self, stream: TcpStream) -> DuplexStream {
        // Chunks must not wait to be merged; where this is refused they are delivered later, but they are.
        let _ = stream.set_nodelay(true);
        let (outer, inner) = duplex(BUFFER_BYTES);
        spawn_local(self.clone().relay_connection(stream, inner));
        outer
    }

    /// Relays both directions until one end breaks, both are done, or the connection is reset.
    async fn relay_connection(self, mut node: TcpStream, mut other: DuplexStream) {
        let resets = self.condition.borrow().resets;
        let (from_node, to_node) = node.split();
        let (from_other, to_other) = tokio::io::split(&mut other);
        let both_directions = async {
            tokio::try_join!(
                self.relay_direction(Direction::To, from_other, to_node),
                self.relay_direction(Direction::From, from_node, to_other)
            )
        };
        tokio::select! {
            // Either end sees the connection end, whatever ended it.
            _ = both_directions => {}
            () = self.wait_for(|condition| condition.resets != resets) => {}
        }
    }

    async fn relay_direction(
        &self,
        direction: Direction,
        from: impl AsyncRead + Unpin,
        to: impl AsyncWrite + Unpin,
    ) -> io::Result<()> {
        let (sender, receiver) = mpsc::channel(CHUNK_QUEUE);
        let reading = self.read_chunks(direction, from, sender);
        let writing = self.write_chunks(direction, receiver, to);
        tokio::try_join!(reading, writing).map(|_| ())
    }

    /// Reads chunks to the stream's end and draws when each is to be delivered.
    async fn read_chunks(
        &self,
        direction: Direction,
        mut from: impl AsyncRead + Unpin,
        sender: mpsc::Sender<DelayedChunk>,
    ) -> io::Result<()> {
        let mut buffer = vec![0; CHUNK_BYTES];
        let mut last_delivery: Ms = 0.0;
        loop {
            let length = from.read(&mut buffer).await?;
            if length == 0 {
                return Ok(());
            }
            let delay = self.draw_delay(&self.traffic(direction));
            // A stream keeps its order.
            last_delivery = last_delivery.max(self.clock.now() + delay);
            let chunk = DelayedChunk { deliver_at: last_delivery, bytes: buffer[..length].to_vec() };
            if sender.send(chunk).await.is_err() {
                return Ok(());
            }
        }
    }

    /// Delivers each chunk at its time, not while it is blackholed, and no faster than the rate allows.
    async fn write_chunks(
        &self,
        direction: Direction,
        mut chunks: mpsc::Receiver<DelayedChunk>,
        mut to: impl AsyncWrite + Unpin,
    ) -> io::Result<()> {
        while let Some(chunk) = chunks.recv().await {
            self.clock.until(chunk.deliver_at).await;
            self.wait_for(|condition| !condition.traffic(direction).blackhole).await;
            let bytes_per_s = self.traffic(direction).kb_per_s * BYTES_PER_KB;
            if bytes_per_s > 0.0 {
                tokio::time::sleep(Duration::from_secs_f64(chunk.bytes.len() as f64 / bytes_per_s)).await;
            }
            to.write_all(&chunk.bytes).await?;
        }
        to.shutdown().await
    }
}
