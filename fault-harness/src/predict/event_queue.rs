//! What will happen in a prediction, by time; events of one moment come in the order in which they were scheduled.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use crate::model::Ms;

/// Something that will happen. Requests, injections and nodes go by their positions, attempts by their ids.
#[derive(Debug)]
pub(super) enum ScheduledEvent {
    /// A client sends a request.
    ClientRequest(usize),
    /// A frontend goes on with a request after a wait.
    Resume(usize),
    /// The caller of an attempt stops waiting.
    AttemptTimeout(u64),
    /// A fault begins.
    FaultStart(usize),
    /// A fault ends.
    FaultEnd(usize),
    /// A node is up again.
    NodeRestart(usize),
    /// All nodes report to the membership service.
    Report,
}

/// An event with its time.
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
    /// The earliest is the greatest: the heap hands out the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.total_cmp(&self.at).then(other.sequence.cmp(&self.sequence))
    }
}

/// The queue of events.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    entries: BinaryHeap<Entry>,
    scheduled: u64,
}

impl EventQueue {
    /// Schedules an event.
    pub(super) fn schedule(&mut self, at: Ms, event: ScheduledEvent) {
        self.scheduled += 1;
        self.entries.push(Entry { at, sequence: self.scheduled, event });
    }

    /// When the next event comes.
    pub(super) fn next_at(&self) -> Option<Ms> {
        self.entries.peek().map(|entry| entry.at)
    }

    /// Takes the next event out.
    pub(super) fn pop(&mut self) -> Option<ScheduledEvent> {
        self.entries.pop().map(|entry| entry.event)
    }
}
