//! The requesting side of a state transfer: which donors a node still has to ask for their tables after it
//! came back.
//!
//! Several donors are asked at once, a page at a time, those entries first that expire last. Each node
//! draws its own order of donors, and comes back at a time of its own when a donor defers it, so that nodes
//! that recover at once do not ask the same donor at once. A transfer can be interrupted at any point and
//! continues where it was.

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

/// The most donors that are asked at a time.
const PARALLEL_DONORS: usize = 8;
/// A page that does not arrive within this is requested again, and a donor frees a slot that was not used
/// for as long.
pub(crate) const PAGE_TIMEOUT: Duration = Duration::from_secs(2);
/// A donor that was incomplete is asked whether it is complete by now after this, and up to twice as long.
const RECHECK_INTERVAL: Duration = Duration::from_secs(1);
/// The most donors that are asked per second whether they are complete: the cost for a donor does not grow
/// with the fleet.
const RECHECKS_PER_S: u64 = 16;

/// Estimated bytes of a page on a link, without its records.
const PAGE_HEADER_BYTES: usize = 32;
/// The same of a record, without its key, its claims and its run.
const RECORD_HEADER_BYTES: usize = 16;
/// The same of a claim that has started.
const STARTED_CLAIM_BYTES: usize = 40;
/// The same of a completed run, without its result.
const COMPLETED_RUN_BYTES: usize = 64;

/// Estimates how many bytes a page takes on a link.
pub(crate) fn wire_size(page: &Page) -> usize {
    let record_size = |record: &ReplicaRecord| {
        let run = record.completed.as_ref().map_or(0, |run| COMPLETED_RUN_BYTES + run.result.size());
        RECORD_HEADER_BYTES + record.key.len() + record.started.len() * STARTED_CLAIM_BYTES + run
    };
    PAGE_HEADER_BYTES + page.records.iter().map(record_size).sum::<usize>()
}

/// How far the transfer from one donor has got.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Progress {
    /// The page from this position is to be requested.
    Ready(Option<TablePosition>),
    /// The page from this position was requested at this time.
    Requested(Time, Option<TablePosition>),
    /// The donor deferred the request for this position until this time.
    Deferred(Time, Option<TablePosition>),
    /// The donor has sent its whole table, which was incomplete. It may be asked at this time whether it
    /// still is.
    Incomplete(Time),
    /// It was asked at this time whether it is complete.
    Rechecking(Time),
    /// It has sent its whole table, which was complete.
    Done,
}

impl Progress {
    /// Whether a part of the donor's table is still to come.
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

/// A node whose table is requested.
#[derive(Debug, Clone)]
struct DonorProgress {
    node: NodeId,
    progress: Progress,
}

/// What a donor's page brought.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct ReceivedPage {
    pub(crate) records: Vec<ReplicaRecord>,
    /// How complete the donor's table is, if this was the last page of it.
    pub(crate) finished: Option<Completeness>,
}

/// The transfers from all donors.
#[derive(Debug, Clone)]
pub(crate) struct StateTransfer {
    round: u32,
    /// In the order in which they are asked.
    donors: Vec<DonorProgress>,
    open_donors: usize,
    byte_budget: TokenBucket,
    /// A time before which no incomplete donor is to be asked again.
    next_recheck_at: Time,
    recheck_budget: TokenBucket,
    rng: ChaCha8Rng,
}

impl StateTransfer {
    /// Creates a transfer without donors that receives at most this many bytes per second. The seed
    /// determines the order of the donors.
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

    /// Starts over with these donors.
    pub(crate) fn start(&mut self, donors: &BTreeSet<NodeId>) {
        self.round += 1;
        let ready = |node: &NodeId| DonorProgress { node: *node, progress: Progress::Ready(None) };
        self.donors = donors.iter().map(ready).collect();
        self.donors.shuffle(&mut self.rng);
        self.update_open_donors();
    }

    /// Requests the table of one more donor, or of one donor again.
    pub(crate) fn add_donor(&mut self, node: NodeId) {
        self.donors.retain(|donor| donor.node != node);
        self.donors.push(DonorProgress { node, progress: Progress::Ready(None) });
        self.update_open_donors();
    }

    fn update_open_donors(&mut self) {
        self.open_donors = self.donors.iter().filter(|donor| donor.progress.is_open()).count();
    }

    /// Whether a node's table is, or was, requested.
    pub(crate) fn has_donor(&self, node: NodeId) -> bool {
        self.donors.iter().any(|donor| donor.node == node)
    }

    /// Drops all donors but these.
    pub(crate) fn retain_donors(&mut self, nodes: &BTreeSet<NodeId>) {
        self.donors.retain(|donor| nodes.contains(&donor.node));
        self.update_open_donors();
    }

    /// Returns the number of donors of whose tables a part is still to come.
    pub(crate) fn open_donors(&self) -> usize {
        self.open_donors
    }

    /// Whether a part is still to come of the table of any donor that satisfies the predicate.
    pub(crate) fn is_open(&self, is_alive: impl Fn(NodeId) -> bool) -> bool {
        self.open_donors > 0
            && self.donors.iter().any(|donor| donor.progress.is_open() && is_alive(donor.node))
    }

    /// Requests the next pages. `incarnation_of` returns the incarnation of a donor that is alive. Unless
    /// this node's own table is complete, incomplete donors are asked whether they are complete by now.
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
                // A page from the end of the table has no records, but says whether the donor is complete.
                self.recheck_budget.consume(1);
                donor.progress = Progress::Rechecking(now);
                Some(TablePosition::end(incarnation))
            };
            let message = Message::Pull { round: self.round, from };
            out.push(Request { to: donor.node, message });
            free -= 1;
        }
    }

    /// Returns the progress of a donor from which a page of this round is awaited.
    fn awaited(&mut self, node: NodeId, round: u32) -> Option<&mut Progress> {
        let is_current = round == self.round;
        let donor = self.donors.iter_mut().find(|donor| donor.node == node)?;
        Some(&mut donor.progress).filter(|progress| is_current && progress.is_awaiting_page())
    }

    /// Takes in a page; none if it was not requested.
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

    /// Handles that a donor has deferred a request by this time.
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
