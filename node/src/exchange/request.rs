//! Requests, their submission to the dispatcher, and the right to answer them.

use std::fmt::{self, Display, Formatter};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use oakwind_admission::{CallerId, ClassId, TenantId};
use tokio::sync::mpsc;

use crate::clock::UnixTime;
use crate::metrics::Metrics;
use crate::outcome::{IdempotencyKey, RequestOutcome};

/// Identifies one attempt on all connections: up to 16 hexadecimal digits, new with every attempt. An
/// id that a peer sends may have any bytes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct TransactionId(Bytes);

impl TransactionId {
    /// Returns the id as it is sent on connections.
    pub(crate) fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl<T: Into<Bytes>> From<T> for TransactionId {
    fn from(id: T) -> Self {
        TransactionId(id.into())
    }
}

impl Display for TransactionId {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        self.0.escape_ascii().fmt(formatter)
    }
}

/// One attempt of a request, as a frontend read it.
#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) txn: TransactionId,
    pub(crate) class: ClassId,
    pub(crate) tenant: TenantId,
    /// Idempotency key, the same for all attempts of one request. Used in keyed classes only.
    pub(crate) key: Option<IdempotencyKey>,
    /// The client that sent it.
    pub(crate) caller: CallerId,
    /// Expected work, as time on one core; `None` if the client gave no hint.
    pub(crate) cost_hint: Option<Duration>,
    /// Memory that is reserved for the request while it is open, in KB.
    pub(crate) memory_kb: f64,
    /// Rank of the request, from 0 to under 1.
    pub(crate) rank: f64,
    /// When the request reached this machine, or when it was read if the protocol does not state that.
    pub(crate) received_at: UnixTime,
    /// When the request reached this machine; `None` if the protocol does not state that.
    pub(crate) stated_receipt: Option<UnixTime>,
    /// When the client stops waiting for the answer.
    pub(crate) deadline: UnixTime,
    /// Body of the request, as it was read.
    pub(crate) body: Bytes,
}

/// Identifies one submission, so that its frontend can cancel it. The transaction id alone is not enough, as a client
/// may submit the same one a second time.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct SubmissionId {
    /// Transaction id of the submitted request.
    pub(crate) txn: TransactionId,
    sequence: u64,
}

impl SubmissionId {
    /// Creates the id of the submission that is number `sequence` on this exchange.
    pub(super) fn new(txn: TransactionId, sequence: u64) -> Self {
        SubmissionId { txn, sequence }
    }
}

/// A submitted request, with the right to answer it.
#[derive(Debug)]
pub(crate) struct Submission {
    pub(crate) request: Rc<Request>,
    /// Id by which the frontend cancels the submission.
    pub(crate) id: SubmissionId,
    /// Sends the answer to the frontend.
    pub(crate) responder: Responder,
}

/// Identifies a request among those whose answers share one queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct RequestTag(pub(crate) u64);

impl RequestTag {
    /// Returns the tag that follows this one.
    pub(crate) fn next(self) -> RequestTag {
        RequestTag(self.0 + 1)
    }
}

/// The answer to a request, as its frontend receives it.
#[derive(Debug)]
pub(crate) struct Answer {
    /// Tag of the request.
    pub(crate) tag: RequestTag,
    /// Outcome of the request.
    pub(crate) outcome: RequestOutcome,
}

/// The metrics, and the class, for which the answer to a request is counted.
#[derive(Debug)]
struct AnswerCounter {
    metrics: Rc<Metrics>,
    class: ClassId,
}

/// The right to answer one request. Answering consumes the responder, so no request is answered twice. A place
/// in the answer queue is reserved from the start, so answering never waits.
#[derive(Debug)]
pub(crate) struct Responder {
    tag: RequestTag,
    permit: Option<mpsc::OwnedPermit<Answer>>,
    /// `None` until the request is submitted.
    counter: Option<AnswerCounter>,
}

impl Responder {
    /// Creates a responder that sends its answer, with this tag, to the queue `answers`. Returns `None` if the
    /// queue has no free place to reserve.
    pub(crate) fn new(answers: &mpsc::Sender<Answer>, tag: RequestTag) -> Option<Self> {
        let permit = answers.clone().try_reserve_owned().ok()?;
        Some(Responder { tag, permit: Some(permit), counter: None })
    }

    /// Sets the metrics and the class for which the answer and the end of the request are counted.
    pub(super) fn count_in(&mut self, metrics: Rc<Metrics>, class: ClassId) {
        self.counter = Some(AnswerCounter { metrics, class });
    }

    /// Answers the request and counts the answer.
    pub(crate) fn answer(mut self, outcome: RequestOutcome) {
        if let Some(counter) = &self.counter {
            counter.metrics.request_answered(counter.class, &outcome);
        }
        if let Some(permit) = self.permit.take() {
            permit.send(Answer { tag: self.tag, outcome });
        }
    }
}

impl Drop for Responder {
    /// Counts the request as ended, whether it was answered or cancelled.
    fn drop(&mut self) {
        if let Some(counter) = &self.counter {
            counter.metrics.request_finished();
        }
    }
}
