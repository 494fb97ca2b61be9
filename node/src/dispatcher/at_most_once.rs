//! Requests of classes that run at most once and carry no idempotency key.
//!
//! Their transaction id identifies them: a client that lost its connection may send the same request again. Each run is
//! recorded in the idempotency table under a key that is made of the id, so that it is transferred to a successor too. It
//! is not recorded in the stores of the run gate, and does not outlast the processes of the node.

use oakwind_admission::{Effect, RequestId};

use super::Dispatcher;
use crate::clock;
use crate::exchange::{Request, Submission};
use crate::log;
use crate::outcome::{IdempotencyKey, RequestOutcome, RunState, RESERVED_KEY_START};

/// Distinguishes the keys of this module from those of clients and from other reserved ones.
const KEY_PREFIX: &[u8] = &[RESERVED_KEY_START, b'o', b'n', b'c', b'e', RESERVED_KEY_START];

/// Whether this key stands for the id of a request that runs at most once.
pub(super) fn is_at_most_once_key(key: &IdempotencyKey) -> bool {
    key.starts_with(KEY_PREFIX)
}

impl Dispatcher {
    /// Returns the key under which the run of a request is recorded; `None` if its class is not one whose requests run at
    /// most once.
    pub(super) fn at_most_once_key(&self, request: &Request) -> Option<IdempotencyKey> {
        let class = self.settings.settings.classes.get(usize::from(request.class.0))?;
        let is_at_most_once = class.effect == Effect::AtMostOnce;
        is_at_most_once.then(|| [KEY_PREFIX, request.txn.as_bytes()].concat().into())
    }

    /// Opens an attempt of a request that runs at most once, unless it has been run under this key.
    pub(super) fn submit_at_most_once(
        &mut self,
        submission: Submission,
        request: &Request,
        key: &IdempotencyKey,
    ) {
        if self.idempotency.contains(key) {
            log!("dispatcher: request not run again, its transaction id has run: txn={}", request.txn);
            let known = self.idempotency.outcome(key, &request.body, request.received_at);
            let outcome = known.map_or(RequestOutcome::Failed { timed_out: false }, |outcome| {
                self.outcome_for_repeat(&outcome)
            });
            return self.answer_submission(submission, outcome);
        }
        if self.idempotency.is_full() {
            log!("dispatcher: request rejected, idempotency table is full: txn={}", request.txn);
            let outcome = self.rejection_without_admission();
            return self.answer_submission(submission, outcome);
        }
        self.open_attempt(submission, None, clock::now());
    }

    /// Records that the run of an attempt has started, here and at the successor, if the request runs at most once.
    pub(super) fn record_at_most_once_run(&mut self, id: RequestId, request: &Request) {
        let Some(key) = self.at_most_once_key(request) else { return };
        let Some(class) = self.settings.settings.classes.get(usize::from(request.class.0)) else { return };
        let retention = class.deadline.max(class.idempotency_window);
        self.idempotency.assign(&key, &request.body, id, clock::now() + retention);
        self.idempotency.try_start(&key, id);
        self.report_to_successor(id, RunState::Pending);
    }
}
