//! Limits the connections of a frontend and decides which one is evicted when a new one needs its slot.
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
    /// Whether the connection was notified to close. It then no longer counts towards the limit.
    is_evicted: bool,
}

/// Counts the connections of one frontend.
pub(crate) struct ConnectionLimiter {
    max_connections: usize,
    /// Whether half of the connections are left to another process of this node during an upgrade in place.
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
}

impl ConnectionLimiter {
    /// Creates a limiter that admits `max_connections`.
    pub(crate) fn new(max_connections: usize) -> Rc<Self> {
        Rc::new(ConnectionLimiter {
            max_connections,
            shared: Cell::new(false),
            slots: RefCell::default(),
            next_id: Cell::new(0),
            changed: Notify::new(),
        })
    }

    /// Admits a connection, for which another one is evicted if no slot is free. None if all connections are
    /// busy.
    pub(crate) fn admit(self: &Rc<Self>) -> Option<ConnectionGuard> {
        if self.count() >= self.capacity() && !self.evict_one() {
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
        };
        self.slots.borrow_mut().insert(id, slot);
        Some(ConnectionGuard { limiter: self.clone(), id, eviction })
    }

    /// Leaves half of the connections to another process of this node, or takes them back: both processes
    /// together must stay within the limit on file descriptors.
    pub(crate) fn set_shared(&self, shared: bool) {
        self.shared.set(shared);
        while self.count() > self.capacity() && self.evict_one() {}
    }

    fn capacity(&self) -> usize {
        if self.shared.get() {
            self.max_connections / 2
        } else {
            self.max_connections
        }
    }

    fn count(&self) -> usize {
        self.slots.borrow().values().filter(|slot| !slot.is_evicted).count()
    }

    /// Notifies one connection that it must close. Returns false if all connections are busy.
    fn evict_one(&self) -> bool {
        let mut slots = self.slots.borrow_mut();
        let candidates =
            slots.values_mut().filter(|slot| !slot.is_evicted && slot.state < ConnectionState::Busy);
        let Some(evicted) = candidates.min_by_key(|slot| (slot.state, slot.since)) else { return false };
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
