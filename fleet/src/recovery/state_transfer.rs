//! The requesting side of a state transfer, which requests the tables of the donors after a node has started
//! or lost state.
//!
//! Pages are requested from several donors in parallel, one page at a time from each, and the entries that
//! expire last come first. Each node asks the donors in its own random order and retries after a random delay
//! when a donor defers it, so that nodes that recover at the same time don't all ask the same donor. An
//! interrupted transfer continues from its last position.

use std::collections::BTreeSet;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::envelope::Request;
use crate::ids::{Incarnation, NodeId};
use crate::message::{Completeness, Message, Page, ReplicaRecord, TablePosition};
use crate::recovery::token_bucket::TokenBucket;
use crate::Time;

/// Maximum number of donors from which pages are requested at the same time.
const PARALLEL_DONORS: usize = 8;
/// Time after which a page that did not arrive is requested again, and after which a donor frees a slot that
/// was not used.
pub(crate) const PAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// Minimum delay before an incomplete donor is asked again whether it is complete. A random part of up to the
/// same length is added.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of donors that a node asks per second whether they are complete, so that the load on a
/// donor does not grow with the size of the fleet.
const RECHECKS_PER_S: u64 = 16;

/// Estimated size of an encoded page without its records, in bytes.
const PAGE_HEADER_BYTES: usize = 32;
/// Estimated size of an encoded record without its key, claims and run, in bytes.
const RECORD_HEADER_BYTES: usize = 16;
/// Estimated size of an encoded claim whose run has started, in bytes.
const STARTED_CLAIM_BYTES: usize = 40;
/// Estimated size of an encoded completed run without its result, in bytes.
const COMPLETED_RUN_BYTES: usize = 64;

/// Returns the estimated size of an encoded page in bytes.
pub(crate) fn wire_size(page: &Page) -> usize {
    let record_size = |record: &ReplicaRecord| {
        let run = record.completed.as_ref().map_or(0, |run| COMPLETED_RUN_BYTES + run.result.size());
        RECORD_HEADER_BYTES + record.key.len() + record.started.len() * STARTED_CLAIM_BYTES + run
    };
    PAGE_HEADER_BYTES + page.records.iter().map(record_size).sum::<usize>()
}

/// The progress of the transfer from one donor.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Progress {
    /// The page at this position is still to be requested; `None` is the start of the table.
    Ready(Option<TablePosition>),
    /// The page at this position was requested at this time.
    Requested(Time, Option<TablePosition>),
    /// The donor deferred the request for the page at this position, which is repeated at this time.
    Deferred(Time, Option<TablePosition>),
    /// The donor has sent its whole table, which was incomplete. From this time on it may be asked whether
    /// its table is complete.
    Incomplete(Time),
    /// The donor was asked at this time whether its table is complete.
    Rechecking(Time),
    /// The donor has sent its whole table, which was complete.
    Done,
}

impl Progress {
    /// Whether a part of the donor's table has not been received.
    fn is_open(&self) -> bool {
        matches!(self, Progress::Ready(_) | Progress::Requested(..) | Progress::Deferred(..))
    }

    fn is_awaiting_page(&self) -> bool {
        matches!(self, Progress::Requested(..) | Progress::Rechecking(_))
    }

    /// Advances the time: requests time out and deferrals end.
    fn tick(&mut self, now: Time) {
        match self {
            Progress::Requested(at, from) if now >= *at + PAGE_TIMEOUT => {
                *self = Progress::Ready(from.take());
            }
            Progress::Deferred(until, from) if now >= *until => *self = Progress::Ready(from.take()),
            Progress::Rechecking(at) if now >= *at + PAGE_TIMEOUT => *self = Progress::Incomplete(now),
            _ => {}
        }
    }
}

/// A donor and the progress of the transfer from it.
#[derive(Debug, Clone)]
struct DonorProgress {
    node: NodeId,
    progress: Progress,
}

/// The content of a page that was received from a donor.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ReceivedPage {
    pub(crate) records: Vec<ReplicaRecord>,
    /// Completeness of the donor's table if this was its last page.
    pub(crate) finished: Option<Completeness>,
}

/// The state of the transfers from all donors.
#[derive(Debug, Clone)]
pub(crate) struct StateTransfer {
    /// Number of times that the transfer was started; pages of earlier rounds are ignored.
    round: u32,
    /// Donors in the order in which pages are requested from them.
    donors: Vec<DonorProgress>,
    /// Number of donors of whose tables a part has not been received.
    open_donors: usize,
    byte_budget: TokenBucket,
    /// No incomplete donor is due to be asked again before this time.
    next_recheck_at: Time,
    recheck_budget: TokenBucket,
    rng: ChaCha8Rng,
}

impl StateTransfer {
    /// Creates a transfer without donors that receives at most this many bytes per second. The seed
    /// determines the order of the donors and the random delays.
    pub(crate) fn new(bytes_per_s: u64, seed: u64, now: Time) -> StateTransfer {
        StateTransfer {
            round: 0,
            donors: Vec::new(),
            open_donors: 0,
            byte_budget: TokenBucket::new(bytes_per_s, bytes_per_s, now),
            next_recheck_at: Time::ZERO,
            recheck_budget: TokenBucket::new(RECHECKS_PER_S, RECHECKS_PER_S, now),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Starts a new round with these donors.
    pub(crate) fn start(&mut self, donors: &BTreeSet<NodeId>) {
        self.round += 1;
        let ready = |node: &NodeId| DonorProgress { node: *node, progress: Progress::Ready(None) };
        self.donors = donors.iter().map(ready).collect();
        self.donors.shuffle(&mut self.rng);
        self.update_open_donors();
    }

    /// Adds a donor, or restarts the transfer from it if it is one already.
    pub(crate) fn add_donor(&mut self, node: NodeId) {
        self.donors.retain(|donor| donor.node != node);
        self.donors.push(DonorProgress { node, progress: Progress::Ready(None) });
        self.update_open_donors();
    }

    fn update_open_donors(&mut self) {
        self.open_donors = self.donors.iter().filter(|donor| donor.progress.is_open()).count();
    }

    /// Whether a node is a donor of this round, even if its table has been received.
    pub(crate) fn has_donor(&self, node: NodeId) -> bool {
        self.donors.iter().any(|donor| donor.node == node)
    }

    /// Removes all donors except these nodes.
    pub(crate) fn retain_donors(&mut self, nodes: &BTreeSet<NodeId>) {
        self.donors.retain(|donor| nodes.contains(&donor.node));
        self.update_open_donors();
    }

    /// Returns the number of donors of whose tables a part has not been received.
    pub(crate) fn open_donors(&self) -> usize {
        self.open_donors
    }

    /// Whether a part of the table of any donor that satisfies the predicate has not been received.
    pub(crate) fn is_open(&self, is_alive: impl Fn(NodeId) -> bool) -> bool {
        self.open_donors > 0
            && self.donors.iter().any(|donor| donor.progress.is_open() && is_alive(donor.node))
    }

    /// Requests the next pages. `incarnation_of` returns the incarnation of a donor, or `None` if the donor
    /// is not alive. Unless this node's own table is complete (`is_complete`), incomplete donors are asked
    /// again whether their tables are complete.
    pub(crate) fn tick(
        &mut self,
        now: Time,
        is_complete: bool,
        incarnation_of: impl Fn(NodeId) -> Option<Incarnation>,
        out: &mut Vec<Request>,
    ) {
        if self.open_donors == 0 && (is_complete || now < self.next_recheck_at) {
            return;
        }
        let mut awaited_pages = 0;
        for donor in &mut self.donors {
            donor.progress.tick(now);
            awaited_pages += usize::from(donor.progress.is_awaiting_page());
        }
        if self.byte_budget.is_available(now) {
            let free = PARALLEL_DONORS.saturating_sub(awaited_pages);
            self.request_pages(now, is_complete, free, incarnation_of, out);
        }
        self.update_open_donors();
        let rechecks = self.donors.iter().filter_map(|donor| match donor.progress {
            Progress::Incomplete(at) | Progress::Rechecking(at) => Some(at),
            _ => None,
        });
        self.next_recheck_at = rechecks.min().unwrap_or(Time::MAX);
    }

    fn request_pages(
        &mut self,
        now: Time,
        is_complete: bool,
        mut free: usize,
        incarnation_of: impl Fn(NodeId) -> Option<Incarnation>,
        out: &mut Vec<Request>,
    ) {
        for donor in &mut self.donors {
            if free == 0 {
                break;
            }
            let is_due = match donor.progress {
                Progress::Ready(_) => true,
                Progress::Incomplete(at) => {
                    !is_complete && now >= at && self.recheck_budget.is_available(now)
                }
                _ => false,
            };
            if !is_due {
                continue;
            }
            let Some(incarnation) = incarnation_of(donor.node) else { continue };
            let from = if let Progress::Ready(from) = &mut donor.progress {
                let from = from.take();
                donor.progress = Progress::Requested(now, from.clone());
                from
            } else {
                // The page at the end of the table has no records but reports whether the table is complete.
                self.recheck_budget.consume(1);
                donor.progress = Progress::Rechecking(now);
                Some(TablePosition::end(incarnation))
            };
            let message = Message::Pull { round: self.round, from };
            out.push(Request { to: donor.node, message });
            free -= 1;
        }
    }

    /// Returns the progress of a donor if this is the current round and a page from the donor is awaited.
    fn awaited(&mut self, node: NodeId, round: u32) -> Option<&mut Progress> {
        let is_current = round == self.round;
        let donor = self.donors.iter_mut().find(|donor| donor.node == node)?;
        Some(&mut donor.progress).filter(|progress| is_current && progress.is_awaiting_page())
    }

    /// Receives a page. Returns `None` if the page was not requested.
    pub(crate) fn receive_page(&mut self, now: Time, from: NodeId, page: Page) -> Option<ReceivedPage> {
        let page_size = wire_size(&page);
        let recheck_at = now + RECHECK_INTERVAL.mul_f64(1.0 + self.rng.random::<f64>());
        let progress = self.awaited(from, page.round)?;
        *progress = match page.next {
            Some(next) => Progress::Ready(Some(next)),
            None if page.completeness == Completeness::Complete => Progress::Done,
            None => Progress::Incomplete(recheck_at),
        };
        let is_last = !progress.is_open();
        self.next_recheck_at = self.next_recheck_at.min(recheck_at);
        self.byte_budget.consume(page_size);
        self.update_open_donors();
        Some(ReceivedPage { records: page.records, finished: is_last.then_some(page.completeness) })
    }

    /// Handles the response of a donor that defers a request by `retry_after`. The request is repeated after
    /// this time plus a random part of up to the same length, and after at most [`PAGE_TIMEOUT`].
    pub(crate) fn defer(&mut self, now: Time, from: NodeId, round: u32, retry_after: Duration) {
        let retry_at = now + retry_after.mul_f64(1.0 + self.rng.random::<f64>()).min(PAGE_TIMEOUT);
        if let Some(progress) = self.awaited(from, round) {
            *progress = match progress {
                Progress::Requested(_, position) => Progress::Deferred(retry_at, position.take()),
                _ => Progress::Incomplete(retry_at),
            };
            self.next_recheck_at = self.next_recheck_at.min(retry_at);
        }
    }
}

#[cfg(test)]
pub(crate) mod tests;
