//! The serving side of a state transfer: which requester gets the next page of this node's table.
//!
//! A donor serves a bounded number of requesters at a time and defers the others, and bounds the bytes that
//! it sends and the entries that it reads per second, so that it keeps serving clients when many nodes
//! recover at once.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::ids::{LinkId, NodeId};
use crate::message::{Page, TablePosition};
use crate::recovery::state_transfer::{wire_size, PAGE_TIMEOUT};
use crate::recovery::token_bucket::TokenBucket;
use crate::Time;

/// The most requesters that a donor serves at a time.
const TRANSFER_SLOTS: usize = 8;
/// A deferred requester comes back after this for each round of slots that is before it, and up to twice as
/// long.
const DEFERRAL_PER_ROUND: Duration = Duration::from_millis(10);
/// Table entries that a donor reads for others per second. At about a microsecond each, a tenth of a core.
const ENTRIES_PER_S: u64 = 100_000;
/// Table entries that it reads at once.
const ENTRIES_BURST: u64 = 5_000;
/// The cost of a page in addition to its entries, in entries.
const PAGE_OVERHEAD_ENTRIES: usize = 50;

/// A request for a page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PageRequest {
    pub(crate) link: LinkId,
    pub(crate) node: NodeId,
    pub(crate) round: u32,
    /// Where the page begins; none for the first.
    pub(crate) from: Option<TablePosition>,
}

/// The state of a node as a donor.
#[derive(Debug, Clone)]
pub(crate) struct Donor {
    byte_budget: TokenBucket,
    entry_budget: TokenBucket,
    /// At most one request of each node that has a slot.
    queue: VecDeque<PageRequest>,
    /// The nodes that have a slot, and when each last asked.
    slots: BTreeMap<NodeId, Time>,
    /// The nodes that were deferred and have not been back, and when.
    deferred: BTreeMap<NodeId, Time>,
}

impl Donor {
    /// Creates a donor that sends at most this many bytes per second.
    pub(crate) fn new(bytes_per_s: u64, now: Time) -> Donor {
        Donor {
            byte_budget: TokenBucket::new(bytes_per_s, bytes_per_s, now),
            entry_budget: TokenBucket::new(ENTRIES_PER_S, ENTRIES_BURST, now),
            queue: VecDeque::new(),
            slots: BTreeMap::new(),
            deferred: BTreeMap::new(),
        }
    }

    /// Serves at this fraction of the usual rate from now on.
    pub(crate) fn set_rate_fraction(&mut self, now: Time, fraction: f64) {
        self.entry_budget.set_rate(now, (ENTRIES_PER_S as f64 * fraction) as u64);
    }

    /// Queues a request, which replaces an earlier one of the same node. Returns for how long the node is
    /// deferred if no slot is free.
    pub(crate) fn request(&mut self, now: Time, request: PageRequest) -> Option<Duration> {
        let node = request.node;
        self.queue.retain(|queued| queued.node != node);
        self.slots.retain(|_, asked_at| now < *asked_at + PAGE_TIMEOUT);
        self.deferred.retain(|_, deferred_at| now < *deferred_at + PAGE_TIMEOUT);
        if self.slots.len() >= TRANSFER_SLOTS && !self.slots.contains_key(&node) {
            self.deferred.insert(node, now);
            let rounds = 1 + self.deferred.len() / TRANSFER_SLOTS;
            return Some(DEFERRAL_PER_ROUND * u32::try_from(rounds).unwrap_or(u32::MAX));
        }
        self.deferred.remove(&node);
        self.slots.insert(node, now);
        self.queue.push_back(request);
        None
    }

    /// Takes the next request if the budgets allow a page now.
    pub(crate) fn next_request(&mut self, now: Time) -> Option<PageRequest> {
        let is_due = !self.queue.is_empty()
            && self.byte_budget.is_available(now)
            && self.entry_budget.is_available(now);
        if is_due {
            self.queue.pop_front()
        } else {
            None
        }
    }

    /// Records a page that was sent. The last page of a table frees the node's slot.
    pub(crate) fn record_sent(&mut self, node: NodeId, page: &Page, entries_read: usize) {
        self.byte_budget.consume(wire_size(page));
        self.entry_budget.consume(entries_read + PAGE_OVERHEAD_ENTRIES);
        if page.next.is_none() {
            self.slots.remove(&node);
        }
    }
}

#[cfg(test)]
mod tests;
