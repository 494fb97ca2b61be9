//! The donor side of a state transfer, which schedules the requests for pages of this node's table.
//!
//! A donor serves a bounded number of requesters at a time and defers the others. It also bounds the bytes
//! that it sends and the entries that it reads per second, so that it can still serve clients when many nodes
//! recover at the same time.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::ids::{LinkId, NodeId};
use crate::message::{Page, TablePosition};
use crate::recovery::state_transfer::{wire_size, PAGE_TIMEOUT};
use crate::recovery::token_bucket::TokenBucket;
use crate::Time;

/// Maximum number of requesters that a donor serves at a time.
const TRANSFER_SLOTS: usize = 8;
/// Delay before a deferred requester asks again, for each group of [`TRANSFER_SLOTS`] deferred requesters.
/// The requester adds a random part of up to the same length.
const DEFERRAL_PER_ROUND: Duration = Duration::from_millis(10);
/// Maximum number of table entries that a donor reads for other nodes per second. An entry takes about a
/// microsecond, so this costs a tenth of a core.
const ENTRIES_PER_S: u64 = 100_000;
/// Maximum number of table entries that a donor reads in a burst.
const ENTRIES_BURST: u64 = 5_000;
/// Cost of a page in addition to its entries, as a number of entries.
const PAGE_OVERHEAD_ENTRIES: usize = 50;

/// A request for a page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct PageRequest {
    pub(crate) link: LinkId,
    pub(crate) node: NodeId,
    pub(crate) round: u32,
    /// Position at which the page begins; `None` for the first page.
    pub(crate) from: Option<TablePosition>,
}

/// The slots, queue and budgets of a donor.
#[derive(Debug, Clone)]
pub(crate) struct Donor {
    byte_budget: TokenBucket,
    entry_budget: TokenBucket,
    /// Requests that wait for the budgets; at most one from each node that has a slot.
    queue: VecDeque<PageRequest>,
    /// The nodes that have a slot, with the time of the last request of each.
    slots: BTreeMap<NodeId, Time>,
    /// The nodes that were deferred and have not been given a slot since, with the time of the deferral.
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

    /// Sets the rate of reading entries to this fraction of [`ENTRIES_PER_S`].
    pub(crate) fn set_rate_fraction(&mut self, now: Time, fraction: f64) {
        self.entry_budget.set_rate(now, (ENTRIES_PER_S as f64 * fraction) as u64);
    }

    /// Queues a request, which replaces an earlier one of the same node. If no slot is free, returns the
    /// delay after which the node may ask again.
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

    /// Removes and returns the next request if the budgets allow a page to be sent now.
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

    /// Charges a sent page to the budgets. The last page of the table frees the node's slot.
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
