//! How far a handover between two processes of this node has come, as the dispatcher sees it.

use std::collections::HashMap;

use oakwind_admission::RequestId;
use tokio::sync::mpsc;

use super::attempts::TIMEOUT_MARGIN;
use crate::clock::UnixTime;
use crate::exchange::{HandoverState, Submission};
use crate::outcome::IdempotencyRecord;

/// What the dispatcher keeps for a handover, in either direction.
#[derive(Default)]
pub(super) struct HandoverProgress {
    /// The process that takes over from this one.
    pub(super) successor: Option<Successor>,
    /// Attempts with keys that came before the predecessor's table. As many as connections allow at most.
    pub(super) buffered: Vec<Submission>,
    /// The predecessor's records with an outcome that is being stored, by the attempt that holds the key here.
    pub(super) storing: HashMap<RequestId, IdempotencyRecord>,
}

impl HandoverProgress {
    /// When something is to be done for the handover.
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
    /// Where the state and its changes are sent to it.
    pub(super) updates: mpsc::Sender<HandoverState>,
    /// When it gets the idempotency table.
    pub(super) transfer_at: UnixTime,
    /// Whether it has got that.
    pub(super) transferred: bool,
}
