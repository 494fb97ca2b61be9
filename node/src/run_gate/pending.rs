//! Runs that wait for the store or the peers, and how the votes of the two are combined.

use std::collections::HashMap;

use oakwind_admission::RequestId;

use super::keyed_run::KeyedRun;
use crate::outcome::Completion;

/// The answer of the store or of the peers to one question.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Vote {
    /// It agrees, is not there, or was not asked.
    Yes,
    /// It will answer.
    Pending,
    /// It does not agree.
    No,
}

impl Vote {
    /// The vote in an answer.
    pub(super) fn of(agrees: bool) -> Self {
        if agrees {
            Vote::Yes
        } else {
            Vote::No
        }
    }

    /// Both votes in one: it is pending as long as either is.
    pub(super) fn and(self, other: Vote) -> Self {
        match (self, other) {
            (Vote::Pending, _) | (_, Vote::Pending) => Vote::Pending,
            (Vote::No, _) | (_, Vote::No) => Vote::No,
            (Vote::Yes, Vote::Yes) => Vote::Yes,
        }
    }
}

/// A run that waits to start, or to be reported as completed.
#[derive(Debug)]
pub(super) struct PendingRun {
    pub(super) run: KeyedRun,
    /// How it ended; `None` if it waits to start.
    pub(super) completion: Option<Completion>,
    pub(super) store: Vote,
    pub(super) peers: Vote,
}

impl PendingRun {
    /// Whether the store or the peers have voted no.
    pub(super) fn is_denied(&self) -> bool {
        self.store == Vote::No || self.peers == Vote::No
    }

    /// Whether nothing more is awaited: one vote against it is enough.
    fn is_resolved(&self) -> bool {
        self.is_denied() || (self.store == Vote::Yes && self.peers == Vote::Yes)
    }
}

/// The pending runs by their attempts.
#[derive(Debug, Default)]
pub(super) struct PendingRuns {
    by_attempt: HashMap<RequestId, PendingRun>,
}

impl PendingRuns {
    /// Has a run wait. It replaces an earlier entry of its attempt.
    pub(super) fn insert(&mut self, pending: PendingRun) {
        self.by_attempt.insert(pending.run.id, pending);
    }

    /// The run of an attempt, if it waits to start.
    pub(super) fn waiting_to_start(&mut self, id: RequestId) -> Option<&mut PendingRun> {
        self.by_attempt.get_mut(&id).filter(|pending| pending.completion.is_none())
    }

    /// The run of an attempt, if it waits to be reported as completed.
    pub(super) fn waiting_to_complete(&mut self, id: RequestId) -> Option<&mut PendingRun> {
        self.by_attempt.get_mut(&id).filter(|pending| pending.completion.is_some())
    }

    /// The run of an attempt, if it waits for the store.
    pub(super) fn waiting_for_store(&mut self, id: RequestId) -> Option<&mut PendingRun> {
        self.by_attempt.get_mut(&id).filter(|pending| pending.store == Vote::Pending)
    }

    /// Removes the run of an attempt, whatever it waits for.
    pub(super) fn remove(&mut self, id: RequestId) -> Option<KeyedRun> {
        self.by_attempt.remove(&id).map(|pending| pending.run)
    }

    /// Removes the run of an attempt if nothing more is awaited for it.
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
