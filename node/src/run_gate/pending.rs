//! Runs that wait for the store or the peers, and the combination of their approvals.

use std::collections::HashMap;

use oakwind_admission::RequestId;

use super::keyed_run::KeyedRun;
use crate::outcome::Completion;

/// Answer of the store, or of the peers, on the start or the end of one run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Approval {
    /// It has recorded the run, is not configured, or was not asked.
    Granted,
    /// It has been asked and will answer.
    Pending,
    /// It has not recorded the run.
    Denied,
}

impl Approval {
    /// Returns the approval that an answer expresses.
    pub(super) fn of(agrees: bool) -> Self {
        if agrees {
            Approval::Granted
        } else {
            Approval::Denied
        }
    }

    /// Returns the approval after a request: pending, or denied if the request could not be queued.
    pub(super) fn requested(queued: bool) -> Self {
        if queued {
            Approval::Pending
        } else {
            Approval::Denied
        }
    }

    /// Combines both approvals: pending while either is pending, then denied if either is denied.
    pub(super) fn and(self, other: Approval) -> Self {
        match (self, other) {
            (Approval::Pending, _) | (_, Approval::Pending) => Approval::Pending,
            (Approval::Denied, _) | (_, Approval::Denied) => Approval::Denied,
            (Approval::Granted, Approval::Granted) => Approval::Granted,
        }
    }
}

/// A run that waits to start, or to be reported as completed.
#[derive(Debug)]
pub(super) struct PendingRun {
    pub(super) run: KeyedRun,
    /// How the run ended; `None` if it waits to start.
    pub(super) completion: Option<Completion>,
    pub(super) store: Approval,
    pub(super) peers: Approval,
}

impl PendingRun {
    /// Whether the store or the peers have denied the run.
    pub(super) fn is_denied(&self) -> bool {
        self.store == Approval::Denied || self.peers == Approval::Denied
    }

    /// Whether no answer is awaited any more: both have granted the run, or either has denied it.
    fn is_resolved(&self) -> bool {
        self.is_denied() || (self.store == Approval::Granted && self.peers == Approval::Granted)
    }
}

/// The pending runs, indexed by their attempts.
#[derive(Debug, Default)]
pub(super) struct PendingRuns {
    by_attempt: HashMap<RequestId, PendingRun>,
}

impl PendingRuns {
    /// Adds a pending run, replacing an earlier one of the same attempt.
    pub(super) fn insert(&mut self, pending: PendingRun) {
        self.by_attempt.insert(pending.run.id, pending);
    }

    /// Returns the run of an attempt, if it waits to start.
    pub(super) fn waiting_to_start(&mut self, id: RequestId) -> Option<&mut PendingRun> {
        self.by_attempt.get_mut(&id).filter(|pending| pending.completion.is_none())
    }

    /// Returns the run of an attempt, if it waits to be reported as completed.
    pub(super) fn waiting_to_complete(&mut self, id: RequestId) -> Option<&mut PendingRun> {
        self.by_attempt.get_mut(&id).filter(|pending| pending.completion.is_some())
    }

    /// Returns the run of an attempt, if it waits for the store.
    pub(super) fn waiting_for_store(&mut self, id: RequestId) -> Option<&mut PendingRun> {
        self.by_attempt.get_mut(&id).filter(|pending| pending.store == Approval::Pending)
    }

    /// Removes the run of an attempt, whether or not answers are awaited for it.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<KeyedRun> {
        self.by_attempt.remove(&id).map(|pending| pending.run)
    }

    /// Removes the run of an attempt if no answer is awaited for it any more.
    pub(super) fn remove_resolved(&mut self, id: RequestId) -> Option<PendingRun> {
        if self.by_attempt.get(&id)?.is_resolved() {
            self.by_attempt.remove(&id)
        } else {
            None
        }
    }
}

#[cfg(test)]
mod tests;
