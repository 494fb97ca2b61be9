//! What the task of a link and the table of links share: the output queue, the events and the counters of a link.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use bytes::BytesMut;
use oakwind_fleet::ids::LinkId;
use oakwind_fleet::message::Message;
use tokio::sync::Notify;

use super::message_codec::{encode, PREAMBLE};

/// Initial capacity of the buffer of a link's output.
const OUTPUT_BUFFER_BYTES: usize = 4096;

/// What a link reports.
#[derive(Debug)]
pub(crate) enum LinkEvent {
    /// A message arrived.
    Received {
        /// The link.
        link: LinkId,
        /// The message.
        message: Message,
    },
    /// The link is closed; all that it received was reported.
    Closed(LinkId),
}

/// Counters of all links.
#[derive(Debug, Default)]
pub(crate) struct LinkMetrics {
    /// Messages received.
    pub(crate) messages_received: Cell<u64>,
    /// Messages sent.
    pub(crate) messages_sent: Cell<u64>,
    /// Bytes received.
    pub(crate) bytes_received: Cell<u64>,
    /// Bytes sent.
    pub(crate) bytes_sent: Cell<u64>,
    /// Links that were closed because the peer read too slowly.
    pub(crate) overflows: Cell<u64>,
    /// Links that were closed because the peer sent bytes that are no message.
    pub(crate) protocol_errors: Cell<u64>,
    /// Messages of kinds that only a later build knows.
    pub(crate) unknown_kinds: Cell<u64>,
}

/// Adds to a counter.
pub(super) fn increase(counter: &Cell<u64>, amount: usize) {
    counter.set(counter.get() + amount as u64);
}

/// What waits to be written on a link, shared by its task and the table of links.
pub(super) struct OutputQueue {
    bytes: RefCell<BytesMut>,
    changed: Notify,
    closing: Cell<bool>,
}

/// What was added to an output queue.
pub(super) struct Queued {
    /// Bytes of the message.
    pub(super) message_bytes: usize,
    /// Bytes that wait now.
    pub(super) waiting_bytes: usize,
}

impl OutputQueue {
    /// A queue with the preamble of a link.
    pub(super) fn new() -> Rc<OutputQueue> {
        let mut bytes = BytesMut::with_capacity(OUTPUT_BUFFER_BYTES);
        bytes.extend_from_slice(PREAMBLE);
        Rc::new(OutputQueue { bytes: RefCell::new(bytes), changed: Notify::new(), closing: Cell::new(false) })
    }

    /// Adds a message.
    pub(super) fn push(&self, message: &Message) -> Queued {
        let mut bytes = self.bytes.borrow_mut();
        let before = bytes.len();
        encode(&mut bytes, message);
        self.changed.notify_one();
        Queued { message_bytes: bytes.len() - before, waiting_bytes: bytes.len() }
    }

    /// Removes all that waits, to be written.
    pub(super) fn take(&self) -> BytesMut {
        self.bytes.borrow_mut().split()
    }

    /// Waits until something was added, or the task is to end.
    pub(super) async fn changed(&self) {
        self.changed.notified().await;
    }

    /// Has the task end; what waits is not written.
    pub(super) fn close(&self) {
        self.closing.set(true);
        self.changed.notify_one();
    }

    /// Whether the task is to end.
    pub(super) fn is_closing(&self) -> bool {
        self.closing.get()
    }
}
