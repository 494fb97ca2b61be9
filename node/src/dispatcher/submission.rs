//! Receives new attempts: passes them to the admission module, or answers them without its decision.
//!
//! No attempt is passed to the admission module while this process may not know of an earlier run with the
//! same key.

use std::rc::Rc;

use oakwind_admission::{Arrival, Effect, Event, RequestId};

use super::attempts::{Attempt, Phase};
use super::idempotency::KeyMatch;
use super::Dispatcher;
use crate::clock::{self, UnixTime};
use crate::exchange::{DispatcherEvent, Request, Submission, SubmissionId};
use crate::log;
use crate::outcome::{digest, IdempotencyKey, RequestOutcome, StoredOutcome};

/// Mean wait that a rejection without the admission module advises, as a fraction of `max_retry_after`.
const MEAN_RETRY_FRACTION: f64 = 0.25;

/// Smallest jitter factor; the largest is 1 more. The advised wait is its mean times a factor that varies in
/// this range.
const MIN_JITTER_FACTOR: f64 = 0.5;

/// Maps a number to a fraction from 0 to under 1, using as many of its upper bits as an `f64` holds exactly.
fn unit_fraction(bits: u64) -> f64 {
    (bits >> (u64::BITS - f64::MANTISSA_DIGITS)) as f64 / (1_u64 << f64::MANTISSA_DIGITS) as f64
}

impl Dispatcher {
    /// Handles an attempt that a frontend has read.
    pub(super) fn submit(&mut self, submission: Submission) {
        let request = submission.request.clone();
        // The backends can't distinguish two open attempts with the same transaction id.
        if self.attempts.id_of(&request.txn).is_some() {
            log!(
                "dispatcher: request failed, an open attempt has the same transaction id: txn={}",
                request.txn
            );
            return self.answer_submission(submission, RequestOutcome::Failed { timed_out: false });
        }
        let now = clock::now();
        let key = self.dedup_key(&request);
        let at_most_once_key = self.at_most_once_key(&request);
        if (key.is_some() || at_most_once_key.is_some()) && self.status().awaiting_state {
            return self.buffer_until_state_received(submission);
        }
        if self.admission.is_none() {
            let outcome = self.outcome_before_start(key.as_ref(), &request, now);
            return self.answer_submission(submission, outcome);
        }
        match (key, at_most_once_key) {
            (Some(key), _) => self.submit_keyed(submission, &request, key, now),
            (None, Some(key)) => self.submit_at_most_once(submission, &request, &key),
            (None, None) => self.open_attempt(submission, None, now),
        }
    }

    fn submit_keyed(
        &mut self,
        submission: Submission,
        request: &Request,
        key: IdempotencyKey,
        now: UnixTime,
    ) {
        if let Some(outcome) = self.outcome_without_admission(&key, request, now) {
            return self.answer_submission(submission, outcome);
        }
        // If the batch already has an attempt with this key, the admission module decides about the earlier
        // attempt first. The new attempt is then matched against the table that results.
        if self.idempotency.is_in_batch(&key) {
            return self.deferred.push_back(DispatcherEvent::Submitted(submission));
        }
        match self.idempotency.register_attempt(key, &request.body, self.earliest_receipt(request, now)) {
            KeyMatch::New => self.open_attempt(submission, None, now),
            KeyMatch::RepeatOf(holder) => self.open_attempt(submission, Some(holder), now),
            KeyMatch::BodyMismatch => {
                log!("dispatcher: request refused, its key was used with another body: txn={}", request.txn);
                self.answer_submission(submission, RequestOutcome::BodyMismatch);
            }
        }
    }

    /// Returns the outcome of an attempt that must not be passed to the admission module, or `None` if it may be.
    fn outcome_without_admission(
        &self,
        key: &IdempotencyKey,
        request: &Request,
        now: UnixTime,
    ) -> Option<RequestOutcome> {
        if self.may_have_run_unrecorded(key, request, now) {
            log!(
                "dispatcher: request failed, its key may have run and its record is lost: txn={}",
                request.txn
            );
            return Some(RequestOutcome::Failed { timed_out: false });
        }
        if self.may_have_run_at_successor(key, request, now) {
            log!("handover: request failed, its key may have run at the successor: txn={}", request.txn);
            return Some(RequestOutcome::Failed { timed_out: false });
        }
        if self.idempotency.is_full() && !self.idempotency.contains(key) {
            log!("dispatcher: request rejected, idempotency table is full: txn={}", request.txn);
            return Some(self.rejection_without_admission());
        }
        None
    }

    /// Opens an attempt and reports its arrival to the admission module. `repeats` is the attempt that holds its key.
    pub(super) fn open_attempt(&mut self, submission: Submission, repeats: Option<RequestId>, now: UnixTime) {
        let Submission { request, id: submission_id, responder } = submission;
        let id = self.attempts.allocate_id();
        self.admission_events.push(Event::Arrived(Arrival {
            id,
            retry_of: repeats,
            class: request.class,
            tenant: request.tenant,
            cost_hint: request.cost_hint,
            memory_kb: request.memory_kb,
            age: now.saturating_sub(request.received_at),
            rank: request.rank,
            caller: request.caller,
            remaining_time: Some(request.deadline.saturating_sub(now)),
        }));
        let responder = Some(responder);
        self.attempts.insert(Attempt { id, request, submission_id, responder, phase: Phase::Queued });
    }

    /// Returns the outcome of a request that arrives before any backend can run requests. A request whose key
    /// has run must not be rejected, because a rejection promises that it has not run.
    fn outcome_before_start(
        &self,
        key: Option<&IdempotencyKey>,
        request: &Request,
        now: UnixTime,
    ) -> RequestOutcome {
        let known = key.and_then(|key| self.known_outcome(key, request, now));
        known.unwrap_or_else(|| self.rejection_without_admission())
    }

    fn known_outcome(
        &self,
        key: &IdempotencyKey,
        request: &Request,
        now: UnixTime,
    ) -> Option<RequestOutcome> {
        let is_unknown = self.may_have_run_unrecorded(key, request, now)
            || self.may_have_run_at_successor(key, request, now);
        if is_unknown {
            return Some(RequestOutcome::Failed { timed_out: false });
        }
        let outcome = self.idempotency.outcome(key, &request.body, self.earliest_receipt(request, now))?;
        Some(self.outcome_for_repeat(&outcome))
    }

    /// Converts the stored outcome of a key to the answer for a repeated attempt.
    pub(super) fn outcome_for_repeat(&self, outcome: &StoredOutcome) -> RequestOutcome {
        match outcome {
            StoredOutcome::Succeeded(result) => RequestOutcome::Served(result.clone()),
            StoredOutcome::Failed => RequestOutcome::Failed { timed_out: false },
            StoredOutcome::NeverStarted => self.rejection_without_admission(),
        }
    }

    /// Whether a key that is not in the table may have run, because its stored record may be damaged, or was lost
    /// with the predecessor.
    fn may_have_run_unrecorded(&self, key: &IdempotencyKey, request: &Request, now: UnixTime) -> bool {
        let may_have_run = self.run_gate.may_have_run(key, now)
            || self.handover.may_repeat_lost_key(self.earliest_receipt(request, now));
        may_have_run && !self.idempotency.contains(key)
    }

    /// Whether a key that is not in the table may have run at the successor, to which the table was transferred. The
    /// successor would not learn of a run here either, so none may start.
    fn may_have_run_at_successor(&self, key: &IdempotencyKey, request: &Request, now: UnixTime) -> bool {
        let received_at = self.earliest_receipt(request, now);
        self.state_is_transferred() && !self.idempotency.contains_current(key, received_at)
    }

    /// When a request reached this machine at the earliest, by which it is decided whether its key had expired.
    fn earliest_receipt(&self, request: &Request, now: UnixTime) -> UnixTime {
        self.late_reads.earliest_receipt(request.stated_receipt, now)
    }

    /// Returns the rejection of a request that did not run although the admission module did not reject it: no
    /// backend can run requests yet, the idempotency table is full, the run gate denied the run, the queue of run
    /// commands was full, or no server accepted the run. The advised wait varies between rejections and between
    /// nodes, so that callers don't retry all at once.
    pub(super) fn rejection_without_admission(&self) -> RequestOutcome {
        let settings = &self.settings.settings;
        let sequence = self.jitter_sequence.replace(self.jitter_sequence.get() + 1);
        let jitter = MIN_JITTER_FACTOR + unit_fraction(digest(self.seed, &sequence.to_be_bytes()));
        let wait = || settings.max_retry_after.mul_f64(MEAN_RETRY_FRACTION * jitter);
        RequestOutcome::Rejected { retry_after: settings.retry_after.then(wait), give_up: false }
    }

    /// Returns the key by which a request is deduplicated; `None` for classes without [`Effect::IdempotencyKey`].
    pub(super) fn dedup_key(&self, request: &Request) -> Option<IdempotencyKey> {
        let class = self.settings.settings.classes.get(usize::from(request.class.0))?;
        request.key.clone().filter(|_| class.effect == Effect::IdempotencyKey)
    }

    /// Handles the cancellation of a submission by its client: the submission gets no answer.
    pub(super) fn cancel(&mut self, submission_id: &SubmissionId) {
        self.handover.buffered.retain(|buffered| buffered.id != *submission_id);
        let Some(id) = self.attempts.id_of(&submission_id.txn) else { return };
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        if attempt.submission_id == *submission_id && attempt.responder.take().is_some() {
            self.admission_events.push(Event::Cancelled(id));
        }
    }

    /// Answers a submission that did not become an attempt.
    pub(super) fn answer_submission(&self, submission: Submission, outcome: RequestOutcome) {
        self.answer(&submission.request, submission.responder, outcome);
    }

    /// Answers an attempt, unless it has been answered or cancelled already.
    pub(super) fn answer_attempt(&mut self, id: RequestId, outcome: RequestOutcome) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        if let Some(responder) = attempt.responder.take() {
            let request: Rc<Request> = attempt.request.clone();
            self.answer(&request, responder, outcome);
        }
    }
}
