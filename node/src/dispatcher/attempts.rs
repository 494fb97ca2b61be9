//! The attempts that are open, by their id and by their transaction id.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use oakwind_admission::RequestId;

use crate::clock::UnixTime;
use crate::exchange::{Request, Responder, SubmissionId, TransactionId};

/// A request that fails this shortly before its deadline, or later, counts as timed out: one period of the admission
/// module's timer, which fails requests up to a period before their deadline, and a little. What has no answer by then is
/// answered without waiting any longer.
pub(super) const TIMEOUT_MARGIN: Duration = Duration::from_millis(60);

/// One attempt of a request, from the moment it is read until it is answered and nothing of it runs.
pub(super) struct Attempt {
    pub(super) id: RequestId,
    pub(super) request: Rc<Request>,
    pub(super) submission_id: SubmissionId,
    /// The right to answer: used up by the answer, dropped when the client has cancelled.
    pub(super) responder: Option<Responder>,
    pub(super) phase: Phase,
}

/// How far an attempt has come.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Phase {
    /// The admission module has it in its queue.
    Queued,
    /// It waits for the outcome of another attempt of its key.
    WaitingForAttempt { since: UnixTime },
    /// It waits for the outcome of another node's run of its key. To the admission module it is over.
    AwaitingRemoteRun,
    /// The admission module has started it: its run is under way, or waits for the run gate. The time since `started_at`
    /// contains that wait.
    Running { started_at: UnixTime },
    /// Its run waits for a call with this body.
    AwaitingCall { started_at: UnixTime, body: Bytes },
    /// The call that its run waits for is under way.
    Calling { started_at: UnixTime, called_at: UnixTime, body: Bytes },
}

impl Phase {
    /// When its run started on this node, if it did.
    pub(super) fn started_at(&self) -> Option<UnixTime> {
        match self {
            Phase::Queued | Phase::WaitingForAttempt { .. } | Phase::AwaitingRemoteRun => None,
            Phase::Running { started_at }
            | Phase::AwaitingCall { started_at, .. }
            | Phase::Calling { started_at, .. } => Some(*started_at),
        }
    }

    /// Whether the attempt is over once it is answered, as no run of it is still to end.
    pub(super) fn ends_with_answer(&self) -> bool {
        matches!(self, Phase::Queued | Phase::WaitingForAttempt { .. })
    }
}

/// All open attempts.
pub(super) struct AttemptTable {
    by_id: HashMap<RequestId, Attempt>,
    id_by_txn: HashMap<TransactionId, RequestId>,
    next_id: u32,
}

impl Default for AttemptTable {
    fn default() -> Self {
        AttemptTable { by_id: HashMap::new(), id_by_txn: HashMap::new(), next_id: 1 }
    }
}

impl AttemptTable {
    /// An id for an attempt, or for a key of another process. Ids come again after four billion others, when no attempt
    /// has the old one any more. It is never 0.
    pub(super) fn allocate_id(&mut self) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1).max(1);
        id
    }

    /// Adds an attempt; no other with its transaction id may be open.
    pub(super) fn insert(&mut self, attempt: Attempt) {
        self.id_by_txn.insert(attempt.request.txn.clone(), attempt.id);
        self.by_id.insert(attempt.id, attempt);
    }

    /// Removes an attempt, if it is open.
    pub(super) fn remove(&mut self, id: RequestId) {
        if let Some(attempt) = self.by_id.remove(&id) {
            self.id_by_txn.remove(&attempt.request.txn);
        }
    }

    /// An open attempt.
    pub(super) fn get(&self, id: RequestId) -> Option<&Attempt> {
        self.by_id.get(&id)
    }

    /// An open attempt, to be changed.
    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut Attempt> {
        self.by_id.get_mut(&id)
    }

    /// The id of the open attempt with this transaction id.
    pub(super) fn id_of(&self, txn: &TransactionId) -> Option<RequestId> {
        self.id_by_txn.get(txn).copied()
    }

    /// All open attempts, in no order.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Attempt> {
        self.by_id.values()
    }
}
