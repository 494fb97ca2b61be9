//! Life cycle of a request from its arrival to its final answer, and retention of its idempotency key beyond
//! that.
//!
//! Every request is answered once. A queued request that never ran is rejected; one that has started fails. A
//! key is released only if its request ends without a run, so that no effect occurs twice.

pub(crate) mod ended_attempts;
pub(crate) mod idempotency_keys;
pub(crate) mod request;
pub(crate) mod table;

use std::time::Duration;

use crate::admission::time::{Instant, Span};
use crate::interface::{Action, Effect, Preemption, RequestId, Settings};
use ended_attempts::EndedAttempts;
use idempotency_keys::RetainedKeys;
use request::{Phase, Request};
use table::RequestTable;

/// The open requests, the retained keys, and the attempts that ended without a run in the current batch.
#[derive(Debug, Default)]
pub(crate) struct OpenRequests {
    table: RequestTable,
    keys: RetainedKeys,
    ended_attempts: EndedAttempts,
}

/// Advice to the caller of a rejected request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Advice {
    /// How long the caller should wait before a retry; `None` if callers do not honor a retry-after.
    pub(crate) retry_after: Option<Duration>,
    /// Whether the caller is asked not to retry on another server.
    pub(crate) give_up: bool,
}

impl OpenRequests {
    /// The table of open requests.
    pub(crate) fn table(&self) -> &RequestTable {
        &self.table
    }

    /// The table of open requests, for modification.
    pub(crate) fn table_mut(&mut self) -> &mut RequestTable {
        &mut self.table
    }

    /// The retained keys.
    pub(crate) fn keys(&self) -> &RetainedKeys {
        &self.keys
    }

    /// Starts a new batch of events and drops the ended attempts of the previous one.
    pub(crate) fn start_batch(&mut self) {
        self.ended_attempts.clear();
    }

    /// Moves deadlines and objectives that lie after `stop_at` forward to it.
    pub(crate) fn limit_deadlines(&mut self, stop_at: Instant) {
        for request in self.table.values_mut() {
            request.deadline = request.deadline.min(stop_at);
            request.objective_deadline = request.objective_deadline.min(request.deadline);
        }
    }

    /// Drops the keys whose retention has expired.
    pub(crate) fn expire_keys(&mut self, now: Instant) {
        self.keys.expire(now);
    }

    /// The attempt to which a retry of this class is matched: the named attempt if it is open or has ended a
    /// run, or the attempt that replaced it in this batch. `None` if the named attempt ended in this batch
    /// without a run, or if the class does not deduplicate. A class without keys deduplicates only where
    /// responses are reused, and never with an attempt that is still queued.
    pub(crate) fn matched_attempt(
        &self,
        named: Option<RequestId>,
        class: usize,
        settings: &Settings,
    ) -> Option<RequestId> {
        let original = self.ended_attempts.successor_of(named?)?;
        let reuses_response = !settings.response_reuse.is_zero() && !self.is_queued(original);
        let shares_outcome = match settings.classes[class].effect {
            Effect::IdempotencyKey => true,
            Effect::Idempotent => reuses_response,
            Effect::AtMostOnce => false,
        };
        shares_outcome.then_some(original)
    }

    pub(crate) fn is_queued(&self, id: RequestId) -> bool {
        self.table.get(id).is_some_and(Request::is_queued)
    }

    /// Prepares the retry `id` to replace the queued attempt `replaced`: the retry inherits its objective if
    /// that is earlier, and the key of `replaced` is released. Both attempts remain open for now.
    pub(crate) fn prepare_replacement(&mut self, id: RequestId, replaced: RequestId) {
        let objective_deadline = self.table.get(replaced).map(|request| request.objective_deadline);
        if let (Some(request), Some(objective_deadline)) = (self.table.get_mut(id), objective_deadline) {
            request.objective_deadline = request.objective_deadline.min(objective_deadline);
        }
        self.keys.release(replaced);
    }

    /// Rejects the attempt that the retry `id` has replaced.
    pub(crate) fn reject_replaced(
        &mut self,
        replaced: RequestId,
        id: RequestId,
        advice: Advice,
        actions: &mut Vec<Action>,
    ) {
        push_rejection(replaced, advice, actions);
        self.table.remove(replaced);
        self.ended_attempts.record_replaced(replaced, id);
    }

    /// Makes the retry `id` wait for the outcome of the attempt that it names.
    pub(crate) fn coalesce(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        if let Some(request) = self.table.get_mut(id) {
            request.phase = Phase::Coalesced;
            actions.push(Action::Coalesce(id));
        }
    }

    /// Retains the idempotency key of a request before its run.
    pub(crate) fn retain_key(
        &mut self,
        id: RequestId,
        settings: &Settings,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(request) = self.table.get(id) else { return };
        let window = Span::from(settings.classes[request.class].idempotency_window);
        let retention = self.keys.retain(id, window, request.deadline - now, now);
        actions.push(Action::RetainKey(id, retention.to_duration()));
    }

    /// Rejects a queued request and releases its key.
    pub(crate) fn reject(&mut self, id: RequestId, advice: Advice, actions: &mut Vec<Action>) {
        push_rejection(id, advice, actions);
        self.remove_queued(id, actions);
    }

    /// Answers a started request with a failure. Its run is preempted if its effect may be repeated.
    pub(crate) fn fail(&mut self, id: RequestId, settings: &Settings, actions: &mut Vec<Action>) {
        actions.push(Action::Fail(id));
        self.settle_answer(id, settings, actions);
    }

    /// Marks a request as needing no answer, because it has failed or was cancelled. A queued or coalesced
    /// request ends; a run continues unless it is idempotent and can be preempted.
    pub(crate) fn settle_answer(&mut self, id: RequestId, settings: &Settings, actions: &mut Vec<Action>) {
        let Some(request) = self.table.get_mut(id) else { return };
        request.answer_settled = true;
        let is_idempotent = settings.classes[request.class].effect == Effect::Idempotent;
        let preemptible = is_idempotent && settings.preemption != Preemption::Off;
        match request.phase {
            Phase::Queued => self.remove_queued(id, actions),
            Phase::Coalesced => {
                self.table.remove(id);
            }
            Phase::Running(_) if preemptible => actions.push(Action::Pause(id)),
            Phase::Running(_) | Phase::AwaitingCall { .. } | Phase::Calling { .. } => {}
        }
    }

    /// Ends a request whose run the server rejected before it started, and releases its key.
    pub(crate) fn run_rejected(&mut self, id: RequestId) {
        self.keys.release(id);
        self.table.remove(id);
    }

    fn remove_queued(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        self.table.remove(id);
        self.ended_attempts.record_ended(id);
        if self.keys.release(id) {
            actions.push(Action::ReleaseKey(id));
        }
    }
}

/// Appends the rejection of an attempt. The caller removes the attempt from the table if it is in it.
pub(crate) fn push_rejection(id: RequestId, advice: Advice, actions: &mut Vec<Action>) {
    actions.push(Action::Reject { id, retry_after: advice.retry_after, give_up: advice.give_up });
}

#[cfg(test)]
mod tests;
