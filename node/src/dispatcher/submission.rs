//! New attempts: which of them the admission module decides about, and which are answered without it.
//!
//! No attempt of a key goes to the admission module while an earlier run of that key may be unknown here.

use std::rc::Rc;

use oakwind_admission::{Arrival, Effect, Event, RequestId};

use super::attempts::{Attempt, Phase};
use super::idempotency::KeyMatch;
use super::Dispatcher;
use crate::clock::{self, UnixTime};
use crate::exchange::{DispatcherEvent, Request, Submission, SubmissionId};
use crate::log;
use crate::outcome::{digest, IdempotencyKey, RequestOutcome, StoredOutcome};

/// The mean wait that a rejection without a decision advises, as a part of the longest one that callers follow.
const UNDECIDED_RETRY_FRACTION: f64 = 0.25;

/// The least factor by which the advised wait differs from its mean; the greatest is as far above 1.
const MIN_RETRY_SPREAD: f64 = 0.5;

/// The upper bits of a number, as many as an `f64` holds exactly, as a fraction from 0 to under 1.
fn unit_fraction(bits: u64) -> f64 {
    (bits >> (u64::BITS - f64::MANTISSA_DIGITS)) as f64 / (1_u64 << f64::MANTISSA_DIGITS) as f64
}

impl Dispatcher {
    /// A frontend has read an attempt.
    pub(super) fn submit(&mut self, submission: Submission) {
        let request = submission.request.clone();
        // The backends could not tell two open attempts with one transaction id apart.
        if self.attempts.id_of(&request.txn).is_some() {
            log!("dispatcher: a transaction id was used again while it is open: txn={}", request.txn);
            return self.answer_submission(submission, RequestOutcome::Failed { timed_out: false });
        }
        let now = clock::now();
        let key = self.key_of(&request);
        if self.admission.is_none() {
            let outcome = self.outcome_before_start(key.as_ref(), &request, now);
            return self.answer_submission(submission, outcome);
        }
        match key {
            Some(key) => self.submit_keyed(submission, &request, key, now),
            None => self.open_attempt(submission, None, now),
        }
    }

    fn submit_keyed(
        &mut self,
        submission: Submission,
        request: &Request,
        key: IdempotencyKey,
        now: UnixTime,
    ) {
        if self.status().awaiting_state {
            return self.buffer_until_state_received(submission);
        }
        if let Some(outcome) = self.outcome_without_decision(&key, request, now) {
            return self.answer_submission(submission, outcome);
        }
        // Of two attempts of one key in a batch, the second is matched against the outcome of the first.
        if self.idempotency.is_in_batch(&key) {
            return self.deferred.push_back(DispatcherEvent::Submitted(submission));
        }
        match self.idempotency.match_attempt(key, &request.body, request.received_at) {
            KeyMatch::New => self.open_attempt(submission, None, now),
            KeyMatch::RepeatOf(holder) => self.open_attempt(submission, Some(holder), now),
            KeyMatch::BodyMismatch => {
                log!("dispatcher: a key came with another body than before: txn={}", request.txn);
                self.answer_submission(submission, RequestOutcome::BodyMismatch);
            }
        }
    }

    /// The outcome of an attempt with this key, if it cannot go to the admission module.
    fn outcome_without_decision(
        &self,
        key: &IdempotencyKey,
        request: &Request,
        now: UnixTime,
    ) -> Option<RequestOutcome> {
        if self.may_have_run_unrecorded(key, now) {
            log!("dispatcher: a key may have run, its stored record is damaged: txn={}", request.txn);
            return Some(RequestOutcome::Failed { timed_out: false });
        }
        if self.idempotency.contains(key) {
            return None;
        }
        // The successor would not learn of this key and could run it as well.
        if self.state_is_transferred() {
            return Some(self.undecided_rejection());
        }
        if self.idempotency.is_full() {
            log!("dispatcher: the idempotency table is full");
            return Some(self.undecided_rejection());
        }
        None
    }

    /// Opens an attempt, about which the admission module decides. `repeats` is the attempt that holds its key.
    fn open_attempt(&mut self, submission: Submission, repeats: Option<RequestId>, now: UnixTime) {
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

    /// The outcome of a request that comes before anything can run here. A request whose key has run must not get a
    /// rejection, which would promise that it has not.
    fn outcome_before_start(
        &self,
        key: Option<&IdempotencyKey>,
        request: &Request,
        now: UnixTime,
    ) -> RequestOutcome {
        let key = key.filter(|_| !self.status().awaiting_state);
        let known = key.and_then(|key| self.known_outcome(key, request, now));
        known.unwrap_or_else(|| self.undecided_rejection())
    }

    fn known_outcome(
        &self,
        key: &IdempotencyKey,
        request: &Request,
        now: UnixTime,
    ) -> Option<RequestOutcome> {
        if self.may_have_run_unrecorded(key, now) {
            return Some(RequestOutcome::Failed { timed_out: false });
        }
        let outcome = self.idempotency.outcome(key, &request.body, request.received_at)?;
        Some(self.outcome_for_repeat(&outcome))
    }

    /// What an attempt gets whose key has this outcome.
    pub(super) fn outcome_for_repeat(&self, outcome: &StoredOutcome) -> RequestOutcome {
        match outcome {
            StoredOutcome::Succeeded(result) => RequestOutcome::Served(result.clone()),
            StoredOutcome::Failed => RequestOutcome::Failed { timed_out: false },
            StoredOutcome::NeverStarted => self.undecided_rejection(),
        }
    }

    /// Whether a key that is not in the table may have run, as its stored record may be damaged.
    fn may_have_run_unrecorded(&self, key: &IdempotencyKey, now: UnixTime) -> bool {
        !self.idempotency.contains(key) && self.run_gate.may_have_run(key, now)
    }

    /// The rejection of a request that no decision was made about: nothing can run requests yet, or no server accepted
    /// it. The advised wait differs each time and from node to node, so that callers don't come back all at once.
    pub(super) fn undecided_rejection(&self) -> RequestOutcome {
        let settings = &self.settings.settings;
        let count = self.undecided_rejections.replace(self.undecided_rejections.get() + 1);
        let spread = MIN_RETRY_SPREAD + unit_fraction(digest(self.seed, &count.to_be_bytes()));
        let wait = || settings.max_retry_after.mul_f64(UNDECIDED_RETRY_FRACTION * spread);
        RequestOutcome::Rejected { retry_after: settings.retry_after.then(wait), give_up: false }
    }

    /// The key of a request, if its class must not run twice.
    pub(super) fn key_of(&self, request: &Request) -> Option<IdempotencyKey> {
        let class = self.settings.settings.classes.get(usize::from(request.class.0))?;
        request.key.clone().filter(|_| class.effect == Effect::IdempotencyKey)
    }

    /// The client of a submission has cancelled it, so it gets no answer.
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

    /// Answers an attempt, unless it has been answered or cancelled.
    pub(super) fn answer_attempt(&mut self, id: RequestId, outcome: RequestOutcome) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        if let Some(responder) = attempt.responder.take() {
            let request: Rc<Request> = attempt.request.clone();
            self.answer(&request, responder, outcome);
        }
    }
}
