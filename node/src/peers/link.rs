//! Types shared by the task of a link and the table of links: the output queue, the events and the counters.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::BytesMut;
use oakwind_fleet::ids::LinkId;
use oakwind_fleet::message::Message;
use tokio::sync::Notify;

use super::message_codec::{encode, PREAMBLE};

/// Initial capacity of the output queue of a link.
const OUTPUT_BUFFER_BYTES: usize = 4096;

/// An event that the task of a link reports to the driver.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    /// A message arrived.
    Received {
        /// The link on which the message arrived.
        link: LinkId,
        /// The decoded message.
        message: Message,
    },
    /// The link is closed. All messages that were received on it were reported before.
    Closed(LinkId),
}

/// Counters over all links since the start of the process.
#[derive(Debug, Default)]
pub(crate) struct LinkMetrics {
    /// Messages of known kinds that were received.
    pub(crate) messages_received: Cell<u64>,
    /// Messages queued for sending, including those dropped when their link was closed.
    pub(crate) messages_sent: Cell<u64>,
    /// Bytes received, including preambles and headers.
    pub(crate) bytes_received: Cell<u64>,
    /// Bytes of messages queued for sending with their headers, without the preambles.
    pub(crate) bytes_sent: Cell<u64>,
    /// Links that were closed because their output queue exceeded the limit.
    pub(crate) overflows: Cell<u64>,
    /// Links that were closed because the peer sent bytes that violate the format.
    pub(crate) protocol_errors: Cell<u64>,
    /// Received messages of unknown kinds, which were skipped.
    pub(crate) unknown_kinds: Cell<u64>,
}

pub(super) fn increase(counter: &Cell<u64>, amount: usize) {
    counter.set(counter.get() + amount as u64);
}

/// Bytes that wait to be written on a link, shared by the task of the link and the table of links.
pub(super) struct OutputQueue {
    bytes: RefCell<BytesMut>,
    changed: Notify,
    closing: Cell<bool>,
}

/// The effect of adding a message to an output queue.
pub(super) struct Queued {
    /// Length of the message in bytes, with its header.
    pub(super) message_bytes: usize,
    /// Length of the queue in bytes, with the message.
    pub(super) waiting_bytes: usize,
}

impl OutputQueue {
    /// Creates a queue that contains the preamble of a link.
    pub(super) fn new() -> Rc<OutputQueue> {
        let mut bytes = BytesMut::with_capacity(OUTPUT_BUFFER_BYTES);
        bytes.extend_from_slice(PREAMBLE);
        Rc::new(OutputQueue { bytes: RefCell::new(bytes), changed: Notify::new(), closing: Cell::new(false) })
    }

    /// Adds a message and wakes the task of the link.
    pub(super) fn push(&self, message: &Message) -> Queued {
        let mut bytes = self.bytes.borrow_mut();
        let before = bytes.len();
        encode(&mut bytes, message);
        self.changed.notify_one();
        Queued { message_bytes: bytes.len() - before, waiting_bytes: bytes.len() }
    }

    /// Removes and returns all waiting bytes.
    pub(super) fn take(&self) -> BytesMut {
        self.bytes.borrow_mut().split()
    }

    /// Waits until a message was added or the queue was closed.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Tells the task of the link to end. Waiting bytes are not written.
    pub(super) fn close(&self) {
        self.closing.set(true);
        self.changed.notify_one();
    }

    /// Whether the queue was closed, so that the task of the link must end.
    pub(super) fn is_closing(&self) -> bool {
        self.closing.get()
    }
}
