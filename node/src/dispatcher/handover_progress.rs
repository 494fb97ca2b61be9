//! The dispatcher's state of a handover between two processes of this node.

use std::collections::HashMap;

use oakwind_admission::RequestId;
use tokio::sync::mpsc;

use super::attempts::TIMEOUT_MARGIN;
use crate::clock::UnixTime;
use crate::exchange::{HandoverState, Submission};
use crate::outcome::IdempotencyRecord;

/// State of a handover, either from the predecessor or to the successor.
#[derive(Default)]
pub(super) struct HandoverProgress {
    /// The process that takes over from this one; `None` if no such process runs.
    pub(super) successor: Option<Successor>,
    /// Attempts with keys that arrived before the predecessor's table. Their number is bounded by the number
    /// of requests that clients may have open on their connections.
    pub(super) buffered: Vec<Submission>,
    /// The predecessor's records whose outcomes are being stored, indexed by the id that holds the record's
    /// key in this process.
    pub(super) storing: HashMap<RequestId, IdempotencyRecord>,
}

impl HandoverProgress {
    /// Time of the next step: transferring the table or rejecting the buffered attempt with the nearest deadline.
    pub(super) fn next_wake(&self) -> Option<UnixTime> {
        let transfer = self.successor.as_ref().filter(|successor| !successor.transferred);
        let transfer_at = transfer.map(|successor| successor.transfer_at);
        let deadlines = self.buffered.iter().map(|submission| submission.request.deadline);
        let reject_at = deadlines.map(|deadline| deadline.saturating_sub(TIMEOUT_MARGIN)).min();
        transfer_at.into_iter().chain(reject_at).min()
    }
}

/// The process that takes over from this one.
pub(super) struct Successor {
    /// Queue on which the idempotency table and later changes to it are sent to the successor.
    pub(super) updates: mpsc::Sender<HandoverState>,
    /// When the idempotency table is to be transferred.
    pub(super) transfer_at: UnixTime,
    /// Whether the idempotency table has been transferred.
    pub(super) transferred: bool,
}
