//! Limits the connections of a frontend and the memory of their buffers, and decides which connection is evicted when
//! another one needs its slot or its memory.
//!
//! A busy connection is never evicted. Of the others, the one with the lowest [`ConnectionState`] is, and
//! among equals the one that has been in this state for longest. Clients that hold connections without
//! sending requests therefore can't keep other clients out.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::clock::{self, UnixTime};

/// Time in which a client must complete its first message after connecting, or a later one after its first
/// byte. It limits how long a client that sends nothing or never completes a message holds a connection.
pub(crate) const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// Number of buffered bytes up to which the buffers of a connection are not counted: requests of the usual length are read
/// whatever other clients send.
const UNCOUNTED_BUFFER_BYTES: usize = 8 * 1024;

/// What the connections of a frontend may take.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ConnectionLimits {
    /// Maximum number of connections.
    pub(crate) connections: usize,
    /// Maximum memory of the buffers of all connections that hold more than [`UNCOUNTED_BUFFER_BYTES`], in bytes.
    pub(crate) buffer_bytes: usize,
}

/// The state of a connection. The lower states are evicted first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ConnectionState {
    /// The client has not sent a message that could be served, or the connection is closing.
    Unproven,
    /// The client has sent a message that could be served, and no request is open.
    Idle,
    /// No request is open, and responses are still to be written.
    Flushing,
    /// The client waits for a response.
    Busy,
}

/// What the limiter knows of one connection.
struct ConnectionSlot {
    state: ConnectionState,
    /// When the connection entered this state.
    since: UnixTime,
    eviction: Rc<Notify>,
    /// Whether the connection was notified to close. It then no longer counts towards the limits.
    is_evicted: bool,
    /// Memory of its buffers, in bytes; 0 if they hold too little to be counted.
    buffer_bytes: usize,
}

/// Counts the connections of one frontend.
pub(crate) struct ConnectionLimiter {
    limits: ConnectionLimits,
    /// Whether half of the limits is left to another process of this node during an upgrade in place.
    shared: Cell<bool>,
    slots: RefCell<HashMap<u64, ConnectionSlot>>,
    next_id: Cell<u64>,
    /// Notified when a connection has closed, or has written all its responses.
    changed: Notify,
}

/// The slot of one connection. Dropping it frees the slot.
pub(crate) struct ConnectionGuard {
    limiter: Rc<ConnectionLimiter>,
    id: u64,
    eviction: Rc<Notify>,
    /// The counted memory of its buffers, as in its slot.
    buffer_bytes: Cell<usize>,
}

impl ConnectionLimiter {
    /// Creates a limiter that enforces these limits.
    pub(crate) fn new(limits: ConnectionLimits) -> Rc<Self> {
        Rc::new(ConnectionLimiter {
            limits,
            shared: Cell::new(false),
            slots: RefCell::default(),
            next_id: Cell::new(0),
            changed: Notify::new(),
        })
    }

    /// Admits a connection, for which another one is evicted if no slot is free. None if all connections are
    /// busy.
    pub(crate) fn admit(self: &Rc<Self>) -> Option<ConnectionGuard> {
        if self.count() >= self.max_connections() && !self.evict_one(|_, _| true) {
            return None;
        }
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        let eviction = Rc::new(Notify::new());
        let slot = ConnectionSlot {
            state: ConnectionState::Unproven,
            since: clock::now(),
            eviction: eviction.clone(),
            is_evicted: false,
            buffer_bytes: 0,
        };
        self.slots.borrow_mut().insert(id, slot);
        Some(ConnectionGuard { limiter: self.clone(), id, eviction, buffer_bytes: Cell::new(0) })
    }

    /// Leaves half of the limits to another process of this node, or takes them back: both processes together must stay
    /// within those of the node.
    pub(crate) fn set_shared(&self, shared: bool) {
        self.shared.set(shared);
        while self.count() > self.max_connections() && self.evict_one(|_, _| true) {}
    }

    fn max_connections(&self) -> usize {
        self.limits.connections / self.sharing_processes()
    }

    fn max_buffer_bytes(&self) -> usize {
        self.limits.buffer_bytes / self.sharing_processes()
    }

    /// Number of processes that share the limits.
    fn sharing_processes(&self) -> usize {
        1 + usize::from(self.shared.get())
    }

    fn count(&self) -> usize {
        self.slots.borrow().values().filter(|slot| !slot.is_evicted).count()
    }

    /// Memory of the buffers of all connections but the evicted ones, in bytes.
    fn buffer_bytes(&self) -> usize {
        let slots = self.slots.borrow();
        slots.values().filter(|slot| !slot.is_evicted).map(|slot| slot.buffer_bytes).sum()
    }

    /// Notifies one connection among those that `may_evict` selects by their id and slot that it must close. Returns false
    /// if all of them are busy.
    fn evict_one(&self, may_evict: impl Fn(u64, &ConnectionSlot) -> bool) -> bool {
        let mut slots = self.slots.borrow_mut();
        let candidates = slots.iter_mut().filter(|(id, slot)| {
            !slot.is_evicted && slot.state < ConnectionState::Busy && may_evict(**id, slot)
        });
        let Some((_, evicted)) = candidates.min_by_key(|(_, slot)| (slot.state, slot.since)) else {
            return false;
        };
        evicted.is_evicted = true;
        evicted.eviction.notify_one();
        true
    }

    /// Waits until no connection is left.
    pub(crate) async fn all_closed(&self) {
        while !self.slots.borrow().is_empty() {
            self.changed.notified().await;
        }
    }

    /// Waits until every request has its response, and every response is written.
    pub(crate) async fn all_flushed(&self) {
        while self.slots.borrow().values().any(|slot| slot.state >= ConnectionState::Flushing) {
            self.changed.notified().await;
        }
    }
}

impl ConnectionGuard {
    /// Sets the state of the connection. The eviction of a connection that becomes busy is revoked, as its
    /// request arrived before the connection closed.
    pub(crate) fn set_state(&self, state: ConnectionState) {
        if let Some(slot) = self.limiter.slots.borrow_mut().get_mut(&self.id) {
            if slot.state != state {
                slot.state = state;
                slot.since = clock::now();
            }
            slot.is_evicted &= state < ConnectionState::Busy;
            if state < ConnectionState::Flushing {
                self.limiter.changed.notify_waiters();
            }
        }
    }

    /// Reports that the connection's buffers hold `used` bytes and take `allocated` bytes of memory. If those of all
    /// connections are over the limit, others are evicted, the one whose message has been incomplete for longest first.
    /// Returns false if that does not suffice: this connection must then free its buffers, or at least not add to them.
    pub(crate) fn set_buffers(&self, used: usize, allocated: usize) -> bool {
        let counted = if used > UNCOUNTED_BUFFER_BYTES { allocated } else { 0 };
        if self.buffer_bytes.replace(counted) != counted {
            if let Some(slot) = self.limiter.slots.borrow_mut().get_mut(&self.id) {
                slot.buffer_bytes = counted;
            }
        }
        let has_buffers = |id, slot: &ConnectionSlot| id != self.id && slot.buffer_bytes > 0;
        while counted > 0 && self.limiter.buffer_bytes() > self.limiter.max_buffer_bytes() {
            if !self.limiter.evict_one(has_buffers) {
                return false;
            }
        }
        true
    }

    /// Whether the connection was evicted and has not become busy since.
    pub(crate) fn is_evicted(&self) -> bool {
        self.limiter.slots.borrow().get(&self.id).is_some_and(|slot| slot.is_evicted)
    }

    /// Waits until the connection is evicted. The connection may have become busy before this wait ends,
    /// which revokes the eviction.
    pub(crate) async fn evicted(&self) {
        self.eviction.notified().await;
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.limiter.slots.borrow_mut().remove(&self.id);
        self.limiter.changed.notify_waiters();
    }
}

#[cfg(test)]
mod tests;
