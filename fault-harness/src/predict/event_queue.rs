//! The event queue of a prediction, in order of time; events of the same moment come in the order in which
//! they were scheduled.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use crate::model::Ms;

/// A scheduled event. Requests, injections and nodes are identified by their positions, attempts by their
/// ids.
#[derive(Debug)]
pub(super) enum ScheduledEvent {
    /// A client sends a request.
    ClientRequest(usize),
    /// A frontend continues with a request after its backoff.
    BackoffElapsed(usize),
    /// The caller of an attempt stops waiting.
    AttemptTimeout(u64),
    /// The fault of an injection takes effect.
    FaultStart(usize),
    /// The effect of an injection is undone.
    FaultEnd(usize),
    /// A node that was killed or shut down starts again.
    NodeRestart(usize),
    /// All nodes send a heartbeat to the registry.
    Heartbeat,
}

/// An event and its time.
#[derive(Debug)]
struct Entry {
    at: Ms,
    sequence: u64,
    event: ScheduledEvent,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    /// The earliest entry is the greatest, since the heap returns the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.sequence.cmp(&self.sequence))
    }
}

/// Queue of scheduled events.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    entries: BinaryHeap<Entry>,
    /// Number of events scheduled so far, from which the sequence number of the next one is derived.
    scheduled: u64,
}

impl EventQueue {
    pub(super) fn schedule(&mut self, at: Ms, event: ScheduledEvent) {
        self.scheduled += 1;
        self.entries.push(Entry { at, sequence: self.scheduled, event });
    }

    /// Time of the next event; none if the queue is empty.
    pub(super) fn next_at(&self) -> Option<Ms> {
        self.entries.peek().map(|entry| entry.at)
    }

    /// Removes and returns the next event.
    pub(super) fn pop(&mut self) -> Option<ScheduledEvent> {
        self.entries.pop().map(|entry| entry.event)
    }
}
