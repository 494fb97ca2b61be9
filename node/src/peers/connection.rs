//! One link with a peer: a task that reads and writes messages until either end closes it.

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

/// By then after the start of a link it has to be connected, and the peer has to have sent its preamble.
pub(super) const IDENTIFICATION_TIMEOUT: Duration = Duration::from_secs(1);
/// Initial capacity of the buffer of a link's input.
const INPUT_BUFFER_BYTES: usize = 16 * 1024;

/// How a link comes about.
pub(super) enum Origin {
    /// This node dials a peer.
    Dial(SocketAddr),
    /// A peer has dialed this node.
    Accepted(TcpStream),
}

/// The task of a link.
pub(super) struct Connection {
    /// The number of the link.
    pub(super) link: LinkId,
    /// What waits to be written.
    pub(super) output: Rc<OutputQueue>,
    /// Where messages and the end of the link are reported.
    pub(super) events: mpsc::Sender<LinkEvent>,
    /// Counters.
    pub(super) metrics: Rc<LinkMetrics>,
}

/// The input of a link.
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
                // Any other error may happen at any time, and a peer that is gone is noticed by what it does not answer.
                if error.kind() == io::ErrorKind::InvalidData {
                    increase(&self.metrics.protocol_errors, 1);
                    log!("fleet: link closed, its peer sent invalid data: error={error}");
                }
            }
            // Nobody receives events any more only if the process ends.
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

    /// Reads and writes until either end is done. The peer's preamble has to come by `preamble_deadline`.
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

    /// Reports a message; false if nobody receives events any more.
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
    /// Takes the preamble off the input, once it is there.
    fn read_preamble(&mut self) -> io::Result<()> {
        if self.has_preamble || self.bytes.len() < PREAMBLE.len() {
            return Ok(());
        }
        if self.bytes.split_to(PREAMBLE.len()) != PREAMBLE[..] {
            return Err(invalid_data("the link does not begin as one of a peer"));
        }
        self.has_preamble = true;
        Ok(())
    }

    /// Takes the next message off the input, once it is there.
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
