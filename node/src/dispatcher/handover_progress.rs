//! The dispatcher's state of a handover between two processes of this node.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use oakwind_admission::RequestId;
use tokio::sync::mpsc;

use super::attempts::TIMEOUT_MARGIN;
use crate::clock::UnixTime;
use crate::exchange::{HandoverState, Submission};
use crate::outcome::IdempotencyRecord;
use crate::result_store::KeySource;

/// How long before this process is stopped its last steps are taken: a successor on standby gets the table, and buffered
/// attempts are answered.
pub(super) const STOP_MARGIN: Duration = Duration::from_millis(500);

/// State of a handover, either from the predecessor or to the successor.
pub(super) struct HandoverProgress {
    /// The process that takes over from this one; `None` if no such process runs.
    pub(super) successor: Option<Successor>,
    /// Whether the stores of keys and results have been released to the successor.
    pub(super) stores_released: bool,
    /// Where the keys of another process of this node are still to come from; `None` once they are known here.
    pub(super) awaiting_keys_from: Option<KeySource>,
    /// When the keys of another process of this node that were lost have expired; zero if none were lost.
    pub(super) lost_keys_expire_at: UnixTime,
    /// Attempts with keys that arrived before the keys of the other process. Their number is bounded by the number
    /// of requests that clients may have open on their connections.
    pub(super) buffered: Vec<Submission>,
    /// The predecessor's records whose outcomes are being stored, indexed by the id that holds the record's
    /// key in this process.
    pub(super) storing: HashMap<RequestId, IdempotencyRecord>,
}

impl HandoverProgress {
    /// The state of a process that has just started, whose keys come from here.
    pub(super) fn new(awaiting_keys_from: Option<KeySource>) -> Self {
        HandoverProgress {
            successor: None,
            stores_released: false,
            awaiting_keys_from,
            lost_keys_expire_at: UnixTime::ZERO,
            buffered: Vec::new(),
            storing: HashMap::new(),
        }
    }

    /// Time of the next step: transferring the table or answering the buffered attempt that can wait least.
    /// `standby_transfer_at` is when a successor on standby gets the table, and `stops_at` when this process is stopped.
    pub(super) fn next_wake(
        &self,
        standby_transfer_at: Option<UnixTime>,
        stops_at: Option<UnixTime>,
    ) -> Option<UnixTime> {
        let transfer_at = self.transfer_at(standby_transfer_at);
        let answer_at = self.buffered.iter().map(|submission| buffered_until(submission, stops_at)).min();
        transfer_at.into_iter().chain(answer_at).min()
    }

    /// Removes and returns the buffered attempts that can't wait any longer for the keys of the other process.
    pub(super) fn take_expired_buffered(
        &mut self,
        now: UnixTime,
        stops_at: Option<UnixTime>,
    ) -> Vec<Submission> {
        self.buffered.extract_if(.., |submission| now >= buffered_until(submission, stops_at)).collect()
    }

    /// When the table is to be transferred to the successor; `None` if there is nothing to transfer, no time is set
    /// yet, or the table is not complete.
    pub(super) fn transfer_at(&self, standby_transfer_at: Option<UnixTime>) -> Option<UnixTime> {
        let successor = self.successor.as_ref().filter(|_| self.awaiting_keys_from.is_none())?;
        successor.transfer_at(standby_transfer_at)
    }

    /// Whether a successor is still to get state that only this process has.
    pub(super) fn owes_state(&self) -> bool {
        self.successor.as_ref().is_some_and(Successor::lacks_state)
    }

    /// Registers that keys were lost that have expired at this time, unless others expire later.
    pub(super) fn register_lost_keys(&mut self, expire_at: UnixTime) {
        self.lost_keys_expire_at = self.lost_keys_expire_at.max(expire_at);
    }

    /// Whether an attempt that was received at this time may repeat a request whose key was lost with another process.
    pub(super) fn may_repeat_lost_key(&self, received_at: UnixTime) -> bool {
        received_at < self.lost_keys_expire_at
    }

    /// Postpones the expiry of lost keys after the clock stepped ahead.
    pub(super) fn postpone_expiry(&mut self, by: Duration) {
        if !self.lost_keys_expire_at.is_zero() {
            self.lost_keys_expire_at += by;
        }
    }

    /// Registers that one queued update has been written to the successor.
    pub(super) fn update_written(&mut self) {
        if let Some(successor) = &mut self.successor {
            successor.unwritten_updates = successor.unwritten_updates.saturating_sub(1);
            successor.send_backlog();
        }
    }
}

/// When a buffered attempt has to be answered, whether or not its key is known by then.
fn buffered_until(submission: &Submission, stops_at: Option<UnixTime>) -> UnixTime {
    let before_deadline = submission.request.deadline.saturating_sub(TIMEOUT_MARGIN);
    let before_stop = stops_at.map(|stops_at| stops_at.saturating_sub(STOP_MARGIN));
    before_stop.map_or(before_deadline, |before_stop| before_stop.min(before_deadline))
}

/// How far the handover to a successor has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HandoverStage {
    /// The successor can't serve yet. It gets the table if this process drains before it can.
    Standby,
    /// The successor accepts the clients, and the table is to be transferred at this time.
    TakingOver { transfer_at: UnixTime },
    /// The table has been queued for the successor, and no key may be added here.
    Transferred,
}

/// The process that takes over from this one.
pub(super) struct Successor {
    /// Queue on which the idempotency table and later changes to it are sent to the successor.
    updates: mpsc::Sender<HandoverState>,
    pub(super) stage: HandoverStage,
    /// Updates for which the queue has no capacity, as the successor does not read. No key is added after the table
    /// is transferred, so there is at most one for each key that had no outcome then.
    backlog: VecDeque<HandoverState>,
    /// Number of updates that have not been written to the successor.
    unwritten_updates: usize,
}

impl Successor {
    /// A successor to which nothing has been sent yet.
    pub(super) fn new(updates: mpsc::Sender<HandoverState>, stage: HandoverStage) -> Self {
        Successor { updates, stage, backlog: VecDeque::new(), unwritten_updates: 0 }
    }

    /// Whether this successor is sent updates through this queue.
    pub(super) fn receives_from(&self, updates: &mpsc::Sender<HandoverState>) -> bool {
        self.updates.same_channel(updates)
    }

    /// Sends an update, after all earlier ones.
    pub(super) fn send(&mut self, update: HandoverState) {
        self.unwritten_updates += 1;
        self.backlog.push_back(update);
        self.send_backlog();
    }

    /// Sends as many updates as the queue has capacity for. A queue that is closed belongs to a successor that has
    /// ended, which is reported as an event.
    fn send_backlog(&mut self) {
        while let Ok(permit) = self.updates.try_reserve() {
            let Some(update) = self.backlog.pop_front() else { return };
            permit.send(update);
        }
    }

    /// When the table is to be transferred; `None` if it has been, or no time is set yet.
    fn transfer_at(&self, standby_transfer_at: Option<UnixTime>) -> Option<UnixTime> {
        match self.stage {
            HandoverStage::Standby => standby_transfer_at,
            HandoverStage::TakingOver { transfer_at } => Some(transfer_at),
            HandoverStage::Transferred => None,
        }
    }

    fn lacks_state(&self) -> bool {
        self.stage != HandoverStage::Transferred || self.unwritten_updates > 0
    }
}
