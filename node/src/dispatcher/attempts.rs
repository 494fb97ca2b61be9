//! The table of open attempts, indexed by their id and by their transaction id.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use oakwind_admission::RequestId;

use crate::clock::UnixTime;
use crate::exchange::{Request, Responder, SubmissionId, TransactionId};

/// A failure within this time before a request's deadline counts as a timeout, and a request that is still
/// waiting is answered this time before its deadline. The margin covers one period of the admission module's
/// timer, which fails requests up to a period before their deadline, and a small reserve.
pub(super) const TIMEOUT_MARGIN: Duration = Duration::from_millis(60);

/// One attempt of a request, kept from when it is read until it is answered and its run, if any, has ended.
pub(super) struct Attempt {
    pub(super) id: RequestId,
    pub(super) request: Rc<Request>,
    pub(super) submission_id: SubmissionId,
    /// The right to answer the attempt; `None` once it has been answered or its client has cancelled it.
    pub(super) responder: Option<Responder>,
    pub(super) phase: Phase,
}

/// Processing state of an open attempt.
#[derive(Debug, Clone, PartialEq)]
pub(super) enum Phase {
    /// The admission module has it in its queue.
    Queued,
    /// It waits for the outcome of another attempt with the same key.
    WaitingForAttempt { since: UnixTime },
    /// It waits for the outcome of another node's run with the same key. The admission module has been told
    /// that it was skipped.
    AwaitingRemoteRun,
    /// The admission module has started it: its run is under way, or waits for the run gate. The time since
    /// `started_at` includes that wait.
    Running { started_at: UnixTime },
    /// Its run waits for a call with this body.
    AwaitingCall { started_at: UnixTime, body: Bytes },
    /// The call that its run waits for is under way.
    Calling { started_at: UnixTime, called_at: UnixTime, body: Bytes },
}

impl Phase {
    /// When the admission module started its run; `None` if no run of it has been started on this node.
    pub(super) fn started_at(&self) -> Option<UnixTime> {
        match self {
            Phase::Queued | Phase::WaitingForAttempt { .. } | Phase::AwaitingRemoteRun => None,
            Phase::Running { started_at }
            | Phase::AwaitingCall { started_at, .. }
            | Phase::Calling { started_at, .. } => Some(*started_at),
        }
    }

    /// Whether neither a run of the attempt nor a run on another node that it waits for is in progress, so
    /// that the attempt can be removed once it is answered.
    pub(super) fn has_no_run_in_progress(&self) -> bool {
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
    /// Returns an id for an attempt, or for a key whose run belongs to another process. It is never 0. Ids
    /// repeat after about four billion; the earlier attempt is assumed, without a check, to be no longer open
    /// by then.
    pub(super) fn allocate_id(&mut self) -> RequestId {
        let id = RequestId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1).max(1);
        id
    }

    /// Adds an attempt. No other open attempt may have its transaction id.
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

    pub(super) fn get(&self, id: RequestId) -> Option<&Attempt> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut Attempt> {
        self.by_id.get_mut(&id)
    }

    /// Returns the id of the open attempt with this transaction id.
    pub(super) fn id_of(&self, txn: &TransactionId) -> Option<RequestId> {
        self.id_by_txn.get(txn).copied()
    }

    /// Iterates over all open attempts in arbitrary order.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Attempt> {
        self.by_id.values()
    }
}
