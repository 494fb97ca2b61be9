//! The connections of a front: how many there may be at a time, and which of them goes when there is no room.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use crate::clock::{self, Unix};

/// A client owes its first message, whole, this long after it connected, and the rest of a later one this long
/// after its beginning. Guards the room against clients that say nothing or never finish.
pub const OWED: Duration = Duration::from_secs(2);

/// What a connection has shown of itself; the least comes first, and goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It has said nothing that could be served.
    Stranger,
    /// Nothing is open on it.
    Idle,
    /// Nothing is open on it, and its last answers are still to be written.
    Answered,
    /// Its peer waits for an answer.
    Busy,
}

struct Seat {
    standing: Standing,
    since: Unix,
    leave: Rc<Notify>,
    /// It was asked to leave, so it counts no more.
    leaving: bool,
}

/// The connections of one front.
pub struct ConnectionLimiter {
    room: usize,
    /// Another process of this node has half of the room.
    shared: Cell<bool>,
    seats: RefCell<HashMap<u64, Seat>>,
    next: Cell<u64>,
    /// A connection has gone, or has all its answers.
    changed: Notify,
}

/// A connection's seat, free again when this is dropped.
pub struct ConnectionGuard {
    guests: Rc<ConnectionLimiter>,
    number: u64,
    leave: Rc<Notify>,
}

impl ConnectionLimiter {
    /// Room for so many connections.
    pub fn new(room: usize) -> Rc<Self> {
        let seats = RefCell::default();
        Rc::new(ConnectionLimiter {
            room,
            shared: Cell::new(false),
            seats,
            next: Cell::new(0),
            changed: Notify::new(),
        })
    }

    /// Seats one more connection. Where there is no room, a stranger or else the one idle for longest goes for
    /// it; nothing where all are busy. Guards front ends against being shut out by those who hold connections
    /// and ask nothing.
    pub fn seat(self: &Rc<Self>) -> Option<ConnectionGuard> {
        if self.taken() >= self.room() && !self.one_leaves() {
            return None;
        }
        let mut seats = self.seats.borrow_mut();
        let (number, leave) = (self.next.get(), Rc::new(Notify::new()));
        self.next.set(number + 1);
        let (standing, since) = (Standing::Stranger, clock::now());
        seats.insert(number, Seat { standing, since, leave: leave.clone(), leaving: false });
        Some(ConnectionGuard { guests: self.clone(), number, leave })
    }

    /// Shares the room with another process of this node, or has it alone. Guards the descriptors, which are
    /// counted over both.
    pub fn share(&self, shared: bool) {
        self.shared.set(shared);
        while self.taken() > self.room() && self.one_leaves() {}
    }

    fn room(&self) -> usize {
        if self.shared.get() {
            self.room / 2
        } else {
            self.room
        }
    }

    fn taken(&self) -> usize {
        self.seats.borrow().values().filter(|seat| !seat.leaving).count()
    }

    /// Asks a stranger, or else the one idle for longest, to leave; false where all are busy.
    fn one_leaves(&self) -> bool {
        let mut seats = self.seats.borrow_mut();
        let idle = seats.values_mut().filter(|seat| !seat.leaving && seat.standing < Standing::Busy);
        let Some(goes) = idle.min_by_key(|seat| (seat.standing, seat.since)) else { return false };
        goes.leaving = true;
        goes.leave.notify_one();
        true
    }

    /// Waits until no connection is left.
    pub async fn all_gone(&self) {
        while !self.seats.borrow().is_empty() {
            self.changed.notified().await;
        }
    }

    /// Waits until every connection has all its answers.
    pub async fn all_paid(&self) {
        while self.seats.borrow().values().any(|seat| seat.standing >= Standing::Answered) {
            self.changed.notified().await;
        }
    }
}

impl ConnectionGuard {
    /// The connection shows this of itself from now on.
    pub fn is(&self, standing: Standing) {
        if let Some(seat) = self.guests.seats.borrow_mut().get_mut(&self.number) {
            if seat.standing != standing {
                (seat.standing, seat.since) = (standing, clock::now());
            }
            // A request came before it left, so it stays, and counts.
            seat.leaving &= standing < Standing::Busy;
            if standing < Standing::Answered {
                self.guests.changed.notify_waiters();
            }
        }
    }

    /// Whether the connection was asked to leave and has not become busy since: then it has no place any more.
    pub fn is_leaving(&self) -> bool {
        self.guests.seats.borrow().get(&self.number).is_some_and(|seat| seat.leaving)
    }

    /// Waits until the connection is asked to leave. It is not if it is busy, but may have become so since.
    pub async fn asked_to_leave(&self) {
        self.leave.notified().await;
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.guests.seats.borrow_mut().remove(&self.number);
        self.guests.changed.notify_waiters();
    }
}

#[cfg(test)]
mod tests;
