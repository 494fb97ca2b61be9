//! Bounds the connections of a frontend and decides which of them is evicted when a new one needs its slot.
//!
//! A busy connection is never evicted. Of the others the one that has shown least is, and among equals the one that has
//! been so for longest: clients that hold connections without sending requests shut nobody out.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::clock::{self, UnixTime};

/// A client's first message is complete this long after it connected, and a later one this long after its first byte.
/// Clients that send nothing or never complete a message don't hold a connection for longer.
pub(crate) const MESSAGE_TIMEOUT: Duration = Duration::from_secs(2);

/// What a connection is doing, in the order in which connections are evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum ConnectionState {
    /// Its client has sent nothing that could be served.
    Unproven,
    /// Its client has been served, and no request is open.
    Idle,
    /// No request is open, and responses are still to be written.
    Flushing,
    /// Its client waits for a response.
    Busy,
}

/// A connection that is counted.
struct ConnectionSlot {
    state: ConnectionState,
    /// When it took on this state.
    since: UnixTime,
    eviction: Rc<Notify>,
    /// It was told to close and is not counted any more.
    is_evicted: bool,
}

/// Counts the connections of one frontend.
pub(crate) struct ConnectionLimiter {
    max_connections: usize,
    /// Half of the connections belong to another process of this node.
    shared: Cell<bool>,
    slots: RefCell<HashMap<u64, ConnectionSlot>>,
    next_id: Cell<u64>,
    /// A connection has closed, or has written all its responses.
    changed: Notify,
}

/// The slot of one connection. Dropping it frees the slot.
pub(crate) struct ConnectionGuard {
    limiter: Rc<ConnectionLimiter>,
    id: u64,
    eviction: Rc<Notify>,
}

impl ConnectionLimiter {
    /// A limiter without connections.
    pub(crate) fn new(max_connections: usize) -> Rc<Self> {
        Rc::new(ConnectionLimiter {
            max_connections,
            shared: Cell::new(false),
            slots: RefCell::default(),
            next_id: Cell::new(0),
            changed: Notify::new(),
        })
    }

    /// Admits one more connection and evicts another one for it where none is left. None where all are busy.
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

    /// Leaves half of the connections to another process of this node, or takes them back. The descriptors are counted
    /// over both processes.
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

    /// Tells one connection to close; false where all are busy.
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
    /// Records what the connection is doing. One that has become busy is not evicted any more: its request came before
    /// it closed.
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

    /// Waits until the connection is evicted. It may have become busy between that and the end of this wait.
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
