//! Relaying of connections. Each direction keeps the order of its bytes, whatever the delays.

use std::io;
use std::time::Duration;

use tokio::io::{duplex, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::{Direction, Relay};
use crate::model::Ms;

/// Maximum number of chunks in flight in one direction of a connection; reading pauses when it is reached.
const CHUNK_QUEUE: usize = 64;
/// The largest chunk, in bytes.
const CHUNK_BYTES: usize = 16 * 1024;
/// Size of the buffer, in bytes, between the relay and the end that is not the node.
const BUFFER_BYTES: usize = 64 * 1024;
/// Bytes in a kilobyte, the unit of traffic rates.
const BYTES_PER_KB: f64 = 1000.0;

/// A chunk of bytes with its delivery time.
struct DelayedChunk {
    deliver_at: Ms,
    bytes: Vec<u8>,
}

impl Relay {
    /// Starts relaying a connection of the node and returns the other end.
    pub(super) fn attach(&self, stream: TcpStream) -> DuplexStream {
        // Nagle's algorithm would delay small chunks. If the option cannot be set they arrive later, but do
        // arrive.
        let _ = stream.set_nodelay(true);
        let (outer, inner) = duplex(BUFFER_BYTES);
        spawn_local(self.clone().relay_connection(stream, inner));
        outer
    }

    /// Relays both directions until either end fails, both streams have ended, or the relay resets its
    /// connections.
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
            // The result is not needed: returning closes the connection for both ends.
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

    /// Reads chunks until the end of the stream and draws the delivery time of each.
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
            // No chunk is delivered before the one that precedes it in the stream.
            last_delivery = last_delivery.max(self.clock.now() + delay);
            let chunk = DelayedChunk { deliver_at: last_delivery, bytes: buffer[..length].to_vec() };
            if sender.send(chunk).await.is_err() {
                return Ok(());
            }
        }
    }

    /// Delivers each chunk at its delivery time, or after the end of a blackhole, at no more than the
    /// permitted rate.
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
