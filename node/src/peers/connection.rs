//! One link to a peer: a task that reads and writes messages until either end closes the connection.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use oakwind_fleet::ids::LinkId;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::link::{increase, LinkEvent, LinkMetrics, OutputQueue};
use super::message_codec::{decode, Decoded, PREAMBLE};
use crate::clock::{self, UnixTime};
use crate::{log, sockets};

/// Time limit for connecting to a peer, and again for receiving the peer's preamble on the connection.
pub(super) const IDENTIFICATION_TIMEOUT: Duration = Duration::from_secs(1);
/// Initial capacity of the input buffer of a link.
const INPUT_BUFFER_BYTES: usize = 16 * 1024;

/// How a link is established.
pub(super) enum Origin {
    /// This node connects to the peer at this address.
    Dial(SocketAddr),
    /// A peer has connected to this node.
    Accepted(TcpStream),
}

/// The task of a link.
pub(super) struct Connection {
    /// Identifies the link in the table of links and in its events.
    pub(super) link: LinkId,
    /// Bytes that wait to be written.
    pub(super) output: Rc<OutputQueue>,
    /// Receives the messages of the link and its end.
    pub(super) events: mpsc::Sender<LinkEvent>,
    /// Counters shared by all links.
    pub(super) metrics: Rc<LinkMetrics>,
}

/// Received bytes of a link that are not decoded yet.
struct Input {
    bytes: BytesMut,
    /// Whether the peer's preamble was read.
    has_preamble: bool,
}

impl Connection {
    /// Starts the task.
    pub(super) fn spawn(self, origin: Origin) {
        spawn_local(async move {
            if let Err(error) = self.run(origin).await {
                // Other errors are ordinary connection failures; the failure detector notices an unreachable
                // peer.
                if error.kind() == io::ErrorKind::InvalidData {
                    increase(&self.metrics.protocol_errors, 1);
                    log!("fleet: link closed, its peer sent invalid data: error={error}");
                }
            }
            // Sending fails only when the process ends, as the driver receives events until then.
            let _ = self.events.send(LinkEvent::Closed(self.link)).await;
        });
    }

    async fn run(&self, origin: Origin) -> io::Result<()> {
        let stream = match origin {
            Origin::Accepted(stream) => stream,
            Origin::Dial(address) => sockets::connect(address, clock::now() + IDENTIFICATION_TIMEOUT).await?,
        };
        self.exchange(stream, clock::now() + IDENTIFICATION_TIMEOUT).await
    }

    /// Reads and writes until either end closes the link. The peer's preamble must arrive by
    /// `preamble_deadline`.
    async fn exchange(&self, mut stream: TcpStream, preamble_deadline: UnixTime) -> io::Result<()> {
        let mut input = Input { bytes: BytesMut::with_capacity(INPUT_BUFFER_BYTES), has_preamble: false };
        let mut writing = BytesMut::new();
        let (mut reader, mut writer) = stream.split();
        loop {
            if self.output.is_closing() {
                return Ok(());
            }
            if writing.is_empty() {
                writing = self.output.take();
            }
            input.read_preamble()?;
            while let Some(decoded) = input.next_message()? {
                if !self.report(decoded).await {
                    return Ok(());
                }
            }
            tokio::select! {
                read = reader.read_buf(&mut input.bytes) => match read? {
                    0 => return Ok(()),
                    read => increase(&self.metrics.bytes_received, read),
                },
                written = writer.write_buf(&mut writing), if !writing.is_empty() => if written? == 0 {
                    return Err(io::ErrorKind::WriteZero.into());
                },
                () = self.output.changed() => {}
                () = clock::until(preamble_deadline), if !input.has_preamble => {
                    return Err(io::ErrorKind::TimedOut.into());
                }
            }
        }
    }

    /// Reports a message to the driver; false if the driver has ended.
    async fn report(&self, decoded: Decoded) -> bool {
        match decoded {
            Decoded::Message(message) => {
                increase(&self.metrics.messages_received, 1);
                self.events.send(LinkEvent::Received { link: self.link, message }).await.is_ok()
            }
            Decoded::UnknownKind => {
                increase(&self.metrics.unknown_kinds, 1);
                true
            }
        }
    }
}

impl Input {
    /// Removes the preamble from the input and checks it, once it is complete.
    fn read_preamble(&mut self) -> io::Result<()> {
        if self.has_preamble || self.bytes.len() < PREAMBLE.len() {
            return Ok(());
        }
        if self.bytes.split_to(PREAMBLE.len()) != PREAMBLE[..] {
            return Err(invalid_data("the link does not begin with the preamble of the peer protocol"));
        }
        self.has_preamble = true;
        Ok(())
    }

    /// Removes the next message from the input, once the preamble and the message are complete.
    fn next_message(&mut self) -> io::Result<Option<Decoded>> {
        if !self.has_preamble {
            return Ok(None);
        }
        decode(&mut self.bytes).map_err(invalid_data)
    }
}

fn invalid_data(error: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, error)
}
